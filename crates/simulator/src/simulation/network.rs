//! The simulated network, as one controller's process sees it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use serde_json::Value;
use stallcove::{
    coordination::ports::{Dialect, PeerCall},
    protocol::peers,
    storage::chance,
    transport::{Call, Network, Reply, SendError, links, network::Method},
};

use super::World;
use crate::rules::Event;

/// What a controller must read to understand a call.
fn needed(call: &PeerCall) -> Dialect {
    match call {
        PeerCall::CancelledSince(_) => Dialect::CANCELLATIONS,
        PeerCall::RequestQuota(_) | PeerCall::SetQuotaTargets(_) => Dialect::QUOTA_TRANSFERS,
        PeerCall::Status(_) | PeerCall::Offers(_) | PeerCall::Preempt(_) | PeerCall::Probe(_) => {
            Dialect::default()
        }
    }
}

/// One node's network.
pub struct SimNet {
    world: Arc<World>,
    node: String,
    life: u64,
}

impl SimNet {
    /// The network of one process of a controller.
    pub fn new(world: &Arc<World>, node: &str, life: u64) -> Self {
        Self {
            world: world.clone(),
            node: node.to_owned(),
            life,
        }
    }

    /// The network of the process that the controller runs now.
    pub fn of_living(world: &Arc<World>, node: &str) -> Option<Self> {
        let (_, life) = world.router(node)?;
        Some(Self::new(world, node, life))
    }

    async fn execute(world: &Arc<World>, node: &str, call: &Call) -> (u16, Value) {
        let method = match call.method {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        };
        match call.address.as_str() {
            "state" => {
                let slow = *world.slow.lock().expect("slow");
                if !slow.is_zero() {
                    tokio::time::sleep(slow.mul_f64(chance::share(0.1, 1.0))).await;
                }
                world
                    .state
                    .handle(node, method, &call.path, &call.body)
                    .await
            }
            "cloud" => world.serve_cloud(method, &call.path, &call.body).await,
            machine => match world.machine(machine) {
                Some(machine) => machine.handle(world, &call.path, &call.body).await,
                None => futures::future::pending().await,
            },
        }
    }

    fn tags(&self, address: &str) -> Vec<String> {
        match self.world.machine(address) {
            Some(machine) => machine.tags(),
            None => vec![address.to_owned()],
        }
    }

    pub async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let here = self.world.node_tags(&self.node);
        let there = self.tags(&call.address);
        tokio::time::sleep(chance::millis(1, 5)).await;
        if !self.world.is_alive(&self.node, self.life) {
            return futures::future::pending().await;
        }
        if let Some(cut) = self.world.cut(&here, &there) {
            if cut.hold {
                // Delivered once the cut is over, whoever has given up by then.
                let (world, node) = (self.world.clone(), self.node.clone());
                tokio::spawn(async move {
                    while world.cut(&here, &there).is_some() {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    Self::execute(&world, &node, &call).await;
                });
            }
            return futures::future::pending().await;
        }
        if call.path == "/orders"
            && let Some(pause) = self.world.troubles.order_delay()
        {
            let (world, node) = (self.world.clone(), self.node.clone());
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                Self::execute(&world, &node, &call).await;
            });
            return futures::future::pending().await;
        }
        let (share, late) = *self.world.late.lock().expect("late");
        if call.path == "/commit" && chance::share(0.0, 1.0) < share {
            let (world, node) = (self.world.clone(), self.node.clone());
            let pause = late.mul_f64(chance::share(0.0, 1.0));
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                Self::execute(&world, &node, &call).await;
            });
            return futures::future::pending().await;
        }
        let (status, value) = Self::execute(&self.world, &self.node, &call).await;
        tokio::time::sleep(chance::millis(1, 5)).await;
        let lossy = *self.world.lossy.lock().expect("lossy");
        let lost = call.address == "state"
            && !call.path.starts_with("/follow")
            && chance::share(0.0, 1.0) < lossy;
        if lost || self.world.cut(&here, &there).is_some() {
            return futures::future::pending().await;
        }
        Ok(Reply {
            status,
            body: Bytes::from(value.to_string()),
        })
    }
}

impl Network for SimNet {
    fn http(&self, call: Call) -> BoxFuture<'_, Result<Reply, SendError>> {
        async move {
            self.world.thawed(&self.node).await;
            let timeout = call.timeout;
            let sending = self.send(call);
            tokio::pin!(sending);
            let mut answer = tokio::time::timeout(timeout, sending.as_mut()).await;
            if self.world.is_frozen(&self.node) {
                // Answer and timeout are found together when it goes on; the answer
                // is looked at first.
                self.world.thawed(&self.node).await;
                if answer.is_err() {
                    let at_once = Duration::from_millis(1);
                    answer = tokio::time::timeout(at_once, sending.as_mut()).await;
                }
            }
            answer.unwrap_or_else(|_| Err(SendError::NoAnswer("timed out".into())))
        }
        .boxed()
    }

    fn frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>> {
        async move {
            let exchange = async {
                tokio::time::sleep(chance::millis(1, 3)).await;
                self.world.thawed(&self.node).await;
                self.world.thawed(address).await;
                let here = self.world.node_tags(&self.node);
                let there = self.world.node_tags(address);
                if self.world.cut(&here, &there).is_some()
                    || !self.world.is_alive(&self.node, self.life)
                {
                    return futures::future::pending().await;
                }
                let node = {
                    let nodes = self.world.nodes.lock().expect("nodes");
                    nodes
                        .get(address)
                        .and_then(|slot| slot.running.as_ref())
                        .map(|running| running.node.clone())
                };
                let Some(node) = node else {
                    return Err(SendError::NotSent("refused".into()));
                };
                let call = peers::read_call(&frame).expect("a call");
                let reads = self.world.dialect_of(address);
                if reads < needed(&call) {
                    if needed(&call) == Dialect::QUOTA_TRANSFERS {
                        self.world.see(Event::Unreadable(address.to_owned()));
                    }
                    return Err(SendError::NoAnswer("closed".into()));
                }
                let answer = links::answer(&node, &frame).await;
                tokio::time::sleep(chance::millis(1, 3)).await;
                answer.ok_or_else(|| SendError::NoAnswer("closed".into()))
            };
            tokio::time::timeout(timeout, exchange)
                .await
                .unwrap_or_else(|_| Err(SendError::NoAnswer("timed out".into())))
        }
        .boxed()
    }
}
