//! The ordered events of a play, for comparing two plays up to their first difference.
//!
//! A play is driven by its seed alone, so that two plays of one seed give the same events in
//! the same order. Where they differ, something that no seed fixes has reached the play.

use std::{
    collections::hash_map::DefaultHasher,
    fmt,
    hash::{Hash, Hasher},
    time::Duration,
};

/// What happened in a play, in order: messages, answers, starts and ends of tasks.
#[derive(Clone, Debug, Default)]
pub struct EventTrace {
    events: Vec<String>,
}

/// The first event in which two plays differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceDifference {
    /// How many events before it are the same.
    pub index: usize,
    /// The event of the first play; none: it was over.
    pub left: Option<String>,
    /// The event of the second play; none: it was over.
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

    /// All events, in order.
    pub fn events(&self) -> &[String] {
        &self.events
    }

    /// One number for the whole trace: the same for the same events in the same order.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.events.hash(&mut hasher);
        hasher.finish()
    }

    /// Where this trace and another one differ first; none: they are the same.
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
