//! The configuration of a router: the JSON file that the environment names, and environment variables that override it.
//! Errors name the malformed field.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;
use tallypin::deployment::{self, Deployment};

use crate::endpoint_list::message::EndpointListMessage;
use crate::limits::Limits;

/// A malformed field of a JSON object or a malformed environment variable.
#[derive(Debug, Clone, PartialEq)]
pub struct FieldError {
    /// The path of the malformed JSON field, or the name of the malformed environment variable.
    pub field: String,
    /// Why the field or variable cannot be used.
    pub reason: String,
}

impl FieldError {
    /// An error of a field or variable.
    pub fn new(field: &str, reason: impl fmt::Display) -> Self {
        FieldError { field: field.into(), reason: reason.to_string() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for FieldError {}

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

/// The addresses for messages between routers.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerAddresses {
    /// The address that receives messages of other routers.
    pub listen: SocketAddr,
    /// The address of each router by its index, including this one.
    pub routers: Vec<SocketAddr>,
    /// An address that reaches all routers, if there is one.
    pub broadcast: Option<SocketAddr>,
}

/// A router's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of the router.
    pub name: String,
    /// The address of the platform's front.
    pub listen: SocketAddr,
    /// The address of the endpoint list agent.
    pub endpoint_list_agent: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The addresses for messages between routers, if the deployment has other routers.
    pub peers: Option<PeerAddresses>,
    /// The last endpoint list before the start, if the configuration has one.
    pub cached_list: Option<EndpointListMessage>,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The limits that follow from the machine's memory and sockets.
    pub limits: Limits,
}

impl Config {
    /// Reads the configuration at startup. `var` looks up an environment variable; variables override the file.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Config, FieldError> {
        let mut config = Config::reread(&var)?;
        if let Some(value) = var("PROXY_DISCOVERY") {
            config.endpoint_list_agent = value.parse().map_err(|e| FieldError::new("PROXY_DISCOVERY", e))?;
        }
        Ok(config)
    }

    /// Reads the configuration again for a reload. The address of the endpoint list agent comes from the file: the variable
    /// is from the start of the process and would undo every change of the address.
    pub fn reread(var: impl Fn(&str) -> Option<String>) -> Result<Config, FieldError> {
        let path = var("PROXY_CONFIG").ok_or_else(|| FieldError::new("PROXY_CONFIG", "not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| FieldError::new("PROXY_CONFIG", e))?;
        let mut config = Config::parse(&text)?;
        if let Some(value) = var("PROXY_LISTEN") {
            config.listen = value.parse().map_err(|e| FieldError::new("PROXY_LISTEN", e))?;
        }
        if let Some(name) = var("PROXY_NAME") {
            config.name = name;
        }
        Ok(config)
    }

    /// Parses the configuration file.
    pub fn parse(text: &str) -> Result<Config, FieldError> {
        let file: File = crate::config::parse_json(text)?;
        let deployment = deployment::parse(file.settings.get())
            .map_err(|e| FieldError::new(&format!("settings.{}", e.path()), e.inner()))?;
        deployment.validate().map_err(|invalid| {
            FieldError::new(&format!("settings.{}", invalid.path), format!("expected {}", invalid.expected))
        })?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| FieldError::new("seed", "expected 1 to 16 hexadecimal digits"))?;
        if file.limits.sockets < 64 {
            return Err(FieldError::new(
                "limits.sockets",
                "expected at least 64, or no sockets are left for requests",
            ));
        }
        if file.limits.memory_mb < 16 {
            return Err(FieldError::new(
                "limits.memory_mb",
                "expected at least 16, or no memory is left for requests",
            ));
        }
        let limits = Limits::new(file.limits.memory_mb, file.limits.sockets, &deployment);
        let peers = file
            .peer_listen
            .filter(|_| deployment.decision_settings.has_peers)
            .map(|listen| PeerAddresses { listen, routers: file.peers, broadcast: file.peers_all });
        Ok(Config {
            name: file.name,
            listen: file.listen,
            endpoint_list_agent: file.discovery,
            seed,
            peers,
            cached_list: file.known,
            deployment,
            limits,
        })
    }
}

/// Parses JSON; an error names the field by its path.
pub fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, FieldError> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let (path, reason) = (e.path().to_string(), e.inner().to_string());
        // For a missing field, the message has its name and the path is that of its object.
        let field = match reason.strip_prefix("missing field `").and_then(|rest| rest.split('`').next()) {
            Some(name) if path == "." => name.to_string(),
            Some(name) => format!("{path}.{name}"),
            None => path,
        };
        FieldError { field, reason }
    })
}
