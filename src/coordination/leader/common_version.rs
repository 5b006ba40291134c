//! Records the protocol version that all controllers support.

use super::Leader;
use crate::{
    coordination::clients::ProtocolVersion,
    storage::{
        Revision, Transaction, keys, rate_limiter::RequestPriority, records::CommonVersionRecord,
    },
};

impl Leader {
    /// Raises the recorded common protocol version once every controller has reported that it
    /// supports a higher one. The version is never lowered.
    pub(super) async fn raise_common_version(&self) {
        let common = {
            let cache = self.context.store.cache();
            self.liveness.common_protocol_version(&self.context, &cache)
        };
        let common = common.unwrap_or_default();
        if common == ProtocolVersion::default() {
            return;
        }
        let revision = {
            let cache = self.context.store.cache();
            match &cache.common_version {
                Some(entry) if entry.value.protocol_version >= common.0 => return,
                Some(entry) => entry.revision,
                None => Revision(0),
            }
        };
        let record = CommonVersionRecord {
            protocol_version: common.0,
        };
        let transaction = Transaction::default()
            .require(keys::COMMON_VERSION.into(), revision)
            .set(keys::COMMON_VERSION.into(), &record);
        let written = self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await;
        if written.is_ok() {
            tracing::info!(
                protocol_version = common.0,
                "common protocol version raised"
            );
        }
    }
}
