//! The machines of the fleet as the policy sees them: booting, requested, and in use.

use std::time::Duration;

use crate::{
    coordination::policy::{placement, scale_in},
    storage::{MachineId, MachineType, StateCache, ZoneName},
};

/// Boots usually take up to one and a half times what the catalog says.
const MAX_BOOT_FACTOR: f64 = 1.6;
/// The least number of CPUs by which a machine's use is divided.
const MIN_CPUS: f64 = 0.001;

/// A machine that is up.
#[derive(Clone, Debug)]
pub(in crate::coordination::leader::fleet) struct UsedMachine {
    /// The machine with its utilisation.
    pub(in crate::coordination::leader::fleet) utilisation: scale_in::MachineUtilisation<MachineId>,
    /// Whether a replica of a service is on it.
    pub(in crate::coordination::leader::fleet) runs_service: bool,
}

/// A machine that nothing is on, and whose name is not known yet.
fn empty_candidate(
    machine_type: &MachineType,
    zone: &ZoneName,
    spot: bool,
) -> placement::CandidateMachine {
    placement::CandidateMachine::empty(MachineId::new(""), machine_type, zone, spot)
}

/// Provisioned machines whose agents have not been heard of yet. One that takes far
/// longer than usual is no longer counted on: a few take several times as long,
/// or never come up, and what waits for them would wait as long.
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
            let kind = cache.machine_type(&record.kind)?;
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            (age < kind.boot.mul_f64(MAX_BOOT_FACTOR))
                .then(|| empty_candidate(kind, &record.zone, record.spot))
        })
        .collect()
}

/// Machines of provision requests that are on their way.
pub(in crate::coordination::leader::fleet) fn requested_candidates(
    cache: &StateCache,
) -> Vec<placement::CandidateMachine> {
    let mut candidates = Vec::new();
    for entry in cache.provision_requests.values() {
        let request = &entry.value;
        if let Some(kind) = cache.machine_type(&request.kind) {
            for _ in 0..request.count {
                candidates.push(empty_candidate(kind, &request.zone, request.spot));
            }
        }
    }
    candidates
}

/// Machines that are up, with their utilisation, and whether a service is on them.
pub(in crate::coordination::leader::fleet) fn used_machines(
    cache: &StateCache,
    paid_periods: scale_in::PaidPeriods,
    now_ms: u64,
    is_up: impl Fn(&MachineId) -> bool,
) -> Vec<UsedMachine> {
    let kinds: Vec<&MachineType> = cache
        .catalog
        .iter()
        .flat_map(|entry| entry.value.types.iter())
        .collect();
    cache
        .machines
        .iter()
        .filter(|(id, _)| is_up(id))
        .filter_map(|(id, record)| {
            let kind_index = kinds.iter().position(|kind| kind.name == record.kind)?;
            let size = kinds[kind_index].size;
            let load = cache.on_machine.get(id);
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            let utilisation = scale_in::MachineUtilisation {
                id: id.clone(),
                kind: kind_index,
                utilisation: load.map_or(0.0, |load| load.taken.cpus) / size.cpus.max(MIN_CPUS),
                power: size.cpus,
                shard: cache.shard_of(id).map_or(0, |(shard, _)| shard.0),
                paid_left: paid_periods.left(age),
            };
            Some(UsedMachine {
                utilisation,
                runs_service: load.is_some_and(|load| load.has_service),
            })
        })
        .collect()
}
