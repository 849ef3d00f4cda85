//! The `tallypin` program.

mod cli;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use cli::{Command, Protocol};
use tallypin::api::EndpointListMode;
use tallypin_health::exit_code;
use tallypin_router::checks::control::{ControlSocket, FleetOrderHandler};
use tallypin_router::checks::{self, HealthMonitor};
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
use tallypin_router::shutdown::{self, ShutdownSignals};
use tallypin_router::{bind, probe, status};
use tokio::net::TcpListener;

/// Exit code for a malformed command line, configuration or settings file.
const EXIT_MALFORMED: u8 = 2;
/// Interval between two status requests of `fleet watch`.
const WATCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

fn main() -> ExitCode {
    let command = match cli::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(e) => return report_malformed(&e.to_string()),
    };
    match command {
        Command::Help(on) => match cli::help(on.as_deref()) {
            Ok(text) => print!("{text}"),
            Err(unknown) => return report_malformed(&unknown.to_string()),
        },
        Command::Version => println!("tallypin {}", env!("CARGO_PKG_VERSION")),
        Command::Check { settings, print } => {
            let (config, installation) = match configure(settings.as_deref()) {
                Ok(inputs) => inputs,
                Err(error) => return report_malformed(&error),
            };
            match installation {
                Some(installation) if print => {
                    print!("{}", tallypin_settings_schema::print(&installation.checked))
                }
                installation => print_summary(&config, installation.as_ref()),
            }
        }
        Command::Serve { settings } => {
            // The start is counted before the files are read: a released file may be what keeps the program from starting.
            if let Some(path) = &settings {
                let configuration = std::env::var_os("PROXY_CONFIG").map(PathBuf::from);
                for message in [Some(path.clone()), configuration]
                    .into_iter()
                    .flatten()
                    .filter_map(|path| release_files::record_trial_start(&path))
                {
                    eprintln!("tallypin: {message}");
                }
            }
            let (config, installation) = match configure(settings.as_deref()) {
                Ok(inputs) => inputs,
                Err(error) => return report_malformed(&error),
            };
            let log = installation.as_ref().map_or(LogSettings::default(), |i| i.log.clone());
            let log = Rc::new(Log::start(&log));
            if let Err(e) = run(serve(config, settings, installation, log)) {
                eprintln!("tallypin: {e}");
                return ExitCode::FAILURE;
            }
        }
        Command::Health { at, protocol, service, path, style, timeout } => {
            let result = run(async {
                let answer = async {
                    match protocol {
                        Protocol::Agent => probe::check_agent(at, &service).await,
                        Protocol::Http => probe::check_http(at, &path).await,
                        Protocol::Grpc => probe::check_grpc(at, &service).await,
                    }
                };
                let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
                Ok(tokio::time::timeout(timeout, answer).await.map_err(timed_out)??)
            });
            return match result {
                Ok(answer) => {
                    println!("{}", answer.text);
                    ExitCode::from(exit_code::exit_code(style, answer.state, answer.weight))
                }
                Err(e) => {
                    eprintln!("tallypin: {at}: {e}");
                    ExitCode::from(exit_code::NO_ANSWER)
                }
            };
        }
        Command::Watch { socket } => return watch(&socket),
        Command::Ctl { socket, order } => {
            match run(async { Ok(probe::send_order(&socket, &order).await?) }) {
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

/// Prints a line for each change of the fleet state until the running release has ended. A router that does not answer is
/// queried again: the release may be restarting it.
fn watch(socket: &Path) -> ExitCode {
    let mut last_status = serde_json::Value::Null;
    let mut release_ran = false;
    loop {
        match run(async { Ok(probe::send_order(socket, "fleet status").await?) }) {
            Ok(line) => {
                let status: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                if status["version"] != last_status["version"] || status["done"] != last_status["done"] {
                    print!("{line}");
                }
                let phase = status["release"]["phase"].as_str().unwrap_or("");
                release_ran |= matches!(phase, "running" | "back");
                match phase {
                    "done" if release_ran => return ExitCode::SUCCESS,
                    "failed" | "undone" if release_ran => return ExitCode::FAILURE,
                    _ => last_status = status,
                }
            }
            Err(e) => eprintln!("tallypin: {}: {e}", socket.display()),
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

/// Prints an error and returns the exit code for malformed input.
fn report_malformed(error: &str) -> ExitCode {
    eprintln!("tallypin: {}", error.trim_end());
    ExitCode::from(EXIT_MALFORMED)
}

/// Reads the configuration and, if given, the settings file.
fn configure(settings: Option<&Path>) -> Result<(Config, Option<Installation>), String> {
    let with_origin = |e: tallypin_router::config::FieldError| format!("configuration: {e}");
    let mut config = Config::from_env(|name| std::env::var(name).ok()).map_err(with_origin)?;
    let Some(path) = settings else { return Ok((config, None)) };
    let installation = Installation::read(path, &config.deployment).map_err(|p| format!("settings:\n{p}"))?;
    installation.reserve(&mut config.limits).map_err(|error| format!("settings: {error}"))?;
    Ok((config, Some(installation)))
}

/// Prints the summary of valid input, for `check`.
fn print_summary(config: &Config, installation: Option<&Installation>) {
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
        for (name, address) in listeners {
            address.iter().for_each(|address| println!("{name} on {address}"));
        }
    }
    if let Some(control) = &installation.control {
        println!("orders at {}", control.socket.display());
    }
    if let Some(fleet) = &installation.fleet {
        let (routers, limits) = (fleet.routers.len(), &fleet.limits);
        println!(
            "of fleet {}: {} of {routers} routers may be out, {} of a zone",
            fleet.name, limits.total, limits.per_zone
        );
    }
}

type RunResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Runs a future to its end on a runtime of its own, with one thread.
fn run<T>(future: impl std::future::Future<Output = RunResult<T>>) -> RunResult<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Runs the router until a signal ends it.
async fn serve(
    config: Config,
    settings: Option<PathBuf>,
    installation: Option<Installation>,
    log: Rc<Log>,
) -> RunResult<()> {
    // The signal handlers are installed first: without them, these signals end the program immediately.
    let hangup = reload::hangup_signal()?;
    let termination = ShutdownSignals::new()?;
    let (listen, cached_list, startup_configuration) =
        (config.listen, config.cached_list.clone(), StartupConfiguration::from_config(&config));
    let name = config.name.clone();
    let peers = match config.peers.clone() {
        Some(addresses) => {
            let decisions = &config.deployment.decision_settings;
            Some(Peers::new(addresses, decisions.own_index, decisions.tenants_digest).await?)
        }
        None => None,
    };
    let messages = installation.as_ref().and_then(|i| i.messages.clone());
    let dialect = messages.as_ref().map_or(Dialect::Chat, |front| front.replica_dialect);
    let components = Components::new(config, dialect, peers)?;
    // Decisions start with the first list, even if it is outdated or empty.
    let cached_list =
        cached_list.unwrap_or(EndpointListMessage { version: 0, full: true, endpoints: Vec::new() });
    endpoint_list::apply(&components.endpoint_list, &cached_list, tallypin::api::ListUpdate::Cached);
    components.start();
    // The list is awaited before the health checks start, as these report to balancers that the router serves.
    wait_for_agent(&components).await;
    let mut health_monitor = None;
    // Dropping the fleet agent or the check listeners ends their tasks: these bindings last until the program ends.
    let (mut reloader, mut _check_listeners, mut _fleet) = (None, None, None);
    if let Some(installation) = &installation {
        components.balancer_interface.set_proxy_protocol_policy(installation.proxy_policy.clone());
        if installation.checks.is_some() || installation.control.is_some() {
            let new_monitor = HealthMonitor::new(installation, components.balancer_interface.clone());
            let fleet = match installation.fleet.clone() {
                Some(fleet_settings) => {
                    let settings = settings.clone().unwrap_or_default();
                    let control = ProcessControl {
                        components: components.clone(),
                        health_monitor: new_monitor.clone(),
                        settings_path: settings,
                    };
                    Some(FleetAgent::start(fleet_settings, Box::new(control)).await?)
                }
                None => None,
            };
            if let Some(control) = &installation.control {
                let control = ControlSocket::bind(control).await?;
                let orders = fleet.clone().map(fleet_order_handler);
                tokio::task::spawn_local(control.serve(
                    components.check_context(),
                    new_monitor.clone(),
                    orders,
                ));
            }
            // The fleet state is awaited before the listeners for balancers and clients are started.
            if let Some(fleet) = &fleet {
                fleet.wait_for_first_state().await;
            }
            _fleet = fleet;
            _check_listeners = Some(checks::start(&components.check_context(), &new_monitor).await?);
            health_monitor = Some(new_monitor);
        }
        reloader = Some(SettingsReloader::new(installation, health_monitor.clone(), Some(log.clone())));
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
        components.balancer_interface.clone(),
        components.endpoint_list.state.clone(),
        hangup,
        startup_configuration,
        reloader,
        read,
    ));
    tracing::info!(target: "router", name, %listen, "router is listening");
    shutdown::shut_down_on_signal(components.clone(), health_monitor, termination).await;
    let tallies = components.with_core(|core, _| core.counts().clone());
    tracing::info!(target: "router", name, ?tallies, "router has shut down");
    Ok(())
}

/// Waits for the first list of the endpoint list agent, if lists are pushed, so that no client is served with the configured
/// list while the agent answers. After the agent's response timeout the router serves with the configured list.
async fn wait_for_agent(components: &Components) {
    let list = &components.endpoint_list;
    if list.deployment.decision_settings.list_mode != EndpointListMode::Pushed {
        return;
    }
    let limit = list.limits.agent_response_timeout;
    if !list.state.wait_for_first_list(limit).await {
        tracing::warn!(target: "node_list", limit_ms = limit.as_millis() as u64,
            "endpoint list agent did not respond at startup, serving with the configured list");
    }
}

/// A handler that parses operator orders from the socket and passes them to the fleet agent.
fn fleet_order_handler(fleet: Rc<FleetAgent>) -> FleetOrderHandler {
    Rc::new(move |order| {
        let fleet = fleet.clone();
        Box::pin(async move {
            match operator_orders::parse(&order.split_ascii_whitespace().collect::<Vec<_>>()) {
                Ok(parsed) => fleet.execute_order(parsed).await,
                Err(error) => serde_json::json!({"done": false, "why": error.to_string()}),
            }
        })
    })
}

/// Reads the configuration and settings again for a reload; problems are returned as one line each.
fn reread(settings: Option<&Path>) -> Result<(Config, Option<Installation>), Vec<String>> {
    let mut config = Config::reread(|name| std::env::var(name).ok()).map_err(|e| vec![e.to_string()])?;
    let Some(path) = settings else { return Ok((config, None)) };
    let installation =
        Installation::read(path, &config.deployment).map_err(|p| p.short().collect::<Vec<_>>())?;
    installation.reserve(&mut config.limits).map_err(|error| vec![error])?;
    Ok((config, Some(installation)))
}
