//! The client of the key-value store, over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use serde::de::DeserializeOwned;

use super::{from_json, to_json};
use crate::{
    protocol::key_value_store::{
        ConflictResponse, KeyValueMessage, LEASES_PATH, LeaseRequest, LeaseResponse, RangeResponse,
        StoreErrorBody, TRANSACTION_PATH, TransactionRequest, TransactionResponse, WatchResponse,
        key_path, range_path, renewal_path, watch_path,
    },
    storage::{
        CommitError, KeyValueStore, Revision, StateError, Transaction,
        client::{KeyValue, LeaseId, RangePage, WatchEvent},
    },
    transport::network::{
        Destination, HttpRequest, HttpResponse, Method, Network, SendError, status,
    },
};

/// Timeout of a request. A watch has this time in addition to the time that it waits for events.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a request for a page of a range, whose response is larger than others.
const RANGE_TIMEOUT: Duration = Duration::from_millis(3000);

/// The client of the key-value store.
pub(super) struct HttpKeyValueStore {
    /// Network that sends the requests.
    pub(super) network: Arc<dyn Network>,
    /// Address of the store, as IP:PORT.
    pub(super) address: String,
}

impl HttpKeyValueStore {
    async fn get_path(&self, path: String, timeout: Duration) -> Result<HttpResponse, StateError> {
        self.send(Method::Get, path, Bytes::new(), timeout).await
    }

    async fn post(&self, path: String, body: Bytes) -> Result<HttpResponse, StateError> {
        self.send(Method::Post, path, body, REQUEST_TIMEOUT).await
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, StateError> {
        let request = HttpRequest {
            destination: Destination::Service,
            address: self.address.clone(),
            method,
            path,
            body,
            timeout,
        };
        match self.network.send_request(request).await {
            Ok(response) => match response.status {
                status::TOO_MANY_REQUESTS => Err(StateError::Throttled),
                status::SERVICE_UNAVAILABLE => Err(StateError::Unavailable),
                // After these codes it is unknown whether the request was executed.
                status::INTERNAL_SERVER_ERROR.. => Err(StateError::NoResponse),
                _ => Ok(response),
            },
            Err(SendError::NotSent(_)) => Err(StateError::Unavailable),
            Err(SendError::NoResponse(_)) => Err(StateError::NoResponse),
        }
    }
}

fn rejected(response: &HttpResponse) -> StateError {
    let error = from_json::<StoreErrorBody>(response)
        .map_or_else(|_| format!("status {}", response.status), |body| body.error);
    if error == StoreErrorBody::NO_SUCH_LEASE {
        StateError::LeaseExpired
    } else {
        StateError::Rejected(error)
    }
}

fn malformed(error: serde_json::Error) -> StateError {
    StateError::Rejected(error.to_string())
}

/// Parses a successful response, or returns the error of any other.
fn parse_response<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StateError> {
    if response.status != status::OK {
        return Err(rejected(response));
    }
    from_json(response).map_err(malformed)
}

impl KeyValueStore for HttpKeyValueStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>> {
        async move {
            let response = self.get_path(key_path(key), REQUEST_TIMEOUT).await?;
            if response.status == status::NOT_FOUND {
                return Ok(None);
            }
            parse_response::<KeyValueMessage>(&response).map(|message| Some(message.into()))
        }
        .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>> {
        async move {
            let path = range_path(prefix, after);
            let response = self.get_path(path, RANGE_TIMEOUT).await?;
            parse_response::<RangeResponse>(&response).map(RangePage::from)
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>> {
        async move {
            let body = to_json(&TransactionRequest::from(transaction));
            let response = self.post(TRANSACTION_PATH.into(), body).await?;
            if response.status == status::CONFLICT {
                let conflict = from_json::<ConflictResponse>(&response).map_err(malformed)?;
                return Err(CommitError::Conflict(conflict.keys));
            }
            let committed = parse_response::<TransactionResponse>(&response)?;
            Ok(Revision(committed.revision))
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>> {
        async move {
            let body = to_json(&LeaseRequest {
                ttl_ms: ttl.as_millis() as u64,
            });
            let response = self.post(LEASES_PATH.into(), body).await?;
            parse_response::<LeaseResponse>(&response).map(|granted| LeaseId(granted.lease))
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>> {
        async move {
            let response = self.post(renewal_path(lease), Bytes::new()).await?;
            match response.status {
                status::OK => Ok(()),
                status::NOT_FOUND => Err(StateError::LeaseExpired),
                _ => Err(rejected(&response)),
            }
        }
        .boxed()
    }

    fn watch(
        &self,
        after: Revision,
        max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>> {
        async move {
            let path = watch_path(after, max_wait);
            let response = self.get_path(path, max_wait + REQUEST_TIMEOUT).await?;
            if response.status == status::GONE {
                return Err(StateError::TooOld);
            }
            let watched = parse_response::<WatchResponse>(&response)?;
            let events = watched.events.into_iter().map(WatchEvent::from);
            Ok((Revision(watched.revision), events.collect()))
        }
        .boxed()
    }
}
