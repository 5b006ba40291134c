//! Division of the teams' limits among controllers.
//!
//! Each team may use a limited amount of CPUs and GPUs. The limit is divided into
//! allocations, one for each controller; a controller places a team's tasks only within
//! its own allocation. This crate makes the decisions: which controller requests how much
//! quota from which other one ([`Deficits`]), what a controller may give away ([`Donor`],
//! [`Holding`]), which records a transfer must be conditional on ([`Transfer`]), and how a
//! limit should be divided ([`plan_targets`]). It performs no I/O: the caller stores records,
//! sends messages and passes in the time. Only the solver of [`divide_capacity`] reads the
//! clock, for its time limit.
//!
//! # Safety
//!
//! Let a controller's *claim* on a team's limit be the larger of its allocation and what
//! its tasks use. The sum of all claims never exceeds the limit if
//!
//! 1. a placement is conditional on the allocation record that it was planned with,
//! 2. a transfer changes both records in one conditional transaction, is committed by the
//!    donor between its own placements, and leaves the donor at least what its tasks use,
//! 3. a transaction that moves machines to another controller also moves the allocation for
//!    the tasks on them.
//!
//! `docs/quota.md` in the repository has the full argument, with each crash point.

#![deny(missing_docs)]

mod amount;
mod deficit;
mod donor;
mod fallback;
mod linear;
mod request;
mod shares;
mod targets;
mod transfer;

pub use amount::{AMOUNT_SLACK, Quota};
pub use deficit::{Deficits, DonorView, Outcome, OutgoingRequest};
pub use donor::{Donor, Holding, MAX_PENDING_REQUESTS};
pub use linear::{NotSolved, SolverLimits};
pub use request::{Refusal, TransferRequest};
pub use shares::{Method, ShareProblem, Shares, TeamLimits, divide_capacity};
pub use targets::{TargetPlan, TargetProblem, TaskDemand, TeamDemand, plan_targets};
pub use transfer::{Allocations, Condition, Transfer};
