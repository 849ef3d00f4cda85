//! The `tallypin` program.

use std::process::ExitCode;
use std::rc::Rc;

use lexopt::prelude::*;
use tallypin_router::config::{Config, Malformed};
use tallypin_router::dialect::Dialect;
use tallypin_router::front::{self, Front};
use tallypin_router::host::Host;
use tallypin_router::node_list::{self, Page};
use tallypin_router::peers::{self, Peers};
use tallypin_router::shutdown;
use tokio::net::TcpListener;

const USAGE: &str = "\
tallypin: a request router in front of language-model nodes

  tallypin serve      run the router
  tallypin check      read the configuration, say what is wrong with it, and end
  tallypin version    print the version

The configuration is the file that PROXY_CONFIG names.
";

enum Command {
    Serve,
    Check,
    Version,
    Help,
}

fn parse(mut args: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut command = None;
    while let Some(arg) = args.next()? {
        let found = match arg {
            Value(v) if command.is_none() && v == "serve" => Command::Serve,
            Value(v) if command.is_none() && v == "check" => Command::Check,
            Value(v) if command.is_none() && v == "version" => Command::Version,
            Short('V') | Long("version") => return Ok(Command::Version),
            Short('h') | Long("help") => return Ok(Command::Help),
            other => return Err(other.unexpected()),
        };
        command = Some(found);
    }
    command.ok_or_else(|| "no command; --help lists them".into())
}

fn main() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("tallypin: {e}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("tallypin {}", env!("CARGO_PKG_VERSION")),
        Command::Serve | Command::Check => {
            let config = match Config::from_env(|name| std::env::var(name).ok()) {
                Ok(config) => config,
                Err(Malformed { field, why }) => {
                    eprintln!("tallypin: configuration: {field}: {why}");
                    return ExitCode::from(2);
                }
            };
            if matches!(command, Command::Check) {
                println!(
                    "{}: listens on {}, {} peers",
                    config.name,
                    config.listen,
                    match &config.peers {
                        Some(p) => p.each.len(),
                        None => 0,
                    }
                );
            } else if let Err(e) = run(config) {
                eprintln!("tallypin: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let (listen, node_list, known) = (config.listen, config.node_list, config.known.clone());
    let peers = match config.peers.clone() {
        Some(addresses) => Some(Peers::new(addresses, config.deployment.decisions.me).await?),
        None => None,
    };
    let host = Host::new(config, Dialect::Chat, peers)?;
    // Old or empty, it sets the module going.
    let known = known.unwrap_or(Page { version: 0, full: true, servers: Vec::new() });
    node_list::take(&host, &known, tallypin::api::ListKind::Cached);
    start(&host, node_list);
    let listener = TcpListener::bind(listen).await?;
    tokio::task::spawn_local(front::serve(host.clone(), listener, Front::Platform));
    shutdown::on_signal(host).await?;
    Ok(())
}

/// Starts what a router does beside its clients.
fn start(host: &Rc<Host>, node_list: std::net::SocketAddr) {
    tokio::task::spawn_local(host.clone().keep_time());
    tokio::task::spawn_local(peers::listen(host.clone()));
    tokio::task::spawn_local(node_list::keep(host.clone(), node_list));
    let host = host.clone();
    tokio::task::spawn_local(async move {
        let mut every = tokio::time::interval(host.limits.idle_node / 16);
        loop {
            every.tick().await;
            host.nodes.sweep();
        }
    });
}
