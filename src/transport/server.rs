//! The server for users, agents and health checks.

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
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{
    admission::Admission,
    sockets::{Sockets, Use},
};
use crate::{
    coordination::{
        Controller,
        clients::HeartbeatResponse,
        jobs::{JobError, JobState, Submitted},
    },
    protocol::{
        BODY_LIMIT, agents,
        users::{self, Stance},
    },
    storage::JobId,
};

/// A request's body must come within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// A request's head must come within this time; idle connections end by it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(40);
const HEAD_LIMIT: usize = 16 * 1024;
/// A user's request is answered within this time, one way or the other.
const USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Seconds after which a refused user may come again.
const RETRY_SOON: &str = "1";
const RETRY_LATER: &str = "2";

#[derive(Clone)]
struct App {
    controller: Arc<Controller>,
    admission: Admission,
}

pub fn router(controller: Arc<Controller>, sockets: Sockets) -> Router {
    let app = App {
        controller,
        admission: Admission::default(),
    };
    Router::new()
        .route("/api/jobs", post(submit))
        .route("/api/jobs/{id}", get(job_status))
        .route("/api/jobs/{id}/abort", post(cancel))
        .route("/ready", get(ready))
        .route("/hello", post(heartbeat))
        .with_state(app)
        .layer(middleware::from_fn_with_state(sockets, close_if_pressed))
}

/// With few sockets left, connections end with their answer. Each agent comes
/// again with its next heartbeat, so that idle ones are given up within one heartbeat
/// interval, and all agents can be heard by one controller.
async fn close_if_pressed(
    State(sockets): State<Sockets>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if sockets.is_pressed() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
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
        JobError::Unavailable => retry_later("cannot tell now", RETRY_LATER),
        JobError::Unknown => error_response(StatusCode::NOT_FOUND, "no such job"),
        JobError::Infeasible(_) => {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string())
        }
    }
}

/// The whole body, if it is not too large and comes in time.
async fn read_body(request: Request) -> Result<Bytes, Response> {
    let body = axum::body::to_bytes(request.into_body(), BODY_LIMIT);
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "body too large or broken",
        )),
        Err(_) => Err(error_response(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    }
}

/// Runs a user's request within the admission limit and its time.
async fn admitted(app: &App, work: impl Future<Output = Response>) -> Response {
    let Some(_place) = app.admission.enter() else {
        return retry_later("too many requests in progress", RETRY_SOON);
    };
    tokio::time::timeout(USER_TIMEOUT, work)
        .await
        .unwrap_or_else(|_| retry_later("took too long", RETRY_SOON))
}

async fn submit(State(app): State<App>, request: Request) -> Response {
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let (id, spec) = match users::read_job(&body) {
        Ok(job) => job,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    admitted(&app, async {
        match app.controller.jobs.submit(id.clone(), spec).await {
            Ok(Submitted::Accepted) => {
                json(StatusCode::CREATED, &Stance::brief(&id, JobState::Queued))
            }
            Ok(Submitted::Known(status)) => json(StatusCode::OK, &Stance::of(&id, status)),
            Err(error) => job_error_response(error),
        }
    })
    .await
}

async fn job_status(State(app): State<App>, Path(id): Path<String>) -> Response {
    let Some(id) = JobId::parse(&id) else {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    };
    admitted(&app, async {
        match app.controller.jobs.status(&id).await {
            Ok(status) => json(StatusCode::OK, &Stance::of(&id, status)),
            Err(error) => job_error_response(error),
        }
    })
    .await
}

async fn cancel(State(app): State<App>, Path(id): Path<String>) -> Response {
    let Some(id) = JobId::parse(&id) else {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    };
    admitted(&app, async {
        match app.controller.jobs.cancel(&id).await {
            Ok(status) => json(StatusCode::OK, &Stance::brief(&id, status.state)),
            Err(error) => job_error_response(error),
        }
    })
    .await
}

async fn ready(State(app): State<App>) -> Response {
    if app.controller.is_ready() {
        StatusCode::OK.into_response()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }
}

async fn heartbeat(State(app): State<App>, request: Request) -> Response {
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let heartbeat = serde_json::from_slice::<agents::Hello>(&body)
        .ok()
        .and_then(agents::Hello::into_heartbeat);
    let Some(heartbeat) = heartbeat else {
        return error_response(StatusCode::BAD_REQUEST, "not a report");
    };
    match app.controller.heartbeats.handle(&heartbeat) {
        HeartbeatResponse::Accepted { token, commands } => json(
            StatusCode::OK,
            &agents::Answer {
                bridle: token.0,
                calls: commands.iter().map(agents::Call::from).collect(),
            },
        ),
        HeartbeatResponse::NotHere(controller) => json(
            StatusCode::MISDIRECTED_REQUEST,
            &agents::Elsewhere {
                groom: controller.as_ref().map(|controller| controller.as_str()),
            },
        ),
        HeartbeatResponse::Unavailable => retry_later("cannot tell now", RETRY_SOON),
    }
}

/// Serves until told to stop.
pub async fn serve(
    router: Router,
    listener: TcpListener,
    sockets: Sockets,
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
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // Beyond the limit the connection is closed at once, so that the load
        // balancer goes on to another controller.
        let Some(taken) = sockets.take(Use::Served) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            let _taken = taken;
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                _ = stop.cancelled() => connection.graceful_shutdown(),
            }
        });
    }
}
