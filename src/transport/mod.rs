//! The network side of a controller: the servers for users, agents and the other controllers,
//! the clients of the key-value store, the cloud, the agents and the other controllers, the
//! budget of sockets that servers and clients share, and admission control.

pub mod admission;
pub mod http;
pub mod network;
pub mod network_clients;
pub mod peer_connections;
pub mod server;
pub mod sockets;

pub use network::{HttpRequest, HttpResponse, Network, SendError};
