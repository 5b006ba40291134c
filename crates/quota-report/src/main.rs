//! Measures how long tasks wait for quota, when the leader divides team limits and when
//! controllers transfer quota to each other, with the same simulated services. Writes an HTML
//! report with plots. All figures come from simulated machines.

mod cases;
mod report;

use std::process::ExitCode;

use cases::{Case, measure};
use clap::Parser;

/// Compares the leader's division of team limits with transfers between controllers.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Path of the report to write
    #[arg(long, value_name = "FILE", default_value = "quota-report.html")]
    output: std::path::PathBuf,
    /// Number of seeds to run each case with
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut results = Vec::new();
    for case in Case::all() {
        let result = measure(&case, arguments.seeds);
        println!("{}", result.summary());
        results.push(result);
    }
    let has_violations = results.iter().any(|result| !result.violations.is_empty());
    if let Err(error) = report::write(&arguments.output, &results) {
        eprintln!("quota-report: {error}");
        return ExitCode::FAILURE;
    }
    if has_violations {
        eprintln!("quota-report: rules were violated; see the report");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
