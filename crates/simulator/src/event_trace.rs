//! Ordered events of a scenario run, used to find the first difference between two runs.
//!
//! A run depends only on its seed, so two runs with the same seed produce the same events in the
//! same order. A difference shows that something not derived from the seed has influenced a run.

use std::{
    collections::hash_map::DefaultHasher,
    fmt,
    hash::{Hash, Hasher},
    time::Duration,
};

/// The events of a run in order: messages, answers, starts and ends of tasks.
#[derive(Clone, Debug, Default)]
pub struct EventTrace {
    events: Vec<String>,
}

/// The first difference between two runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceDifference {
    /// Number of equal events before the difference.
    pub index: usize,
    /// The event of the first run; `None` if that run has no more events.
    pub left: Option<String>,
    /// The event of the second run; `None` if that run has no more events.
    pub right: Option<String>,
}

impl fmt::Display for TraceDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |event: &Option<String>| event.clone().unwrap_or_else(|| "(over)".into());
        writeln!(f, "the same for {} events, then", self.index)?;
        writeln!(f, "  first:  {}", text(&self.left))?;
        write!(f, "  second: {}", text(&self.right))
    }
}

impl EventTrace {
    /// Appends an event; `at` is the time since the start of the scenario.
    pub fn record(&mut self, at: Duration, event: &str) {
        self.events
            .push(format!("{:10.6} {event}", at.as_secs_f64()));
    }

    /// Returns all events in order.
    pub fn events(&self) -> &[String] {
        &self.events
    }

    /// Returns a hash of the trace: equal for equal events in the same order.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.events.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the first difference from another trace, or `None` if they are equal.
    pub fn first_difference(&self, other: &Self) -> Option<TraceDifference> {
        let length = self.events.len().max(other.events.len());
        let index = (0..length).find(|&index| self.events.get(index) != other.events.get(index))?;
        Some(TraceDifference {
            index,
            left: self.events.get(index).cloned(),
            right: other.events.get(index).cloned(),
        })
    }
}
