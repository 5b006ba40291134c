//! The client of the cloud, over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use serde::de::DeserializeOwned;

use super::{from_json, to_json};
use crate::{
    coordination::clients::{CloudClient, CloudError, ListedMachine, ProvisionRequest},
    protocol::cloud::{
        CATALOG_PATH, CatalogResponse, CloudErrorBody, InventoryPage, MACHINES_PATH,
        MachineIdsMessage, ProvisionRequestBody, RELEASE_PATH, inventory_path,
    },
    storage::{MachineId, MachineType, ProvisionId},
    transport::network::{
        Destination, HttpRequest, HttpResponse, Method, Network, SendError, status,
    },
};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of pages of the inventory that are read: 32,000 machines.
const MAX_INVENTORY_PAGES: usize = 64;
/// Maximum length of a rejection's text in an error, in bytes.
const MAX_REJECTION_BYTES: usize = 200;

/// The client of the cloud.
pub(super) struct HttpCloudClient {
    /// Network that sends the requests.
    pub(super) network: Arc<dyn Network>,
    /// Address of the cloud, as IP:PORT.
    pub(super) address: String,
}

impl HttpCloudClient {
    async fn get(&self, path: String) -> Result<HttpResponse, CloudError> {
        self.send(Method::Get, path, Bytes::new()).await
    }

    async fn post(&self, path: &str, body: Bytes) -> Result<HttpResponse, CloudError> {
        self.send(Method::Post, path.to_owned(), body).await
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<HttpResponse, CloudError> {
        let request = HttpRequest {
            destination: Destination::Service,
            address: self.address.clone(),
            method,
            path,
            body,
            timeout: REQUEST_TIMEOUT,
        };
        let response = self.network.send_request(request).await;
        let response = response.map_err(|error| match error {
            SendError::NotSent(_) => CloudError::Unavailable,
            SendError::NoResponse(_) => CloudError::NoResponse,
        })?;
        check_status(response)
    }
}

/// Returns the response if the cloud executed the request, or the error for its status.
fn check_status(response: HttpResponse) -> Result<HttpResponse, CloudError> {
    match response.status {
        status::OK => Ok(response),
        status::SERVICE_UNAVAILABLE => match from_json::<CloudErrorBody>(&response) {
            Ok(body) if body.error == CloudErrorBody::NO_CAPACITY => Err(CloudError::NoCapacity),
            _ => Err(CloudError::Unavailable),
        },
        status::TOO_MANY_REQUESTS => Err(CloudError::Unavailable),
        status::BAD_REQUEST..status::INTERNAL_SERVER_ERROR => {
            let shown_bytes = response.body.len().min(MAX_REJECTION_BYTES);
            let text = String::from_utf8_lossy(&response.body[..shown_bytes]);
            Err(CloudError::Rejected(text.into_owned()))
        }
        _ => Err(CloudError::NoResponse),
    }
}

fn parse_response<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    from_json(response).map_err(|error| CloudError::Rejected(error.to_string()))
}

impl CloudClient for HttpCloudClient {
    fn catalog(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        async move {
            let response = self.get(CATALOG_PATH.into()).await?;
            let catalog = parse_response::<CatalogResponse>(&response)?;
            let machine_types = catalog.machine_types.into_iter();
            // Skips invalid types, so that the others remain usable.
            Ok(machine_types
                .filter_map(|message| message.try_into().ok())
                .collect())
        }
        .boxed()
    }

    fn provision<'a>(
        &'a self,
        id: &'a ProvisionId,
        request: &'a ProvisionRequest,
    ) -> BoxFuture<'a, Result<Vec<MachineId>, CloudError>> {
        async move {
            let body = to_json(&ProvisionRequestBody::new(id, request));
            let response = self.post(MACHINES_PATH, body).await?;
            let provisioned = parse_response::<MachineIdsMessage>(&response)?;
            Ok(provisioned
                .machines
                .into_iter()
                .map(MachineId::new)
                .collect())
        }
        .boxed()
    }

    fn release<'a>(&'a self, machines: &'a [MachineId]) -> BoxFuture<'a, Result<(), CloudError>> {
        async move {
            let body = to_json(&MachineIdsMessage {
                machines: machines.iter().map(ToString::to_string).collect(),
            });
            self.post(RELEASE_PATH, body).await.map(drop)
        }
        .boxed()
    }

    fn list_machines(&self) -> BoxFuture<'_, Result<Vec<ListedMachine>, CloudError>> {
        async move {
            let mut machines: Vec<ListedMachine> = Vec::new();
            for _ in 0..MAX_INVENTORY_PAGES {
                let last = machines.last().map(|machine| &machine.id);
                let response = self.get(inventory_path(last)).await?;
                let page = parse_response::<InventoryPage>(&response)?;
                let has_more = page.has_more && !page.machines.is_empty();
                machines.extend(page.machines.into_iter().map(ListedMachine::from));
                if !has_more {
                    return Ok(machines);
                }
            }
            tracing::info!(
                machines = machines.len(),
                "cloud inventory exceeds the page limit; remaining machines are ignored"
            );
            Ok(machines)
        }
        .boxed()
    }
}
