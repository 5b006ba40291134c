//! The HTTP server for users, agents and health checks: reads the requests' messages, asks
//! the [`Controller`], and writes the answers. Users' requests pass [`Admission`] first;
//! every connection counts against the [`SocketBudget`].

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

/// Health check of the load balancer.
const READY_PATH: &str = "/ready";
/// A request's body must come within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// A request's head must come within this time; idle connections end by it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A user's request is answered within this time, one way or the other.
const USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Seconds after which a request refused for lack of time or room may be sent again.
const RETRY_SOON_SECONDS: &str = "1";
/// Seconds after which a request that cannot be answered now may be sent again.
const RETRY_LATER_SECONDS: &str = "2";
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What the handlers share.
#[derive(Clone)]
struct AppState {
    controller: Arc<Controller>,
    admission: Admission,
}

/// The handlers of all requests to a controller.
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

/// With few sockets left, connections end with their answer. Each agent comes
/// again with its next heartbeat, so that idle ones are given up within one heartbeat
/// interval, and all agents can be heard by one controller.
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
    // Messages are plain data with string keys; they always serialise.
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

/// The whole body, if it is not too large and comes in time.
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

/// Handles a user's request within the admission limit and its time.
async fn with_admission(
    app: &AppState,
    handle: impl Future<Output = Result<Response, JobError>>,
) -> Response {
    let Some(_admitted) = app.admission.try_admit() else {
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

/// A path that names no possible job names an unknown one.
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

/// Serves inbound connections until told to stop.
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
        // Beyond the limit the connection is closed at once, so that the load
        // balancer goes on to another controller.
        let Some(permit) = sockets.acquire(ConnectionPurpose::Inbound) else {
            continue;
        };
        // Without the option answers are but slower.
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
        // A connection that breaks is the other side's to report.
        _ = connection.as_mut() => {}
        _ = stop.cancelled() => connection.graceful_shutdown(),
    }
}
