//! The program: command line, settings, logging, and the controller's background tasks.

use std::{collections::HashMap, process::ExitCode, str::FromStr, sync::Arc, time::Duration};

use clap::Parser;
use stallcove::{
    coordination::{Controller, Tuning},
    protocol::{
        operator,
        settings::{Settings, SettingsError, SettingsWarning},
    },
    storage::{ControllerName, Incarnation, Team},
    transport::{
        http::HttpNetwork,
        network_clients::{self, Addresses},
        peer_connections, server,
        sockets::{SocketBudget, SocketCounts},
    },
};
use tokio::{
    net::TcpListener,
    task::{JoinError, JoinSet},
};
use tokio_util::sync::CancellationToken;
use tracing_subscriber::{layer::SubscriberExt, util::SubscriberInitExt};

/// Exit code of a process whose settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code after a panic in any thread, the same as after one in the main thread.
const EXIT_PANIC: i32 = 101;
/// Interval at which the number of sockets in use is logged.
const SOCKET_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A controller of a cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Settings file that the platform provides (JSON)
    #[arg(long, value_name = "FILE")]
    config: String,
    /// Settings file of the operators (protobuf text format)
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
    /// Check the settings files and exit
    #[arg(long)]
    check: bool,
}

fn start_logging() {
    let requested = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = tracing::Level::from_str(&requested).unwrap_or(tracing::Level::INFO);
    // The program's own log lines are written from the requested level on, those of
    // libraries only if they are errors.
    let filter = tracing_subscriber::filter::Targets::new()
        .with_default(tracing::Level::ERROR)
        .with_target("stallcove", level);
    tracing_subscriber::registry()
        .with(
            tracing_subscriber::fmt::layer()
                .with_writer(std::io::stderr)
                .with_ansi(false)
                .with_target(false),
        )
        .with(filter)
        .init();
    if !requested.is_empty() && tracing::Level::from_str(&requested).is_err() {
        tracing::warn!(LOG_LEVEL = requested, "not a log level; using info");
    }
}

/// Why the process ends.
#[derive(Debug, thiserror::Error)]
enum ProcessError {
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    #[error("cannot listen on {address}: {source}")]
    Listen {
        address: String,
        source: std::io::Error,
    },
    #[error("the background task \"{0}\" has ended unexpectedly")]
    BackgroundTaskEnded(&'static str),
    #[error("a background task has failed: {0}")]
    BackgroundTaskFailed(JoinError),
    #[error("no background task is running")]
    NoBackgroundTask,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (settings, tuning) = match load_settings(&arguments) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("stallcove: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let warnings = settings.warnings();
    if arguments.check {
        return report_check(&warnings);
    }
    start_logging();
    for warning in &warnings {
        let warning = warning.to_string();
        tracing::warn!(warning, "mistake in the settings");
    }
    exit_on_panic();
    match run_controller(settings, tuning) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let error = error.to_string();
            tracing::error!(error, "ending");
            ExitCode::FAILURE
        }
    }
}

fn load_settings(arguments: &Arguments) -> Result<(Settings, Tuning), SettingsError> {
    let settings = Settings::load(&arguments.config)?;
    let tuning = match &arguments.operator {
        Some(path) => operator::load(path)?,
        None => Tuning::default(),
    };
    Ok((settings, tuning))
}

fn report_check(warnings: &[SettingsWarning]) -> ExitCode {
    for warning in warnings {
        eprintln!("stallcove: {warning}");
    }
    if !warnings.is_empty() {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    println!("settings are valid");
    ExitCode::SUCCESS
}

/// Makes the process exit after a panic in any thread, so that it can be restarted. Without the
/// hook the process would continue without the background task that panicked.
fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        tracing::error!(%info, "ending after a panic");
        std::process::exit(EXIT_PANIC);
    }));
}

fn run_controller(settings: Settings, tuning: Tuning) -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(ProcessError::Runtime)?;
    runtime.block_on(run(settings, tuning))
}

async fn run(settings: Settings, tuning: Tuning) -> Result<(), ProcessError> {
    let incarnation = Incarnation(rand::random::<u64>() >> 1);
    let config = settings.config(incarnation, tuning);
    let sockets = SocketBudget::new(config.max_connections);
    let stop = CancellationToken::new();
    let network = Arc::new(HttpNetwork::new(sockets.clone()));
    let public_listener = bind(&settings.serve_on).await?;
    let peer_listener = bind(&settings.peer_bind).await?;
    let clients = network_clients::clients(network, addresses(&settings));
    let controller = Controller::new(config, clients, stop.clone());
    let config = &controller.context.config;
    tracing::info!(controller = %config.name, zone = %config.zone, %incarnation, "started");
    log_teams(&config.teams);
    let mut background_tasks: JoinSet<&'static str> = JoinSet::new();
    controller.start(&mut background_tasks);
    start_servers(
        &mut background_tasks,
        &controller,
        public_listener,
        peer_listener,
        &sockets,
        &stop,
    );
    background_tasks.spawn(async move {
        log_sockets(&sockets).await;
        "socket log"
    });
    // Background tasks run until `stop` is cancelled, which does not happen before this
    // point: a background task that ends has failed.
    let ended = background_tasks.join_next().await;
    stop.cancel();
    Err(match ended {
        Some(Ok(name)) => ProcessError::BackgroundTaskEnded(name),
        Some(Err(error)) => ProcessError::BackgroundTaskFailed(error),
        None => ProcessError::NoBackgroundTask,
    })
}

async fn bind(address: &str) -> Result<TcpListener, ProcessError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ProcessError::Listen {
        address: address.to_owned(),
        source,
    })
}

/// Starts the server for users and agents, and the server for the other controllers.
fn start_servers(
    background_tasks: &mut JoinSet<&'static str>,
    controller: &Arc<Controller>,
    public_listener: TcpListener,
    peer_listener: TcpListener,
    sockets: &SocketBudget,
    stop: &CancellationToken,
) {
    let router = server::router(controller.clone(), sockets.clone());
    let serving = server::serve(router, public_listener, sockets.clone(), stop.clone());
    background_tasks.spawn(async move {
        serving.await;
        "server"
    });
    let serving = peer_connections::serve(
        controller.clone(),
        peer_listener,
        sockets.clone(),
        stop.clone(),
    );
    background_tasks.spawn(async move {
        serving.await;
        "peer connections"
    });
}

fn addresses(settings: &Settings) -> Addresses {
    Addresses {
        state: settings.services.state.clone(),
        cloud: settings.services.cloud.clone(),
        peers: peer_addresses(settings),
    }
}

fn peer_addresses(settings: &Settings) -> HashMap<ControllerName, String> {
    let peers = settings.peers.iter();
    peers
        .map(|peer| {
            let name = ControllerName::new(peer.node_name.as_str());
            (name, peer.address.clone())
        })
        .collect()
}

/// Logs the guaranteed resources and the limit of each team.
fn log_teams(teams: &[Team]) {
    for team in teams {
        tracing::info!(team = %team.name, guaranteed = ?team.guaranteed, limit = ?team.limit, "team");
    }
}

async fn log_sockets(sockets: &SocketBudget) {
    loop {
        tokio::time::sleep(SOCKET_LOG_INTERVAL).await;
        let SocketCounts {
            inbound,
            agents,
            services,
            refused,
        } = sockets.take_counts();
        tracing::info!(
            served = inbound,
            workers = agents,
            services,
            refused,
            "sockets"
        );
    }
}
