//! Stops array tasks for replicas of the highest priority.

use crate::{
    coordination::{
        leader::routing::{PREEMPTING_REPLICAS_PER_PASS, QueuedJob, RoutingPass, RoutingResult},
        policy::placement,
    },
    storage::{AMOUNT_SLACK, JobKind, MachineId, Priority, Resources, TaskId},
};

impl RoutingPass<'_> {
    /// A replica of the highest priority whose team is at its limit: the team's
    /// own youngest array tasks of lower priority make way.
    pub(super) fn preempt_for_quota(
        &mut self,
        queued: &QueuedJob<'_>,
        task: u32,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, .. } = queued;
        let key = TaskId::new((*id).clone(), task);
        if spec.kind != JobKind::Service
            || spec.priority != Priority::Production
            || self.pending_preemptions.contains_key(&key)
            || result.preempting_replicas >= PREEMPTING_REPLICAS_PER_PASS
        {
            return;
        }
        result.preempting_replicas += 1;
        let mut victims: Vec<(Priority, u64, &TaskId, &MachineId, f64)> = Vec::new();
        for (machine, load) in &self.cache.on_machine {
            if !load.teams.iter().any(|(team, _)| *team == spec.team) {
                continue;
            }
            for (task, placed) in &load.tasks {
                let Some(other) = &placed.spec else { continue };
                if other.team == spec.team
                    && other.kind == JobKind::Array
                    && other.priority < spec.priority
                    && !self.cache.pending_cleanup.contains(&task.job)
                    && !self.pending_preemptions.contains_key(task)
                {
                    let age = u64::MAX - other.accepted_ms;
                    let cpus = other.per_task.cpus;
                    victims.push((other.priority, age, task, machine, cpus));
                }
            }
        }
        victims.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
        let mut missing = spec.per_task.cpus;
        let mut chosen = Vec::new();
        for (_, _, task, machine, cpus) in victims {
            if missing <= AMOUNT_SLACK {
                break;
            }
            missing -= cpus;
            if let Some((_, entry)) = self.cache.shard_of(machine) {
                chosen.push((entry.value.controller.clone(), task.clone()));
            }
        }
        if missing > AMOUNT_SLACK {
            return;
        }
        tracing::debug!(job = %id, task, team = %spec.team, victims = chosen.len(),
            "preempting for quota");
        self.pending_preemptions.insert(key, self.now);
        for (controller, victim) in chosen {
            self.pending_preemptions.insert(victim.clone(), self.now);
            result.preempt.entry(controller).or_default().push(victim);
        }
    }

    /// Finds array tasks to stop for a replica of the highest priority that has
    /// no room. One machine is cleared, with the fewest and youngest victims.
    /// True: room is on its way.
    pub(super) fn preempt_for_capacity(
        &mut self,
        queued: &QueuedJob<'_>,
        task: u32,
        result: &mut RoutingResult,
    ) -> bool {
        let QueuedJob { id, spec, .. } = queued;
        let key = TaskId::new((*id).clone(), task);
        if self.pending_preemptions.contains_key(&key) {
            return true;
        }
        if spec.kind != JobKind::Service
            || spec.priority != Priority::Production
            || result.preempting_replicas >= PREEMPTING_REPLICAS_PER_PASS
        {
            return false;
        }
        result.preempting_replicas += 1;
        let parts = self.constrained_parts(queued, std::slice::from_ref(&task));
        let constraint = parts.into_iter().map(|(_, constraint)| constraint).next();
        let constraint = constraint.unwrap_or_default();
        let mut best: Option<(usize, bool, u64, usize, Vec<TaskId>)> = None;
        for (at, candidate) in self.free_capacity.candidates.iter().enumerate() {
            if !placement::allowed(spec, candidate)
                || candidate.leaves_in.is_some()
                || !constraint.admits(&candidate.zone)
                || best.as_ref().is_some_and(|b| b.0 == 1 && !b.1)
            {
                continue;
            }
            let mut victims: Vec<(Priority, u64, TaskId, Resources)> = self
                .cache
                .on_machine
                .get(&candidate.machine)
                .iter()
                .flat_map(|load| &load.tasks)
                .filter_map(|(task, placed)| {
                    let other = placed.spec.as_ref()?;
                    (other.kind == JobKind::Array
                        && !self.cache.pending_cleanup.contains(&task.job)
                        && other.priority < spec.priority
                        && !self.pending_preemptions.contains_key(task))
                    .then(|| {
                        let age = u64::MAX - other.accepted_ms;
                        (other.priority, age, task.clone(), other.per_task)
                    })
                })
                .collect();
            victims.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
            let mut room = candidate.room;
            let mut chosen = Vec::new();
            let mut youngest = u64::MAX;
            for (_, age, victim, size) in victims {
                if spec.per_task.fits_in(&room) {
                    break;
                }
                room += size;
                youngest = youngest.min(age);
                chosen.push(victim);
            }
            if chosen.is_empty() || !spec.per_task.fits_in(&room) {
                continue;
            }
            let cold = !candidate.images.contains(&spec.image);
            let better = best
                .as_ref()
                .is_none_or(|b| (chosen.len(), cold, youngest) < (b.0, b.1, b.2));
            if better {
                best = Some((chosen.len(), cold, youngest, at, chosen));
            }
        }
        let Some((_, _, _, at, chosen)) = best else {
            return false;
        };
        self.pending_preemptions.insert(key, self.now);
        for victim in &chosen {
            self.pending_preemptions.insert(victim.clone(), self.now);
        }
        let candidate = &self.free_capacity.candidates[at];
        // What is freed belongs to the waiting task; the rest is small.
        tracing::debug!(job = %id, task, machine = %candidate.machine, victims = chosen.len(),
            "preempting for capacity");
        result
            .preempt
            .entry(self.free_capacity.controllers[candidate.owner].clone())
            .or_default()
            .extend(chosen);
        true
    }
}
