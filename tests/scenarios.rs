//! Plays every scenario under `tests/scenarios/` against the simulator, which
//! checks PROTOCOL's rules in each.
//!
//! `SCENARIO_FIGURES=file` writes what each scenario measured to that file, one line a
//! scenario. The clock is paused and the seeds are fixed, so that a change of the code
//! which is to change no behaviour gives the same lines as the code before it.

use std::{
    fs,
    path::{Path, PathBuf},
    thread,
};

use simulator::scenario::Scenario;

/// The scenario's name: its file's name without the extension.
fn name_of(path: &Path) -> String {
    let stem = path.file_stem().expect("a scenario's file has a name");
    stem.to_string_lossy().into_owned()
}

/// All scenarios, or those whose names contain the value of `SCENARIO`.
fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
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
            let played = thread::spawn(move || Scenario::parse(&text).measure());
            (name_of(&path), played)
        })
        .collect();
    let mut failed = 0;
    let mut figures = String::new();
    for (name, played) in running {
        let violations = match played.join() {
            Ok(measured) => {
                figures += &format!("{name}: {measured}\n");
                measured.wrong
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
