//! The HTTP server for users, agents and health checks: parses requests, passes them to the
//! [`Controller`] and writes the responses. Users' requests are subject to [`Admission`]; every
//! connection counts against the [`SocketBudget`].

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::{Body, Bytes},
    extract::{Path, Request, State},
    http::{HeaderValue, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use hyper_util::{rt::TokioIo, rt::TokioTimer, service::TowerToHyperService};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{
    admission::Admission,
    sockets::{ConnectionPurpose, SocketBudget, SocketPermit},
};
use crate::{
    coordination::{
        Controller,
        clients::HeartbeatResponse,
        jobs::{JobError, JobState, Submitted},
    },
    protocol::{
        MAX_BODY_BYTES, agents,
        users::{self, ErrorBody, JobStatusResponse, SubmittedJob},
    },
    storage::JobId,
};

/// Path of the load balancer's health check.
const READY_PATH: &str = "/ready";
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for receiving a request's head. It also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time within which a user's request gets its response or an error.
const USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Retry-After value, in seconds, for users' requests that exceed the request timeout or the
/// admission limit, and for heartbeats that cannot be answered at present.
const RETRY_SOON_SECONDS: &str = "1";
/// Retry-After value, in seconds, for users' requests that cannot be answered at present.
const RETRY_LATER_SECONDS: &str = "2";
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// State that the handlers share.
#[derive(Clone)]
struct AppState {
    controller: Arc<Controller>,
    admission: Admission,
}

/// Returns the routes of all HTTP requests to a controller.
pub fn router(controller: Arc<Controller>, sockets: SocketBudget) -> Router {
    let app = AppState {
        controller,
        admission: Admission::default(),
    };
    Router::new()
        .route(users::JOBS_PATH, post(submit))
        .route(users::JOB_PATH, get(job_status))
        .route(users::CANCEL_PATH, post(cancel))
        .route(READY_PATH, get(ready))
        .route(agents::HEARTBEAT_PATH, post(heartbeat))
        .with_state(app)
        .layer(middleware::from_fn_with_state(
            sockets,
            close_under_pressure,
        ))
}

/// Closes each connection after its response when few sockets are left. Each agent sends a
/// heartbeat every heartbeat interval, so its connection is closed within one interval and the
/// sockets suffice for one controller to receive the heartbeats of all agents.
async fn close_under_pressure(
    State(sockets): State<SocketBudget>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if sockets.is_under_pressure() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    // Serialisation cannot fail: messages are plain data with string keys.
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn error_response(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorBody { error })
}

fn retry_later(error: &str, seconds: &'static str) -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, error);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from_static(seconds));
    response
}

fn job_error_response(error: JobError) -> Response {
    match &error {
        JobError::Unavailable => retry_later("cannot tell now", RETRY_LATER_SECONDS),
        JobError::Unknown => error_response(StatusCode::NOT_FOUND, "no such job"),
        JobError::Infeasible(_) => {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string())
        }
    }
}

/// Reads the whole body, or returns an error response if it is too large or exceeds the timeout.
async fn read_body(request: Request) -> Result<Bytes, Response> {
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "body too large or broken",
        )),
        Err(_) => Err(error_response(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

/// Handles a user's request subject to the admission limit and the request timeout.
async fn with_admission(
    app: &AppState,
    handle: impl Future<Output = Result<Response, JobError>>,
) -> Response {
    let Some(_permit) = app.admission.try_admit() else {
        return retry_later("too many requests in progress", RETRY_SOON_SECONDS);
    };
    match tokio::time::timeout(USER_TIMEOUT, handle).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => job_error_response(error),
        Err(_) => retry_later("took too long", RETRY_SOON_SECONDS),
    }
}

async fn submit(State(app): State<AppState>, request: Request) -> Result<Response, Response> {
    let body = read_body(request).await?;
    let SubmittedJob { id, spec } = users::parse_submission(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
    let response = with_admission(&app, async {
        Ok(match app.controller.jobs.submit(id.clone(), spec).await? {
            Submitted::Accepted => json(
                StatusCode::CREATED,
                &JobStatusResponse::state_only(&id, JobState::Queued),
            ),
            Submitted::AlreadyAccepted(status) => {
                json(StatusCode::OK, &JobStatusResponse::with_counts(&id, status))
            }
        })
    });
    Ok(response.await)
}

/// Parses a job id in a path. A malformed id is handled like that of an unknown job.
fn parse_job_id(id: &str) -> Result<JobId, JobError> {
    JobId::parse(id).ok_or(JobError::Unknown)
}

async fn job_status(
    State(app): State<AppState>,
    Path(id): Path<String>,
) -> Result<Response, Response> {
    let id = parse_job_id(&id).map_err(job_error_response)?;
    let response = with_admission(&app, async {
        let status = app.controller.jobs.status(&id).await?;
        Ok(json(
            StatusCode::OK,
            &JobStatusResponse::with_counts(&id, status),
        ))
    });
    Ok(response.await)
}

async fn cancel(State(app): State<AppState>, Path(id): Path<String>) -> Result<Response, Response> {
    let id = parse_job_id(&id).map_err(job_error_response)?;
    let response = with_admission(&app, async {
        let status = app.controller.jobs.cancel(&id).await?;
        Ok(json(
            StatusCode::OK,
            &JobStatusResponse::state_only(&id, status.state),
        ))
    });
    Ok(response.await)
}

async fn ready(State(app): State<AppState>) -> Response {
    if app.controller.is_ready() {
        StatusCode::OK.into_response()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }
}

async fn heartbeat(State(app): State<AppState>, request: Request) -> Result<Response, Response> {
    let body = read_body(request).await?;
    let heartbeat = agents::parse_heartbeat(&body)
        .map_err(|_| error_response(StatusCode::BAD_REQUEST, "not a report"))?;
    Ok(match app.controller.heartbeats.handle(&heartbeat) {
        HeartbeatResponse::Accepted { token, commands } => json(
            StatusCode::OK,
            &agents::HeartbeatReply::new(token, &commands),
        ),
        HeartbeatResponse::NotOwner(controller) => json(
            StatusCode::MISDIRECTED_REQUEST,
            &agents::Redirect::from(controller.as_ref()),
        ),
        HeartbeatResponse::Unavailable => retry_later("cannot tell now", RETRY_SOON_SECONDS),
    })
}

/// Serves inbound connections until `stop` is cancelled.
pub async fn serve(
    router: Router,
    listener: TcpListener,
    sockets: SocketBudget,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        // Without a permit the connection is closed at once, so that the load balancer tries
        // another controller.
        let Some(permit) = sockets.acquire(ConnectionPurpose::Inbound) else {
            continue;
        };
        // A failure is ignored: without the option responses are only slower.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        tokio::spawn(serve_connection(stream, permit, service, stop.clone()));
    }
}

async fn serve_connection(
    stream: TcpStream,
    _permit: SocketPermit,
    service: TowerToHyperService<Router>,
    stop: CancellationToken,
) {
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        biased;
        // Errors of the connection are ignored: the other side reports them.
        _ = connection.as_mut() => {}
        _ = stop.cancelled() => connection.graceful_shutdown(),
    }
}
