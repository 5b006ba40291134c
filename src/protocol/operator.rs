//! The operators' own settings: an optional file in protobuf text format over
//! compiled-in defaults. An unknown field is an error.

use std::time::Duration;

use super::{seconds, settings::SettingsError};
use crate::coordination::Tuning;

mod generated {
    #![allow(clippy::all, unused_attributes, unused_imports)]
    include!(concat!(env!("OUT_DIR"), "/operator/mod.rs"));
}

use generated::operator::Operator;

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

pub fn parse(text: &str) -> Result<Tuning, String> {
    let operator: Operator =
        protobuf::text_format::parse_from_str(text).map_err(|error| error.to_string())?;
    let mut tuning = Tuning::default();
    let share = |name: &str, value: Option<f64>, slot: &mut f64| match value {
        Some(value) if (0.0..=1.0).contains(&value) => {
            *slot = value;
            Ok(())
        }
        Some(value) => Err(format!("{name} must be between 0 and 1, not {value}")),
        None => Ok(()),
    };
    let span = |name: &str, value: Option<f64>, slot: &mut Duration| match value {
        Some(value) => match seconds(value).filter(|span| !span.is_zero()) {
            Some(span) => {
                *slot = span;
                Ok(())
            }
            None => Err(format!("{name} must be a positive number of seconds")),
        },
        None => Ok(()),
    };
    if let Some(band) = operator.band.as_ref() {
        share("band.alpha", band.alpha, &mut tuning.alpha)?;
        share("band.beta", band.beta, &mut tuning.beta)?;
        span("band.round_s", band.round_s, &mut tuning.round)?;
        span(
            "band.start_target_s",
            band.start_target_s,
            &mut tuning.start_target,
        )?;
        span("band.window_s", band.window_s, &mut tuning.window)?;
    }
    if let Some(renting) = operator.renting.as_ref() {
        share(
            "renting.miss_weight",
            renting.miss_weight,
            &mut tuning.miss_weight,
        )?;
        share(
            "renting.demand_threshold",
            renting.demand_threshold,
            &mut tuning.demand_threshold,
        )?;
        share(
            "renting.utilisation_threshold",
            renting.utilisation_threshold,
            &mut tuning.utilisation_threshold,
        )?;
        share(
            "renting.suitability_k",
            renting.suitability_k,
            &mut tuning.suitability_k,
        )?;
        share(
            "renting.evenness_threshold",
            renting.evenness_threshold,
            &mut tuning.evenness_threshold,
        )?;
        if let Some(theta) = renting.remedial_theta {
            if !(theta.is_finite() && theta > 0.0) {
                return Err("renting.remedial_theta must be positive".into());
            }
            tuning.remedial_theta = theta;
        }
        span(
            "renting.paid_period_s",
            renting.paid_period_s,
            &mut tuning.paid.first,
        )?;
        span(
            "renting.paid_step_s",
            renting.paid_step_s,
            &mut tuning.paid.then,
        )?;
    }
    if let Some(timing) = operator.timing.as_ref() {
        span(
            "timing.node_lease_s",
            timing.node_lease_s,
            &mut tuning.controller_lease,
        )?;
        span("timing.offer_s", timing.offer_s, &mut tuning.offer)?;
        if timing.silent_s.is_some() {
            let mut silent = Duration::ZERO;
            span("timing.silent_s", timing.silent_s, &mut silent)?;
            tuning.unresponsive_after = Some(silent);
        }
    }
    if let Some(quota) = operator.quota.as_ref() {
        tuning.quota_transfers = quota.transfers.unwrap_or(tuning.quota_transfers);
    }
    if tuning.alpha > tuning.beta {
        return Err("band.alpha must not exceed band.beta".into());
    }
    if tuning.beta <= 0.0 {
        return Err("band.beta must be positive".into());
    }
    if tuning.controller_lease < Duration::from_millis(1000) {
        return Err("timing.node_lease_s must be at least 1".into());
    }
    Ok(tuning)
}

#[cfg(test)]
mod tests;
