//! Remedial scaling out between the periodic rounds (section 5.4, equation 9).

/// Returns the number of machines to provision: n = ceil(Q / (θ·β)), less the booting machines.
/// Q (`jobs_waiting`) is the number of jobs with waiting tasks, or the number of machines that
/// these tasks fill if that is larger.
pub fn scale_out(jobs_waiting: usize, theta: f64, beta: f64, booting: u32) -> u32 {
    if jobs_waiting == 0 || theta * beta <= 0.0 {
        return 0;
    }
    let wanted = (jobs_waiting as f64 / (theta * beta) - 1e-9).ceil();
    (wanted as u32).saturating_sub(booting)
}

#[cfg(test)]
mod tests;
