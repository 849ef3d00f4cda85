//! The interface of the decision module: what a router hands in ([`Settings`], [`Event`]) and what
//! it gets back ([`Action`]). Plain data; every time and every span is in nanoseconds ([`Nanos`]).

use std::fmt;

pub use crate::effect::{DeduplicationScope, Effect};
pub use crate::served_report::TenantsDigest;

/// A point in time or a span, in nanoseconds. Points are of the router's own monotonic clock.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// The longest wait for the next call for the node list: half of the 6 s after which what it has to tell counts as told. The
/// other half is for a call that was out when the list came back, and for the answer.
pub const MAX_LIST_POLL_DELAY: Nanos = 3 * SECOND;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A replica. The same number must mean the same replica at every router: rendezvous hashing
    /// relies on it.
    ReplicaId(u64)
);
id!(
    /// A request, as the router numbers it. Never used twice within one life of a router.
    RequestId(u64)
);
id!(
    /// A tenant: its place in [`Settings::tenants`].
    TenantId(u32)
);
id!(
    /// A class of requests: its place in [`Settings::classes`].
    ClassId(u32)
);
id!(
    /// A zone: its place in the list of zones all routers share.
    ZoneId(u32)
);
id!(
    /// A peer router: its place among the routers.
    PeerId(u32)
);
id!(
    /// A session, hashed from its name in the same way at every router.
    SessionKey(u64)
);
id!(
    /// A beginning shared by the prompts of several sessions, hashed in the same way at every router.
    PrefixKey(u64)
);

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The first token is worth the full worth within this time.
    pub latency_objective: Nanos,
    /// Added to the aim for every 1,000 tokens of the prompt.
    pub latency_objective_per_1000_tokens: Nanos,
    /// The wanted gap between tokens; 0 if none is stated.
    pub token_interval_objective: Nanos,
    /// What repeating does.
    pub effect: Effect,
    /// Worth of one request, in any unit common to all classes.
    pub priority_weight: f64,
    /// The part of it that an answer after the aim earns, 0 to 1.
    pub late_value_share: f64,
}

impl Class {
    /// The aim for a prompt of so many tokens, ns.
    pub fn latency_objective_for(&self, prompt_tokens: u32) -> f64 {
        self.latency_objective as f64
            + self.latency_objective_per_1000_tokens as f64 * f64::from(prompt_tokens) / 1000.0
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second within its share, over all routers together. Above zero.
    pub quota_per_s: f64,
}

/// A value in a replica's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests queued.
    Queue,
    /// Busy share of the replica, 0 to 1.
    Utilization,
    /// Thousands of prompt tokens waiting to be read.
    PrefillBacklogThousands,
    /// Anything else: skipped.
    Other,
}

/// How the list of replicas comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changes arrive unprompted.
    Pushed,
    /// Changes arrive after a [`Action::WatchEndpoints`] only.
    Polled {
        /// A router that has neither a subscription nor asked for this long is held to know the list.
        max_poll_interval: Nanos,
    },
}

/// What a router is told once, at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This router's place among the routers.
    pub own_index: PeerId,
    /// How many routers there are.
    pub router_count: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What their numbers mean: peers' reports are heard only where it is the same.
    pub digest: TenantsDigest,
    /// The classes; at least one.
    pub classes: Vec<Class>,
    /// The most attempts for a request. At least one.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub concurrent_attempts: bool,
    /// Attempts can be called off.
    pub can_cancel: bool,
    /// Messages to peers are possible.
    pub has_peers: bool,
    /// Probes are possible.
    pub can_probe: bool,
    /// The longest wait that clients follow.
    pub max_retry_after: Nanos,
    /// How the list comes.
    pub list_mode: EndpointListMode,
    /// The values of a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// A replica starts at this share of its capacity or more, 0 to 1.
    pub initial_capacity_share: f64,
    /// It is warm after this time.
    pub warm_up_time: Nanos,
    /// A cold replica that is sent too much for this time falls over.
    pub overload_window: Nanos,
    /// Too much: more than so many times what it can do then.
    pub overload_multiple: f64,
    /// What crossing zones costs, as a share of a request's worth.
    pub cross_zone_cost: f64,
    /// A connection to a replica that carries nothing is closed after this.
    pub idle_timeout: Nanos,
}

impl Settings {
    /// Whether a router can decide by these.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.tenants.iter().any(|t| !usable(t.quota_per_s) || t.quota_per_s == 0.0) {
            return Err(SettingsError::BadNumber("quota_per_s"));
        }
        if !usable(self.overload_multiple) {
            return Err(SettingsError::BadNumber("fall_multiple"));
        }
        if self.classes.iter().any(|c| c.latency_objective == 0) {
            return Err(SettingsError::BadNumber("aim"));
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::BadNumber("try_limit"));
        }
        for (x, name) in
            [(self.initial_capacity_share, "cold_share"), (self.cross_zone_cost, "cross_zone_price")]
        {
            if !usable(x) {
                return Err(SettingsError::BadNumber(name));
            }
        }
        if self.router_count == 0 || self.own_index.0 >= self.router_count {
            return Err(SettingsError::InvalidRouterIndex);
        }
        Ok(())
    }
}

/// Whether a number can be one of the settings.
pub(crate) fn usable(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// What is wrong with [`Settings`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// A number is missing, zero where it must not be, negative or not finite. Names the setting.
    BadNumber(&'static str),
    /// This router's number is not below the number of routers.
    InvalidRouterIndex,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "no class of requests"),
            SettingsError::BadNumber(name) => write!(f, "{name}: not a usable number"),
            SettingsError::InvalidRouterIndex => write!(f, "me: not among the routers"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Is gone; nothing new.
    #[default]
    Gone,
}

/// A row of the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which replica.
    pub replica: ReplicaId,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0 if long ago.
    pub started_at: Nanos,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: a small set of replicas.
    pub cell: u32,
    /// Its kind of machine: machines of one kind are about alike.
    pub kind: u32,
}

/// What a list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed rows only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart, perhaps old.
    Cached,
    /// A call for the list failed, or the subscription ended. No rows.
    Failed,
}

/// A request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; ignored without tenants.
    pub tenant: TenantId,
    /// Time until the client gives up.
    pub time_left: Nanos,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// How many of them are the shared beginning.
    pub prefix_tokens: u32,
    /// The session.
    pub session: Option<SessionKey>,
    /// The shared beginning.
    pub prefix: Option<PrefixKey>,
    /// The client comes back for the rest of a broken or moved stream.
    pub resumes_stream: bool,
    /// The client marks this as another try of what it asked before, where clients do.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The replica gave an error; it may have run.
    ReplicaError,
    /// Sent back unseen.
    Rejected,
    /// No reply in time; may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectionRefused,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectionRefused | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its send.
    pub elapsed: Nanos,
    /// The request is over, by this or before it: no answer is owed.
    pub request_over: bool,
    /// Prompt tokens the replica still had, if told.
    pub cached_tokens: Option<u32>,
    /// The replica's load report, in the order of [`Settings::report_fields`]; empty if none came.
    pub load: Vec<f64>,
}

/// What a router has seen.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list.
    EndpointList {
        /// What kind of news.
        kind: ListUpdate,
        /// The rows.
        rows: Vec<EndpointEntry>,
    },
    /// A request.
    Request(Request),
    /// An attempt's answer has begun: the client has it from here on, without a deadline.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time since its send.
        elapsed: Nanos,
    },
    /// An attempt has ended. Each has exactly one.
    AttemptEnded(AttemptEnded),
    /// The client has left: no answer is owed.
    ClientLeft(RequestId),
    /// A timer set by [`Action::WakeAt`].
    Timer(u64),
    /// A probe has ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it went.
        outcome: Outcome,
        /// The load report, as in [`Event::AttemptEnded`].
        load: Vec<f64>,
    },
    /// A message from a peer.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// What a request is refused for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its tenant has used up its share.
    QuotaExceeded,
    /// No replica would begin in time, or none did.
    NoCapacity,
}

/// What a router is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        replica: ReplicaId,
        /// Its time-out.
        timeout: Nanos,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may come back; 0 gives no advice.
        retry_after: Nanos,
        /// What for.
        reason: RejectReason,
    },
    /// Final answer: failed; promises nothing.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Probe a replica.
    Probe(ReplicaId),
    /// Subscribe to the list.
    WatchEndpoints,
    /// Send a message of at most 256 bytes to all peers.
    Gossip(Vec<u8>),
    /// Deliver [`Event::Timer`] with this token at this time.
    WakeAt {
        /// When.
        at: Nanos,
        /// The token.
        token: u64,
    },
}
