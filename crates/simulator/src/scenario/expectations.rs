//! Expectations of a scenario, each checked at its time.

use std::sync::Arc;

use super::{actions::job_id, words::parse};
use crate::simulation::Simulation;

/// An expectation that does not hold, with the value found instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct FailedExpectation(String);

fn check(holds: bool, found: String) -> Result<(), FailedExpectation> {
    if holds {
        Ok(())
    } else {
        Err(FailedExpectation(found))
    }
}

/// Checks a count against `<= N` or `>= N`.
fn compare(
    found: usize,
    comparison: &str,
    bound: &str,
    what: &str,
) -> Result<(), FailedExpectation> {
    let bound: usize = parse(bound, "a bound");
    let holds = match comparison {
        "<=" => found <= bound,
        ">=" => found >= bound,
        other => panic!("unknown comparison {other}"),
    };
    check(holds, format!("{found} {what}"))
}

/// Checks one expectation against the current state of the cluster.
pub(super) fn expect(
    simulation: &Arc<Simulation>,
    parts: &[&str],
) -> Result<(), FailedExpectation> {
    match parts {
        ["machines", comparison, bound] => {
            compare(simulation.paid_machines(), comparison, bound, "machines")
        }
        ["provisioned", comparison, bound] => compare(
            simulation.provisioned_machines(),
            comparison,
            bound,
            "machines provisioned",
        ),
        ["starts", comparison, bound] => {
            compare(simulation.task_starts(), comparison, bound, "starts")
        }
        ["changes", comparison, bound] => compare(
            simulation.state.requested_changes(),
            comparison,
            bound,
            "changes",
        ),
        ["keys", prefix, count] => {
            let keys = simulation.state.count_keys(prefix);
            check(
                keys == parse::<usize>(count, "a count"),
                format!("{keys} keys"),
            )
        }
        [job, "code", code] => {
            let codes = simulation
                .submission_statuses
                .lock()
                .expect("submission statuses lock");
            let found = codes.get(&job_id(job)).map(ToString::to_string);
            check(found.as_deref() == Some(*code), format!("code {found:?}"))
        }
        [job, "running", count] => {
            let running = simulation.running_tasks(&job_id(job));
            let holds = running.to_string() == **count;
            check(holds, format!("{running} tasks run"))
        }
        [job, state] => {
            let states = simulation
                .reported_states
                .lock()
                .expect("reported states lock");
            let found = states.get(&job_id(job)).cloned();
            let holds = found.as_deref() == Some(*state);
            check(holds, format!("its user was told {found:?}"))
        }
        other => panic!("unknown expectation {other:?}"),
    }
}
