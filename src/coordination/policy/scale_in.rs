//! Scaling in (section 5.3.2, algorithm 2, equations 7 and 8): at a miss rate of α or less, the
//! least-used machine is drained. It is released idle at the end of its paid period.

use std::time::Duration;

/// Utilisation of a machine that is up.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineUtilisation<Id> {
    /// The machine.
    pub id: Id,
    /// Index of its machine type.
    pub type_index: usize,
    /// Fraction of its CPUs that tasks use, 0 to 1.
    pub utilisation: f64,
    /// Computing power relative to other machines; callers pass the number of CPUs.
    pub computing_power: f64,
    /// Shard of the machine. Among otherwise equal machines those of the same shard are drained
    /// together, since each change of a shard disturbs its owner.
    pub shard: u64,
    /// Time left in the current paid period.
    pub paid_left: Duration,
}

/// Parameters of scaling in, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Maximum miss rate at which machines are drained (α).
    pub alpha: f64,
    /// Minimum evenness of machine types for the fleet to count as mixed.
    pub evenness: f64,
    /// Minimum utilisation at which a machine of a mixed fleet is not drained.
    pub utilisation: f64,
}

/// Returns the evenness η = H / H_max (H: Shannon entropy) of the numbers of machines per type;
/// 0 if there is only one type.
pub fn evenness(counts: &[usize]) -> f64 {
    let total: usize = counts.iter().sum();
    if counts.len() < 2 || total == 0 {
        return 0.0;
    }
    let entropy: f64 = counts
        .iter()
        .filter(|count| **count > 0)
        .map(|count| {
            let share = *count as f64 / total as f64;
            -share * share.ln()
        })
        .sum();
    entropy / (counts.len() as f64).ln()
}

/// Returns the machine to drain, if any. `type_count` is the number of machine types.
pub fn select_machine<'a, Id>(
    miss_rate: f64,
    tasks_waiting: usize,
    machines: &'a [MachineUtilisation<Id>],
    type_count: usize,
    thresholds: &Thresholds,
) -> Option<&'a MachineUtilisation<Id>> {
    if miss_rate > thresholds.alpha || tasks_waiting > 0 {
        return None;
    }
    let least_used = machines.iter().min_by(|a, b| {
        a.utilisation
            .total_cmp(&b.utilisation)
            .then(a.computing_power.total_cmp(&b.computing_power))
            .then(a.shard.cmp(&b.shard))
            .then(a.paid_left.cmp(&b.paid_left))
    })?;
    let mut counts = vec![0; type_count];
    for machine in machines {
        if let Some(count) = counts.get_mut(machine.type_index) {
            *count += 1;
        }
    }
    let mixed = evenness(&counts) >= thresholds.evenness;
    (!mixed || least_used.utilisation < thresholds.utilisation).then_some(least_used)
}

/// Paid periods of a machine: a first one, then shorter renewals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaidPeriods {
    /// Length of the first period, the minimum time that a machine is paid for.
    pub first: Duration,
    /// Length of each following period.
    pub renewal: Duration,
}

impl PaidPeriods {
    /// Returns the time left in the current paid period of a machine of this age.
    pub fn time_left(&self, age: Duration) -> Duration {
        match self.first.checked_sub(age) {
            Some(left) if !left.is_zero() => left,
            _ => {
                let renewal_ms = self.renewal.as_millis().max(1);
                let elapsed_ms = (age - self.first).as_millis() % renewal_ms;
                Duration::from_millis((renewal_ms - elapsed_ms) as u64)
            }
        }
    }
}

#[cfg(test)]
mod tests;
