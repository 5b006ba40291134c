//! Places tasks of jobs that are bound to zones.

use std::collections::BTreeMap;

use super::quota::Used;

use crate::{
    coordination::{
        leader::routing::{Candidate, HomeChange, Routed, Routing},
        policy::{
            placement,
            zones::{ZoneConstraint, ZoneScope},
        },
        zones,
    },
    storage::{JobKind, JobSpec, Quota, ZoneName, keys},
};

impl Routing<'_> {
    /// Chooses the zone of a job of many records that must be in one zone, or has it
    /// chosen anew when its zone has no room while another has. True: nothing of it is
    /// placed in this pass.
    pub(super) fn awaits_home(
        &self,
        candidate: &Candidate<'_>,
        tasks: usize,
        routed: &mut Routed,
    ) -> bool {
        let Candidate { id, spec, job, .. } = candidate;
        if !spec.one_zone || self.scope(spec) == ZoneScope::WholeJob {
            return false;
        }
        let needed = if spec.kind == JobKind::Gang { tasks } else { 1 };
        let room = self.room_by_zone(spec);
        let best = room.iter().max_by_key(|(_, room)| **room);
        let roomy = best
            .filter(|(_, room)| **room >= needed)
            .map(|(zone, _)| zone);
        let change = |zone| HomeChange {
            job: (*id).clone(),
            zone,
        };
        match &spec.home {
            None => {
                let settled = zones::of_job(self.cache, job).settled_zone().cloned();
                if let Some(zone) = settled.or(roomy.cloned()) {
                    routed.homes.push(change(Some(zone)));
                }
                true
            }
            Some(home) => {
                let nowhere = job.present() == 0 && !self.offered.contains_key(*id);
                let has_room = room.get(home).is_some_and(|room| *room >= needed);
                let moves = nowhere && !has_room && roomy.is_some();
                if moves {
                    routed.homes.push(change(None));
                }
                moves
            }
        }
    }

    /// Tasks of the job that fit in each zone that it allows, wherever it is confined to.
    pub(super) fn room_by_zone(&self, spec: &JobSpec) -> BTreeMap<ZoneName, usize> {
        let anywhere = JobSpec {
            home: None,
            ..spec.clone()
        };
        let mut room: BTreeMap<ZoneName, usize> = BTreeMap::new();
        for slot in &self.open.slots {
            if placement::allowed(&anywhere, slot) {
                let fit = spec.per_task.count_in(&slot.room) as usize;
                *room.entry(slot.zone.clone()).or_default() += fit;
            }
        }
        room
    }

    pub(super) fn scope(&self, spec: &JobSpec) -> ZoneScope {
        ZoneScope::of(spec, self.changes_per_transaction)
    }

    /// The zone constraint for the next task of a job; those under way are as good as
    /// there.
    pub(super) fn constraint(&self, candidate: &Candidate<'_>) -> ZoneConstraint {
        let mut constraint = zones::of_job(self.cache, candidate.job);
        self.count_offered(candidate, &mut constraint, |_| true);
        constraint
    }

    /// The tasks in parts that share a zone constraint.
    pub(super) fn constrained_parts<'t>(
        &self,
        candidate: &Candidate<'_>,
        tasks: &'t [u32],
    ) -> Vec<zones::ConstrainedPart<'t>> {
        let scope = self.scope(candidate.spec);
        let mut parts = zones::constrained_parts(self.cache, candidate.job, scope, tasks);
        for (part, constraint) in &mut parts {
            let record = part.first().map_or(0, |task| task / keys::CHUNK);
            self.count_offered(candidate, constraint, |task| {
                scope == ZoneScope::WholeJob || task / keys::CHUNK == record
            });
        }
        parts
    }

    pub(super) fn count_offered(
        &self,
        candidate: &Candidate<'_>,
        constraint: &mut ZoneConstraint,
        counts: impl Fn(u32) -> bool,
    ) {
        if !candidate.spec.is_zone_bound() {
            return;
        }
        let under_way = self.offered.get(candidate.id);
        for (task, offered) in under_way.into_iter().flatten() {
            if let Some(record) = self.cache.machines.get(&offered.machine)
                && counts(*task)
            {
                constraint.add(&record.zone);
            }
        }
    }

    /// Tasks that are bound to zones, or to each other's: by least estimated
    /// completion over all holders.
    pub(super) fn place_bound(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
    ) -> Vec<(u32, usize)> {
        let spec = candidate.spec;
        let mut budgets: Vec<usize> = (0..self.open.nodes.len())
            .map(|group| self.budget_left(group, spec, used))
            .collect();
        let factor = (self.factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        for (part, mut constraint) in self.constrained_parts(candidate, tasks) {
            let slots = &mut self.open.slots;
            let chosen = placement::fill(spec, slots, factor, part.len(), |slot| {
                let admitted = constraint.admits(&slot.zone) && budgets[slot.group] > 0;
                if admitted {
                    budgets[slot.group] -= 1;
                    constraint.add(&slot.zone);
                    used.add(slot.group, &spec.team, &quota);
                }
                admitted
            });
            placed.extend(part.iter().copied().zip(chosen));
        }
        placed
    }
}
