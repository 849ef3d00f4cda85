//! What the router is told at its start: the environment, the configuration file and, for the messages
//! front, a file of its own. What is malformed is named with its field.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;
use tallypin::deployment::{self, Deployment};

use crate::endpoint_list::message::EndpointListMessage;
use crate::limits::Limits;

/// What is wrong with the configuration: where, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Malformed {
    /// The field or variable.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl Malformed {
    /// A field that cannot be used.
    pub fn new(field: &str, why: impl fmt::Display) -> Self {
        Malformed { field: field.into(), why: why.to_string() }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

impl std::error::Error for Malformed {}

#[derive(Deserialize)]
struct Machine {
    memory_mb: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct File<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Machine,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Option<EndpointListMessage>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// How a router reaches the other routers.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerAddresses {
    /// Where their messages arrive.
    pub listen: SocketAddr,
    /// Every router's address, by number, the own one included.
    pub each: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub all: Option<SocketAddr>,
}

/// A router's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the node list is.
    pub node_list: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The other routers, if there are any to talk to.
    pub peers: Option<PeerAddresses>,
    /// The node list as last held before the start.
    pub known: Option<EndpointListMessage>,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The limits.
    pub limits: Limits,
}

impl Config {
    /// Reads the configuration that the environment names, at the start: variables have the last word.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Config, Malformed> {
        let mut config = Config::reread(&var)?;
        if let Some(value) = var("PROXY_DISCOVERY") {
            config.node_list = value.parse().map_err(|e| Malformed::new("PROXY_DISCOVERY", e))?;
        }
        Ok(config)
    }

    /// Reads it again while the router runs. Where the node list is, the file says from then on: the
    /// variable is as old as the process, and would undo every move.
    pub fn reread(var: impl Fn(&str) -> Option<String>) -> Result<Config, Malformed> {
        let path = var("PROXY_CONFIG").ok_or_else(|| Malformed::new("PROXY_CONFIG", "not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| Malformed::new("PROXY_CONFIG", e))?;
        let mut config = Config::parse(&text)?;
        if let Some(value) = var("PROXY_LISTEN") {
            config.listen = value.parse().map_err(|e| Malformed::new("PROXY_LISTEN", e))?;
        }
        if let Some(name) = var("PROXY_NAME") {
            config.name = name;
        }
        Ok(config)
    }

    /// Reads a configuration.
    pub fn parse(text: &str) -> Result<Config, Malformed> {
        let file: File = crate::config::read(text)?;
        let deployment = deployment::parse(file.settings.get())
            .map_err(|e| Malformed::new(&format!("settings.{}", e.path()), e.inner()))?;
        deployment.validate().map_err(|invalid| {
            Malformed::new(&format!("settings.{}", invalid.path), format!("wanted: {}", invalid.expected))
        })?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| Malformed::new("seed", "not 1 to 16 hex digits"))?;
        if file.limits.sockets < 64 {
            return Err(Malformed::new("limits.sockets", "fewer than 64 leave no room for traffic"));
        }
        if file.limits.memory_mb < 16 {
            return Err(Malformed::new("limits.memory_mb", "fewer than 16 leave no room for traffic"));
        }
        let limits = Limits::new(file.limits.memory_mb, file.limits.sockets, &deployment);
        let peers = file.peer_listen.filter(|_| deployment.decisions.has_peers).map(|listen| PeerAddresses {
            listen,
            each: file.peers,
            all: file.peers_all,
        });
        Ok(Config {
            name: file.name,
            listen: file.listen,
            node_list: file.discovery,
            seed,
            peers,
            known: file.known,
            deployment,
            limits,
        })
    }
}

/// Reads JSON; an error names the field by its path.
pub fn read<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, Malformed> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let (path, why) = (e.path().to_string(), e.inner().to_string());
        // A missing field is named by the message, and its object by the path.
        let field = match why.strip_prefix("missing field `").and_then(|w| w.split('`').next()) {
            Some(name) if path == "." => name.to_string(),
            Some(name) => format!("{path}.{name}"),
            None => path,
        };
        Malformed { field, why }
    })
}
