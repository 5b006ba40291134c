//! An amount of the resources that a team's limit counts.

use serde::{Deserialize, Serialize};

/// Tolerance for comparing sums of amounts, which are decimal numbers on the wire.
pub const AMOUNT_SLACK: f64 = 1e-6;

/// An amount of CPUs and GPUs out of a team's limit. Memory is not limited per team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// CPUs.
    #[serde(rename = "c")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "g", default)]
    pub gpus: f64,
}

impl Quota {
    /// The amount that represents "no limit" in sums and in stored budgets, which hold plain
    /// numbers. It is far larger than any fleet, and small enough that adding a task's
    /// amounts to it stays exact.
    pub const UNLIMITED: f64 = 1e9;

    /// Returns a team's limit from the settings, where zero means "no limit". Reading zero as
    /// "may use nothing" would refuse every job of a team without a limit.
    pub fn from_limit(cpus: f64, gpus: f64) -> Self {
        let limit = |max: f64| if max > 0.0 { max } else { Self::UNLIMITED };
        Self {
            cpus: limit(cpus),
            gpus: limit(gpus),
        }
    }

    /// Whether `used` does not exceed this amount, within [`AMOUNT_SLACK`].
    pub fn covers(&self, used: &Quota) -> bool {
        used.cpus <= self.cpus + AMOUNT_SLACK && used.gpus <= self.gpus + AMOUNT_SLACK
    }

    /// Returns the maximum of both amounts, separately for CPUs and GPUs.
    pub fn max(&self, other: &Quota) -> Quota {
        self.zip(other, f64::max)
    }

    /// Returns the minimum of both amounts, separately for CPUs and GPUs.
    pub fn min(&self, other: &Quota) -> Quota {
        self.zip(other, f64::min)
    }

    /// Returns the sum of both amounts.
    pub fn plus(&self, other: &Quota) -> Quota {
        self.zip(other, |a, b| a + b)
    }

    /// Returns this amount less the other one; negative where the other one is larger.
    pub fn minus(&self, other: &Quota) -> Quota {
        self.zip(other, |a, b| a - b)
    }

    /// Returns this amount with negative values replaced by zero.
    pub fn at_least_zero(&self) -> Quota {
        self.max(&Quota::default())
    }

    /// Returns this amount multiplied by `n`.
    pub fn times(&self, n: f64) -> Quota {
        Quota {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
        }
    }

    /// Whether the CPUs or the GPUs exceed `threshold`.
    pub fn exceeds(&self, threshold: f64) -> bool {
        self.cpus > threshold || self.gpus > threshold
    }

    /// Whether a transfer request may ask for this amount: it must be finite, not negative,
    /// and not zero.
    pub fn is_requestable(&self) -> bool {
        let is_valid = |n: f64| n.is_finite() && n >= 0.0;
        is_valid(self.cpus) && is_valid(self.gpus) && self.exceeds(0.0)
    }

    fn zip(&self, other: &Quota, combine: impl Fn(f64, f64) -> f64) -> Quota {
        Quota {
            cpus: combine(self.cpus, other.cpus),
            gpus: combine(self.gpus, other.gpus),
        }
    }
}
