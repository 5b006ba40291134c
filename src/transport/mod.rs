//! Sockets: the server for users and agents, HTTP clients, peer links, and
//! admission.

pub mod admission;
pub mod http;
pub mod network;
pub mod network_clients;
pub mod peer_connections;
pub mod server;
pub mod sockets;

pub use network::{Call, Network, Reply, SendError};
