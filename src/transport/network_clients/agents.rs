//! The client of the agents, over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};

use super::to_json;
use crate::{
    coordination::clients::{AgentClient, Command, CommandResponse, Heartbeat, NoResponse},
    protocol::agents::{COMMAND_PATH, CommandRequest, INSPECT_PATH, parse_heartbeat},
    storage::{AgentEpoch, FencingToken},
    transport::network::{Destination, HttpRequest, HttpResponse, Method, Network, status},
};

/// Timeout of a request with commands.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of an inspection.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The client of all agents.
pub(super) struct HttpAgentClient {
    /// Network that sends the requests.
    pub(super) network: Arc<dyn Network>,
}

impl HttpAgentClient {
    async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, NoResponse> {
        let request = HttpRequest {
            destination: Destination::Agent,
            address: address.to_owned(),
            method,
            path: path.to_owned(),
            body,
            timeout,
        };
        let response = self.network.send_request(request).await;
        response.map_err(|error| NoResponse(error.to_string()))
    }
}

fn parse_heartbeat_response(response: &HttpResponse) -> Result<Heartbeat, NoResponse> {
    parse_heartbeat(&response.body)
        .map_err(|_| NoResponse(format!("status {} without a heartbeat", response.status)))
}

impl AgentClient for HttpAgentClient {
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: FencingToken,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoResponse>> {
        async move {
            let body = to_json(&CommandRequest::new(token, epoch, commands));
            let response = self
                .send(Method::Post, address, COMMAND_PATH, body, COMMAND_TIMEOUT)
                .await?;
            Ok(CommandResponse {
                executed: response.status == status::OK,
                heartbeat: parse_heartbeat_response(&response)?,
            })
        }
        .boxed()
    }

    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoResponse>> {
        async move {
            let response = self
                .send(
                    Method::Get,
                    address,
                    INSPECT_PATH,
                    Bytes::new(),
                    INSPECT_TIMEOUT,
                )
                .await?;
            parse_heartbeat_response(&response)
        }
        .boxed()
    }
}
