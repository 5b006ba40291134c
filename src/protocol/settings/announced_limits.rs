//! Announced limits: limits that the key-value store will have at an unknown later time. A
//! mistake in them is reported as a warning and does not prevent a process from starting.

use serde_json::Value;

use super::{
    FieldError, Requirement, SettingsWarning,
    validation::{MIN_TRANSACTION_OPERATIONS, MIN_VALUE_KB},
};

/// The announced limits that can be used. `None` means that a limit is not announced or its
/// value is unusable; the present limit continues to apply.
#[derive(Debug, Default, PartialEq)]
pub(super) struct NextLimits {
    /// Requests per second.
    pub(super) rps: Option<f64>,
    /// Writes per second.
    pub(super) write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub(super) value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    pub(super) txn_ops: Option<u32>,
}

/// The result of reading [`super::StateSettings::next`].
pub(super) struct AnnouncedLimits {
    /// The limits that can be used.
    pub(super) limits: NextLimits,
    /// The mistakes.
    pub(super) warnings: Vec<SettingsWarning>,
}

impl AnnouncedLimits {
    /// Reads the announced limits, field by field.
    pub(super) fn read(next: &Value) -> Self {
        let mut announced = Self {
            limits: NextLimits::default(),
            warnings: Vec::new(),
        };
        if !next.is_null() && !next.is_object() {
            announced.warnings.push(SettingsWarning::NextNotAnObject);
        }
        announced.limits = NextLimits {
            rps: announced.rate(next, "rps"),
            write_rps: announced.rate(next, "write_rps"),
            value_kb: announced.at_least(next, "value_kb", MIN_VALUE_KB),
            txn_ops: announced
                .at_least(next, "txn_ops", f64::from(MIN_TRANSACTION_OPERATIONS))
                .map(|operations| operations as u32),
        };
        announced
    }

    fn warn(&mut self, field: &str, requirement: Requirement) {
        let error = FieldError::new(field, requirement);
        self.warnings.push(SettingsWarning::NextLimit(error));
    }

    /// Returns a field's number, or `None` if the field is absent or not a number. The latter is
    /// a warning.
    fn number(&mut self, next: &Value, field: &str) -> Option<f64> {
        let value = next.get(field).filter(|value| !value.is_null())?;
        let number = value.as_f64();
        if number.is_none() {
            self.warn(field, Requirement::Number);
        }
        number
    }

    fn rate(&mut self, next: &Value, field: &str) -> Option<f64> {
        let rate = self.number(next, field)?;
        if rate > 0.0 {
            return Some(rate);
        }
        self.warn(field, Requirement::PositiveNumber);
        None
    }

    /// Returns a field's number, raised to the minimum with which a controller can run. A number
    /// below it is a warning.
    fn at_least(&mut self, next: &Value, field: &str, minimum: f64) -> Option<f64> {
        let size = self.number(next, field)?;
        if size < minimum {
            self.warn(field, Requirement::AtLeast(minimum));
        }
        Some(size.max(minimum))
    }
}
