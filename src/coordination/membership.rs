//! A controller's membership: the lease that shows that the process lives and carries its
//! claim to leadership. Both keys go when the lease does.

use std::{sync::Arc, time::Duration};

use super::{clients::ProtocolVersion, context::Context, leader::Leader};
use crate::storage::{
    Revision, StateError, Transaction,
    client::LeaseId,
    jitter, keys,
    rate_limiter::RequestPriority,
    records::{ControllerRecord, LeaderRecord},
};

/// How often the lease is renewed while it lasts.
const RENEWALS_PER_LEASE: u32 = 5;
/// How often registration is tried in the time of a lease.
const REGISTRATIONS_PER_LEASE: u32 = 20;
/// Bounds of the factor on the pauses, so that controllers do not act in step.
const MIN_JITTER: f64 = 0.8;
const MAX_JITTER: f64 = 1.2;

/// The duty that keeps this process a member of the cluster, and stands for leadership.
pub(super) struct Membership {
    context: Arc<Context>,
    leader: Arc<Leader>,
}

impl Membership {
    /// Not a member yet.
    pub(super) fn new(context: Arc<Context>, leader: Arc<Leader>) -> Self {
        Self { context, leader }
    }

    /// Duty: renews the lease, registers this process and stands for leadership.
    pub(super) async fn run(&self) {
        let ttl = self.context.config.tuning.controller_lease;
        let mut lease: Option<LeaseId> = None;
        while !self.context.shutdown.is_cancelled() {
            lease = match self.renew(lease).await {
                Some(current) => Some(current),
                None => self.register(ttl).await,
            };
            if lease.is_some() && self.is_unregistered() {
                // Whatever took our key away, it can only be had anew: without it
                // no shard is leased to us.
                tracing::info!("registration lost; registering again");
                lease = None;
                continue;
            }
            if let Some(current) = lease
                && self.context.store.is_loaded()
            {
                self.campaign(current).await;
                // Elected by a commit whose answer was lost: only the cache tells.
                if self.context.leadership().is_some() {
                    self.leader.adopt_lease(current);
                }
            }
            self.share_limits();
            let interval = if lease.is_some() {
                ttl / RENEWALS_PER_LEASE
            } else {
                ttl / REGISTRATIONS_PER_LEASE
            };
            let jittered = interval.mul_f64(jitter::uniform(MIN_JITTER, MAX_JITTER));
            if !self.context.pause(jittered).await {
                return;
            }
        }
    }

    /// The lease after an attempt to renew it; none: there is none, or it has expired.
    async fn renew(&self, lease: Option<LeaseId>) -> Option<LeaseId> {
        let current = lease?;
        match self.context.store.renew_lease(current).await {
            Ok(()) => Some(current),
            // It ended, and our keys with it.
            Err(StateError::LeaseExpired) => {
                tracing::info!("lease expired");
                None
            }
            // Unknown: it may still live; try on.
            Err(_) => Some(current),
        }
    }

    /// Takes our part of the state service's limits, by how many controllers live.
    fn share_limits(&self) {
        let living = self.context.store.cache().controllers.len();
        // The limits to come may hold from the time on when all can keep to them.
        let lowered = self.context.all_support(ProtocolVersion::GANGS);
        let leads = self.context.leadership().is_some();
        self.context.store.share_limits(living, leads, lowered);
    }

    /// Has a lease granted and registers this process under it; none: not possible yet.
    async fn register(&self, ttl: Duration) -> Option<LeaseId> {
        let lease = self.context.store.grant_lease(ttl).await.ok()?;
        let record = ControllerRecord {
            incarnation: self.context.config.incarnation,
            zone: self.context.config.zone.clone(),
            protocol_version: self.context.config.protocol_version.0,
        };
        // Whatever the key says of an earlier process, that one is dead. On the
        // condition of the revision that it has now: a registration of that
        // process, or an earlier try of ours, that is applied late would put the
        // key under a lease that ends, and take it away with it.
        let key = keys::controller(&self.context.config.name);
        let found = self.context.store.get(&key).await.ok()?;
        let revision = found.map_or(Revision(0), |item| item.revision);
        let transaction = Transaction::default()
            .require(key.clone(), revision)
            .set_with_lease(key, &record, Some(lease));
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::Fencing)
            .await
        {
            Ok(_) => {
                tracing::info!(incarnation = %self.context.config.incarnation, "controller registered");
                Some(lease)
            }
            Err(error) => {
                tracing::debug!(%error, "cannot register the controller yet");
                None
            }
        }
    }

    /// The cache, which holds our own commits from their answer on, shows no
    /// registration of ours.
    fn is_unregistered(&self) -> bool {
        self.context.store.is_loaded()
            && self
                .context
                .store
                .cache()
                .controllers
                .get(&self.context.config.name)
                .is_none_or(|entry| entry.value.incarnation != self.context.config.incarnation)
    }

    /// Claims leadership, if there is no leader.
    async fn campaign(&self, lease: LeaseId) {
        let expected = {
            let cache = self.context.store.cache();
            match &cache.leader {
                None => Revision(0),
                // Left by an earlier process of this controller, which is dead.
                Some(entry)
                    if entry.value.controller == self.context.config.name
                        && entry.value.incarnation != self.context.config.incarnation =>
                {
                    entry.revision
                }
                Some(_) => return,
            }
        };
        let record = LeaderRecord {
            controller: self.context.config.name.clone(),
            incarnation: self.context.config.incarnation,
        };
        let transaction = Transaction::default()
            .require(keys::LEADER.into(), expected)
            .set_with_lease(keys::LEADER.into(), &record, Some(lease));
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::Fencing)
            .await
        {
            Ok(revision) => {
                tracing::info!(%revision, "leader elected");
                self.leader.reset(lease);
                self.context.leader_wakeup.notify_one();
            }
            Err(error) => tracing::debug!(%error, "leader election lost"),
        }
    }
}
