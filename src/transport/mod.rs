//! The network side of a controller: the server for users and agents, the clients of the
//! key-value store, the cloud, the agents and the other controllers, the budget of
//! sockets that both share, and admission control.

pub mod admission;
pub mod http;
pub mod network;
pub mod network_clients;
pub mod peer_connections;
pub mod server;
pub mod sockets;

pub use network::{HttpRequest, HttpResponse, Network, SendError};
