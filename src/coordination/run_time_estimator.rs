//! Learned run times: the owner's estimate times a factor per class, first 1,
//! then the mean plus one standard deviation of what was measured (the paper's
//! worst-case estimate, section 4.3).

use std::{collections::BTreeMap, time::Duration};

use crate::storage::ClassName;

/// Weight of a new measurement.
const GAIN: f64 = 0.1;
/// Classes remembered.
const CLASSES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct ClassRunTime {
    mean: f64,
    variance: f64,
}

#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    classes: BTreeMap<ClassName, ClassRunTime>,
}

impl RunTimeEstimator {
    /// Returns how the run compares with what the class led to expect.
    pub fn observe(&mut self, class: &ClassName, estimate: Duration, run: Duration) -> Option<f64> {
        if estimate < Duration::from_millis(100) {
            return None;
        }
        let ratio = (run.as_secs_f64() / estimate.as_secs_f64()).clamp(0.05, 20.0);
        if !self.classes.contains_key(class) && self.classes.len() >= CLASSES {
            return None;
        }
        let factor = self.classes.entry(class.clone()).or_insert(ClassRunTime {
            mean: 1.0,
            variance: 0.0,
        });
        let expected = factor.mean;
        let off = ratio - factor.mean;
        factor.mean += GAIN * off;
        factor.variance = (1.0 - GAIN) * (factor.variance + GAIN * off * off);
        Some(ratio / expected)
    }

    pub fn factor(&self, class: &ClassName) -> f64 {
        self.classes
            .get(class)
            .map_or(1.0, |factor| factor.mean + factor.variance.sqrt())
    }
}

#[cfg(test)]
mod tests;
