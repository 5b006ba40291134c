//! Stand-ins for everything around the controllers.

pub mod rules;
pub mod script;
pub mod state;
pub mod users;
pub mod worker;
pub mod world;
