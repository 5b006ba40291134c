//! Estimates run times from measurements: the user's estimate is multiplied by a factor per job
//! class. The factor is 1 at first, then the mean plus one standard deviation of the measured
//! ratios of run time to estimate (the paper's worst-case estimate, section 4.3).

use std::{collections::BTreeMap, time::Duration};

use crate::storage::ClassName;

/// Weight of a new measurement in the exponentially weighted mean and variance.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Maximum number of classes with statistics.
const MAX_CLASSES: usize = 256;

/// Minimum user estimate whose runs are measured; ratios to shorter ones are meaningless.
const MIN_ESTIMATE: Duration = Duration::from_millis(100);
/// Bounds of the ratio of a measured run time to its estimate.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 20.0;

/// Statistics of the ratio of run time to user estimate in a class.
#[derive(Clone, Copy, Debug)]
struct RunTimeRatio {
    mean: f64,
    variance: f64,
}

/// Run-time statistics of this controller, by job class.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    classes: BTreeMap<ClassName, RunTimeRatio>,
}

impl RunTimeEstimator {
    /// Records a run. Returns the ratio of its run time to the mean expected for its class, or
    /// none if the run is not recorded: its estimate is too short, or there are too many classes.
    pub fn observe(&mut self, class: &ClassName, estimate: Duration, run: Duration) -> Option<f64> {
        if estimate < MIN_ESTIMATE {
            return None;
        }
        let ratio = (run.as_secs_f64() / estimate.as_secs_f64()).clamp(MIN_RATIO, MAX_RATIO);
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return None;
        }
        let stats = self.classes.entry(class.clone()).or_insert(RunTimeRatio {
            mean: 1.0,
            variance: 0.0,
        });
        let expected = stats.mean;
        let deviation = ratio - stats.mean;
        stats.mean += SMOOTHING_FACTOR * deviation;
        stats.variance =
            (1.0 - SMOOTHING_FACTOR) * (stats.variance + SMOOTHING_FACTOR * deviation * deviation);
        Some(ratio / expected)
    }

    /// Returns the factor by which to multiply a user's estimate for a task of this class.
    pub fn factor(&self, class: &ClassName) -> f64 {
        self.classes
            .get(class)
            .map_or(1.0, |stats| stats.mean + stats.variance.sqrt())
    }
}

#[cfg(test)]
mod tests;
