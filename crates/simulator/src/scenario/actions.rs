//! Timed actions of a scenario: actions of users and injected faults.

use std::{sync::Arc, time::Duration};

use stallcove::storage::JobId;

use super::{
    expectations::{FailedExpectation, expect},
    words::{Words, parse},
};
use crate::{
    faults::{BootFaults, Delay, Stream},
    request_copies::Link,
    simulation::{Partition, Simulation},
    users,
    versions::Version,
};

/// Default downtime of a crashed, upgraded or downgraded controller, in seconds.
const DEFAULT_DOWNTIME_S: f64 = 5.0;

/// Parses a job id; panics if it is invalid.
pub(super) fn job_id(word: &str) -> JobId {
    let Some(job) = JobId::parse(word) else {
        panic!("{word:?} is not a job id");
    };
    job
}

/// Executes one timed action. Returns an error if it is an expectation that fails.
pub(super) fn run_action(
    simulation: &Arc<Simulation>,
    parts: &[&str],
) -> Result<(), FailedExpectation> {
    let words = Words::new(&parts[1..]);
    let duration = words.seconds("for", 0.0);
    match parts[0] {
        "expect" => return expect(simulation, &parts[1..]),
        "submit" | "resubmit" | "stream" | "cancel" | "invalid-requests" => {
            run_user_action(simulation, parts, &words, duration);
        }
        "poll" | "burst-polls" => set_poll_load(simulation, parts, &words, duration),
        "crash" | "upgrade" | "downgrade" | "pause" => {
            inject_controller_fault(simulation, parts, &words, duration);
        }
        "state" => inject_state_fault(simulation, parts, &words, duration),
        "cloud" => inject_cloud_fault(simulation, parts, &words, duration),
        "partition" | "delay" | "duplicate" | "copy" => {
            inject_network_fault(simulation, parts, &words, duration);
        }
        "hang" | "lose-inbound" | "lose-outbound" | "reclaim" => {
            inject_machine_fault(simulation, parts, &words, duration);
        }
        other => panic!("unknown action {other}"),
    }
    Ok(())
}

/// Calls `action` after this delay.
pub(super) fn run_later(after: Duration, action: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        action();
    });
}

/// Calls `undo` after this delay, to end a fault.
fn undo_later(
    simulation: &Arc<Simulation>,
    after: Duration,
    undo: impl FnOnce(&Simulation) + Send + 'static,
) {
    let simulation = simulation.clone();
    run_later(after, move || undo(&simulation));
}

fn run_user_action(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    match parts {
        ["submit", job, ..] => {
            let fails = words.has("fails");
            let submission =
                users::submit(simulation.clone(), job_id(job), words.job_spec(), fails);
            tokio::spawn(submission);
        }
        ["resubmit", job, ..] => {
            let job = job_id(job);
            let spec = simulation
                .spec(&job)
                .expect("resubmit names a job that was submitted before");
            let simulation = simulation.clone();
            tokio::spawn(users::resubmit(simulation, job, spec));
        }
        ["stream", first, ..] => {
            let first = first.strip_prefix("job-").expect("a job id");
            let stream = Stream {
                count: words.number("count", 100.0) as u64,
                interval: words.seconds("every", 0.25),
                cancelled_share: words.number("cancelled", 0.25),
                spec: words.job_spec(),
            };
            let first = parse(first, "a job's number");
            tokio::spawn(simulation.clone().stream(first, stream));
        }
        ["cancel", "running", ..] => {
            let count = words.number("count", 3.0) as usize;
            simulation.cancel_running(count, words.seconds("hang", 0.0));
        }
        ["cancel", "ending", ..] => {
            simulation.set_cancel_at_end(words.number("share", 0.5));
            undo_later(simulation, duration, |simulation| {
                simulation.set_cancel_at_end(0.0);
            });
        }
        ["cancel", job, ..] => {
            tokio::spawn(users::cancel(simulation.clone(), job_id(job)));
        }
        ["invalid-requests", ..] => {
            tokio::spawn(users::send_invalid(simulation.clone(), words.job_spec()));
        }
        other => panic!("unknown action {other:?}"),
    }
}

fn set_poll_load(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    let faults = &simulation.faults;
    if parts[0] == "burst-polls" {
        faults.set_burst_polls(true);
        undo_later(simulation, duration, |simulation| {
            simulation.faults.set_burst_polls(false);
        });
    } else {
        faults.set_poll_interval(Some(words.seconds("every", 0.5)));
        undo_later(simulation, duration, |simulation| {
            simulation.faults.set_poll_interval(None);
        });
    }
}

/// Returns the controllers selected by `all`, `leader` or a controller's name.
fn controllers(simulation: &Simulation, word: &str) -> Vec<String> {
    match word {
        "all" => simulation.controller_names(),
        "leader" => simulation.leader().into_iter().collect(),
        name => vec![name.to_owned()],
    }
}

fn inject_controller_fault(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    for name in controllers(simulation, parts[1]) {
        match parts[0] {
            "pause" => {
                simulation.pause_controller(&name, duration);
                continue;
            }
            // The controller restarts with the version that does not support quota transfers.
            "downgrade" => simulation.set_version(&name, Version::BeforeTransfers),
            "upgrade" => simulation.set_version(&name, Version::Current),
            _ => {}
        }
        simulation.kill_controller(&name);
        let simulation = simulation.clone();
        let downtime = words.seconds("for", DEFAULT_DOWNTIME_S);
        run_later(downtime, move || simulation.boot_controller(&name));
    }
}

/// Reads the share of the messages that are late, and by how many seconds at most; absent words
/// get these defaults.
fn delay(words: &Words<'_>, default_share: f64, default_late_s: f64) -> Delay {
    let share = words.number("share", default_share);
    Delay::new(share, words.seconds("late", default_late_s))
}

fn inject_state_fault(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    match parts[1] {
        "lower-limits" => simulation.lower_limits(),
        "restore" => simulation.state.restore_removed(parts[2]),
        "outage" => {
            simulation.state.set_down(true);
            undo_later(simulation, duration, |simulation| {
                simulation.state.set_down(false);
            });
        }
        "reject" => {
            for controller in controllers(simulation, parts[2]) {
                simulation.state.set_rejected(&controller, true);
                undo_later(simulation, duration, move |simulation| {
                    simulation.state.set_rejected(&controller, false);
                });
            }
        }
        "lose-responses" => {
            simulation.set_response_loss(words.number("share", 0.2));
            undo_later(simulation, duration, |simulation| {
                simulation.set_response_loss(0.0);
            });
        }
        "delay-responses" => {
            simulation.set_response_delay(delay(words, 0.2, 0.5));
            undo_later(simulation, duration, |simulation| {
                simulation.set_response_delay(Delay::default());
            });
        }
        "latency" => {
            simulation.set_latency(words.seconds("by", 0.5));
            undo_later(simulation, duration, |simulation| {
                simulation.set_latency(Duration::ZERO);
            });
        }
        "delay" => {
            simulation.set_commit_delay(delay(words, 0.3, 5.0));
            undo_later(simulation, duration, |simulation| {
                simulation.set_commit_delay(Delay::default());
            });
        }
        other => panic!("unknown action state {other}"),
    }
}

fn inject_cloud_fault(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    match parts[1] {
        "outage" => {
            simulation.set_cloud_down(true);
            undo_later(simulation, duration, |simulation| {
                simulation.set_cloud_down(false);
            });
        }
        "no-capacity" => {
            simulation.set_no_capacity(true);
            undo_later(simulation, duration, |simulation| {
                simulation.set_no_capacity(false);
            });
        }
        "boot" => {
            simulation.faults.set_boot_faults(BootFaults {
                time_factor: words.number("factor", 1.0),
                never_share: words.number("never", 0.0),
            });
            undo_later(simulation, duration, |simulation| {
                simulation.faults.set_boot_faults(BootFaults::default());
            });
        }
        "faulty" => simulation.set_machine_faulty(parse(parts[2], "a machine's number")),
        other => panic!("unknown action cloud {other}"),
    }
}

fn inject_network_fault(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    match parts {
        ["partition", a, b, ..] => {
            let partition = Partition {
                a: (*a).into(),
                b: (*b).into(),
                holds_packets: words.has("hold"),
            };
            simulation.add_partition(partition.clone());
            undo_later(simulation, duration, move |simulation| {
                simulation.heal_partition(&partition);
            });
        }
        ["delay", "commands", ..] => {
            simulation.faults.set_command_delay(delay(words, 0.3, 16.0));
            undo_later(simulation, duration, |simulation| {
                simulation.faults.set_command_delay(Delay::default());
            });
        }
        ["duplicate", "heartbeats", ..] => {
            simulation.set_duplicates(delay(words, 0.3, 30.0));
            let for_next = words.has("for_next");
            simulation.faults.set_keep_for_next_leader(for_next);
            undo_later(simulation, duration, |simulation| {
                simulation.set_duplicates(Delay::default());
                simulation.faults.set_keep_for_next_leader(false);
            });
        }
        ["copy", "requests", ..] => copy_requests(simulation, words, duration),
        other => panic!("unknown action {other:?}"),
    }
}

/// Delivers a share of the requests that were carried out once more, on the links that `to=` names
/// or on all of them.
fn copy_requests(simulation: &Arc<Simulation>, words: &Words<'_>, duration: Duration) {
    let links = match words.names("to") {
        Some(names) => names.into_iter().map(link).collect(),
        None => Link::ALL.to_vec(),
    };
    let delay = delay(words, 0.3, 30.0);
    for link in links {
        simulation.faults.request_copies.set(link, delay);
        undo_later(simulation, duration, move |simulation| {
            let copies = &simulation.faults.request_copies;
            copies.set(link, Delay::default());
        });
    }
}

fn link(name: &str) -> Link {
    match name {
        "state" => Link::State,
        "cloud" => Link::Cloud,
        "agents" => Link::Agents,
        "controllers" => Link::Controllers,
        "users" => Link::Users,
        other => panic!("unknown link {other}"),
    }
}

fn inject_machine_fault(
    simulation: &Arc<Simulation>,
    parts: &[&str],
    words: &Words<'_>,
    duration: Duration,
) {
    let count: usize = parse(parts[1], "a number of machines");
    if parts[0] == "reclaim" {
        reclaim_spot_machines(simulation, count, words);
        return;
    }
    for machine in simulation.machines().into_iter().take(count) {
        match parts[0] {
            "hang" => machine.hang(duration),
            "lose-inbound" => machine.lose_inbound(duration),
            _ => machine.lose_outbound(duration),
        }
    }
}

fn reclaim_spot_machines(simulation: &Arc<Simulation>, count: usize, words: &Words<'_>) {
    let machines = simulation.machines().into_iter();
    let spot = machines.filter(|machine| machine.kind.spot);
    for machine in spot.take(count) {
        if words.has("notice") {
            machine.announce_reclaim(words.seconds("notice", 5.0));
        } else {
            simulation.remove_machine(&machine.id);
        }
    }
}
