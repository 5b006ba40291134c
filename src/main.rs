//! The program: command line, settings, logging, and the controller's tasks.

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

/// Exit code of a process whose settings cannot be used.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code after a panic, as that of a panic in the main thread.
const EXIT_PANIC: i32 = 101;
/// How often the sockets in use are logged.
const SOCKET_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A cluster scheduler: a few controllers, one program.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings file (JSON)
    #[arg(long, value_name = "FILE")]
    config: String,
    /// The operators' own settings (protobuf text format)
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
    /// Check the settings files and end
    #[arg(long)]
    check: bool,
}

fn start_logging() {
    let requested = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = tracing::Level::from_str(&requested).unwrap_or(tracing::Level::INFO);
    // Our own log lines at the level asked for; of the libraries' only errors.
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
    #[error("the duty \"{0}\" has ended")]
    DutyEnded(&'static str),
    #[error("a duty has failed: {0}")]
    DutyFailed(JoinError),
    #[error("no duty runs")]
    NoDuty,
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
        tracing::warn!(warning, "settings that cannot be kept to");
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

/// A panic anywhere means that a duty is broken: better to end, and be
/// started again, than to go on half alive.
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
    let public = bind(&settings.serve_on).await?;
    let private = bind(&settings.peer_bind).await?;
    let clients = network_clients::clients(network, addresses(&settings));
    let controller = Controller::new(config, clients, stop.clone());
    let config = &controller.context.config;
    tracing::info!(controller = %config.name, zone = %config.zone, %incarnation, "started");
    log_teams(&config.teams);
    let mut duties: JoinSet<&'static str> = JoinSet::new();
    controller.start(&mut duties);
    start_servers(&mut duties, &controller, public, private, &sockets, &stop);
    duties.spawn(async move {
        log_sockets(&sockets).await;
        "log of sockets"
    });
    // Duties go on until the process is told to stop, which nobody does here:
    // one that ends has failed.
    let ended = duties.join_next().await;
    stop.cancel();
    Err(match ended {
        Some(Ok(duty)) => ProcessError::DutyEnded(duty),
        Some(Err(error)) => ProcessError::DutyFailed(error),
        None => ProcessError::NoDuty,
    })
}

async fn bind(address: &str) -> Result<TcpListener, ProcessError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ProcessError::Listen {
        address: address.to_owned(),
        source,
    })
}

/// Starts the server for users and agents, and the one for the other controllers.
fn start_servers(
    duties: &mut JoinSet<&'static str>,
    controller: &Arc<Controller>,
    public: TcpListener,
    private: TcpListener,
    sockets: &SocketBudget,
    stop: &CancellationToken,
) {
    let router = server::router(controller.clone(), sockets.clone());
    let serving = server::serve(router, public, sockets.clone(), stop.clone());
    duties.spawn(async move {
        serving.await;
        "server"
    });
    let serving =
        peer_connections::serve(controller.clone(), private, sockets.clone(), stop.clone());
    duties.spawn(async move {
        serving.await;
        "peer links"
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

/// What each team is guaranteed, and what it may use at most.
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
