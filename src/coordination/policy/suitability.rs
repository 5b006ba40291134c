//! Suitability of machine types for a task (section 5.2, equations 3 to 5):
//! normalised speed against normalised cost, weighted by `k`.

use std::time::Duration;

/// A machine type as one task sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated execution time on this type.
    pub time: Duration,
    /// Cost of executing the task there.
    pub cost: f64,
}

/// (x_max - x) / (x_max - x_min), and 1 where all are alike: no difference
/// speaks against any.
fn normalised(x: f64, min: f64, max: f64) -> f64 {
    if max - min <= f64::EPSILON {
        1.0
    } else {
        (max - x) / (max - min)
    }
}

fn span(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(min, max), x| {
        (min.min(x), max.max(x))
    })
}

/// S_i = k·T_i + (1 - k)·C_i for each candidate.
pub fn suitabilities(candidates: &[Candidate], k: f64) -> Vec<f64> {
    let (t_min, t_max) = span(candidates.iter().map(|c| c.time.as_secs_f64()));
    let (c_min, c_max) = span(candidates.iter().map(|c| c.cost));
    candidates
        .iter()
        .map(|c| {
            k * normalised(c.time.as_secs_f64(), t_min, t_max)
                + (1.0 - k) * normalised(c.cost, c_min, c_max)
        })
        .collect()
}

/// The best candidate; the first of equals.
pub fn best(candidates: &[Candidate], k: f64) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (i, s) in suitabilities(candidates, k).into_iter().enumerate() {
        if best.is_none_or(|(_, b)| s > b + 1e-9) {
            best = Some((i, s));
        }
    }
    best.map(|(i, _)| i)
}

#[cfg(test)]
mod tests;
