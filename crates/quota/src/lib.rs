//! Division of the teams' limits among controllers.
//!
//! Each team may use a limited amount of CPUs and GPUs. The limit is divided into
//! allocations, one for each controller; a controller places a team's tasks only within
//! its own allocation. This crate holds the decisions: who asks whom for how much
//! ([`Deficits`]), what a controller may give away ([`Donor`], [`Holding`]), which
//! records a transfer must be conditional on ([`Transfer`]), and how a limit is best
//! divided ([`plan_targets`]). It performs no input or output and reads no clock: the
//! caller stores records, sends messages and passes the time in.
//!
//! # Safety
//!
//! Let a controller's *claim* on a team's limit be the larger of its allocation and what
//! its tasks use. The sum of all claims never exceeds the limit if
//!
//! 1. a placement is conditional on the allocation record that it was planned with,
//! 2. a transfer changes both records in one conditional transaction, is committed by the
//!    donor between its own placements, and leaves the donor at least what its tasks use,
//! 3. machines that move to another controller take the allocation for their tasks along
//!    in the same transaction.
//!
//! `docs/quota.md` of the repository has the argument with each crash point.

#![deny(missing_docs)]

mod amount;
mod deficit;
mod donor;
mod linear;
mod plain;
mod request;
mod shares;
mod targets;
mod transfer;

pub use amount::{AMOUNT_SLACK, Quota};
pub use deficit::{Addressed, Deficits, DonorView, Outcome};
pub use donor::{Donor, Holding, PENDING_REQUESTS};
pub use linear::{LinearLimits, NotSolved};
pub use request::{Refusal, TransferRequest};
pub use shares::{Method, ShareProblem, Shares, TeamTerms, divide};
pub use targets::{Division, TargetProblem, TaskDemand, TeamDemand, plan_targets};
pub use transfer::{Allocations, Condition, Transfer};
