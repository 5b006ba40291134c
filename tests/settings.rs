//! Tests of the settings files: unknown fields are ignored, and each error or warning names the
//! field that is wrong.

use std::time::Duration;

use stallcove::{
    coordination::{Tuning, clients::ProtocolVersion},
    protocol::{operator, settings::Settings},
    storage::{Incarnation, Quota},
};

const EXAMPLE: &str = r#"{
    "node_name": "n-0", "area": "a", "serve_on": "127.0.0.1:8080",
    "peer_bind": "127.0.0.1:8081", "peers": [], "surprise": 1,
    "services": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
    "settings": {
        "teams": [{"name": "t", "cpus": 4.0, "cpus_max": 8.0}],
        "workers": {"report_s": 3.0, "lease_s": 20.0, "cancel_s": 50.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 3.0, "list_lag_s": 12.0},
        "limits": {"cpu": 0.08, "mem_mb": 72.0, "max_connections": 1500}
    }}"#;

#[test]
fn unknown_fields_are_ignored() {
    let config = Settings::parse(EXAMPLE)
        .expect("valid")
        .config(Incarnation(1), Tuning::default());
    assert_eq!(config.lease_renewal_window(), Duration::from_secs(27));
    assert_eq!(config.teams[0].limit.cpus, 8.0);
}

/// A limit of zero means that the team has no limit and may use all capacity. When it was read as
/// "may use nothing", all jobs of the team were rejected permanently.
#[test]
fn a_limit_of_zero_is_no_limit() {
    let text = EXAMPLE.replace(
        "\"cpus\": 4.0, \"cpus_max\": 8.0",
        "\"cpus\": 0, \"cpus_max\": 0",
    );
    let config = Settings::parse(&text)
        .expect("valid")
        .config(Incarnation(1), Tuning::default());
    let team = &config.teams[0];
    assert_eq!(team.guaranteed.cpus, 0.0);
    let huge = Quota {
        cpus: 100_000.0 * 64.0,
        gpus: 0.0,
    };
    assert!(team.limit.covers(&huge));
}

#[test]
fn errors_name_the_field() {
    for (from, to, field) in [
        ("\"lease_s\": 20.0", "\"lease_s\": -1", "lease_s"),
        ("\"lease_s\": 20.0", "\"lease_s\": 48.0", "cancel_s"),
        ("\"cpus\": 4.0", "\"cpus\": -4.0", "cpus"),
        ("127.0.0.1:8080", "localhost:8080", "serve_on"),
        ("\"txn_ops\": 32", "\"txn_ops\": 2", "txn_ops"),
        ("\"node_name\": \"n-0\"", "\"node_name\": \"\"", "node_name"),
        ("\"area\": \"a\",", "", "area"),
    ] {
        let error = Settings::parse(&EXAMPLE.replace(from, to)).expect_err(to);
        assert!(error.to_string().contains(field), "{error}");
    }
}

/// A mistake in the settings file.
struct Mistake {
    /// The text of the example that is replaced.
    from: &'static str,
    to: &'static str,
    /// The error message that operators see.
    expected: &'static str,
}

const MISTAKES: [Mistake; 10] = [
    Mistake {
        from: r#""lease_s": 20.0"#,
        to: r#""lease_s": -1"#,
        expected: "settings.workers.lease_s must be a positive number of seconds",
    },
    Mistake {
        from: r#""lease_s": 20.0"#,
        to: r#""lease_s": 48.0"#,
        expected: "settings.workers.cancel_s must exceed lease_s by 6 s or more",
    },
    Mistake {
        from: r#""cpus": 4.0"#,
        to: r#""cpus": -4.0"#,
        expected: "settings.teams t: cpus must not be negative",
    },
    Mistake {
        from: "127.0.0.1:8080",
        to: "localhost:8080",
        expected: r#"serve_on must be IP:PORT, not "localhost:8080""#,
    },
    Mistake {
        from: r#""txn_ops": 32"#,
        to: r#""txn_ops": 2"#,
        expected: "settings.state.txn_ops must be at least 4",
    },
    Mistake {
        from: r#""value_kb": 8.0"#,
        to: r#""value_kb": 1.0"#,
        expected: "settings.state.value_kb must be at least 2",
    },
    Mistake {
        from: r#""rps": 200.0"#,
        to: r#""rps": 0"#,
        expected: "settings.state.rps must be a positive number",
    },
    Mistake {
        from: r#""max_connections": 1500"#,
        to: r#""max_connections": 63"#,
        expected: "settings.limits.max_connections must be at least 64",
    },
    Mistake {
        from: r#""node_name": "n-0""#,
        to: r#""node_name": """#,
        expected: "node_name must be a name without spaces",
    },
    Mistake {
        from: r#""peers": []"#,
        to: r#""peers": [{"node_name": "n-0", "area": "a", "address": "127.0.0.1:1"}]"#,
        expected: "peers must not name this node",
    },
];

#[test]
fn mistakes_are_reported_in_full() {
    for mistake in MISTAKES {
        let text = EXAMPLE.replace(mistake.from, mistake.to);
        let error = Settings::parse(&text).expect_err(mistake.to);
        assert_eq!(error.to_string(), mistake.expected);
    }
}

#[test]
fn warnings_are_reported_in_full() {
    for (next, expected) in [
        ("7", "settings.state.next must be an object"),
        (
            r#"{"rps": -1}"#,
            "settings.state.next rps must be a positive number",
        ),
        (
            r#"{"txn_ops": "five"}"#,
            "settings.state.next txn_ops must be a number",
        ),
        (
            r#"{"value_kb": 1.9}"#,
            "settings.state.next value_kb must be at least 2",
        ),
    ] {
        let settings = Settings::parse(&with_next(next)).expect(next);
        assert_eq!(settings.warnings()[0].to_string(), expected);
    }
}

fn with_next(next: &str) -> String {
    let state = format!("\"txn_ops\": 32, \"next\": {next}");
    EXAMPLE.replace("\"txn_ops\": 32", &state)
}

/// The smaller of the current and the announced next limit applies from the start, so that the
/// state service rejects nothing once the next limits are in force.
#[test]
fn the_smaller_of_the_current_and_next_limits_applies() {
    let state = |text: &str| {
        let settings = Settings::parse(text).expect("valid");
        settings
            .config(Incarnation(1), Tuning::default())
            .state_limits
    };
    let without_next = state(EXAMPLE);
    assert_eq!((without_next.txn_ops, without_next.value_bytes), (32, 8192));
    assert_eq!(
        (without_next.next_rps, without_next.next_write_rps),
        (200.0, 80.0)
    );
    let lowered = state(&with_next(
        r#"{"write_rps": 35.0, "value_kb": 2.0, "txn_ops": 5}"#,
    ));
    assert_eq!((lowered.txn_ops, lowered.value_bytes), (5, 2048));
    assert_eq!((lowered.write_rps, lowered.next_write_rps), (80.0, 35.0));
    assert_eq!(lowered.next_rps, 200.0);
    let raised = state(&with_next(
        r#"{"write_rps": 350.0, "value_kb": 64.0, "txn_ops": 128}"#,
    ));
    assert_eq!((raised.txn_ops, raised.value_bytes), (32, 8192));
    assert_eq!(raised.next_write_rps, 80.0);
    assert_eq!(state(&with_next("null")).txn_ops, 32);
    assert_eq!(state(&with_next("{}")).txn_ops, 32);
}

/// A mistake in the announced next limits is reported as a warning that names the field. The
/// process still starts and uses what is valid.
#[test]
fn invalid_next_limits_are_reported_as_warnings() {
    for (next, expected) in [
        (r#"{"txn_ops": 3}"#, "state.next txn_ops"),
        (r#"{"value_kb": 1.9}"#, "state.next value_kb"),
        (r#"{"write_rps": 0}"#, "state.next write_rps"),
        (r#"{"rps": -1}"#, "state.next rps"),
        (r#"{"txn_ops": -5}"#, "state.next txn_ops"),
        (r#"{"txn_ops": "five"}"#, "state.next txn_ops"),
        ("7", "state.next must be an object"),
    ] {
        let settings = Settings::parse(&with_next(next)).expect(next);
        let warnings = settings.warnings();
        assert_eq!(warnings.len(), 1, "{next}: {warnings:?}");
        assert!(warnings[0].to_string().contains(expected), "{warnings:?}");
    }
    for next in ["null", "{}", r#"{"txn_ops": null, "other": "x"}"#] {
        let settings = Settings::parse(&with_next(next)).expect(next);
        assert_eq!(settings.warnings(), [], "{next}");
    }
}

#[test]
fn invalid_next_limits_are_raised_to_the_minimum_or_ignored() {
    let state = |next: &str| {
        let settings = Settings::parse(&with_next(next)).expect(next);
        settings
            .config(Incarnation(1), Tuning::default())
            .state_limits
    };
    let small = state(r#"{"txn_ops": 1, "value_kb": 0.5, "write_rps": 35.0}"#);
    assert_eq!((small.txn_ops, small.value_bytes), (4, 2048));
    assert_eq!(small.next_write_rps, 35.0);
    let wrong = state(r#"{"txn_ops": "x", "rps": -1, "write_rps": 0, "value_kb": 4.0}"#);
    assert_eq!((wrong.txn_ops, wrong.value_bytes), (32, 4096));
    assert_eq!((wrong.next_rps, wrong.next_write_rps), (200.0, 80.0));
    assert_eq!(state(r#"{"txn_ops": 5.0}"#).txn_ops, 5);
}

/// Impossible limits of teams are reported as warnings; the process still starts.
#[test]
fn impossible_team_limits_are_reported_as_warnings() {
    let mut settings: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    let warnings = |settings: &serde_json::Value| {
        let settings = Settings::parse(&settings.to_string())
            .expect("impossible team limits must not be an error");
        settings.warnings()
    };
    let team = |name: &str, cpus: f64, cpus_max: f64| {
        serde_json::json!({"name": name, "cpus": cpus, "cpus_max": cpus_max,
            "gpus": 0.0, "gpus_max": 0.0})
    };
    let list = &mut settings["settings"]["teams"];
    // A limit of zero means no limit.
    *list = serde_json::json!([team("one", 64.0, 0.0), team("two", 8.0, 8.0)]);
    assert_eq!(warnings(&settings), []);
    let list = &mut settings["settings"]["teams"];
    *list = serde_json::json!([team("one", 64.0, 60.0), team("two", 8.0, 9.0)]);
    let found = warnings(&settings);
    assert!(
        found.len() == 1 && found[0].to_string().contains("one: cpus guarantees 64"),
        "{found:?}"
    );
    let list = &mut settings["settings"]["teams"];
    *list = serde_json::json!([team("one", 1.0, 60.0), team("one", 8.0, 9.0)]);
    let found = warnings(&settings);
    assert!(
        found.len() == 1
            && found[0]
                .to_string()
                .contains("one: the name appears more than once"),
        "{found:?}"
    );
    let many: Vec<_> = (0..400)
        .map(|n| team(&format!("team-{n}"), 1.0, 9.0))
        .collect();
    settings["settings"]["teams"] = many.into();
    let found = warnings(&settings);
    assert!(
        found.len() == 1 && found[0].to_string().contains("value_kb"),
        "{found:?}"
    );
}

/// Checks the example settings that the README recommends for a first trial.
#[test]
fn the_shipped_example_is_valid() {
    let settings = Settings::parse(include_str!("../deploy/example-settings.json"));
    let settings = settings.expect("valid");
    assert_eq!(settings.warnings(), []);
    let state = settings
        .config(Incarnation(1), Tuning::default())
        .state_limits;
    assert_eq!((state.txn_ops, state.next_write_rps), (8, 30.0));
}

/// Quota transfers are off unless the operators' file enables them, and only then does a process
/// report the protocol version that includes them.
#[test]
fn quota_transfers_are_enabled_by_the_shipped_file() {
    let off = operator::parse("").expect("valid");
    assert!(!off.quota_transfers);
    assert_eq!(off.protocol_version(), ProtocolVersion::CURRENT);
    let text = include_str!("../deploy/quota-transfers.textproto");
    let on = operator::parse(text).expect("valid");
    assert!(on.quota_transfers);
    assert_eq!(on.protocol_version(), ProtocolVersion::QUOTA_TRANSFERS);
    assert!(operator::parse("quota { transfers: maybe }").is_err());
    assert!(operator::parse("quota { transfer: true }").is_err());
}
