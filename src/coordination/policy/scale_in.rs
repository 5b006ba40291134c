//! Scaling in (section 5.3.2, algorithm 2, equations 7 and 8): at or
//! below α the least-used machine is marked; it goes back empty at the end of
//! its paid period.

use std::time::Duration;

/// A machine that is up, and how much of it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineUtilisation<Id> {
    /// The machine.
    pub id: Id,
    /// Index of its machine type.
    pub kind: usize,
    /// Part of its CPUs that tasks take, 0 to 1.
    pub utilisation: f64,
    /// Power against others, here the machine's CPUs.
    pub power: f64,
    /// The shard it is in: of equals those of one shard go together, since each
    /// change of a shard disturbs its owner.
    pub shard: u64,
    /// What is left of the paid period.
    pub paid_left: Duration,
}

/// The open values of scaling in, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Miss rate up to which machines are drained (α).
    pub alpha: f64,
    /// Type evenness from which the fleet counts as mixed.
    pub evenness: f64,
    /// In a mixed fleet, machines used this much or more are kept.
    pub utilisation: f64,
}

/// η = H / H_max over the numbers of machines of each type; 0 for one type.
pub fn evenness(counts: &[usize]) -> f64 {
    let total: usize = counts.iter().sum();
    if counts.len() < 2 || total == 0 {
        return 0.0;
    }
    let h: f64 = counts
        .iter()
        .filter(|n| **n > 0)
        .map(|n| {
            let p = *n as f64 / total as f64;
            -p * p.ln()
        })
        .sum();
    h / (counts.len() as f64).ln()
}

/// The machine to drain, if any. `type_count` is the number of machine types.
pub fn select_machine<'a, Id>(
    miss_rate: f64,
    tasks_waiting: usize,
    machines: &'a [MachineUtilisation<Id>],
    type_count: usize,
    at: &Thresholds,
) -> Option<&'a MachineUtilisation<Id>> {
    if miss_rate > at.alpha || tasks_waiting > 0 {
        return None;
    }
    let least = machines.iter().min_by(|a, b| {
        a.utilisation
            .total_cmp(&b.utilisation)
            .then(a.power.total_cmp(&b.power))
            .then(a.shard.cmp(&b.shard))
            .then(a.paid_left.cmp(&b.paid_left))
    })?;
    let mut counts = vec![0; type_count];
    for machine in machines {
        if let Some(count) = counts.get_mut(machine.kind) {
            *count += 1;
        }
    }
    let mixed = evenness(&counts) >= at.evenness;
    (!mixed || least.utilisation < at.utilisation).then_some(least)
}

/// How machines are paid for: a first period in full, then in shorter ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaidPeriods {
    /// The first period: the least time that a machine is paid for.
    pub first: Duration,
    /// The periods after it.
    pub then: Duration,
}

impl PaidPeriods {
    /// What is left of the period that is running at this age.
    pub fn left(&self, age: Duration) -> Duration {
        match self.first.checked_sub(age) {
            Some(left) if !left.is_zero() => left,
            _ => {
                let then = self.then.as_millis().max(1);
                let into = (age - self.first).as_millis() % then;
                Duration::from_millis((then - into) as u64)
            }
        }
    }
}

#[cfg(test)]
mod tests;
