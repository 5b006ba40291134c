//! Places offered tasks on the owner's machines, by least estimated completion.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    super::{
        policy::zone_constraint::{CONDITIONS_PER_CHANGE, ZoneConstraint, ZoneScope},
        zone_usage,
    },
    OwnerState, ShardOwner,
    planned_changes::{PlannedChanges, RecordChange},
};
use crate::{
    coordination::{agent_state::AgentState, clients::Command, context::lock, policy::placement},
    storage::{
        AMOUNT_SLACK, JobId, JobKind, JobSpec, MachineId, Quota, ShardId, StateCache, TaskId,
        TeamName, ZoneName, keys,
        records::{AllocationRecord, MachineUse},
        state_cache::{self, Versioned},
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
    candidates: Vec<placement::CandidateMachine>,
    used: BTreeMap<TeamName, Quota>,
}

/// A job of which the leader has offered tasks.
struct OfferedJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    job: &'a state_cache::Job,
}

impl OfferedJob<'_> {
    /// The offered tasks that wait for a place, but for those that this very round
    /// writes about.
    fn unplaced(&self, state: &OwnerState, changes: &PlannedChanges) -> Vec<u32> {
        let OfferedJob { id, spec, job } = *self;
        let written = |task: u32| {
            let change = changes.0.get(&(id.clone(), task / keys::CHUNK));
            change.is_some_and(|change| {
                let record = &change.record;
                record.is_done(task) || record.placed.get(&task) != job.recorded(task)
            })
        };
        let offer = state.offers.get(id);
        let tasks = offer.into_iter().flat_map(|offer| &offer.tasks).copied();
        tasks
            .filter(|task| {
                *task < spec.tasks
                    && job.placement(*task).is_none()
                    && !job.is_task_done(*task)
                    && !written(*task)
            })
            .collect()
    }
}

/// The jobs that were offered and still run, the most pressing first.
fn offered_jobs<'a>(state: &OwnerState, cache: &'a StateCache) -> Vec<OfferedJob<'a>> {
    let mut jobs: Vec<OfferedJob<'a>> = state
        .offers
        .keys()
        .filter_map(|id| {
            let (id, job) = cache.jobs.get_key_value(id)?;
            let spec = job.spec()?;
            job.cleanup_since
                .is_none()
                .then_some(OfferedJob { id, spec, job })
        })
        .collect();
    jobs.sort_by_key(|offered| {
        let spec = offered.spec;
        (
            std::cmp::Reverse(spec.priority),
            spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64),
            offered.id.clone(),
        )
    });
    jobs
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

/// Whether a placement of the job is conditional on all of its run records.
pub(super) fn depends_on_all_records(spec: &JobSpec, changes_per_transaction: usize) -> bool {
    spec.is_zone_bound() && ZoneScope::of(spec, changes_per_transaction) == ZoneScope::WholeJob
}

impl ShardOwner {
    /// Free room on our machines, as far as it may be used now.
    fn candidates(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        now: Instant,
    ) -> Vec<placement::CandidateMachine> {
        let mut candidates = Vec::new();
        let now_ms = self.context.config.now_ms();
        let quiet = self.context.config.heartbeat_interval.mul_f64(1.5);
        let patience = self.context.config.command_path_timeout();
        let shards = self
            .context
            .own_shards(cache)
            .filter(|(_, entry)| !entry.value.cordoned);
        for (id, usage) in shards.flat_map(|(_, entry)| &entry.value.machines) {
            let (Some(agent), Some(record)) = (state.agents.get(id), cache.machines.get(id)) else {
                continue;
            };
            let Some(kind) = cache.machine_type(&record.kind) else {
                continue;
            };
            if *usage == MachineUse::Cordoned
                || !agent.has_heartbeat
                || agent.time_since_heartbeat(now) > quiet
                || agent.unreachable
                || agent.in_doubt_start.is_some()
                || agent.leaves_at.is_some()
                || state.is_quarantined(agent, now)
                || agent.is_command_path_lost(patience, now)
            {
                continue;
            }
            let mut room = kind.size;
            if let Some(load) = cache.on_machine.get(id) {
                room -= load.taken;
                room += agent.freed(load);
            }
            if room.cpus < AMOUNT_SLACK {
                continue;
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            candidates.push(placement::CandidateMachine {
                owner: 0,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: agent.speed,
                images: agent.images(),
                leaves_in: (*usage == MachineUse::Draining)
                    .then(|| self.context.config.tuning.paid.left(age)),
            });
        }
        candidates
    }

    pub(super) fn place_offers(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        allocation: &Versioned<AllocationRecord>,
        now: Instant,
        changes: &mut PlannedChanges,
    ) {
        state.offers.retain(|_, offer| offer.until > now);
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

    /// Slots for the tasks of one job that was offered, as far as room and quota last;
    /// for those of a gang all or none.
    fn place_job(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        allocation: &Versioned<AllocationRecord>,
        offered: &OfferedJob<'_>,
        tasks: &[u32],
        free: &mut FreeResources,
    ) -> Vec<(u32, usize)> {
        let OfferedJob { id, spec, job } = *offered;
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
                self.choose_zone(&state.agents, (id, job), tasks, candidates, &mut team)
            } else {
                self.choose_candidates(
                    &state.agents,
                    (id, job),
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
        chosen: Vec<(u32, usize)>,
        candidates: &[placement::CandidateMachine],
        changes: &mut PlannedChanges,
    ) {
        let OfferedJob { id, spec, job } = *offered;
        for (task, at) in chosen {
            let machine = &candidates[at].machine;
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
            let task = TaskId::new(id.clone(), task);
            let start = Command::Start { task, attempt };
            change.starts.push((machine.clone(), epoch, start));
        }
    }

    /// As [`Self::choose_slots`] for a gang that is bound to one zone and has no task
    /// anywhere yet: the first zone that has room for all of them.
    fn choose_zone(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        (id, job): (&JobId, &state_cache::Job),
        tasks: &[u32],
        candidates: &mut Vec<placement::CandidateMachine>,
        team: &mut TeamQuotaUse,
    ) -> Vec<(u32, usize)> {
        let Some(spec) = job.spec() else {
            return Vec::new();
        };
        let found: BTreeSet<ZoneName> = candidates
            .iter()
            .map(|candidate| candidate.zone.clone())
            .collect();
        for zone in found {
            let before = (candidates.clone(), team.used);
            let mut only = ZoneConstraint::of_job(spec);
            only.confine(zone);
            let chosen = self.choose_candidates(agents, (id, job), tasks, candidates, team, only);
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
        job: &state_cache::Job,
        shard: ShardId,
    ) -> bool {
        let changes = self.context.config.state.txn_ops;
        let records = match job.spec() {
            Some(spec) if depends_on_all_records(spec, changes) => spec.records() as usize,
            _ => 1,
        };
        let most = (CONDITIONS_PER_CHANGE * changes).saturating_sub(3 + records);
        change.shards.contains_key(&shard) || change.shards.len() < most.max(1)
    }

    /// A slot for each of the tasks, as far as room and budget last.
    fn choose_candidates(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        (id, job): (&JobId, &state_cache::Job),
        tasks: &[u32],
        candidates: &mut [placement::CandidateMachine],
        team: &mut TeamQuotaUse,
        mut constraint: ZoneConstraint,
    ) -> Vec<(u32, usize)> {
        let Some(spec) = job.spec() else {
            return Vec::new();
        };
        let now = Instant::now();
        let factor = lock(&self.context.estimator).factor(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut admits = |candidate: &placement::CandidateMachine| {
            let after = team.used.plus(&quota);
            let admitted = team.budget.covers(&after)
                && constraint.admits(&candidate.zone)
                && agents
                    .get(&candidate.machine)
                    .is_some_and(|agent| !agent.refuses(id, now));
            if admitted {
                team.used = after;
                constraint.add(&candidate.zone);
            }
            admitted
        };
        // A task that was placed before may still be listed by a machine, which
        // would refuse it: such tasks look at each machine by themselves.
        let (again, fresh): (Vec<u32>, Vec<u32>) = tasks.iter().partition(|task| {
            job.chunks
                .get(&(**task / keys::CHUNK))
                .is_some_and(|entry| {
                    entry.value.before.contains_key(task) || entry.value.placed.contains_key(task)
                })
        });
        let mut chosen = Vec::with_capacity(tasks.len());
        for task in again {
            let task_id = TaskId::new(id.clone(), task);
            let at = placement::choose(spec, candidates, factor, |candidate| {
                let listed = agents
                    .get(&candidate.machine)
                    .is_some_and(|agent| agent.tasks.contains_key(&task_id));
                !listed
                    && agents
                        .get(&candidate.machine)
                        .is_some_and(|agent| !agent.refuses(id, now))
            });
            if let Some(at) = at
                && admits(&candidates[at])
            {
                candidates[at].put(spec);
                chosen.push((task, at));
            }
        }
        let filled = placement::fill(spec, candidates, factor, fresh.len(), admits);
        chosen.extend(fresh.into_iter().zip(filled));
        chosen
    }
}
