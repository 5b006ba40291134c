//! Lists the machines that are inputs to the scaling policy: booting, requested and in use.

use std::time::Duration;

use crate::{
    coordination::policy::{placement, scale_in},
    storage::{MachineId, MachineType, StateCache, ZoneName},
};

/// A booting machine is expected to come up for this many times its type's boot time. Boots usually
/// take up to one and a half times the boot time in the catalog.
const MAX_BOOT_FACTOR: f64 = 1.6;
/// Lower bound on a machine's number of CPUs, to avoid a division by zero.
const MIN_CPUS: f64 = 0.001;

/// A machine that is up.
#[derive(Clone, Debug)]
pub(in crate::coordination::leader::fleet) struct UsedMachine {
    /// The machine and its utilisation.
    pub(in crate::coordination::leader::fleet) utilisation: scale_in::MachineUtilisation<MachineId>,
    /// Whether a service replica is on it.
    pub(in crate::coordination::leader::fleet) runs_service: bool,
}

/// Returns a placement candidate for a machine without tasks, whose name is not known or not
/// needed.
fn empty_candidate(
    machine_type: &MachineType,
    zone: &ZoneName,
    spot: bool,
) -> placement::CandidateMachine {
    placement::CandidateMachine::empty(MachineId::new(""), machine_type, zone, spot)
}

/// Returns the provisioned machines whose agents have not sent a heartbeat yet. Machines that take
/// far longer than usual are left out: a few take several times as long or never come up, and
/// tasks that count on them would wait as long.
pub(in crate::coordination::leader::fleet) fn booting_candidates(
    cache: &StateCache,
    now_ms: u64,
    is_up: impl Fn(&MachineId) -> bool,
) -> Vec<placement::CandidateMachine> {
    cache
        .machines
        .iter()
        .filter(|(id, _)| !is_up(id))
        .filter_map(|(_, record)| {
            let machine_type = cache.machine_type(&record.machine_type)?;
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            (age < machine_type.boot.mul_f64(MAX_BOOT_FACTOR))
                .then(|| empty_candidate(machine_type, &record.zone, record.spot))
        })
        .collect()
}

/// Returns the machines of the provision requests that are not answered yet.
pub(in crate::coordination::leader::fleet) fn requested_candidates(
    cache: &StateCache,
) -> Vec<placement::CandidateMachine> {
    let mut candidates = Vec::new();
    for entry in cache.provision_requests.values() {
        let request = &entry.value;
        if let Some(machine_type) = cache.machine_type(&request.machine_type) {
            for _ in 0..request.count {
                candidates.push(empty_candidate(machine_type, &request.zone, request.spot));
            }
        }
    }
    candidates
}

/// Returns the machines that are up, each with its utilisation and whether it runs a service
/// replica.
pub(in crate::coordination::leader::fleet) fn used_machines(
    cache: &StateCache,
    paid_periods: scale_in::PaidPeriods,
    now_ms: u64,
    is_up: impl Fn(&MachineId) -> bool,
) -> Vec<UsedMachine> {
    let machine_types: Vec<&MachineType> = cache
        .catalog
        .iter()
        .flat_map(|entry| entry.value.types.iter())
        .collect();
    cache
        .machines
        .iter()
        .filter(|(id, _)| is_up(id))
        .filter_map(|(id, record)| {
            let type_index = machine_types
                .iter()
                .position(|machine_type| machine_type.name == record.machine_type)?;
            let size = machine_types[type_index].size;
            let load = cache.machine_loads.get(id);
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            let utilisation = scale_in::MachineUtilisation {
                id: id.clone(),
                type_index,
                utilisation: load.map_or(0.0, |load| load.used_resources.cpus)
                    / size.cpus.max(MIN_CPUS),
                computing_power: size.cpus,
                shard: cache.shard_of(id).map_or(0, |(shard, _)| shard.0),
                paid_left: paid_periods.time_left(age),
            };
            Some(UsedMachine {
                utilisation,
                runs_service: load.is_some_and(|load| load.has_service),
            })
        })
        .collect()
}
