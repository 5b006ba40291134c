//! Places offered tasks on the owner's machines, by least estimated completion.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::{
    super::{
        policy::zone_constraint::{ZoneConstraint, ZoneScope},
        zone_usage,
    },
    OwnerState, ShardOwner,
    offered_jobs::{OfferedJob, depends_on_all_records, offered_jobs},
    planned_changes::{PlannedChanges, PlannedStart, RecordChange},
};
use crate::{
    coordination::{
        agent_state::AgentState,
        context::lock,
        policy::placement::{self, CandidateMachine},
    },
    storage::{
        JobId, JobKind, JobSpec, MachineId, Quota, ShardId, StateCache, TaskId, TeamName, ZoneName,
        client::CONDITIONS_PER_CHANGE,
        keys,
        records::AllocationRecord,
        state_cache::{Job, Versioned},
    },
};

/// What the owner's tasks use of a team's limit, and may use.
struct TeamQuotaUse {
    used: Quota,
    budget: Quota,
}

/// Room and quota that a round's placements have left.
#[derive(Clone)]
struct FreeResources {
    candidates: Vec<CandidateMachine>,
    used: BTreeMap<TeamName, Quota>,
}

/// Notes the quota that tasks without a place lack, if it is quota that they lack.
fn note_deficit(
    state: &mut OwnerState,
    allocation: &Versioned<AllocationRecord>,
    spec: &JobSpec,
    tasks: usize,
    free: &FreeResources,
) {
    let quota = Quota::from(&spec.per_task);
    let budget = allocation
        .value
        .budgets
        .get(&spec.team)
        .copied()
        .unwrap_or_default();
    let used = free.used.get(&spec.team).copied().unwrap_or_default();
    let is_gang = spec.kind == JobKind::Gang;
    let next = if is_gang {
        quota.times(tasks as f64)
    } else {
        quota
    };
    if tasks == 0 || budget.covers(&used.plus(&next)) {
        return;
    }
    let wanted = used.plus(&quota.times(tasks as f64));
    let deficit = state.deficit.entry(spec.team.clone()).or_default();
    *deficit = deficit.max(&wanted.minus(&budget).at_least_zero());
}

/// Where a task is to be placed.
struct ChosenMachine {
    task: u32,
    /// Index among the round's candidates.
    candidate: usize,
}

impl ShardOwner {
    /// Plans placements for the tasks that were offered, as far as room and quota last, and
    /// notes the quota that the others lack.
    pub(super) fn place_offers(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        allocation: &Versioned<AllocationRecord>,
        now: Instant,
        changes: &mut PlannedChanges,
    ) {
        state.offers.retain(|_, offer| offer.expires_at > now);
        state.deficit.clear();
        if state.offers.is_empty() {
            return;
        }
        // Also those that are still leased to the process before us: their tasks go on, and
        // our budgets count them. By our own shards alone, a restarted process used what
        // was in use already.
        let machines = cache.machines_of(&self.context.config.name);
        let mut free = FreeResources {
            candidates: self.candidates(state, cache, now),
            used: cache.quota_used(machines),
        };
        for offered in offered_jobs(state, cache) {
            let mut tasks = offered.unplaced(state, changes);
            if state.failing.is_on_probation(offered.id, now) {
                tasks.truncate(usize::from(offered.job.present() == 0));
            }
            if offered.spec.kind == JobKind::Gang && (tasks.is_empty() || !offered.job.may_join()) {
                continue;
            }
            let chosen = self.place_job(state, cache, allocation, &offered, &tasks, &mut free);
            let unplaced = tasks.len() - chosen.len();
            note_deficit(state, allocation, offered.spec, unplaced, &free);
            self.note_placements(state, cache, &offered, chosen, &free.candidates, changes);
        }
    }

    /// Machines for the tasks of one job that was offered, as far as room and quota last;
    /// for those of a gang all or none.
    fn place_job(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        allocation: &Versioned<AllocationRecord>,
        offered: &OfferedJob<'_>,
        tasks: &[u32],
        free: &mut FreeResources,
    ) -> Vec<ChosenMachine> {
        let OfferedJob { spec, job, .. } = *offered;
        let scope = ZoneScope::of(spec, self.context.config.state.txn_ops);
        if zone_usage::needs_zone_assignment(spec, scope) {
            return Vec::new();
        }
        let gang = spec.kind == JobKind::Gang;
        let before = gang.then(|| free.clone());
        let budgets = &allocation.value.budgets;
        let mut team = TeamQuotaUse {
            used: free.used.get(&spec.team).copied().unwrap_or_default(),
            budget: budgets.get(&spec.team).copied().unwrap_or_default(),
        };
        let mut chosen = Vec::with_capacity(tasks.len());
        for (tasks, constraint) in zone_usage::constrained_parts(cache, job, scope, tasks) {
            let candidates = &mut free.candidates;
            let part = if gang && spec.one_zone && constraint.is_open() {
                self.choose_zone(&state.agents, offered, tasks, candidates, &mut team)
            } else {
                self.choose_candidates(
                    &state.agents,
                    offered,
                    tasks,
                    candidates,
                    &mut team,
                    constraint,
                )
            };
            chosen.extend(part);
        }
        free.used.insert(spec.team.clone(), team.used);
        if let Some(before) = before
            && chosen.len() < tasks.len()
        {
            // A gang's part is placed whole or not at all.
            *free = before;
            return Vec::new();
        }
        chosen
    }

    /// Notes in the round's changes that these tasks are placed, and the starts that
    /// follow once that is committed.
    fn note_placements(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        offered: &OfferedJob<'_>,
        chosen: Vec<ChosenMachine>,
        candidates: &[CandidateMachine],
        changes: &mut PlannedChanges,
    ) {
        let OfferedJob { id, spec, job } = *offered;
        for ChosenMachine { task, candidate } in chosen {
            let machine = &candidates[candidate].machine;
            let (Some(agent), Some((shard, entry))) = (
                state.agents.get(machine),
                self.context.own_shard_of(cache, machine),
            ) else {
                continue;
            };
            let epoch = agent.epoch;
            let change = changes.of(id, job, task);
            if !self.has_condition_for(change, job, shard) {
                continue;
            }
            let attempt = match spec.kind {
                JobKind::Gang => job.gang_attempt(),
                JobKind::Array | JobKind::Service => change.record.next_attempt(task),
            };
            change.record.place(task, machine.clone(), epoch, attempt);
            change.places = true;
            change.fenced = true;
            change.shards.insert(shard, entry.revision);
            change.starts.push(PlannedStart {
                machine: machine.clone(),
                epoch,
                task: TaskId::new(id.clone(), task),
                attempt,
            });
        }
    }

    /// As [`Self::choose_candidates`] for a gang that is bound to one zone and has no task
    /// anywhere yet: the first zone that has room for all of them.
    fn choose_zone(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        offered: &OfferedJob<'_>,
        tasks: &[u32],
        candidates: &mut Vec<CandidateMachine>,
        team: &mut TeamQuotaUse,
    ) -> Vec<ChosenMachine> {
        let zones: BTreeSet<ZoneName> = candidates
            .iter()
            .map(|candidate| candidate.zone.clone())
            .collect();
        for zone in zones {
            let before = (candidates.clone(), team.used);
            let mut constraint = ZoneConstraint::of_job(offered.spec);
            constraint.confine(zone);
            let chosen =
                self.choose_candidates(agents, offered, tasks, candidates, team, constraint);
            if chosen.len() == tasks.len() {
                return chosen;
            }
            (*candidates, team.used) = before;
        }
        Vec::new()
    }

    /// Whether a transaction that writes this record can be conditional on one more
    /// shard, beside its allocation, spec, outcome and the job's records.
    pub(super) fn has_condition_for(
        &self,
        change: &RecordChange,
        job: &Job,
        shard: ShardId,
    ) -> bool {
        let changes = self.context.config.state.txn_ops;
        let records = match job.spec() {
            Some(spec) if depends_on_all_records(spec, changes) => spec.run_record_count() as usize,
            _ => 1,
        };
        let max_shards = (CONDITIONS_PER_CHANGE * changes).saturating_sub(3 + records);
        change.shards.contains_key(&shard) || change.shards.len() < max_shards.max(1)
    }

    /// A machine for each of the tasks, as far as room and budget last.
    fn choose_candidates(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        offered: &OfferedJob<'_>,
        tasks: &[u32],
        candidates: &mut [CandidateMachine],
        team: &mut TeamQuotaUse,
        mut constraint: ZoneConstraint,
    ) -> Vec<ChosenMachine> {
        let OfferedJob { id, spec, job } = *offered;
        let now = Instant::now();
        let factor = lock(&self.context.estimator).factor(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut admits = |candidate: &CandidateMachine| {
            let after = team.used.plus(&quota);
            let is_admitted = team.budget.covers(&after)
                && constraint.admits(&candidate.zone)
                && takes_job(agents, candidate, id, now);
            if is_admitted {
                team.used = after;
                constraint.add(&candidate.zone);
            }
            is_admitted
        };
        // A task that was placed before may still be listed by a machine, which
        // would refuse it: such tasks look at each machine by themselves.
        let (placed_before, fresh): (Vec<u32>, Vec<u32>) = tasks
            .iter()
            .partition(|task| was_placed_before(job, **task));
        let mut chosen = Vec::with_capacity(tasks.len());
        for task in placed_before {
            let task_id = TaskId::new(id.clone(), task);
            let candidate = placement::choose(spec, candidates, factor, |candidate| {
                !lists_task(agents, candidate, &task_id) && takes_job(agents, candidate, id, now)
            });
            if let Some(candidate) = candidate
                && admits(&candidates[candidate])
            {
                candidates[candidate].put(spec);
                chosen.push(ChosenMachine { task, candidate });
            }
        }
        let filled = placement::fill(spec, candidates, factor, fresh.len(), admits);
        let filled = fresh.into_iter().zip(filled);
        chosen.extend(filled.map(|(task, candidate)| ChosenMachine { task, candidate }));
        chosen
    }
}

/// Whether a task has, or had, an earlier placement.
fn was_placed_before(job: &Job, task: u32) -> bool {
    let entry = job.chunks.get(&(task / keys::CHUNK));
    entry.is_some_and(|entry| {
        entry.value.last_attempts.contains_key(&task) || entry.value.placed.contains_key(&task)
    })
}

/// Whether a machine's agent lists the task, with whatever attempt.
fn lists_task(
    agents: &BTreeMap<MachineId, AgentState>,
    candidate: &CandidateMachine,
    task: &TaskId,
) -> bool {
    agents
        .get(&candidate.machine)
        .is_some_and(|agent| agent.tasks.contains_key(task))
}

/// Whether a machine does not refuse the job's tasks for now.
fn takes_job(
    agents: &BTreeMap<MachineId, AgentState>,
    candidate: &CandidateMachine,
    job: &JobId,
    now: Instant,
) -> bool {
    agents
        .get(&candidate.machine)
        .is_some_and(|agent| !agent.refuses(job, now))
}
