//! Words of a statement: `key=value` pairs, and bare words as flags.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use stallcove::storage::*;

/// The words after a statement's name, by key.
pub(super) struct Words<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Words<'a> {
    /// Splits the parts of a statement into keys and values; a bare word has an empty value.
    pub(super) fn new(parts: &[&'a str]) -> Self {
        let pairs = parts.iter();
        Self(
            pairs
                .map(|part| part.split_once('=').unwrap_or((part, "")))
                .collect(),
        )
    }

    /// Returns the value of a word.
    pub(super) fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    /// Whether the word is present, with or without a value.
    pub(super) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Returns a number, or `default` if the word is absent.
    pub(super) fn number(&self, name: &str, default: f64) -> f64 {
        self.get(name)
            .map_or(default, |text| parse(text, &format!("the number {name}=")))
    }

    /// Returns a duration given in seconds, or `default` seconds if the word is absent.
    pub(super) fn seconds(&self, name: &str, default: f64) -> Duration {
        Duration::from_secs_f64(self.number(name, default))
    }

    /// Returns a list of names separated by commas.
    pub(super) fn names(&self, name: &str) -> Option<Vec<&'a str>> {
        self.get(name).map(|list| list.split(',').collect())
    }

    /// Builds the job that a `submit`-like action describes; absent words get defaults.
    pub(super) fn job_spec(&self) -> JobSpec {
        JobSpec {
            class: ClassName::new(self.get("class").unwrap_or("class")),
            team: TeamName::new(self.get("team").unwrap_or("team")),
            kind: self.job_kind(),
            priority: self.priority(),
            tasks: self.number("tasks", 1.0) as u32,
            per_task: Resources {
                cpus: self.number("cpus", 2.0),
                gpus: self.number("gpus", 0.0),
                memory: self.number("memory", 1.0),
            },
            image: ImageName::new(self.get("image").unwrap_or("img")),
            image_gb: self.number("image_gb", 0.5),
            types: self
                .names("types")
                .map(|names| names.into_iter().map(TypeName::new).collect()),
            zone: self.get("zone").map(ZoneName::new),
            one_zone: self.has("one_zone"),
            spread: self.has("spread"),
            spot: self.has("spot"),
            estimate: self.seconds("run", 10.0),
            checkpoint: self.seconds("checkpoint", 0.0),
            save: self.seconds("save", 0.0),
            deadline: self.has("deadline").then(|| self.seconds("deadline", 0.0)),
            accepted_ms: 0,
            assigned_zone: None,
        }
    }

    fn job_kind(&self) -> JobKind {
        if self.has("service") {
            JobKind::Service
        } else if self.has("gang") {
            JobKind::Gang
        } else {
            JobKind::Array
        }
    }

    fn priority(&self) -> Priority {
        match self.get("priority") {
            Some("prod") => Priority::Production,
            Some("urgent") => Priority::Urgent,
            Some("low") => Priority::BestEffort,
            _ => Priority::Normal,
        }
    }
}

/// Parses a word, or panics: an invalid scenario is a mistake in the test, which must fail at
/// once.
pub(super) fn parse<T: FromStr>(text: &str, what: &str) -> T {
    let Ok(value) = text.parse() else {
        panic!("{what} cannot be read from {text:?}");
    };
    value
}
