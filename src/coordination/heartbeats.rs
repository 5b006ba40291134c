//! Answers agents' heartbeats, or says which controller owns the machine.

use std::sync::Arc;

use crate::{
    coordination::{
        clients::{Heartbeat, HeartbeatResponse},
        context::Context,
        indirect_heartbeats::IndirectHeartbeats,
        owner::ShardOwner,
        peer_liveness::PeerLiveness,
    },
    storage::Token,
};

/// The duty that answers heartbeats.
pub struct HeartbeatService {
    context: Arc<Context>,
    owner: Arc<ShardOwner>,
    liveness: Arc<PeerLiveness>,
    indirect_heartbeats: Arc<IndirectHeartbeats>,
}

impl HeartbeatService {
    /// The duty, which keeps nothing of its own.
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

    /// Answers a heartbeat. Only the process that owns the machine accepts it, which renews
    /// the agent's lease.
    pub fn handle(&self, heartbeat: &Heartbeat) -> HeartbeatResponse {
        let context = &self.context;
        if !context.store.is_loaded() {
            return HeartbeatResponse::Unavailable;
        }
        let cache = context.store.cache();
        let Some((_, shard)) = cache.shard_of(&heartbeat.machine) else {
            drop(cache);
            self.note_indirect(heartbeat);
            return HeartbeatResponse::NotHere(None);
        };
        let controller = shard.value.controller.clone();
        let owner = shard.value.owner;
        let token = Token::from(shard.revision);
        if controller != context.config.name {
            let is_owner_alive = cache
                .controllers
                .get(&controller)
                .is_some_and(|entry| entry.value.incarnation == owner);
            drop(cache);
            self.note_indirect(heartbeat);
            return HeartbeatResponse::NotHere(is_owner_alive.then_some(controller));
        }
        // Another process owned the shard, our state of it is behind, or our
        // right to renew leases has run out: a 200 would be wrong or dropped.
        if context.own_shard_of(&cache, &heartbeat.machine).is_none()
            || heartbeat.token > token
            || !self.may_renew_leases()
        {
            return HeartbeatResponse::Unavailable;
        }
        self.owner.accept_heartbeat(&cache, heartbeat, token)
    }

    /// Keeps a heartbeat that another controller should have had, for the leader.
    fn note_indirect(&self, heartbeat: &Heartbeat) {
        let max_machines = self.context.config.machines_tracked;
        self.indirect_heartbeats.note(heartbeat, max_machines);
    }

    /// Whether heartbeats may be answered with 200, which renews leases: only
    /// while no cancellation can be older than `Config::lease_renewal_window` unknown to us.
    fn may_renew_leases(&self) -> bool {
        let window = self.context.config.lease_renewal_window();
        let confirmed_at = self.context.store.confirmed_at();
        confirmed_at
            .max(self.liveness.read_confirmed_at())
            .is_some_and(|confirmed_at| confirmed_at.elapsed() < window)
    }
}
