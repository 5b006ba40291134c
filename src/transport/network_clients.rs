//! The coordination layer's clients, over a [`Network`] and the wire's words.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    coordination::{
        Clients,
        clients::{
            AgentClient, CloudClient, CloudError, Command, CommandResponse, Heartbeat,
            ListedMachine, NoAnswer, PeerClient, PeerRequest, PeerResponse, ProvisionRequest,
        },
    },
    protocol::{agents, cloud, peer_frames, state},
    storage::{
        AgentEpoch, CommitError, ControllerName, KeyValueStore, MachineId, MachineType,
        ProvisionId, Revision, StateError, Token, Transaction,
        client::{KeyValue, LeaseId, RangePage, WatchEvent},
    },
    transport::network::{Call, Method, Network, Reply, SendError, Target},
};

type Net = Arc<dyn Network>;

/// Where a controller finds what it talks to, beside the agents: these name themselves.
pub struct Addresses {
    /// The key-value store.
    pub state: String,
    /// The cloud.
    pub cloud: String,
    /// The other controllers.
    pub peers: HashMap<ControllerName, String>,
}

/// All clients of a controller, over one network.
pub fn clients(net: Net, addresses: Addresses) -> Clients {
    Clients {
        key_value_store: Box::new(HttpKeyValueStore {
            net: net.clone(),
            address: addresses.state,
        }),
        agents: Box::new(HttpAgentClient { net: net.clone() }),
        cloud: Box::new(HttpCloudClient {
            net: net.clone(),
            address: addresses.cloud,
        }),
        peers: Box::new(TcpPeerClient {
            net,
            addresses: addresses.peers,
        }),
    }
}

const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
const WORKER_TIMEOUT: Duration = Duration::from_millis(1500);
const INSPECT_TIMEOUT: Duration = Duration::from_millis(1000);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(6);
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

fn body(message: &impl Serialize) -> Bytes {
    // Messages are plain data with string keys; they always serialise.
    serde_json::to_vec(message).unwrap_or_default().into()
}

fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, String> {
    serde_json::from_slice(&reply.body).map_err(|error| error.to_string())
}

struct HttpKeyValueStore {
    net: Net,
    address: String,
}

impl HttpKeyValueStore {
    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, StateError> {
        let call = Call {
            target: Target::Service,
            address: self.address.clone(),
            method,
            path,
            body,
            timeout,
        };
        match self.net.http(call).await {
            Ok(reply) => match reply.status {
                429 => Err(StateError::Throttled),
                503 => Err(StateError::Unavailable),
                // Nobody says what these mean for what was asked.
                500.. => Err(StateError::NoAnswer),
                _ => Ok(reply),
            },
            Err(SendError::NotSent(_)) => Err(StateError::Unavailable),
            Err(SendError::NoAnswer(_)) => Err(StateError::NoAnswer),
        }
    }

    fn rejected(reply: &Reply) -> StateError {
        let error = parse::<state::Rejection>(reply).map_or_else(
            |_| format!("status {}", reply.status),
            |rejection| rejection.error,
        );
        if error == "no such lease" {
            StateError::LeaseExpired
        } else {
            StateError::Rejected(error)
        }
    }

    fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, StateError> {
        if reply.status != 200 {
            return Err(Self::rejected(reply));
        }
        parse(reply).map_err(StateError::Rejected)
    }
}

impl KeyValueStore for HttpKeyValueStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>> {
        async move {
            let path = format!("/kv/{key}");
            let reply = self
                .call(Method::Get, path, Bytes::new(), STATE_TIMEOUT)
                .await?;
            if reply.status == 404 {
                return Ok(None);
            }
            Self::read::<state::Entry>(&reply).map(|entry| Some(entry.into()))
        }
        .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>> {
        async move {
            let mut path = format!("/kv?starts={prefix}&most=500");
            if let Some(after) = after {
                path.push_str("&from=");
                path.push_str(after);
            }
            let reply = self
                .call(Method::Get, path, Bytes::new(), STATE_TIMEOUT * 2)
                .await?;
            Self::read::<state::Entries>(&reply).map(RangePage::from)
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>> {
        async move {
            let message = state::Commit::from(transaction);
            let reply = self
                .call(
                    Method::Post,
                    "/commit".into(),
                    body(&message),
                    STATE_TIMEOUT,
                )
                .await?;
            if reply.status == 409 {
                let failed = parse::<state::Failed>(&reply).map_err(StateError::Rejected)?;
                return Err(CommitError::Conflict(failed.failed));
            }
            let committed = Self::read::<state::Committed>(&reply)?;
            Ok(Revision(committed.ledger))
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>> {
        async move {
            let message = state::Life {
                life_ms: ttl.as_millis() as u64,
            };
            let reply = self
                .call(
                    Method::Post,
                    "/grants".into(),
                    body(&message),
                    STATE_TIMEOUT,
                )
                .await?;
            Self::read::<state::Tether>(&reply).map(|tether| LeaseId(tether.tether))
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>> {
        async move {
            let path = format!("/grants/{}/touch", lease.0);
            let reply = self
                .call(Method::Post, path, Bytes::new(), STATE_TIMEOUT)
                .await?;
            match reply.status {
                200 => Ok(()),
                404 => Err(StateError::LeaseExpired),
                _ => Err(Self::rejected(&reply)),
            }
        }
        .boxed()
    }

    fn watch(
        &self,
        from: Revision,
        max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>> {
        async move {
            let path = format!(
                "/follow?starts=&from={from}&hold_ms={}",
                max_wait.as_millis()
            );
            let reply = self
                .call(Method::Get, path, Bytes::new(), max_wait + STATE_TIMEOUT)
                .await?;
            if reply.status == 410 {
                return Err(StateError::TooOld);
            }
            let events = Self::read::<state::Events>(&reply)?;
            Ok((
                Revision(events.ledger),
                events.events.into_iter().map(WatchEvent::from).collect(),
            ))
        }
        .boxed()
    }
}

struct HttpAgentClient {
    net: Net,
}

fn read_heartbeat(reply: &Reply) -> Result<Heartbeat, NoAnswer> {
    parse::<agents::Hello>(reply)
        .ok()
        .and_then(agents::Hello::into_heartbeat)
        .ok_or_else(|| NoAnswer(format!("status {} without a report", reply.status)))
}

impl AgentClient for HttpAgentClient {
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: Token,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoAnswer>> {
        async move {
            let message = agents::Orders {
                bridle: token.0,
                tenure: epoch.0,
                calls: commands.iter().map(agents::Call::from).collect(),
            };
            let call = Call {
                target: Target::Worker,
                address: address.to_owned(),
                method: Method::Post,
                path: "/orders".into(),
                body: body(&message),
                timeout: WORKER_TIMEOUT,
            };
            let reply = self
                .net
                .http(call)
                .await
                .map_err(|error| NoAnswer(error.to_string()))?;
            Ok(CommandResponse {
                executed: reply.status == 200,
                heartbeat: read_heartbeat(&reply)?,
            })
        }
        .boxed()
    }

    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoAnswer>> {
        async move {
            let call = Call {
                target: Target::Worker,
                address: address.to_owned(),
                method: Method::Get,
                path: "/inspect".into(),
                body: Bytes::new(),
                timeout: INSPECT_TIMEOUT,
            };
            let reply = self
                .net
                .http(call)
                .await
                .map_err(|error| NoAnswer(error.to_string()))?;
            read_heartbeat(&reply)
        }
        .boxed()
    }
}

struct HttpCloudClient {
    net: Net,
    address: String,
}

/// Pages of the machine list read at most: 32,000 machines.
const LIST_PAGES: usize = 64;

impl HttpCloudClient {
    async fn call(&self, method: Method, path: String, body: Bytes) -> Result<Reply, CloudError> {
        let call = Call {
            target: Target::Service,
            address: self.address.clone(),
            method,
            path,
            body,
            timeout: CLOUD_TIMEOUT,
        };
        let reply = self.net.http(call).await.map_err(|error| match error {
            SendError::NotSent(_) => CloudError::Unavailable,
            SendError::NoAnswer(_) => CloudError::NoAnswer,
        })?;
        match reply.status {
            200 => Ok(reply),
            503 => match parse::<cloud::Trouble>(&reply) {
                Ok(trouble) if trouble.error == "no capacity" => Err(CloudError::NoCapacity),
                _ => Err(CloudError::Unavailable),
            },
            429 => Err(CloudError::Unavailable),
            400..500 => Err(CloudError::Rejected(
                String::from_utf8_lossy(&reply.body[..reply.body.len().min(200)]).into_owned(),
            )),
            _ => Err(CloudError::NoAnswer),
        }
    }
}

fn cloud_reply<T: DeserializeOwned>(reply: &Reply) -> Result<T, CloudError> {
    parse(reply).map_err(CloudError::Rejected)
}

impl CloudClient for HttpCloudClient {
    fn catalog(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        async move {
            let reply = self
                .call(Method::Get, "/catalog".into(), Bytes::new())
                .await?;
            Ok(cloud_reply::<cloud::Catalog>(&reply)?
                .breeds
                .into_iter()
                .filter_map(cloud::Breed::into_type)
                .collect())
        }
        .boxed()
    }

    fn provision<'a>(
        &'a self,
        name: &'a ProvisionId,
        request: &'a ProvisionRequest,
    ) -> BoxFuture<'a, Result<Vec<MachineId>, CloudError>> {
        async move {
            let message = cloud::Hire {
                hire: name.to_string(),
                breed: request.kind.to_string(),
                paddock: request.zone.to_string(),
                loaners: request.spot,
                number: request.count,
            };
            let reply = self
                .call(Method::Post, "/machines".into(), body(&message))
                .await?;
            let mounts = cloud_reply::<cloud::Mounts>(&reply)?.mounts;
            Ok(mounts.into_iter().map(MachineId::new).collect())
        }
        .boxed()
    }

    fn release<'a>(&'a self, machines: &'a [MachineId]) -> BoxFuture<'a, Result<(), CloudError>> {
        async move {
            let message = cloud::Mounts {
                mounts: machines.iter().map(ToString::to_string).collect(),
            };
            self.call(Method::Post, "/machines/return".into(), body(&message))
                .await
                .map(drop)
        }
        .boxed()
    }

    fn list_machines(&self) -> BoxFuture<'_, Result<Vec<ListedMachine>, CloudError>> {
        async move {
            let mut machines: Vec<ListedMachine> = Vec::new();
            for _ in 0..LIST_PAGES {
                let from = machines
                    .last()
                    .map(|last| format!("&from={}", last.id))
                    .unwrap_or_default();
                let path = format!("/machines?most=500{from}");
                let reply = self.call(Method::Get, path, Bytes::new()).await?;
                let page = cloud_reply::<cloud::List>(&reply)?;
                let more = page.truncated && !page.mounts.is_empty();
                machines.extend(page.mounts.into_iter().map(cloud::Listed::into_machine));
                if !more {
                    return Ok(machines);
                }
            }
            tracing::info!(
                machines = machines.len(),
                "the machine list is too long to be read"
            );
            Ok(machines)
        }
        .boxed()
    }
}

struct TcpPeerClient {
    net: Net,
    addresses: HashMap<ControllerName, String>,
}

impl PeerClient for TcpPeerClient {
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        call: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoAnswer>> {
        async move {
            let no_answer = |error: String| NoAnswer(error);
            let address = self
                .addresses
                .get(controller)
                .ok_or_else(|| no_answer("not a peer".into()))?;
            let frame =
                peer_frames::encode_request(call).map_err(|error| no_answer(error.to_string()))?;
            let answer = self
                .net
                .frame(address, frame, PEER_TIMEOUT)
                .await
                .map_err(|error| no_answer(error.to_string()))?;
            peer_frames::decode_response(&answer).map_err(|error| no_answer(error.to_string()))
        }
        .boxed()
    }
}
