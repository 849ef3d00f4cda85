//! The command line: what may be asked of the program, and what it says of itself.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use tallypin_health::exit::Style;
use tallypin_router::fleet::release_plan;
use tallypin_settings_schema::{nearest, Kind, Value as Read};

/// How to ask a router for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The agent check.
    Agent,
    /// HTTP.
    Http,
    /// gRPC.
    Grpc,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Run the router.
    Serve {
        /// The settings file, if there is one.
        settings: Option<PathBuf>,
    },
    /// Read the configuration.
    Check {
        /// The settings file, if there is one.
        settings: Option<PathBuf>,
        /// Print it with every default.
        print: bool,
    },
    /// Ask a router for its state.
    Health {
        /// Where.
        at: SocketAddr,
        /// How.
        protocol: Protocol,
        /// About what; empty: the router.
        service: String,
        /// The path of an HTTP check.
        path: String,
        /// What the exit code says.
        style: Style,
        /// How long to wait.
        timeout: Duration,
    },
    /// Follow what the fleet agrees on.
    Watch {
        /// A router's socket.
        socket: PathBuf,
    },
    /// Give a router an order.
    Ctl {
        /// Its socket.
        socket: PathBuf,
        /// The line.
        order: String,
    },
    /// Print the version.
    Version,
    /// Print help, on a command if one is named.
    Help(Option<String>),
}

/// The commands and what each is for.
const COMMANDS: [(&str, &str); 7] = [
    ("serve", "run the router"),
    ("check", "read the configuration and the settings, say what is wrong with them, and end"),
    ("health", "ask a router for its state, as a check program"),
    ("ctl", "give a running router an order"),
    ("fleet", "give the fleet an order, at any of its routers"),
    ("version", "print the version"),
    ("help", "print this, or help on a command"),
];

const EXIT: &str = "\
exit codes: 0 done; 1 failed while running, or no answer; 2 a command line, configuration or settings that
can't be used. `health` has its own, see `tallypin help health`.
";

/// What the help says, on a command or on all of them.
pub fn help(command: Option<&str>) -> Result<String, String> {
    Ok(match command {
        None => {
            let list: String = COMMANDS.iter().map(|(name, about)| format!("  tallypin {name:8} {about}\n")).collect();
            format!(
                "tallypin: a request router in front of language-model nodes\n\n{list}\n\
                 The configuration is the file that PROXY_CONFIG names.\n{EXIT}"
            )
        }
        Some("serve") => "\
tallypin serve [--settings FILE]

Runs the router by the configuration that PROXY_CONFIG names (PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY
override it). The settings file adds what an installation has beside it: the messages API, checks for balancers,
the operator's socket, the log. SIGHUP reads both again; SIGTERM drains and ends.
"
        .into(),
        Some("check") => "\
tallypin check [--settings FILE] [--print]

Reads the configuration and the settings and tells all that is wrong with them, each with its line.
  --print    print the settings back with every default filled in; what is printed reads back to the same
"
        .into(),
        Some("health") => "\
tallypin health --at ADDRESS [--protocol agent|http|grpc] [--service NAME] [--path PATH]
                [--timeout TIME] [--weight-exit]

Asks a router for its state and prints the answer.
  --protocol     agent (the usual), http or grpc
  --service      what is asked about: platform or messages; left out, the router
  --path         of an HTTP check, /healthz if left out
  --timeout      1s if left out
  --weight-exit  the exit code tells the weight: 2 and the weight (3 to 102) when it serves, 2 in a drain,
                 1 when it does not serve or does not answer. Only the agent check tells the weight; by the
                 others a router that serves gives 102.
exit codes otherwise: 0 it serves, 1 it does not, or there was no answer, 2 a command line that can't be used
(with --weight-exit 1, as 2 has a meaning there).
"
        .into(),
        Some("ctl") => "\
tallypin ctl --socket PATH ORDER

Gives a running router an order over its socket (section `control` of the settings) and prints the answer.
  show           the state, its cause, who asks, and counts
  drain          tell every balancer, part from clients, and stay; `ready` takes it back
  drain end      the same, then end; `ready` takes it back until the listeners close
  maint          out of service
  ready          serve again
  weight N%      want so much weight at the most
"
        .into(),
        Some("fleet") => "\
tallypin fleet --socket PATH [--id ID] ORDER

Gives the whole fleet an order over the socket of any of its routers (sections `control` and `fleet` of the settings)
and prints the answer, one line of JSON. An order with an id runs at most once, whoever sends it how often.
  status               what is agreed on: who is out, or is to go, and whether it is halted
  drain ROUTER..       these go out, as many at a time as the bounds let, each by a leave of its own
  take-out NODE.. [for TIME]  nothing new is sent to these model nodes, for so long at the most
  put-back ROUTER|NODE..      these come back; a model node as one that has just started
  release PLAN         a file goes to the routers in the plan's waves, each watched before the next
  back [CAUSE]         the release is undone, wave by wave, the last one first
  watch                a line for each change, until the release that is on has ended
  halt [CAUSE]         nobody begins to go out; answered when that is certain
  resume               it goes on
exit codes: 0 agreed on, or a watched release is done; 1 not, no majority answered in time, or it failed or was undone
"
        .into(),
        Some("settings") => format!(
            "What may stand in the settings file (see docs/SETTINGS.md for its form):\n\n{}",
            tallypin_settings_schema::describe(&tallypin_router::installation::FILE)
        ),
        Some("version") => "tallypin version\n\nPrints the version.\n".into(),
        Some("help") => "tallypin help [COMMAND]\n\nPrints help, `help settings` what may stand in the settings file.\n".into(),
        Some(other) => return Err(unknown(other)),
    })
}

fn unknown(command: &str) -> String {
    let near = nearest(command, COMMANDS.iter().map(|(name, _)| *name));
    let advice = near.map_or("`tallypin help` lists them".into(), |near| format!("did you mean `{near}`?"));
    format!("no command `{command}`; {advice}")
}

/// Reads the command line.
pub fn parse(mut args: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let command = match args.next()? {
        Some(Value(v)) => v.string()?,
        Some(Short('V') | Long("version")) => return Ok(Command::Version),
        Some(Short('h') | Long("help")) => return Ok(Command::Help(None)),
        Some(other) => return Err(other.unexpected()),
        None => return Err("no command; `tallypin help` lists them".into()),
    };
    let (mut settings, mut print, mut at, mut protocol) = (None, false, None, Protocol::Agent);
    let (mut service, mut path, mut style) = (String::new(), "/healthz".to_string(), Style::Plain);
    let (mut timeout, mut socket, mut words) = (Duration::from_secs(1), None, Vec::new());
    let mut id: Option<String> = None;
    while let Some(arg) = args.next()? {
        match (command.as_str(), arg) {
            (_, Short('h') | Long("help")) => return Ok(Command::Help(Some(command))),
            ("serve" | "check", Long("settings")) => settings = Some(args.value()?.into()),
            ("serve" | "check", Long("messages")) => {
                return Err("--messages has gone: --settings FILE holds what its file said".into());
            }
            ("check", Long("print")) => print = true,
            ("health", Long("at")) => at = Some(args.value()?.parse()?),
            ("health", Long("protocol")) => {
                protocol = match args.value()?.string()?.as_str() {
                    "agent" => Protocol::Agent,
                    "http" => Protocol::Http,
                    "grpc" => Protocol::Grpc,
                    other => return Err(format!("--protocol: agent, http or grpc, not {other}").into()),
                };
            }
            ("health", Long("service")) => service = args.value()?.string()?,
            ("health", Long("path")) => path = args.value()?.string()?,
            ("health", Long("weight-exit")) => style = Style::Weight,
            ("health", Long("timeout")) => {
                let kind = Kind::Duration(1, 600_000);
                timeout = match kind.read(&args.value()?.string()?) {
                    Some(Read::Duration(time)) => time,
                    _ => return Err(format!("--timeout: {}", kind.expects()).into()),
                };
            }
            ("ctl" | "fleet", Long("socket")) => socket = Some(args.value()?.into()),
            ("fleet", Long("id")) => id = Some(args.value()?.string()?),
            ("ctl" | "fleet" | "help", Value(word)) => words.push(word.string()?),
            (_, other) => return Err(other.unexpected()),
        }
    }
    let missing = |option: &str| format!("{command} wants {option}");
    Ok(match command.as_str() {
        "serve" => Command::Serve { settings },
        "check" if print && settings.is_none() => return Err(missing("--settings FILE with --print").into()),
        "check" => Command::Check { settings, print },
        "health" => {
            let at = at.ok_or_else(|| missing("--at ADDRESS"))?;
            // It stands in a line and in a head: what would end either is no name.
            if !service.bytes().chain(path.bytes()).all(|b| b.is_ascii_graphic()) {
                return Err("--service and --path take plain words".into());
            }
            Command::Health { at, protocol, service, path, style, timeout }
        }
        "ctl" => {
            let socket = socket.ok_or_else(|| missing("--socket PATH"))?;
            let order = words.join(" ");
            tallypin_router::checks::control::read(&order)?;
            Command::Ctl { socket, order }
        }
        "fleet" if words == ["watch"] => {
            Command::Watch { socket: socket.ok_or_else(|| missing("--socket PATH"))? }
        }
        "fleet" => {
            let socket = socket.ok_or_else(|| missing("--socket PATH"))?;
            let id = id.map(|id| format!("id {id} ")).unwrap_or_default();
            let order = match &words[..] {
                [release, path] if release == "release" => {
                    let plan = release_plan::read(path.as_ref(), &|path| std::fs::read_to_string(path));
                    let plan = plan.map_err(|problems| problems.to_string())?;
                    format!("{id}release {}", serde_json::to_string(&plan).map_err(|e| e.to_string())?)
                }
                [release, ..] if release == "release" => return Err("release wants one plan, a file".into()),
                _ => format!("{id}{}", words.join(" ")),
            };
            tallypin_router::fleet::operator_orders::parse(
                &order.split_ascii_whitespace().collect::<Vec<_>>(),
            )?;
            Command::Ctl { socket, order: format!("fleet {order}") }
        }
        "version" => Command::Version,
        "help" => Command::Help(words.into_iter().next()),
        other => return Err(unknown(other).into()),
    })
}
