//! Reads the cloud's catalog of machine types, and stores it when it has changed.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    coordination::{context::lock, leader::Leader},
    storage::{
        Revision, Transaction, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::CatalogRecord,
    },
};

/// Time between two polls once a catalog is known.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two polls while no catalog is known; until then nothing can be provisioned.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Leader {
    /// Reads the catalog if a poll is due, and stores it if it has changed.
    pub(super) async fn poll_catalog(&self, cloud_rate_limiter: &RateLimiter) {
        if !self.is_catalog_due() {
            return;
        }
        lock(&self.state).fleet.last_catalog_poll = Some(Instant::now());
        cloud_rate_limiter
            .acquire(1.0, RequestPriority::Fencing)
            .await;
        let types = match self.context.cloud.catalog().await {
            Ok(types) => types,
            Err(error) => {
                tracing::info!(%error, "the cloud's catalog cannot be read");
                return;
            }
        };
        let record = CatalogRecord { types };
        let revision = {
            let cache = self.context.store.cache();
            match &cache.catalog {
                Some(entry) if entry.value == record => return,
                Some(entry) => entry.revision,
                None => Revision(0),
            }
        };
        let transaction = Transaction::default()
            .require(keys::CATALOG.into(), revision)
            .set(keys::CATALOG.into(), &record);
        // Ignoring a failure is safe: the next poll writes the catalog again.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await;
    }

    fn is_catalog_due(&self) -> bool {
        let is_known = self.context.store.cache().catalog.is_some();
        let interval = if is_known {
            POLL_INTERVAL
        } else {
            INITIAL_POLL_INTERVAL
        };
        let last_read = lock(&self.state).fleet.last_catalog_poll;
        last_read.is_none_or(|at| at.elapsed() >= interval)
    }
}
