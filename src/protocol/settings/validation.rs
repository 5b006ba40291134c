//! Checks of the values in a settings file. The first mistake is reported and prevents a
//! process from starting.

use std::time::Duration;

use super::{FieldError, Peer, Requirement, Settings, StateSettings, TeamSettings, WorkerSettings};
use crate::protocol::seconds;

/// Minimum of the store's maximum value size, in KiB. The largest records (36 tasks, 48 or 50
/// machines) stay below it.
pub(super) const MIN_VALUE_KB: f64 = 2.0;
/// Minimum of the store's maximum number of operations in a transaction. Moving a machine
/// between two shards also moves quota in the same transaction, and ending a job also deletes
/// the job's keys.
pub(super) const MIN_TRANSACTION_OPERATIONS: u32 = 4;
/// Minimum number of sockets with which a controller can run.
const MIN_CONNECTIONS: u32 = 64;
/// Maximum length of a controller's name, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Minimum time by which `cancel_s` must exceed `lease_s`. The difference limits how long a
/// controller that receives no news of cancellations may renew the agents' leases; with less,
/// it could not keep any agent.
const MIN_CANCEL_AFTER_LEASE: Duration = Duration::from_secs(6);

/// The result of a check.
type Check = Result<(), FieldError>;

impl Settings {
    /// Returns the first mistake that prevents a process from starting.
    pub(super) fn validate(&self) -> Check {
        check_address("serve_on", &self.serve_on)?;
        check_address("peer_bind", &self.peer_bind)?;
        check_address("services.cloud", &self.services.cloud)?;
        check_address("services.state", &self.services.state)?;
        self.peers
            .iter()
            .try_for_each(|peer| self.check_peer(peer))?;
        check_name("node_name", &self.node_name)?;
        let cluster = &self.settings;
        if cluster.teams.is_empty() {
            return Err(FieldError::new("settings.teams", Requirement::NotEmpty));
        }
        cluster.teams.iter().try_for_each(check_team)?;
        check_workers(&cluster.workers)?;
        check_state(&cluster.state)?;
        check_positive("settings.cloud.rps", cluster.cloud.rps)?;
        positive_duration("settings.cloud.list_lag_s", cluster.cloud.list_lag_s)?;
        check_at_least(
            "settings.limits.max_connections",
            f64::from(cluster.limits.max_connections),
            f64::from(MIN_CONNECTIONS),
        )
    }

    fn check_peer(&self, peer: &Peer) -> Check {
        check_address("peers.address", &peer.address)?;
        if peer.node_name == self.node_name {
            return Err(FieldError::new("peers", Requirement::NotThisNode));
        }
        Ok(())
    }
}

fn check_team(team: &TeamSettings) -> Check {
    let fields = [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ];
    fields.into_iter().try_for_each(|(field, value)| {
        if value.is_finite() && value >= 0.0 {
            return Ok(());
        }
        let field = format!("settings.teams {}: {field}", team.name);
        Err(FieldError::new(field, Requirement::NotNegative))
    })
}

fn check_workers(workers: &WorkerSettings) -> Check {
    let lease = positive_duration("settings.workers.lease_s", workers.lease_s)?;
    let cancel = positive_duration("settings.workers.cancel_s", workers.cancel_s)?;
    positive_duration("settings.workers.report_s", workers.report_s)?;
    if cancel < lease + MIN_CANCEL_AFTER_LEASE {
        return Err(FieldError::new(
            "settings.workers.cancel_s",
            Requirement::ExceedsLeaseSeconds(MIN_CANCEL_AFTER_LEASE.as_secs()),
        ));
    }
    Ok(())
}

fn check_state(state: &StateSettings) -> Check {
    check_positive("settings.state.rps", state.rps)?;
    check_positive("settings.state.write_rps", state.write_rps)?;
    check_at_least("settings.state.value_kb", state.value_kb, MIN_VALUE_KB)?;
    check_at_least(
        "settings.state.txn_ops",
        f64::from(state.txn_ops),
        f64::from(MIN_TRANSACTION_OPERATIONS),
    )
}

fn check_address(field: &str, value: &str) -> Check {
    match value.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(FieldError::new(
            field,
            Requirement::Address(value.to_owned()),
        )),
    }
}

fn check_name(field: &str, value: &str) -> Check {
    if value.is_empty() || value.len() > MAX_NAME_BYTES || value.contains(char::is_whitespace) {
        return Err(FieldError::new(field, Requirement::Name));
    }
    Ok(())
}

fn check_positive(field: &str, value: f64) -> Check {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(FieldError::new(field, Requirement::PositiveNumber))
}

fn check_at_least(field: &str, value: f64, minimum: f64) -> Check {
    if value.is_finite() && value >= minimum {
        return Ok(());
    }
    Err(FieldError::new(field, Requirement::AtLeast(minimum)))
}

/// Converts a number of seconds to a duration above zero.
pub(in crate::protocol) fn positive_duration(
    field: &str,
    value: f64,
) -> Result<Duration, FieldError> {
    seconds(value)
        .filter(|duration| !duration.is_zero())
        .ok_or_else(|| FieldError::new(field, Requirement::PositiveSeconds))
}
