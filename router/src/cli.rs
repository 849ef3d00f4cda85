//! The command line of the program: its commands and their help.

mod help;
mod parse;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tallypin_health::exit_code::ExitCodeStyle;

pub use help::help;
pub use parse::parse;

/// The protocol of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The agent check.
    Agent,
    /// A check over HTTP.
    Http,
    /// gRPC health checking.
    Grpc,
}

/// A command with its options.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Run the router.
    Serve {
        /// The settings file, if there is one.
        settings: Option<PathBuf>,
    },
    /// Check the configuration and the settings.
    Check {
        /// The settings file, if there is one.
        settings: Option<PathBuf>,
        /// Whether to print the settings with every default.
        print: bool,
    },
    /// Query the health of a router.
    Health {
        /// The address of the check listener.
        at: SocketAddr,
        /// The protocol.
        protocol: Protocol,
        /// The service to query; empty for the whole router.
        service: String,
        /// The path of a check over HTTP.
        path: String,
        /// The meaning of the exit code.
        style: ExitCodeStyle,
        /// Time limit for the answer.
        timeout: Duration,
    },
    /// Print changes of the fleet state.
    Watch {
        /// The control socket of a router.
        socket: PathBuf,
    },
    /// Send an operator order to a router.
    Ctl {
        /// The control socket of the router.
        socket: PathBuf,
        /// The line to send.
        order: String,
    },
    /// Print the version.
    Version,
    /// Print help on a command or topic, or an overview.
    Help(Option<String>),
}
