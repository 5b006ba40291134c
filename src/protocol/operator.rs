//! The operators' settings: an optional file in protobuf text format that overrides
//! compiled-in defaults. An unknown field is an error. The program reads the file once, when it
//! starts.

use std::time::Duration;

use self::generated::operator::{Band, Operator, Renting, Timing};
use super::settings::{
    FieldError, InvalidSettings, Requirement, SettingsError, validation::positive_duration,
};
use crate::coordination::Tuning;

mod generated {
    #![allow(clippy::all, clippy::unwrap_used, unused_attributes, unused_imports)]
    include!(concat!(env!("OUT_DIR"), "/operator/mod.rs"));
}

/// Minimum duration of a controller's lease.
const MIN_CONTROLLER_LEASE: Duration = Duration::from_secs(1);

/// Reads and checks an operators' file.
pub fn load(path: &str) -> Result<Tuning, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.into(),
        source,
    })?;
    parse(&text).map_err(|reason| SettingsError::Invalid {
        path: path.into(),
        reason,
    })
}

/// Reads and checks the text of an operators' file.
pub fn parse(text: &str) -> Result<Tuning, InvalidSettings> {
    let operator: Operator = protobuf::text_format::parse_from_str(text)?;
    let mut tuning = Tuning::default();
    if let Some(band) = operator.band.as_ref() {
        apply_band(band, &mut tuning)?;
    }
    if let Some(renting) = operator.renting.as_ref() {
        apply_renting(renting, &mut tuning)?;
    }
    if let Some(timing) = operator.timing.as_ref() {
        apply_timing(timing, &mut tuning)?;
    }
    if let Some(quota) = operator.quota.as_ref() {
        tuning.quota_transfers = quota.transfers.unwrap_or(tuning.quota_transfers);
    }
    check_tuning(&tuning)?;
    Ok(tuning)
}

fn apply_band(band: &Band, tuning: &mut Tuning) -> Result<(), FieldError> {
    set_share("band.alpha", band.alpha, &mut tuning.alpha)?;
    set_share("band.beta", band.beta, &mut tuning.beta)?;
    set_duration(
        "band.round_s",
        band.round_s,
        &mut tuning.evaluation_interval,
    )?;
    set_duration(
        "band.start_target_s",
        band.start_target_s,
        &mut tuning.start_target,
    )?;
    set_duration("band.window_s", band.window_s, &mut tuning.miss_rate_window)
}

fn apply_renting(renting: &Renting, tuning: &mut Tuning) -> Result<(), FieldError> {
    set_share(
        "renting.miss_weight",
        renting.miss_weight,
        &mut tuning.miss_weight,
    )?;
    set_share(
        "renting.demand_threshold",
        renting.demand_threshold,
        &mut tuning.demand_threshold,
    )?;
    set_share(
        "renting.utilisation_threshold",
        renting.utilisation_threshold,
        &mut tuning.utilisation_threshold,
    )?;
    set_share(
        "renting.suitability_k",
        renting.suitability_k,
        &mut tuning.suitability_k,
    )?;
    set_share(
        "renting.evenness_threshold",
        renting.evenness_threshold,
        &mut tuning.evenness_threshold,
    )?;
    set_positive(
        "renting.remedial_theta",
        renting.remedial_theta,
        &mut tuning.remedial_theta,
    )?;
    set_duration(
        "renting.paid_period_s",
        renting.paid_period_s,
        &mut tuning.paid_periods.first,
    )?;
    set_duration(
        "renting.paid_step_s",
        renting.paid_step_s,
        &mut tuning.paid_periods.renewal,
    )
}

fn apply_timing(timing: &Timing, tuning: &mut Tuning) -> Result<(), FieldError> {
    set_duration(
        "timing.node_lease_s",
        timing.node_lease_s,
        &mut tuning.controller_lease,
    )?;
    set_duration("timing.offer_s", timing.offer_s, &mut tuning.offer_ttl)?;
    if let Some(value) = timing.silent_s {
        tuning.unresponsive_after = Some(positive_duration("timing.silent_s", value)?);
    }
    Ok(())
}

/// Checks that concern several fields, or a default as well as a value in the file.
fn check_tuning(tuning: &Tuning) -> Result<(), FieldError> {
    if tuning.alpha > tuning.beta {
        let requirement = Requirement::NotAbove("band.beta");
        return Err(FieldError::new("band.alpha", requirement));
    }
    if tuning.beta <= 0.0 {
        return Err(FieldError::new("band.beta", Requirement::Positive));
    }
    if tuning.controller_lease < MIN_CONTROLLER_LEASE {
        let requirement = Requirement::AtLeast(MIN_CONTROLLER_LEASE.as_secs_f64());
        return Err(FieldError::new("timing.node_lease_s", requirement));
    }
    Ok(())
}

/// Replaces a default, a number from 0 to 1, if the file has the field.
fn set_share(field: &str, value: Option<f64>, target: &mut f64) -> Result<(), FieldError> {
    let Some(value) = value else {
        return Ok(());
    };
    if !(0.0..=1.0).contains(&value) {
        return Err(FieldError::new(field, Requirement::Share(value)));
    }
    *target = value;
    Ok(())
}

/// Replaces a default, a positive number, if the file has the field.
fn set_positive(field: &str, value: Option<f64>, target: &mut f64) -> Result<(), FieldError> {
    let Some(value) = value else {
        return Ok(());
    };
    if !(value.is_finite() && value > 0.0) {
        return Err(FieldError::new(field, Requirement::Positive));
    }
    *target = value;
    Ok(())
}

/// Replaces a default duration if the file has the field, which is in seconds.
fn set_duration(field: &str, value: Option<f64>, target: &mut Duration) -> Result<(), FieldError> {
    if let Some(value) = value {
        *target = positive_duration(field, value)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
