//! A controller's membership in the cluster: a lease that shows that the process is alive. The
//! controller's registration and leader record are attached to the lease, so the state service
//! deletes both when it expires.

use std::{sync::Arc, time::Duration};

use super::{clients::ProtocolVersion, context::Context, leader::Leader};
use crate::storage::{
    Revision, StateError, Transaction,
    client::LeaseId,
    jitter, keys,
    rate_limiter::RequestPriority,
    records::{ControllerRecord, LeaderRecord},
};

/// Number of lease renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 5;
/// Number of registration attempts within the duration of a lease.
const REGISTRATIONS_PER_LEASE: u32 = 20;
/// Bounds of the random factor on the intervals, which keeps controllers from acting in step.
const MIN_INTERVAL_FACTOR: f64 = 0.8;
const MAX_INTERVAL_FACTOR: f64 = 1.2;

/// Keeps this process registered and runs for leadership.
pub(super) struct Membership {
    context: Arc<Context>,
    leader: Arc<Leader>,
}

impl Membership {
    pub(super) fn new(context: Arc<Context>, leader: Arc<Leader>) -> Self {
        Self { context, leader }
    }

    /// Background task: renews the lease, registers this process and runs for leadership.
    pub(super) async fn run(&self) {
        let ttl = self.context.config.tuning.controller_lease;
        let mut lease: Option<LeaseId> = None;
        while !self.context.shutdown.is_cancelled() {
            lease = match self.renew(lease).await {
                Some(current) => Some(current),
                None => self.register(ttl).await,
            };
            if lease.is_some() && self.is_unregistered() {
                // The key was deleted although the lease may still be valid. Without it no
                // shard is leased to this process, so it registers again with a new lease.
                tracing::info!("registration lost; registering again");
                lease = None;
                continue;
            }
            if let Some(current) = lease
                && self.context.store.is_loaded()
            {
                self.campaign(current).await;
                // If the response to the commit was lost, only the cache shows the election.
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
            let jittered =
                interval.mul_f64(jitter::uniform(MIN_INTERVAL_FACTOR, MAX_INTERVAL_FACTOR));
            if !self.context.sleep_unless_stopped(jittered).await {
                return;
            }
        }
    }

    /// Renews the lease. Returns none if there is no lease or it has expired.
    async fn renew(&self, lease: Option<LeaseId>) -> Option<LeaseId> {
        let current = lease?;
        match self.context.store.renew_lease(current).await {
            Ok(()) => Some(current),
            // The state service has deleted the keys of this process with the lease.
            Err(StateError::LeaseExpired) => {
                tracing::info!("lease expired");
                None
            }
            // The lease may still be valid: renew it again.
            Err(_) => Some(current),
        }
    }

    /// Sets this process's share of the state service's limits, by the number of registered
    /// controllers.
    fn share_limits(&self) {
        let controllers = self.context.store.cache().controllers.len();
        // The lower limits that are announced for later may take effect as soon as all
        // controllers support them.
        let announced_limits_apply = self.context.all_controllers_support(ProtocolVersion::GANGS);
        let leads = self.context.leadership().is_some();
        self.context
            .store
            .share_limits(controllers, leads, announced_limits_apply);
    }

    /// Obtains a lease and registers this process under it. Returns none if that fails.
    async fn register(&self, ttl: Duration) -> Option<LeaseId> {
        let lease = self.context.store.grant_lease(ttl).await.ok()?;
        let record = ControllerRecord {
            incarnation: self.context.config.incarnation,
            zone: self.context.config.zone.clone(),
            protocol_version: self.context.config.protocol_version.0,
        };
        // A registration that the key holds is of an earlier process of this controller, which
        // has ended, so it may be overwritten. The commit requires the revision just read:
        // otherwise a late commit of that process, or of an earlier attempt of this one, could
        // attach the key to a lease that expires, and the key would be deleted with it.
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
                tracing::debug!(%error, "controller registration failed");
                None
            }
        }
    }

    /// Whether the cache shows no registration of this process. The cache contains this
    /// process's own commits from their response on.
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

    /// Claims leadership if there is no leader, or if the leader record is of an earlier process
    /// of this controller.
    async fn campaign(&self, lease: LeaseId) {
        let expected = {
            let cache = self.context.store.cache();
            match &cache.leader {
                None => Revision(0),
                // Written by an earlier process of this controller, which has ended.
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
