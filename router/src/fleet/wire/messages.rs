//! What calls and replies carry.

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::{Command, FleetState, Rejection};
use tallypin_consensus::register::{AcceptorReply, AcceptorRequest};
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::AppliedState;
use tallypin_membership::{AdvertisedStatus, Incarnation, RouterIndex};

/// This version of the messages. Unknown fields are passed over; another version is not read.
pub const VERSION: u8 = 1;

/// A call to a member of the council.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The version of this message.
    #[serde(rename = "v")]
    pub version: u8,
    /// The router that calls.
    pub from: RouterIndex,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Above that of every call before in this incarnation: a repeated call is rejected.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// What it asks.
    #[serde(rename = "what")]
    pub request: Request,
    /// With a heartbeat: what it reports. Routers of the first version report nothing.
    #[serde(default, rename = "tells", skip_serializing_if = "Option::is_none")]
    pub report: Option<HeartbeatReport>,
}

/// What a router reports with its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Its final answers since its start.
    #[serde(default)]
    pub counts: AnswerCounts,
    /// The fleet state that it goes by, and the drained replicas that it still uses.
    #[serde(default, rename = "follows")]
    pub applied: AppliedState,
    /// The digest of what it runs, of the kind that is, or was last, released.
    #[serde(default, rename = "runs", skip_serializing_if = "Option::is_none")]
    pub running_digest: Option<String>,
}

/// A drained replica and the routers that still use it, as one member has heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotClearReplica {
    /// The replica's id.
    #[serde(rename = "node")]
    pub replica: String,
    /// How many routers still use it, or have not reported.
    #[serde(rename = "routers")]
    pub router_count: usize,
    /// The first of them.
    #[serde(rename = "first")]
    pub first_routers: Vec<RouterIndex>,
}

/// What is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Request {
    /// A heartbeat: the caller is alive, and this is its status.
    #[serde(rename = "beat")]
    Heartbeat(AdvertisedStatus),
    /// To the member's acceptor.
    #[serde(rename = "ask")]
    Acceptor(AcceptorRequest<FleetState>),
    /// To have a command agreed on.
    #[serde(rename = "change")]
    Submit(Command),
    /// Which incarnation of the caller is known: before its first other call. The only call that is not checked for
    /// repetition.
    #[serde(rename = "life")]
    Incarnation,
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply {
    /// The version of this message.
    #[serde(rename = "v")]
    pub version: u8,
    /// The sequence number of the call.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// What it says.
    #[serde(rename = "what")]
    pub response: Response,
    /// With the current proposal: the drained replicas and who still uses them.
    #[serde(default, rename = "unclear", skip_serializing_if = "Vec::is_empty")]
    pub not_clear: Vec<NotClearReplica>,
}

/// What became of a command: the fleet state with it, or why it was not applied.
pub type CommandOutcome = Result<FleetState, Rejection>;

/// What is replied.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Response {
    /// To a heartbeat: the version that this member accepted last; `None`: it has not joined.
    #[serde(rename = "heard")]
    HeartbeatReceived(Option<u64>),
    /// Of the acceptor, and which routers are out of service, if this member can tell.
    #[serde(rename = "answer")]
    Acceptor(AcceptorReply<FleetState>, Option<Vec<RouterIndex>>),
    /// The latest incarnation of the caller that this member has heard of; 0: of none.
    #[serde(rename = "life")]
    Incarnation(Incarnation),
    /// What became of a command; `None`: not known, no majority answered this member in time.
    #[serde(rename = "changed")]
    Submitted(Option<CommandOutcome>),
}
