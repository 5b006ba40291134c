//! Learned run times: the owner's estimate times a factor per class, first 1,
//! then the mean plus one standard deviation of what was measured (the paper's
//! worst-case estimate, section 4.3).

use std::{collections::BTreeMap, time::Duration};

use crate::storage::ClassName;

/// Weight of a new measurement.
const GAIN: f64 = 0.1;
/// Classes remembered.
const MAX_CLASSES: usize = 256;

/// Shorter estimates say nothing of how a run compares with them.
const MIN_ESTIMATE: Duration = Duration::from_millis(100);
/// Bounds of a measured run time over its estimate.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 20.0;

/// Run times of a class, over their users' estimates.
#[derive(Clone, Copy, Debug)]
struct ClassRunTime {
    mean: f64,
    variance: f64,
}

/// The run times measured here, by class.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    classes: BTreeMap<ClassName, ClassRunTime>,
}

impl RunTimeEstimator {
    /// Learns from a run; returns how it compares with what the class led to expect.
    pub fn observe(&mut self, class: &ClassName, estimate: Duration, run: Duration) -> Option<f64> {
        if estimate < MIN_ESTIMATE {
            return None;
        }
        let ratio = (run.as_secs_f64() / estimate.as_secs_f64()).clamp(MIN_RATIO, MAX_RATIO);
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            return None;
        }
        let run_time = self.classes.entry(class.clone()).or_insert(ClassRunTime {
            mean: 1.0,
            variance: 0.0,
        });
        let expected = run_time.mean;
        let deviation = ratio - run_time.mean;
        run_time.mean += GAIN * deviation;
        run_time.variance = (1.0 - GAIN) * (run_time.variance + GAIN * deviation * deviation);
        Some(ratio / expected)
    }

    /// What a user's estimate of a task of this class is to be multiplied with.
    pub fn factor(&self, class: &ClassName) -> f64 {
        self.classes
            .get(class)
            .map_or(1.0, |run_time| run_time.mean + run_time.variance.sqrt())
    }
}

#[cfg(test)]
mod tests;
