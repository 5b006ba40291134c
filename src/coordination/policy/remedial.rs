//! The remedial rule between rounds (section 5.4, equation 9).

/// How many machines to provision: n = ceil(Q / (θ·β)) for Q jobs with waiting tasks, or the machines that their
/// tasks fill if these are more, less booting machines.
pub fn scale_out(jobs_waiting: usize, theta: f64, beta: f64, booting: u32) -> u32 {
    if jobs_waiting == 0 || theta * beta <= 0.0 {
        return 0;
    }
    let wanted = (jobs_waiting as f64 / (theta * beta) - 1e-9).ceil();
    (wanted as u32).saturating_sub(booting)
}

#[cfg(test)]
mod tests;
