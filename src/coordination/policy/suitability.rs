//! Suitability of machine types for a task (section 5.2, equations 3 to 5):
//! normalised speed against normalised cost, weighted by `k`.

use std::time::Duration;

/// A machine type with the estimated time and cost of one task on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated execution time on this type.
    pub time: Duration,
    /// Cost of executing the task there.
    pub cost: f64,
}

/// Returns (x_max - x) / (x_max - x_min), or 1 if all values are equal, so that equal values do
/// not count against any candidate.
fn normalised(x: f64, min: f64, max: f64) -> f64 {
    if max - min <= f64::EPSILON {
        1.0
    } else {
        (max - x) / (max - min)
    }
}

fn min_max(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(min, max), x| {
        (min.min(x), max.max(x))
    })
}

/// Returns the suitability S_i = k·T_i + (1 - k)·C_i of each candidate.
pub fn suitabilities(candidates: &[Candidate], k: f64) -> Vec<f64> {
    let (t_min, t_max) = min_max(
        candidates
            .iter()
            .map(|candidate| candidate.time.as_secs_f64()),
    );
    let (c_min, c_max) = min_max(candidates.iter().map(|candidate| candidate.cost));
    candidates
        .iter()
        .map(|candidate| {
            k * normalised(candidate.time.as_secs_f64(), t_min, t_max)
                + (1.0 - k) * normalised(candidate.cost, c_min, c_max)
        })
        .collect()
}

/// Returns the index of the most suitable candidate, the first one of equals.
pub fn best(candidates: &[Candidate], k: f64) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, score) in suitabilities(candidates, k).into_iter().enumerate() {
        if best.is_none_or(|(_, best_score)| score > best_score + 1e-9) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
