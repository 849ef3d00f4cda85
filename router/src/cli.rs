//! The command line: what may be asked of the program, and what it says of itself.

mod help;
mod parse;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tallypin_health::exit_code::ExitCodeStyle;

pub use help::help;
pub use parse::parse;

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
        style: ExitCodeStyle,
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
