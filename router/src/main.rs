//! The `tallypin` program.

mod cli;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use cli::{Command, Protocol};
use tallypin::api::EndpointListMode;
use tallypin_health::exit_code;
use tallypin_router::checks::control::{Control, ToFleet};
use tallypin_router::checks::{self, Board};
use tallypin_router::components::Components;
use tallypin_router::config::Config;
use tallypin_router::dialect::Dialect;
use tallypin_router::endpoint_list::{self, EndpointListMessage};
use tallypin_router::fleet::{operator_orders, release_files, FleetAgent};
use tallypin_router::front::{self, Front};
use tallypin_router::installation::Installation;
use tallypin_router::log::{Log, LogSettings};
use tallypin_router::peers::Peers;
use tallypin_router::reload::{self, SettingsReloader, StartupConfiguration};
use tallypin_router::router_control::ProcessControl;
use tallypin_router::shutdown::{self, Termination};
use tallypin_router::{bind, probe, status};
use tokio::net::TcpListener;

/// A command line, configuration or settings that can't be used.
const UNUSABLE: u8 = 2;
/// `fleet watch` looks so often.
const LOOK: std::time::Duration = std::time::Duration::from_millis(500);

fn main() -> ExitCode {
    let command = match cli::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(e) => return unusable(&e.to_string()),
    };
    match command {
        Command::Help(on) => match cli::help(on.as_deref()) {
            Ok(text) => print!("{text}"),
            Err(unknown) => return unusable(&unknown.to_string()),
        },
        Command::Version => println!("tallypin {}", env!("CARGO_PKG_VERSION")),
        Command::Check { settings, print } => {
            let (config, installation) = match configure(settings.as_deref()) {
                Ok(all) => all,
                Err(why) => return unusable(&why),
            };
            match installation {
                Some(installation) if print => {
                    print!("{}", tallypin_settings_schema::print(&installation.checked))
                }
                installation => told(&config, installation.as_ref()),
            }
        }
        Command::Serve { settings } => {
            // Before any of it is read: it may be what the program does not come up with.
            if let Some(path) = &settings {
                let configuration = std::env::var_os("PROXY_CONFIG").map(PathBuf::from);
                for said in [Some(path.clone()), configuration]
                    .into_iter()
                    .flatten()
                    .filter_map(|at| release_files::begin_trial(&at))
                {
                    eprintln!("tallypin: {said}");
                }
            }
            let (config, installation) = match configure(settings.as_deref()) {
                Ok(all) => all,
                Err(why) => return unusable(&why),
            };
            let log = installation.as_ref().map_or(LogSettings::default(), |i| i.log.clone());
            let log = Rc::new(Log::start(&log));
            if let Err(e) = run(serve(config, settings, installation, log)) {
                eprintln!("tallypin: {e}");
                return ExitCode::FAILURE;
            }
        }
        Command::Health { at, protocol, service, path, style, timeout } => {
            let asked = run(async {
                let answer = async {
                    match protocol {
                        Protocol::Agent => probe::agent(at, &service).await,
                        Protocol::Http => probe::http(at, &path).await,
                        Protocol::Grpc => probe::grpc(at, &service).await,
                    }
                };
                let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
                Ok(tokio::time::timeout(timeout, answer).await.map_err(late)??)
            });
            return match asked {
                Ok(said) => {
                    println!("{}", said.words);
                    ExitCode::from(exit_code::exit_code(style, said.state, said.weight))
                }
                Err(e) => {
                    eprintln!("tallypin: {at}: {e}");
                    ExitCode::from(exit_code::NO_ANSWER)
                }
            };
        }
        Command::Watch { socket } => return watch(&socket),
        Command::Ctl { socket, order } => {
            match run(async { Ok(probe::order(&socket, &order).await?) }) {
                Ok(line) => {
                    print!("{line}");
                    let done =
                        serde_json::from_str::<serde_json::Value>(&line).is_ok_and(|v| v["done"] == true);
                    return if done { ExitCode::SUCCESS } else { ExitCode::FAILURE };
                }
                Err(e) => {
                    eprintln!("tallypin: {}: {e}", socket.display());
                    return ExitCode::FAILURE;
                }
            };
        }
    }
    ExitCode::SUCCESS
}

/// A line for each change of what is agreed on, until the release that is on has ended. A router that does not answer is
/// asked again: it may be the one that goes out.
fn watch(socket: &Path) -> ExitCode {
    let mut last = serde_json::Value::Null;
    let mut moved = false;
    loop {
        match run(async { Ok(probe::order(socket, "fleet status").await?) }) {
            Ok(line) => {
                let said: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                if said["version"] != last["version"] || said["done"] != last["done"] {
                    print!("{line}");
                }
                let phase = said["release"]["phase"].as_str().unwrap_or("");
                moved |= matches!(phase, "running" | "back");
                match phase {
                    "done" if moved => return ExitCode::SUCCESS,
                    "failed" | "undone" if moved => return ExitCode::FAILURE,
                    _ => last = said,
                }
            }
            Err(e) => eprintln!("tallypin: {}: {e}", socket.display()),
        }
        std::thread::sleep(LOOK);
    }
}

fn unusable(why: &str) -> ExitCode {
    eprintln!("tallypin: {}", why.trim_end());
    ExitCode::from(UNUSABLE)
}

/// Reads what the program is to go by.
fn configure(settings: Option<&Path>) -> Result<(Config, Option<Installation>), String> {
    let named = |e: tallypin_router::config::Malformed| format!("configuration: {e}");
    let mut config = Config::from_env(|name| std::env::var(name).ok()).map_err(named)?;
    let Some(path) = settings else { return Ok((config, None)) };
    let installation = Installation::read(path, &config.deployment).map_err(|p| format!("settings:\n{p}"))?;
    installation.reserve(&mut config.limits).map_err(|why| format!("settings: {why}"))?;
    Ok((config, Some(installation)))
}

/// What `check` says of what is right.
fn told(config: &Config, installation: Option<&Installation>) {
    println!("{}: listens on {}", config.name, config.listen);
    let Some(installation) = installation else { return };
    if let Some(front) = &installation.messages {
        println!("messages API on {}", front.listen);
    }
    if let Some(checks) = &installation.checks {
        let listeners = [
            ("agent checks", checks.agent.map(|a| a.listen)),
            ("checks over HTTP", checks.http),
            ("gRPC health", checks.grpc.map(|g| g.listen)),
        ];
        for (what, at) in listeners {
            at.iter().for_each(|at| println!("{what} on {at}"));
        }
    }
    if let Some(control) = &installation.control {
        println!("orders at {}", control.socket.display());
    }
    if let Some(fleet) = &installation.fleet {
        let (of, b) = (fleet.routers.len(), &fleet.limits);
        println!("of fleet {}: {} of {of} routers may be out, {} of a zone", fleet.name, b.total, b.per_zone);
    }
}

type Ended<T> = Result<T, Box<dyn std::error::Error>>;

fn run<T>(all: impl std::future::Future<Output = Ended<T>>) -> Ended<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, all)
}

async fn serve(
    config: Config,
    settings: Option<PathBuf>,
    installation: Option<Installation>,
    log: Rc<Log>,
) -> Ended<()> {
    // First of all: until they are taken over, these signals end the program at once.
    let hangup = reload::hangup_signal()?;
    let termination = Termination::new()?;
    let (listen, known, running) = (config.listen, config.known.clone(), StartupConfiguration::of(&config));
    let name = config.name.clone();
    let peers = match config.peers.clone() {
        Some(addresses) => {
            let decisions = &config.deployment.decisions;
            Some(Peers::new(addresses, decisions.own_index, decisions.digest).await?)
        }
        None => None,
    };
    let messages = installation.as_ref().and_then(|i| i.messages.clone());
    let dialect = messages.as_ref().map_or(Dialect::Chat, |front| front.replica_dialect);
    let components = Components::new(config, dialect, peers)?;
    // Old or empty, it sets the module going.
    let known = known.unwrap_or(EndpointListMessage { version: 0, full: true, endpoints: Vec::new() });
    endpoint_list::apply(&components.endpoint_list, &known, tallypin::api::ListUpdate::Cached);
    components.start();
    // Before balancers are told that it serves.
    wait_for_agent(&components).await;
    let mut board = None;
    // The agent ends its tasks when it is dropped: it lasts as long as the program.
    let (mut adopting, mut _listening, mut _fleet) = (None, None, None);
    if let Some(installation) = &installation {
        components.outward.guard(installation.gate.clone());
        if installation.checks.is_some() || installation.control.is_some() {
            let started = Board::new(installation, components.outward.clone());
            let fleet = match installation.fleet.clone() {
                Some(of) => {
                    let settings = settings.clone().unwrap_or_default();
                    let control =
                        ProcessControl { components: components.clone(), board: started.clone(), settings };
                    Some(FleetAgent::start(of, Box::new(control)).await?)
                }
                None => None,
            };
            if let Some(control) = &installation.control {
                let control = Control::bind(control).await?;
                let orders = fleet.clone().map(to_fleet);
                tokio::task::spawn_local(control.serve(components.check_context(), started.clone(), orders));
            }
            // Before balancers and clients come.
            if let Some(fleet) = &fleet {
                fleet.wait_for_first_state().await;
            }
            _fleet = fleet;
            _listening = Some(checks::start(&components.check_context(), &started).await?);
            board = Some(started);
        }
        adopting = Some(SettingsReloader::new(installation, board.clone(), Some(log.clone())));
    }
    if let Some(front) = messages {
        let listener = bind::bind_with_retry(async || TcpListener::bind(front.listen).await).await?;
        tokio::task::spawn_local(front::serve(
            components.front_context(),
            listener,
            Front::Messages(Box::new(front)),
        ));
    }
    let listener = bind::bind_with_retry(async || TcpListener::bind(listen).await).await?;
    tokio::task::spawn_local(front::serve(components.front_context(), listener, Front::Platform));
    tokio::task::spawn_local(status::log_periodically(components.clone(), Some(log)));
    let read = move || reread(settings.as_deref());
    tokio::task::spawn_local(reload::run(
        components.outward.clone(),
        components.endpoint_list.state.clone(),
        hangup,
        running,
        adopting,
        read,
    ));
    tracing::info!(target: "router", name, %listen, "listens");
    shutdown::on_signal(components.clone(), board, termination).await;
    let tallies = components.with(|core, _| core.counts().clone());
    tracing::info!(target: "router", name, ?tallies, "ends");
    Ok(())
}

/// Where the list is pushed, what the agent has counts as notification from the first moment of a process: no client is served
/// by the list of the configuration if the agent answers. One that is silent is not waited for any longer than that.
async fn wait_for_agent(components: &Components) {
    let list = &components.endpoint_list;
    if list.deployment.decisions.list_mode != EndpointListMode::Pushed {
        return;
    }
    let limit = list.limits.agent_response_timeout;
    if !list.state.wait_for_first(limit).await {
        tracing::warn!(target: "node_list", limit_ms = limit.as_millis() as u64,
            "endpoint list agent silent at the start, serving by the configured list");
    }
}

/// Orders from the socket to the fleet.
fn to_fleet(fleet: Rc<FleetAgent>) -> ToFleet {
    Rc::new(move |words| {
        let fleet = fleet.clone();
        Box::pin(async move {
            match operator_orders::parse(&words.split_ascii_whitespace().collect::<Vec<_>>()) {
                Ok(order) => fleet.execute_order(order).await,
                Err(error) => serde_json::json!({"done": false, "why": error.to_string()}),
            }
        })
    })
}

/// Reads everything again; what is wrong, in lines.
fn reread(settings: Option<&Path>) -> Result<(Config, Option<Installation>), Vec<String>> {
    let mut config = Config::reread(|name| std::env::var(name).ok()).map_err(|e| vec![e.to_string()])?;
    let Some(path) = settings else { return Ok((config, None)) };
    let installation =
        Installation::read(path, &config.deployment).map_err(|p| p.short().collect::<Vec<_>>())?;
    installation.reserve(&mut config.limits).map_err(|why| vec![why])?;
    Ok((config, Some(installation)))
}
