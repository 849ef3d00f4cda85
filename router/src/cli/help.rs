//! The help texts of the program. Scripts may match them, so they stay unchanged byte for byte.

use std::fmt;

use tallypin_settings_schema::closest_match;

/// The help on a command: its name, a description in one line, and the full text.
struct CommandHelp {
    name: &'static str,
    about: &'static str,
    text: &'static str,
}

/// The commands in the order in which help lists them.
const COMMANDS: [CommandHelp; 7] = [
    CommandHelp { name: "serve", about: "run the router", text: SERVE },
    CommandHelp {
        name: "check",
        about: "read the configuration and the settings, say what is wrong with them, and end",
        text: CHECK,
    },
    CommandHelp { name: "health", about: "ask a router for its state, as a check program", text: HEALTH },
    CommandHelp { name: "ctl", about: "give a running router an order", text: CTL },
    CommandHelp { name: "fleet", about: "give the fleet an order, at any of its routers", text: FLEET },
    CommandHelp { name: "version", about: "print the version", text: VERSION },
    CommandHelp { name: "help", about: "print this, or help on a command", text: HELP },
];

/// The help topic that is not a command.
const SETTINGS_TOPIC: &str = "settings";

const SERVE: &str = "\
tallypin serve [--settings FILE]

Runs the router by the configuration that PROXY_CONFIG names (PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY
override it). The settings file adds what an installation has beside it: the messages API, checks for balancers,
the operator's socket, the log. SIGHUP reads both again; SIGTERM drains and ends.
";

const CHECK: &str = "\
tallypin check [--settings FILE] [--print]

Reads the configuration and the settings and tells all that is wrong with them, each with its line.
  --print    print the settings back with every default filled in; what is printed reads back to the same
";

const HEALTH: &str = "\
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
";

const CTL: &str = "\
tallypin ctl --socket PATH ORDER

Gives a running router an order over its socket (section `control` of the settings) and prints the answer.
  show           the state, its cause, who asks, and counts
  drain          tell every balancer, part from clients, and stay; `ready` takes it back
  drain end      the same, then end; `ready` takes it back until the listeners close
  maint          out of service
  ready          serve again
  weight N%      want so much weight at the most
";

const FLEET: &str = "\
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
";

const VERSION: &str = "tallypin version\n\nPrints the version.\n";

const HELP: &str =
    "tallypin help [COMMAND]\n\nPrints help, `help settings` what may stand in the settings file.\n";

const EXIT_CODES: &str = "\
exit codes: 0 done; 1 failed while running, or no answer; 2 a command line, configuration or settings that
can't be used. `health` has its own, see `tallypin help health`.
";

/// The error of an unknown command or help topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownCommand {
    name: String,
}

impl UnknownCommand {
    /// Creates the error of an unknown command or help topic.
    pub fn new(name: &str) -> UnknownCommand {
        UnknownCommand { name: name.into() }
    }
}

impl fmt::Display for UnknownCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = &self.name;
        match closest_match(name, COMMANDS.iter().map(|command| command.name)) {
            Some(closest) => write!(f, "unknown command `{name}`; did you mean `{closest}`?"),
            None => write!(f, "unknown command `{name}`; `tallypin help` lists the commands"),
        }
    }
}

impl std::error::Error for UnknownCommand {}

/// The help on a command or topic, or an overview of the commands.
///
/// # Errors
///
/// [`UnknownCommand`] if `topic` is neither a command nor a topic.
pub fn help(topic: Option<&str>) -> Result<String, UnknownCommand> {
    let Some(topic) = topic else { return Ok(overview()) };
    if topic == SETTINGS_TOPIC {
        return Ok(settings_help());
    }
    let command = COMMANDS.iter().find(|command| command.name == topic);
    command.map(|command| command.text.to_string()).ok_or_else(|| UnknownCommand::new(topic))
}

fn overview() -> String {
    let line = |command: &CommandHelp| format!("  tallypin {:8} {}\n", command.name, command.about);
    let list: String = COMMANDS.iter().map(line).collect();
    format!(
        "tallypin: a request router in front of language-model nodes\n\n{list}\n\
         The configuration is the file that PROXY_CONFIG names.\n{EXIT_CODES}"
    )
}

fn settings_help() -> String {
    format!(
        "What may stand in the settings file (see docs/SETTINGS.md for its form):\n\n{}",
        tallypin_settings_schema::describe(&tallypin_router::installation::SCHEMA)
    )
}
