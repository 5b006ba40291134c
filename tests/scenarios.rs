//! Plays every scenario under `tests/scenarios/` against the simulator, which
//! check PROTOCOL's rules in each.
//!
//! `SCENARIO_FIGURES=file` writes what each scenario measured to that file, one line a
//! scenario. The clock is paused and the seeds are fixed, so that a change of the code
//! which is to change no behaviour gives the same lines as the code before it.

use std::{fs, path::Path, thread};

use simulator::scenario::Scenario;

#[test]
fn every_scenario_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    simulator::start_logging();
    let mut files: Vec<_> = fs::read_dir(folder)
        .expect("the scenarios' folder")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| {
            path.extension()
                .is_some_and(|pending_cleanup| pending_cleanup == "txt")
        })
        .filter(|path| {
            let name = path
                .file_stem()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            only.as_ref().is_none_or(|wanted| name.contains(wanted))
        })
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios");
    let playing: Vec<_> = files
        .into_iter()
        .map(|path| {
            let name = path
                .file_stem()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            let text = fs::read_to_string(&path).expect("a scenario");
            let played = thread::spawn(move || Scenario::parse(&text).measure());
            (name, played)
        })
        .collect();
    let mut failed = 0;
    let mut figures = String::new();
    for (name, played) in playing {
        let wrong = match played.join() {
            Ok(measured) => {
                figures += &format!("{name}: {measured}\n");
                measured.wrong
            }
            Err(_) => vec!["panicked".into()],
        };
        println!(
            "{name}: {}",
            if wrong.is_empty() { "holds" } else { "FAILS" }
        );
        for what in &wrong {
            println!("    {what}");
        }
        failed += usize::from(!wrong.is_empty());
    }
    if let Some(path) = std::env::var_os("SCENARIO_FIGURES") {
        fs::write(path, figures).expect("the figures are written");
    }
    assert_eq!(failed, 0, "scenarios that fail");
}
