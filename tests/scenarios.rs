//! Plays every scenario under `tests/scenarios/` against the simulator, which
//! checks PROTOCOL's rules in each.
//!
//! `SCENARIO=name` plays only the scenarios with that in their names, `SCENARIO_SEED=n` with
//! this seed in place of their own, and `SCENARIO_FOLDER=folder` those of another folder.
//! `SCENARIO_TRACE=folder` writes the ordered events of each play there; two plays of one seed
//! give the same, so that `cmp` or `diff` finds what reached a play from outside.
//!
//! `SCENARIO_FIGURES=file` writes what each scenario measured to that file, one line a
//! scenario. The clock is paused and the seeds are fixed, so that a change of the code
//! which is to change no behaviour gives the same lines as the code before it.

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
};

use simulator::scenario::{Measurements, Scenario};

/// The scenario's name: its file's name without the extension.
fn name_of(path: &Path) -> String {
    let stem = path.file_stem().expect("a scenario's file has a name");
    stem.to_string_lossy().into_owned()
}

/// All scenarios, or those whose names contain the value of `SCENARIO`.
fn scenario_files() -> Vec<PathBuf> {
    let folder = std::env::var_os("SCENARIO_FOLDER").map_or_else(
        || Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios"),
        PathBuf::from,
    );
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the scenarios' folder")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "txt"))
        .filter(|path| {
            only.as_ref()
                .is_none_or(|wanted| name_of(path).contains(wanted))
        })
        .collect();
    files.sort();
    files
}

/// Plays a scenario as the environment asks for.
fn play(name: &str, text: &str) -> Measurements {
    let mut scenario = Scenario::parse(text);
    if let Ok(seed) = std::env::var("SCENARIO_SEED") {
        scenario = scenario.with_seed(seed.parse().expect("a seed is a number"));
    }
    let Some(folder) = std::env::var_os("SCENARIO_TRACE") else {
        return scenario.measure();
    };
    let (measured, trace) = scenario.measure_traced();
    let path = PathBuf::from(folder).join(format!("{name}.trace"));
    fs::write(path, trace.events().join("\n") + "\n").expect("the events are written");
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
            let text = fs::read_to_string(&path).expect("a scenario");
            let name = name_of(&path);
            let played = {
                let name = name.clone();
                thread::spawn(move || play(&name, &text))
            };
            (name, played)
        })
        .collect();
    let mut failed = 0;
    let mut figures = String::new();
    for (name, played) in running {
        let violations = match played.join() {
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
        fs::write(path, figures).expect("the figures are written");
    }
    assert_eq!(failed, 0, "scenarios that fail");
}
