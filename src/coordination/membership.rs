//! A controller's own grant: it shows that the process lives and carries its
//! claim to leadership. Both keys go when the grant does.

use std::time::Duration;

use super::{
    node::{Node, lock},
    ports::Dialect,
};
use crate::storage::{
    budget::Urgency,
    chance,
    client::GrantId,
    keys,
    records::{LeaderRecord, NodeRecord},
    *,
};

impl Node {
    /// Duty: keeps the grant, registers this process and stands for leadership.
    pub(super) async fn keep_session(&self) {
        let life = self.config.tuning.node_lease;
        let mut grant: Option<GrantId> = None;
        while !self.stop.is_cancelled() {
            let held = match grant {
                Some(held) => match self.store.renew(held).await {
                    Ok(()) => Some(held),
                    // It ended, and our keys with it.
                    Err(StateError::NoGrant) => {
                        tracing::info!("our grant has ended");
                        None
                    }
                    // Unknown: it may still live; try on.
                    Err(_) => Some(held),
                },
                None => None,
            };
            grant = match held {
                Some(held) => Some(held),
                None => self.register(life).await,
            };
            if grant.is_some() && self.is_unregistered() {
                // Whatever took our key away, it can only be had anew: without it
                // no block is leased to us.
                tracing::info!("our registration is gone; registering again");
                grant = None;
                continue;
            }
            if let Some(held) = grant
                && self.store.is_loaded()
            {
                self.stand_for_leader(held).await;
                // Elected by a commit whose answer was lost: only the cache tells.
                if self.is_leader().is_some() {
                    lock(&self.leader).take_grant(held);
                }
            }
            let living = self.store.cache().nodes.len();
            // The limits to come may hold from the time on when all can keep to them.
            let lowered = self.all_read(Dialect::GANGS);
            let leads = self.is_leader().is_some();
            self.store.share_limits(living, leads, lowered);
            let wait = if grant.is_some() { life / 5 } else { life / 20 };
            if !self.pause(wait.mul_f64(chance::share(0.8, 1.2))).await {
                return;
            }
        }
    }

    async fn register(&self, life: Duration) -> Option<GrantId> {
        let grant = self.store.grant(life).await.ok()?;
        let record = NodeRecord {
            incarnation: self.config.incarnation,
            zone: self.config.zone.clone(),
            dialect: self.config.dialect.0,
        };
        // Whatever the key says of an earlier process, that one is dead. On the
        // condition of the revision that it has now: a registration of that
        // process, or an earlier try of ours, that is applied late would put the
        // key under a grant that ends, and take it away with it.
        let key = keys::node(&self.config.node);
        let found = self.store.get(&key).await.ok()?;
        let mark = found.map_or(Revision(0), |item| item.revision);
        let transaction =
            Transaction::default()
                .require(key.clone(), mark)
                .set_with(key, &record, Some(grant));
        match self.store.commit(&transaction, Urgency::Fence).await {
            Ok(_) => {
                tracing::info!(incarnation = %self.config.incarnation, "registered");
                Some(grant)
            }
            Err(error) => {
                tracing::debug!(%error, "cannot register yet");
                None
            }
        }
    }

    /// The cache, which holds our own commits from their answer on, shows no
    /// registration of ours.
    fn is_unregistered(&self) -> bool {
        self.store.is_loaded()
            && self
                .store
                .cache()
                .nodes
                .get(&self.config.node)
                .is_none_or(|kept| kept.value.incarnation != self.config.incarnation)
    }

    async fn stand_for_leader(&self, grant: GrantId) {
        let expected = {
            let cache = self.store.cache();
            match &cache.leader {
                None => Revision(0),
                // Left by an earlier process of this node, which is dead.
                Some(kept)
                    if kept.value.node == self.config.node
                        && kept.value.incarnation != self.config.incarnation =>
                {
                    kept.revision
                }
                Some(_) => return,
            }
        };
        let record = LeaderRecord {
            node: self.config.node.clone(),
            incarnation: self.config.incarnation,
        };
        let transaction = Transaction::default()
            .require(keys::LEADER.into(), expected)
            .set_with(keys::LEADER.into(), &record, Some(grant));
        match self.store.commit(&transaction, Urgency::Fence).await {
            Ok(mark) => {
                tracing::info!(%mark, "this node leads now");
                lock(&self.leader).reset(mark, grant);
                self.leader_kick.notify_one();
            }
            Err(error) => tracing::debug!(%error, "not elected"),
        }
    }
}
