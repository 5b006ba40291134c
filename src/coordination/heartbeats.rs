//! Responds to agents' heartbeats, or redirects them to the controller that owns the machine.

use std::sync::Arc;

use crate::{
    coordination::{
        clients::{Heartbeat, HeartbeatResponse},
        context::Context,
        indirect_heartbeats::IndirectHeartbeats,
        owner::ShardOwner,
        peer_liveness::PeerLiveness,
    },
    storage::FencingToken,
};

/// Responds to heartbeats.
pub struct HeartbeatService {
    context: Arc<Context>,
    owner: Arc<ShardOwner>,
    liveness: Arc<PeerLiveness>,
    indirect_heartbeats: Arc<IndirectHeartbeats>,
}

impl HeartbeatService {
    /// Creates the service, which has no state of its own.
    pub(super) fn new(
        context: Arc<Context>,
        owner: Arc<ShardOwner>,
        liveness: Arc<PeerLiveness>,
        indirect_heartbeats: Arc<IndirectHeartbeats>,
    ) -> Self {
        Self {
            context,
            owner,
            liveness,
            indirect_heartbeats,
        }
    }

    /// Responds to a heartbeat. Only the process that owns the machine accepts it; the response
    /// renews the agent's lease.
    pub fn handle(&self, heartbeat: &Heartbeat) -> HeartbeatResponse {
        let context = &self.context;
        if !context.store.is_loaded() {
            return HeartbeatResponse::Unavailable;
        }
        let cache = context.store.cache();
        let Some((_, shard)) = cache.shard_of(&heartbeat.machine) else {
            drop(cache);
            self.note_indirect(heartbeat);
            return HeartbeatResponse::NotOwner(None);
        };
        let controller = shard.value.controller.clone();
        let owner = shard.value.owner;
        let token = FencingToken::from(shard.revision);
        if controller != context.config.name {
            let is_owner_alive = cache
                .controllers
                .get(&controller)
                .is_some_and(|entry| entry.value.incarnation == owner);
            drop(cache);
            self.note_indirect(heartbeat);
            return HeartbeatResponse::NotOwner(is_owner_alive.then_some(controller));
        }
        // Responds with `Unavailable` if this process has not taken the shard over from an earlier
        // process of the controller, if the cache is behind the token that the agent has seen, or
        // if the lease renewal window has passed. A response with status 200 would wrongly renew
        // the lease, or the agent would ignore it.
        if context.own_shard_of(&cache, &heartbeat.machine).is_none()
            || heartbeat.token > token
            || !self.may_renew_leases()
        {
            return HeartbeatResponse::Unavailable;
        }
        self.owner.accept_heartbeat(&cache, heartbeat, token)
    }

    /// Records the heartbeat of a machine that this controller does not own, for the leader.
    fn note_indirect(&self, heartbeat: &Heartbeat) {
        let max_machines = self.context.config.max_tracked_machines;
        self.indirect_heartbeats.note(heartbeat, max_machines);
    }

    /// Whether heartbeats may be answered with 200, which renews leases: only while this
    /// controller knows of every cancellation that is older than
    /// [`Config::lease_renewal_window`](crate::coordination::Config::lease_renewal_window).
    fn may_renew_leases(&self) -> bool {
        let window = self.context.config.lease_renewal_window();
        let confirmed_at = self.context.store.confirmed_at();
        confirmed_at
            .max(self.liveness.read_confirmed_at())
            .is_some_and(|confirmed_at| confirmed_at.elapsed() < window)
    }
}
