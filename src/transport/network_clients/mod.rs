//! The coordination layer's clients over a [`Network`]: each turns the layer's calls into
//! messages of [`crate::protocol`], and the answers into the layer's results and errors.

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

/// Where a controller finds what it talks to, beside the agents: these name themselves.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The key-value store, as IP:PORT.
    pub state: String,
    /// The cloud, as IP:PORT.
    pub cloud: String,
    /// The other controllers, as IP:PORT.
    pub peers: HashMap<ControllerName, String>,
}

/// All clients of a controller, over one network.
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

/// A request's body.
fn to_json(message: &impl Serialize) -> Bytes {
    // Messages are plain data with string keys; they always serialise.
    serde_json::to_vec(message).unwrap_or_default().into()
}

/// The message in a response.
fn from_json<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, serde_json::Error> {
    serde_json::from_slice(&response.body)
}
