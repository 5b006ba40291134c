//! The policy of the paper, as pure functions of a snapshot. Section numbers
//! are those of "Cost-Efficient and Robust On-Demand Video Transcoding Using
//! Heterogeneous Cloud Services".

pub mod band;
pub mod owner_choice;
pub mod placement;
pub mod remedial;
pub mod scale_in;
pub mod suitability;
pub mod zone_constraint;
