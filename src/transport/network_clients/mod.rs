//! Implementations of the coordination layer's clients over a [`Network`]. Each converts the
//! layer's calls to requests of [`crate::protocol`], and the responses to the layer's results
//! and errors.

mod agents;
mod cloud;
mod key_value_store;
mod peers;

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use self::{
    agents::HttpAgentClient, cloud::HttpCloudClient, key_value_store::HttpKeyValueStore,
    peers::TcpPeerClient,
};
use crate::{
    coordination::Clients,
    storage::ControllerName,
    transport::network::{HttpResponse, Network},
};

/// Addresses of the services and the other controllers. Agents are not listed: their heartbeats
/// contain their addresses.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Address of the key-value store, as IP:PORT.
    pub state: String,
    /// Address of the cloud, as IP:PORT.
    pub cloud: String,
    /// Addresses of the other controllers, as IP:PORT.
    pub peers: HashMap<ControllerName, String>,
}

/// Creates all clients of a controller over one network.
pub fn clients(network: Arc<dyn Network>, addresses: Addresses) -> Clients {
    Clients {
        key_value_store: Box::new(HttpKeyValueStore {
            network: network.clone(),
            address: addresses.state,
        }),
        agents: Box::new(HttpAgentClient {
            network: network.clone(),
        }),
        cloud: Box::new(HttpCloudClient {
            network: network.clone(),
            address: addresses.cloud,
        }),
        peers: Box::new(TcpPeerClient {
            network,
            addresses: addresses.peers,
        }),
    }
}

/// Serialises a request's body.
fn to_json(message: &impl Serialize) -> Bytes {
    // Serialisation cannot fail: messages are plain data with string keys.
    serde_json::to_vec(message).unwrap_or_default().into()
}

/// Parses a response's body.
fn from_json<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&response.body)
}
