//! The miss-rate band and periodic scaling out (section 5.3.1, algorithm 1,
//! equation 6).

/// Load and demand of one pool in a scaling round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Share of the recent misses that belongs to tasks suited to this pool (σ).
    pub miss_share: f64,
    /// Share of the waiting tasks that suit this pool (φ).
    pub queue_share: f64,
    /// Utilisation of the least-used machine of this pool (ρ); `None` if there is no such
    /// machine.
    pub least_utilisation: Option<f64>,
    /// Machines that the waiting tasks suited to this pool would fill, less those booting (not
    /// in the paper).
    pub machines_needed: u32,
}

/// Parameters of periodic scaling out, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Minimum miss rate at which machines are provisioned (β).
    pub beta: f64,
    /// Weight of the miss share, 0 to 1 (k). The weight of the queue share is one minus this.
    pub miss_weight: f64,
    /// Minimum demand for a pool at which machines are provisioned.
    pub demand: f64,
    /// Minimum utilisation of the least-used machine of a pool for which more machines are
    /// provisioned.
    pub utilisation: f64,
}

/// Returns the demand for a pool: ω = k·σ + (1 - k)·φ.
pub fn demand(load: &PoolLoad, miss_weight: f64) -> f64 {
    miss_weight * load.miss_share + (1.0 - miss_weight) * load.queue_share
}

/// Returns the number of machines of each pool to provision: arrivals·ω/β, rounded down and at
/// most the machines needed. `arrivals` is the arrival rate in tasks per minute.
pub fn scale_out(
    miss_rate: f64,
    arrivals: f64,
    loads: &[PoolLoad],
    thresholds: &Thresholds,
) -> Vec<u32> {
    loads
        .iter()
        .map(|load| {
            let demand = demand(load, thresholds.miss_weight);
            let is_busy = load
                .least_utilisation
                .is_none_or(|utilisation| utilisation >= thresholds.utilisation);
            if miss_rate < thresholds.beta || demand < thresholds.demand || !is_busy {
                return 0;
            }
            let machines = (arrivals * demand / thresholds.beta).floor().max(0.0);
            (machines as u32).min(load.machines_needed)
        })
        .collect()
}

#[cfg(test)]
mod tests;
