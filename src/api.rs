//! The interface of the decision module: what a router hands in ([`Settings`], [`Event`]) and what
//! it gets back ([`Action`]). Plain data; every time and every span is in nanoseconds ([`Nanos`]).

mod settings;

pub use crate::effect::{DeduplicationScope, Effect};
pub use crate::served_report::TenantsDigest;
pub(crate) use settings::usable;
pub use settings::{Class, EndpointListMode, LoadField, Settings, SettingsError, Tenant};

/// A point in time or a span, in nanoseconds. Points are of the router's own monotonic clock.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

/// The longest backoff before the next poll of the endpoint list: half of the 6 s after which a router counts as notified of
/// what the list has. The other half is for a call that was in flight when the list came back, and for the answer.
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
    /// A request, as the router numbers it. Never used twice within one incarnation of a router.
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
    /// A prefix shared by the prompts of several sessions, hashed in the same way at every router.
    PrefixKey(u64)
);

/// What the endpoint list says of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes its requests; nothing new.
    Draining,
    /// Is gone; nothing new.
    #[default]
    Gone,
}

/// A replica in the endpoint list.
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

/// What an event of the endpoint list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart, perhaps old.
    Cached,
    /// A poll failed, or the watch ended. No entries.
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
    /// How many of them are the shared prefix.
    pub prefix_tokens: u32,
    /// The session.
    pub session: Option<SessionKey>,
    /// The shared prefix.
    pub prefix: Option<PrefixKey>,
    /// The client comes back for the rest of a broken or moved stream.
    pub resumes_stream: bool,
    /// The client marks this as a retry of what it asked before, where clients do.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The replica gave an error; it may have run.
    ReplicaError,
    /// Rejected before anything ran.
    Rejected,
    /// No reply in time; may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectionRefused,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled; it may have run.
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
    /// Prompt tokens found in the replica's prefix cache, if it reports them.
    pub cached_tokens: Option<u32>,
    /// The replica's load report, in the order of [`Settings::report_fields`]; empty if none came.
    pub load: Vec<f64>,
}

/// What a router has seen.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// What it holds.
        kind: ListUpdate,
        /// The entries.
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
    /// A health check has ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it went.
        outcome: Outcome,
        /// The load report, as in [`Event::AttemptEnded`].
        load: Vec<f64>,
    },
    /// Gossip from a peer.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its tenant has used up its quota.
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
    /// Final answer: rejected; trying again is harmless.
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
    /// Check the health of a replica.
    Probe(ReplicaId),
    /// Watch the endpoint list, or poll it.
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
