//! Parses the command line: options are collected first, then checked against the command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use tallypin_health::exit_code::ExitCodeStyle;
use tallypin_router::fleet::{operator_orders, release_plan};
use tallypin_settings_schema::{Kind, Value as Setting};

use super::help::UnknownCommand;
use super::{Command, Protocol};

/// Minimum and maximum of `health --timeout`, ms.
const TIMEOUT_RANGE_MS: (u64, u64) = (1, 600_000);

/// The options of all commands, with defaults for those that are not given.
struct Options {
    settings: Option<PathBuf>,
    print: bool,
    at: Option<SocketAddr>,
    protocol: Protocol,
    service: String,
    path: String,
    style: ExitCodeStyle,
    timeout: Duration,
    socket: Option<PathBuf>,
    id: Option<String>,
    /// The arguments after the command that are not options.
    arguments: Vec<String>,
    /// Whether help on the command is requested.
    help: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            settings: None,
            print: false,
            at: None,
            protocol: Protocol::Agent,
            service: String::new(),
            path: "/healthz".into(),
            style: ExitCodeStyle::Plain,
            timeout: Duration::from_secs(1),
            socket: None,
            id: None,
            arguments: Vec::new(),
            help: false,
        }
    }
}

/// Parses the command line.
///
/// # Errors
///
/// A message for the user: an option that the command does not have, a malformed value, or a missing option.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let command = match parser.next()? {
        Some(Value(word)) => word.string()?,
        Some(Short('V') | Long("version")) => return Ok(Command::Version),
        Some(Short('h') | Long("help")) => return Ok(Command::Help(None)),
        Some(other) => return Err(other.unexpected()),
        None => return Err("no command given; `tallypin help` lists the commands".into()),
    };
    let options = Options::read(&command, &mut parser)?;
    if options.help {
        return Ok(Command::Help(Some(command)));
    }
    match command.as_str() {
        "serve" => Ok(Command::Serve { settings: options.settings }),
        "check" => options.check_command(),
        "health" => options.health_command(),
        "ctl" => options.ctl_command(),
        "fleet" => options.fleet_command(),
        "version" => Ok(Command::Version),
        "help" => Ok(Command::Help(options.arguments.into_iter().next())),
        other => Err(UnknownCommand::new(other).to_string().into()),
    }
}

/// The error of a missing option.
fn missing(command: &str, option: &str) -> lexopt::Error {
    format!("{command} requires {option}").into()
}

impl Options {
    /// Reads the arguments after the command, up to the end or to a request for help.
    fn read(command: &str, parser: &mut lexopt::Parser) -> Result<Options, lexopt::Error> {
        let mut options = Options::default();
        while let Some(argument) = parser.next()? {
            match (command, argument) {
                (_, Short('h') | Long("help")) => {
                    options.help = true;
                    break;
                }
                ("serve" | "check", Long("settings")) => options.settings = Some(parser.value()?.into()),
                ("serve" | "check", Long("messages")) => {
                    return Err("--messages was removed: use --settings FILE, which has its settings".into());
                }
                ("check", Long("print")) => options.print = true,
                ("health", Long("at")) => options.at = Some(parser.value()?.parse()?),
                ("health", Long("protocol")) => {
                    options.protocol = parse_protocol(&parser.value()?.string()?)?
                }
                ("health", Long("service")) => options.service = parser.value()?.string()?,
                ("health", Long("path")) => options.path = parser.value()?.string()?,
                ("health", Long("weight-exit")) => options.style = ExitCodeStyle::Weight,
                ("health", Long("timeout")) => options.timeout = parse_timeout(&parser.value()?.string()?)?,
                ("ctl" | "fleet", Long("socket")) => options.socket = Some(parser.value()?.into()),
                ("fleet", Long("id")) => options.id = Some(parser.value()?.string()?),
                ("ctl" | "fleet" | "help", Value(argument)) => options.arguments.push(argument.string()?),
                (_, other) => return Err(other.unexpected()),
            }
        }
        Ok(options)
    }

    fn check_command(self) -> Result<Command, lexopt::Error> {
        if self.print && self.settings.is_none() {
            return Err(missing("check", "--settings FILE with --print"));
        }
        Ok(Command::Check { settings: self.settings, print: self.print })
    }

    fn health_command(self) -> Result<Command, lexopt::Error> {
        let at = self.at.ok_or_else(|| missing("health", "--at ADDRESS"))?;
        let Options { protocol, service, path, style, timeout, .. } = self;
        // Both are sent in a line or a request head, which a space or line break would end.
        if !service.bytes().chain(path.bytes()).all(|b| b.is_ascii_graphic()) {
            return Err("--service and --path take printable ASCII without spaces".into());
        }
        Ok(Command::Health { at, protocol, service, path, style, timeout })
    }

    fn ctl_command(self) -> Result<Command, lexopt::Error> {
        let socket = self.socket.ok_or_else(|| missing("ctl", "--socket PATH"))?;
        let order = self.arguments.join(" ");
        tallypin_router::checks::control::parse(&order)?;
        Ok(Command::Ctl { socket, order })
    }

    fn fleet_command(self) -> Result<Command, lexopt::Error> {
        let socket = self.socket.ok_or_else(|| missing("fleet", "--socket PATH"))?;
        if self.arguments == ["watch"] {
            return Ok(Command::Watch { socket });
        }
        let id = self.id.map(|id| format!("id {id} ")).unwrap_or_default();
        let order = match &self.arguments[..] {
            [release, path] if release == "release" => format!("{id}release {}", release_plan_json(path)?),
            [release, ..] if release == "release" => {
                return Err("release requires one argument, the file of the plan".into())
            }
            order => format!("{id}{}", order.join(" ")),
        };
        operator_orders::parse(&order.split_ascii_whitespace().collect::<Vec<_>>())
            .map_err(|error| error.to_string())?;
        Ok(Command::Ctl { socket, order: format!("fleet {order}") })
    }
}

fn parse_protocol(name: &str) -> Result<Protocol, lexopt::Error> {
    match name {
        "agent" => Ok(Protocol::Agent),
        "http" => Ok(Protocol::Http),
        "grpc" => Ok(Protocol::Grpc),
        other => Err(format!("--protocol: expected agent, http or grpc, got {other}").into()),
    }
}

fn parse_timeout(text: &str) -> Result<Duration, lexopt::Error> {
    let kind = Kind::Duration(TIMEOUT_RANGE_MS.0, TIMEOUT_RANGE_MS.1);
    match kind.parse(text) {
        Some(Setting::Duration(timeout)) => Ok(timeout),
        _ => Err(format!("--timeout: expected {}", kind.expects()).into()),
    }
}

/// Reads a release plan from a file and returns it as the JSON of the order.
fn release_plan_json(path: &str) -> Result<String, lexopt::Error> {
    let plan = release_plan::read(path.as_ref(), &|path| std::fs::read_to_string(path));
    let plan = plan.map_err(|problems| problems.to_string())?;
    Ok(serde_json::to_string(&plan).map_err(|e| e.to_string())?)
}
