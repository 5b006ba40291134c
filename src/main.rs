//! The program: command line, settings, logging, and the controller's tasks.

use std::{collections::HashMap, process::ExitCode, str::FromStr, sync::Arc, time::Duration};

use clap::Parser;
use stallcove::{
    coordination::{Controller, Tuning},
    protocol::{operator, settings::Settings},
    storage::{ControllerName, Incarnation, Team},
    transport::{
        Network,
        http::HttpNetwork,
        network_clients::{self, Addresses},
        peer_connections, server,
        sockets::{SocketBudget, SocketCounts},
    },
};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;
use tracing_subscriber::{layer::SubscriberExt, util::SubscriberInitExt};

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
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = tracing::Level::from_str(&wanted).unwrap_or(tracing::Level::INFO);
    // Our own words at the level asked for; of the libraries' only failures.
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
    if !wanted.is_empty() && tracing::Level::from_str(&wanted).is_err() {
        tracing::warn!(LOG_LEVEL = wanted, "not a log level; using info");
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let loaded = Settings::load(&arguments.config).and_then(|settings| {
        let tuning = match &arguments.operator {
            Some(path) => operator::load(path)?,
            None => Tuning::default(),
        };
        Ok((settings, tuning))
    });
    let (settings, tuning) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("stallcove: {error}");
            return ExitCode::from(2);
        }
    };
    let warnings = settings.warnings();
    if arguments.check {
        return report_check(&warnings);
    }
    start_logging();
    for warning in &warnings {
        tracing::warn!(warning, "settings that cannot be kept to");
    }
    // A panic anywhere means that a duty is broken: better to end, and be
    // started again, than to go on half alive.
    std::panic::set_hook(Box::new(|info| {
        tracing::error!(%info, "ending after a panic");
        std::process::exit(101);
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(settings, tuning)),
        Err(error) => Err(format!("cannot start the runtime: {error}")),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(error, "ending");
            ExitCode::FAILURE
        }
    }
}

fn report_check(warnings: &[String]) -> ExitCode {
    for warning in warnings {
        eprintln!("stallcove: {warning}");
    }
    if !warnings.is_empty() {
        return ExitCode::from(2);
    }
    println!("settings are valid");
    ExitCode::SUCCESS
}

async fn run(settings: Settings, tuning: Tuning) -> Result<(), String> {
    let incarnation = Incarnation(rand::random::<u64>() >> 1);
    let config = settings.config(incarnation, tuning);
    let sockets = SocketBudget::new(config.max_connections);
    let stop = CancellationToken::new();
    let net: Arc<dyn Network> = Arc::new(HttpNetwork::new(sockets.clone()));
    let bind = |address: String| async move {
        TcpListener::bind(&address)
            .await
            .map_err(|error| format!("cannot listen on {address}: {error}"))
    };
    let public = bind(settings.serve_on.clone()).await?;
    let private = bind(settings.peer_bind.clone()).await?;
    let addresses = Addresses {
        state: settings.services.state.clone(),
        cloud: settings.services.cloud.clone(),
        peers: peer_addresses(&settings),
    };
    let clients = network_clients::clients(net, addresses);
    let controller = Controller::new(config, clients, stop.clone());
    let config = &controller.context.config;
    tracing::info!(controller = %config.name, zone = %config.zone, %incarnation, "started");
    log_teams(&config.teams);
    let mut duties: JoinSet<&'static str> = JoinSet::new();
    controller.start(&mut duties);
    {
        let (controller, sockets, stop) = (controller.clone(), sockets.clone(), stop.clone());
        duties.spawn(async move {
            let router = server::router(controller, sockets.clone());
            server::serve(router, public, sockets, stop).await;
            "server"
        });
    }
    {
        let (controller, sockets, stop) = (controller.clone(), sockets.clone(), stop.clone());
        duties.spawn(async move {
            peer_connections::serve(controller, private, sockets, stop).await;
            "peer links"
        });
    }
    duties.spawn(async move {
        log_sockets(&sockets).await;
        "log of sockets"
    });
    // Duties go on until the process is told to stop, which nobody does here:
    // one that ends has failed.
    let ended = duties.join_next().await;
    stop.cancel();
    Err(match ended {
        Some(Ok(duty)) => format!("the duty \"{duty}\" has ended"),
        Some(Err(error)) => format!("a duty has failed: {error}"),
        None => "no duty runs".into(),
    })
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

/// How often the sockets in use are logged.
const SOCKETS_EVERY: Duration = Duration::from_secs(10);

async fn log_sockets(sockets: &SocketBudget) {
    loop {
        tokio::time::sleep(SOCKETS_EVERY).await;
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
