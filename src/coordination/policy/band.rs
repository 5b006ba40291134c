//! The miss-rate band and periodic scaling out (section 5.3.1, algorithm 1,
//! equation 6).

/// What one machine type looks like in a round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TypeLoad {
    /// Share of all recent misses that tasks suited to this type had (σ).
    pub miss_share: f64,
    /// Share of the waiting tasks that suit this type (φ).
    pub queue_share: f64,
    /// Utilisation of its least-used machine (ρ); none: no machine of the type.
    pub least_utilisation: Option<f64>,
    /// Machines that its waiting tasks would fill, less those booting (ours).
    pub need: u32,
}

/// The band's open values, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Miss rate from which machines are provisioned (β).
    pub beta: f64,
    /// Weight of the miss share against the queue share, 0 to 1 (k).
    pub miss_weight: f64,
    /// Least demand of a type that is provisioned.
    pub demand: f64,
    /// Least utilisation of the least-used machine of a type that is provisioned.
    pub utilisation: f64,
}

/// A type's demand: ω = k·σ + (1 - k)·φ.
pub fn demand(load: &TypeLoad, miss_weight: f64) -> f64 {
    miss_weight * load.miss_share + (1.0 - miss_weight) * load.queue_share
}

/// How many machines of each type to provision, given the miss rate and the arrival
/// rate of tasks per minute.
pub fn scale_out(miss_rate: f64, arrivals: f64, loads: &[TypeLoad], at: &Thresholds) -> Vec<u32> {
    loads
        .iter()
        .map(|load| {
            let demand = demand(load, at.miss_weight);
            let busy = load
                .least_utilisation
                .is_none_or(|least| least >= at.utilisation);
            if miss_rate < at.beta || demand < at.demand || !busy {
                return 0;
            }
            let wanted = (arrivals * demand / at.beta).floor().max(0.0);
            (wanted as u32).min(load.need)
        })
        .collect()
}

#[cfg(test)]
mod tests;
