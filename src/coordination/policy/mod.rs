//! Scheduling and scaling policies as pure functions of a snapshot. They follow the paper
//! "Cost-Efficient and Robust On-Demand Video Transcoding Using Heterogeneous Cloud Services";
//! section, algorithm and equation numbers refer to it.

pub mod band;
pub mod owner_choice;
pub mod placement;
pub mod remedial;
pub mod scale_in;
pub mod suitability;
pub mod zone_constraint;
