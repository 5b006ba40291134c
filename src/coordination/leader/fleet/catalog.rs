//! Reads the cloud's catalog of machine types, and writes it down when it has changed.

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

/// Between two readings of a catalog that is known.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Between two readings while none is known: nothing can be provisioned meanwhile.
const FIRST_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Leader {
    /// Reads the catalog if that is due.
    pub(super) async fn poll_catalog(&self, budget: &RateLimiter) {
        if !self.is_catalog_due() {
            return;
        }
        lock(&self.state).fleet.last_catalog = Some(Instant::now());
        budget.acquire(1.0, RequestPriority::Fencing).await;
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
        // What is not written now is written after the next reading.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await;
    }

    fn is_catalog_due(&self) -> bool {
        let is_known = self.context.store.cache().catalog.is_some();
        let interval = if is_known {
            POLL_INTERVAL
        } else {
            FIRST_POLL_INTERVAL
        };
        let last_read = lock(&self.state).fleet.last_catalog;
        last_read.is_none_or(|at| at.elapsed() >= interval)
    }
}
