//! The policy of the paper, as pure functions of a snapshot. Section numbers
//! are those of "Cost-Efficient and Robust On-Demand Video Transcoding Using
//! Heterogeneous Cloud Services".

pub mod band;
pub mod giveback;
pub mod placement;
pub mod remedial;
pub mod suitability;
pub mod zones;
