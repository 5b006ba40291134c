//! Runs every scenario under `tests/scenarios/` in the simulator, which checks the rules of
//! PROTOCOL in each.
//!
//! `SCENARIO=text` runs only the scenarios whose names contain the text, `SCENARIO_SEED=n`
//! replaces the seeds of the scenario files, and `SCENARIO_FOLDER=folder` runs the scenarios of
//! another folder. `SCENARIO_TRACE=folder` writes the ordered events of each run to that folder.
//! Two runs with the same seed give the same events; `cmp` or `diff` shows where a run depends on
//! anything outside the simulation.
//!
//! `SCENARIO_FIGURES=file` writes the measurements of each scenario to that file, one line per
//! scenario. The clock is simulated and the seeds are fixed, so that a change of the code that
//! does not change behaviour leaves these lines unchanged.

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
};

use simulator::scenario::{Measurements, Scenario};

/// Returns the scenario's name: its file name without the extension.
fn name_of(path: &Path) -> String {
    let stem = path.file_stem().expect("a scenario file must have a name");
    stem.to_string_lossy().into_owned()
}

/// Returns the files of all scenarios, or of those whose names contain the value of `SCENARIO`.
fn scenario_files() -> Vec<PathBuf> {
    let folder = std::env::var_os("SCENARIO_FOLDER").map_or_else(
        || Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios"),
        PathBuf::from,
    );
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the scenario folder must be readable")
        .map(|entry| entry.expect("the directory entry must be readable").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "txt"))
        .filter(|path| {
            only.as_ref()
                .is_none_or(|wanted| name_of(path).contains(wanted))
        })
        .collect();
    files.sort();
    files
}

/// Runs a scenario with the seed and the trace output that the environment variables select.
fn run_scenario(name: &str, text: &str) -> Measurements {
    let mut scenario = Scenario::parse(text);
    if let Ok(seed) = std::env::var("SCENARIO_SEED") {
        scenario = scenario.with_seed(seed.parse().expect("SCENARIO_SEED must be a number"));
    }
    let Some(folder) = std::env::var_os("SCENARIO_TRACE") else {
        return scenario.measure();
    };
    let (measured, trace) = scenario.measure_traced();
    let path = PathBuf::from(folder).join(format!("{name}.trace"));
    fs::write(path, trace.events().join("\n") + "\n").expect("the trace file must be writable");
    println!("{name}: digest {:016x}", trace.digest());
    measured
}

fn print_result(name: &str, violations: &[String]) {
    let result = if violations.is_empty() {
        "holds"
    } else {
        "FAILS"
    };
    println!("{name}: {result}");
    for violation in violations {
        println!("    {violation}");
    }
}

#[test]
fn every_scenario_holds() {
    simulator::start_logging();
    let files = scenario_files();
    assert!(!files.is_empty(), "no scenarios");
    let running: Vec<_> = files
        .into_iter()
        .map(|path| {
            let text = fs::read_to_string(&path).expect("the scenario file must be readable");
            let name = name_of(&path);
            let run = {
                let name = name.clone();
                thread::spawn(move || run_scenario(&name, &text))
            };
            (name, run)
        })
        .collect();
    let mut failed = 0;
    let mut figures = String::new();
    for (name, run) in running {
        let violations = match run.join() {
            Ok(measured) => {
                figures += &format!("{name}: {measured}\n");
                measured.failures
            }
            Err(_) => vec!["panicked".into()],
        };
        print_result(&name, &violations);
        failed += usize::from(!violations.is_empty());
    }
    if let Some(path) = std::env::var_os("SCENARIO_FIGURES") {
        fs::write(path, figures).expect("the figures file must be writable");
    }
    assert_eq!(failed, 0, "scenarios that fail");
}
