//! The `tallypin` program.

use std::process::ExitCode;

use lexopt::prelude::*;
use tallypin_router::config::{Config, Malformed};
use tallypin_router::dialect::Dialect;
use tallypin_router::front::{self, Front, MessagesFront};
use tallypin_router::host::Host;
use tallypin_router::node_list::{self, Page};
use tallypin_router::peers::Peers;
use tallypin_router::reload::{self, Running};
use tallypin_router::{health, shutdown, status};
use tokio::net::TcpListener;

const USAGE: &str = "\
tallypin: a request router in front of language-model nodes

  tallypin serve      run the router
  tallypin check      read the configuration, say what is wrong with it, and end
  tallypin version    print the version

  --messages FILE     with serve and check: also the messages API, as FILE says

The configuration is the file that PROXY_CONFIG names.
";

struct Arguments {
    command: Command,
    messages: Option<std::path::PathBuf>,
}

#[derive(PartialEq)]
enum Command {
    Serve,
    Check,
    Version,
    Help,
}

fn parse(mut args: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let (mut command, mut messages) = (None, None);
    while let Some(arg) = args.next()? {
        let found = match arg {
            Value(v) if command.is_none() && v == "serve" => Command::Serve,
            Value(v) if command.is_none() && v == "check" => Command::Check,
            Value(v) if command.is_none() && v == "version" => Command::Version,
            Short('V') | Long("version") => Command::Version,
            Short('h') | Long("help") => return Ok(Arguments { command: Command::Help, messages }),
            Long("messages") => {
                messages = Some(args.value()?.into());
                continue;
            }
            other => return Err(other.unexpected()),
        };
        command = Some(found);
    }
    let command = command.ok_or("no command; --help lists them")?;
    Ok(Arguments { command, messages })
}

fn main() -> ExitCode {
    let Arguments { command, messages } = match parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(e) => {
            eprintln!("tallypin: {e}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("tallypin {}", env!("CARGO_PKG_VERSION")),
        Command::Serve | Command::Check => {
            let (config, messages) = match configure(messages) {
                Ok(all) => all,
                Err(Malformed { field, why }) => {
                    eprintln!("tallypin: configuration: {field}: {why}");
                    return ExitCode::from(2);
                }
            };
            if command == Command::Check {
                println!("{}: listens on {}", config.name, config.listen);
                if let Some(front) = messages {
                    println!("messages API on {}", front.file.listen);
                }
            } else if let Err(e) = run(config, messages) {
                eprintln!("tallypin: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn configure(messages: Option<std::path::PathBuf>) -> Result<(Config, Option<MessagesFront>), Malformed> {
    let config = Config::from_env(|name| std::env::var(name).ok())?;
    let front = messages.map(|path| {
        let text = std::fs::read_to_string(&path).map_err(|e| Malformed::new("--messages", e))?;
        MessagesFront::parse(&text, &config.deployment)
    });
    Ok((config, front.transpose()?))
}

fn run(config: Config, messages: Option<MessagesFront>) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, serve(config, messages))
}

async fn serve(config: Config, messages: Option<MessagesFront>) -> Result<(), Box<dyn std::error::Error>> {
    // First of all: until it stands, the signal would end the program.
    let hangup = reload::on_hangup()?;
    let (listen, known, running) = (config.listen, config.known.clone(), Running::of(&config));
    let name = config.name.clone();
    let peers = match config.peers.clone() {
        Some(addresses) => Some(Peers::new(addresses, config.deployment.decisions.me).await?),
        None => None,
    };
    let dialect = messages.as_ref().map_or(Dialect::Chat, |front| front.file.nodes);
    let host = Host::new(config, dialect, peers)?;
    // Old or empty, it sets the module going.
    let known = known.unwrap_or(Page { version: 0, full: true, servers: Vec::new() });
    node_list::take(&host, &known, tallypin::api::ListKind::Cached);
    host.start();
    if let Some(front) = messages {
        if let Some(at) = front.file.agent_check {
            tokio::task::spawn_local(health::agent(host.clone(), TcpListener::bind(at).await?));
        }
        let listener = TcpListener::bind(front.file.listen).await?;
        tokio::task::spawn_local(front::serve(host.clone(), listener, Front::Messages(Box::new(front))));
    }
    let listener = TcpListener::bind(listen).await?;
    tokio::task::spawn_local(front::serve(host.clone(), listener, Front::Platform));
    tokio::task::spawn_local(status::tell(host.clone()));
    let read = || Config::reread(|name| std::env::var(name).ok());
    tokio::task::spawn_local(reload::keep(host.clone(), hangup, running, read));
    eprintln!("tallypin: {name} listens on {listen}");
    shutdown::on_signal(host.clone()).await?;
    eprintln!("tallypin: {name} ends: {:?}", host.with(|core, _| core.tallies().clone()));
    Ok(())
}
