//! Places offered tasks on the owner's machines, preferring the earliest estimated completion.

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

/// The quota of one team that the owner's tasks use, and the budget that they may use.
struct TeamQuotaUse {
    used: Quota,
    budget: Quota,
}

/// The candidates' free resources and the quota in use, updated with each placement of the
/// round.
#[derive(Clone)]
struct FreeResources {
    candidates: Vec<CandidateMachine>,
    used: BTreeMap<TeamName, Quota>,
}

/// Notes the quota that is missing for a job's unplaced tasks. Notes nothing if the budget
/// covers the next task, or the whole gang: these tasks lack machines, not quota.
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
    let next_quota = if is_gang {
        quota.times(tasks as f64)
    } else {
        quota
    };
    if tasks == 0 || budget.covers(&used.plus(&next_quota)) {
        return;
    }
    let needed = used.plus(&quota.times(tasks as f64));
    let deficit = state.deficit.entry(spec.team.clone()).or_default();
    *deficit = deficit.max(&needed.minus(&budget).at_least_zero());
}

/// The machine on which a task is to be placed.
struct ChosenMachine {
    task: u32,
    /// Index among the round's candidates.
    candidate: usize,
}

impl ShardOwner {
    /// Plans placements for the offered tasks, as far as free resources and quota suffice, and
    /// notes the quota that is missing for the others.
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
        // Includes machines that are still leased to this controller's previous process: their
        // tasks keep running, and the budgets cover them. When only the process's own shards
        // were counted, a restarted controller spent quota that was already in use.
        let machines = cache.machines_of(&self.context.config.name);
        let mut free = FreeResources {
            candidates: self.candidates(state, cache, now),
            used: cache.quota_used(machines),
        };
        for offered_job in offered_jobs(state, cache) {
            let mut tasks = offered_job.unplaced(state, changes);
            if state.failing.is_on_probation(offered_job.id, now) {
                tasks.truncate(usize::from(offered_job.job.present_tasks() == 0));
            }
            if offered_job.spec.kind == JobKind::Gang
                && (tasks.is_empty() || !offered_job.job.can_place_waiting_gang_tasks())
            {
                continue;
            }
            let chosen = self.place_job(state, cache, allocation, &offered_job, &tasks, &mut free);
            let unplaced = tasks.len() - chosen.len();
            note_deficit(state, allocation, offered_job.spec, unplaced, &free);
            self.note_placements(
                state,
                cache,
                &offered_job,
                chosen,
                &free.candidates,
                changes,
            );
        }
    }

    /// Chooses machines for the offered tasks of one job, as far as free resources and quota
    /// suffice. For a gang it chooses machines for all of the tasks or for none.
    fn place_job(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        allocation: &Versioned<AllocationRecord>,
        offered_job: &OfferedJob<'_>,
        tasks: &[u32],
        free: &mut FreeResources,
    ) -> Vec<ChosenMachine> {
        let OfferedJob { spec, job, .. } = *offered_job;
        let scope = ZoneScope::of(spec, self.context.config.state_limits.txn_ops);
        if zone_usage::needs_zone_assignment(spec, scope) {
            return Vec::new();
        }
        let is_gang = spec.kind == JobKind::Gang;
        let initial = is_gang.then(|| free.clone());
        let budgets = &allocation.value.budgets;
        let mut team = TeamQuotaUse {
            used: free.used.get(&spec.team).copied().unwrap_or_default(),
            budget: budgets.get(&spec.team).copied().unwrap_or_default(),
        };
        let mut chosen = Vec::with_capacity(tasks.len());
        for (tasks, constraint) in zone_usage::constrained_parts(cache, job, scope, tasks) {
            let candidates = &mut free.candidates;
            let part = if is_gang && spec.one_zone && constraint.has_no_zone() {
                self.choose_zone(&state.agents, offered_job, tasks, candidates, &mut team)
            } else {
                self.choose_candidates(
                    &state.agents,
                    offered_job,
                    tasks,
                    candidates,
                    &mut team,
                    constraint,
                )
            };
            chosen.extend(part);
        }
        free.used.insert(spec.team.clone(), team.used);
        if let Some(initial) = initial
            && chosen.len() < tasks.len()
        {
            // The offered tasks of a gang are placed together or not at all.
            *free = initial;
            return Vec::new();
        }
        chosen
    }

    /// Adds the placements of these tasks to the round's changes, with the starts to be sent
    /// once they are committed.
    fn note_placements(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        offered_job: &OfferedJob<'_>,
        chosen: Vec<ChosenMachine>,
        candidates: &[CandidateMachine],
        changes: &mut PlannedChanges,
    ) {
        let OfferedJob { id, spec, job } = *offered_job;
        for ChosenMachine { task, candidate } in chosen {
            let machine = &candidates[candidate].machine;
            let (Some(agent), Some((shard, entry))) = (
                state.agents.get(machine),
                self.context.own_shard_of(cache, machine),
            ) else {
                continue;
            };
            let epoch = agent.epoch;
            let change = changes.change_for(id, job, task);
            if !self.has_condition_for(change, job, shard) {
                continue;
            }
            let attempt = match spec.kind {
                JobKind::Gang => job.gang_attempt(),
                JobKind::Array | JobKind::Service => change.record.next_attempt(task),
            };
            change.record.place(task, machine.clone(), epoch, attempt);
            change.has_placements = true;
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

    /// Like [`Self::choose_candidates`], for a gang that must be in one zone and has no task
    /// placed yet: chooses machines in the first zone that can take all of the tasks.
    fn choose_zone(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        offered_job: &OfferedJob<'_>,
        tasks: &[u32],
        candidates: &mut Vec<CandidateMachine>,
        team: &mut TeamQuotaUse,
    ) -> Vec<ChosenMachine> {
        let zones: BTreeSet<ZoneName> = candidates
            .iter()
            .map(|candidate| candidate.zone.clone())
            .collect();
        for zone in zones {
            let initial = (candidates.clone(), team.used);
            let mut constraint = ZoneConstraint::of_job(offered_job.spec);
            constraint.confine_to(zone);
            let chosen =
                self.choose_candidates(agents, offered_job, tasks, candidates, team, constraint);
            if chosen.len() == tasks.len() {
                return chosen;
            }
            (*candidates, team.used) = initial;
        }
        Vec::new()
    }

    /// Whether the transaction that writes this record can take a condition on this shard, in
    /// addition to those on the quota allocation, the job's spec and outcome, and its run
    /// records.
    pub(super) fn has_condition_for(
        &self,
        change: &RecordChange,
        job: &Job,
        shard: ShardId,
    ) -> bool {
        let changes = self.context.config.state_limits.txn_ops;
        let records = match job.spec() {
            Some(spec) if depends_on_all_records(spec, changes) => spec.run_record_count() as usize,
            _ => 1,
        };
        let max_shards = (CONDITIONS_PER_CHANGE * changes).saturating_sub(3 + records);
        change.shards.contains_key(&shard) || change.shards.len() < max_shards.max(1)
    }

    /// Chooses a machine for each of the tasks, as far as free resources and budget suffice.
    fn choose_candidates(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        offered_job: &OfferedJob<'_>,
        tasks: &[u32],
        candidates: &mut [CandidateMachine],
        team: &mut TeamQuotaUse,
        mut constraint: ZoneConstraint,
    ) -> Vec<ChosenMachine> {
        let OfferedJob { id, spec, job } = *offered_job;
        let now = Instant::now();
        let run_time_factor = lock(&self.context.estimator).factor(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut admits = |candidate: &CandidateMachine| {
            let after = team.used.plus(&quota);
            let is_admitted = team.budget.covers(&after)
                && constraint.admits(&candidate.zone)
                && allows_job(agents, candidate, id, now);
            if is_admitted {
                team.used = after;
                constraint.add(&candidate.zone);
            }
            is_admitted
        };
        // A machine that still lists an earlier attempt of a task would refuse to start it
        // again. Tasks that were placed before are therefore placed one by one, each with a
        // check of the candidates' task lists.
        let (placed_before, never_placed): (Vec<u32>, Vec<u32>) = tasks
            .iter()
            .partition(|task| was_placed_before(job, **task));
        let mut chosen = Vec::with_capacity(tasks.len());
        for task in placed_before {
            let task_id = TaskId::new(id.clone(), task);
            let candidate =
                placement::best_candidate(spec, candidates, run_time_factor, |candidate| {
                    !lists_task(agents, candidate, &task_id)
                        && allows_job(agents, candidate, id, now)
                });
            if let Some(candidate) = candidate
                && admits(&candidates[candidate])
            {
                candidates[candidate].place_task(spec);
                chosen.push(ChosenMachine { task, candidate });
            }
        }
        let filled = placement::place_tasks(
            spec,
            candidates,
            run_time_factor,
            never_placed.len(),
            admits,
        );
        let filled = never_placed.into_iter().zip(filled);
        chosen.extend(filled.map(|(task, candidate)| ChosenMachine { task, candidate }));
        chosen
    }
}

/// Whether a task is or was placed.
fn was_placed_before(job: &Job, task: u32) -> bool {
    let entry = job.run_records.get(&(task / keys::TASKS_PER_RUN_RECORD));
    entry.is_some_and(|entry| {
        entry.value.last_attempts.contains_key(&task) || entry.value.placed.contains_key(&task)
    })
}

/// Whether the agent of a candidate lists the task, with any attempt.
fn lists_task(
    agents: &BTreeMap<MachineId, AgentState>,
    candidate: &CandidateMachine,
    task: &TaskId,
) -> bool {
    agents
        .get(&candidate.machine)
        .is_some_and(|agent| agent.tasks.contains_key(task))
}

/// Whether the job is not excluded from the candidate's machine now.
fn allows_job(
    agents: &BTreeMap<MachineId, AgentState>,
    candidate: &CandidateMachine,
    job: &JobId,
    now: Instant,
) -> bool {
    agents
        .get(&candidate.machine)
        .is_some_and(|agent| !agent.failures.excludes_job(job, now))
}
