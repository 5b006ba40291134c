//! Answers workers' reports.

use tokio::time::Instant;

use crate::{
    coordination::{
        holder::HolderState,
        node::{Node, lock},
        ports::{Command, Report, ReportAnswer, TaskState},
        view::{Source, View},
    },
    storage::{Attempt, JobSpec, MachineId, StateCache, TaskId, Token},
};

/// Commands in one answer; the rest follow with the next.
const COMMANDS: usize = 400;

impl Node {
    pub fn answer_report(&self, report: &Report) -> ReportAnswer {
        if !self.store.is_loaded() {
            return ReportAnswer::Unavailable;
        }
        let now = Instant::now();
        let cache = self.store.cache();
        let Some((_, block)) = cache.block_of(&report.machine) else {
            drop(cache);
            self.sight(report);
            return ReportAnswer::NotHere(None);
        };
        let (node, holder) = (block.value.node.clone(), block.value.holder);
        let token = Token::from(block.revision);
        if node != self.config.node {
            let alive = cache
                .nodes
                .get(&node)
                .is_some_and(|kept| kept.value.incarnation == holder);
            drop(cache);
            self.sight(report);
            return ReportAnswer::NotHere(alive.then_some(node));
        }
        // Another process held the block, our view of it is behind, or our
        // right to renew leases has run out: a 200 would be wrong or dropped.
        if self.own_block_of(&cache, &report.machine).is_none()
            || report.token > token
            || !self.is_entitled()
        {
            return ReportAnswer::Unavailable;
        }
        let mut state = lock(&self.holder);
        let acquired = Token::from(cache.held_since(&report.machine));
        // It went away and came back before our loop noticed.
        if state
            .views
            .get(&report.machine)
            .is_some_and(|view| view.acquired != acquired)
        {
            state.views.remove(&report.machine);
        }
        let HolderState {
            views, preempting, ..
        } = &mut *state;
        let view = views
            .entry(report.machine.clone())
            .or_insert_with(|| View::new(acquired, now));
        if !view.take(report, Source::Report, now) {
            // Overtaken by the answer to a direct command. The worker may still
            // wait for this one, so it gets its lease, but nothing to do.
            return ReportAnswer::Accepted {
                token,
                commands: Vec::new(),
            };
        }
        let mut commands = commands(&report.machine, view, &cache, |task, attempt| {
            preempting.get(task) == Some(&attempt)
        });
        commands.truncate(COMMANDS);
        view.answer_starts(&commands);
        view.note_answer(token, self.config.report_pause(), now);
        let results = self.note_results(&mut state, &cache, &report.machine, now);
        drop(state);
        drop(cache);
        if results {
            self.holder_kick.notify_one();
        }
        ReportAnswer::Accepted { token, commands }
    }
}

/// How long a task may take to save when it is stopped for another reason than
/// its job's cancellation.
pub(super) fn grace(spec: Option<&JobSpec>, cancelled: bool) -> std::time::Duration {
    match spec {
        Some(spec) if !cancelled && !spec.checkpoint.is_zero() => spec.save,
        _ => std::time::Duration::ZERO,
    }
}

/// What to tell a worker in answer to its report. Starts are given for
/// committed placements only, clears for committed results only.
fn commands(
    machine: &MachineId,
    view: &View,
    cache: &StateCache,
    preempting: impl Fn(&TaskId, Attempt) -> bool,
) -> Vec<Command> {
    let none = Default::default();
    let placed = &cache.on_machine.get(machine).unwrap_or(&none).tasks;
    let mut clears = Vec::new();
    let mut others = Vec::new();
    for (task, seen) in &view.tasks {
        let job = cache.jobs.get(&task.job);
        let matching = placed
            .get(task)
            .filter(|placed| placed.placement.attempt == seen.attempt);
        let exited = matches!(seen.state, TaskState::Exited(_));
        let attempt = seen.attempt;
        match (matching, exited) {
            // Its result is being committed.
            (Some(_), true) => {}
            (Some(_), false) => {
                let cancelled = cache.is_cancelled(&task.job);
                if cancelled || preempting(task, attempt) {
                    others.push(Command::Stop {
                        task: task.clone(),
                        attempt,
                        grace: grace(job.and_then(|job| job.spec()).map(|s| &**s), cancelled),
                    });
                }
            }
            // Once cleared, a start that is still on its way would run it again.
            (None, true) if view.is_settled() => clears.push(Command::Clear {
                task: task.clone(),
                attempt,
            }),
            (None, true) => {}
            // Nobody's placement: our cache holds all that earlier holders
            // committed, since it holds our block's record.
            (None, false) => others.push(Command::Stop {
                task: task.clone(),
                attempt,
                grace: std::time::Duration::ZERO,
            }),
        }
    }
    for (task, placed) in placed {
        let placement = &placed.placement;
        let listed = view
            .tasks
            .get(task)
            .is_some_and(|seen| seen.attempt == placement.attempt);
        let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
        let cancelled = cache.is_cancelled(&task.job) || spec.is_none();
        if !listed
            && !cancelled
            && placement.session == view.session
            && !preempting(task, placement.attempt)
        {
            others.push(Command::Start {
                task: task.clone(),
                attempt: placement.attempt,
            });
        }
    }
    clears.extend(others);
    clears
}
