//! Sockets: the server for users and workers, HTTP clients, peer links, and
//! admission.

pub mod admission;
pub mod http;
pub mod links;
pub mod network;
pub mod ports;
pub mod server;
pub mod sockets;

pub use network::{Call, Network, Reply, SendError};
