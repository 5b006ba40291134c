//! Late copies of requests that were carried out.
//!
//! The network may deliver a request once more, seconds or minutes after it was carried out and
//! answered, also when the process that sent it has ended. Nobody waits for the answer to a copy.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::faults::Delay;

/// Minimum time between a request and its copy.
const MIN_DELAY: Duration = Duration::from_secs(1);

/// A kind of connection on which copies can arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From controllers to the state service.
    State,
    /// From controllers to the cloud.
    Cloud,
    /// From controllers to agents: direct commands.
    Agents,
    /// Between controllers.
    Controllers,
    /// From users to controllers: submissions and cancellations.
    Users,
}

impl Link {
    /// All links.
    pub const ALL: [Self; 5] = [
        Self::State,
        Self::Cloud,
        Self::Agents,
        Self::Controllers,
        Self::Users,
    ];

    /// Returns the link that controllers use for requests to this address.
    pub fn of_address(address: &str) -> Self {
        match address {
            "state" => Self::State,
            "cloud" => Self::Cloud,
            _ => Self::Agents,
        }
    }
}

/// The share of the requests on each link of which a copy arrives, and how late it may be.
#[derive(Default)]
pub struct RequestCopies(Mutex<BTreeMap<Link, Delay>>);

impl RequestCopies {
    /// Sets the share of the requests on this link that arrive once more, and the maximum delay.
    pub fn set(&self, link: Link, delay: Delay) {
        let mut delays = self.0.lock().expect("request copies lock");
        delays.insert(link, delay);
    }

    /// Draws how long after a request its copy arrives; `None` if there is no copy.
    pub fn draw(&self, link: Link) -> Option<Duration> {
        let delays = self.0.lock().expect("request copies lock");
        delays.get(&link)?.draw(MIN_DELAY)
    }
}
