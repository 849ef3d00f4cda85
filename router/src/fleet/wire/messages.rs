//! Content of calls and replies.

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::{Command, FleetState, Rejection};
use tallypin_consensus::register::{AcceptorReply, AcceptorRequest};
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::AppliedState;
use tallypin_membership::{AdvertisedStatus, Incarnation, RouterIndex};

/// Version of the message format. Unknown fields are ignored; messages of another version are rejected.
pub const VERSION: u8 = 1;

/// A call to a council member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Message version.
    #[serde(rename = "v")]
    pub version: u8,
    /// Index of the calling router.
    pub from: RouterIndex,
    /// Incarnation of the calling router.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every call of an incarnation. Repeated calls are rejected.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The request.
    #[serde(rename = "what")]
    pub request: Request,
    /// Report that accompanies a heartbeat. Routers of the first version send none.
    #[serde(default, rename = "tells", skip_serializing_if = "Option::is_none")]
    pub report: Option<HeartbeatReport>,
}

/// What a router reports with its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Counts of the router's final answers since its start.
    #[serde(default)]
    pub counts: AnswerCounts,
    /// Version of the fleet state that the router has applied, and the drained replicas that it still uses.
    #[serde(default, rename = "follows")]
    pub applied: AppliedState,
    /// Digest that the router runs of the artifact in the current or last release.
    #[serde(default, rename = "runs", skip_serializing_if = "Option::is_none")]
    pub running_digest: Option<String>,
}

/// A drained replica and the routers that still use it, according to the reports that one member has received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingUse {
    /// Id of the replica.
    #[serde(rename = "node")]
    pub replica: String,
    /// Number of routers that still use the replica or have not reported.
    #[serde(rename = "routers")]
    pub router_count: usize,
    /// The first of these routers.
    #[serde(rename = "first")]
    pub first_routers: Vec<RouterIndex>,
}

/// The request of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Request {
    /// A heartbeat, with the status of the caller.
    #[serde(rename = "beat")]
    Heartbeat(AdvertisedStatus),
    /// A request to the member's acceptor.
    #[serde(rename = "ask")]
    Acceptor(AcceptorRequest<FleetState>),
    /// Submits a command for the next round.
    #[serde(rename = "change")]
    Submit(Command),
    /// Queries the latest known incarnation of the caller, before its first other call. The only request for which repeated
    /// calls are accepted.
    #[serde(rename = "life")]
    Incarnation,
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply {
    /// Message version.
    #[serde(rename = "v")]
    pub version: u8,
    /// Sequence number of the call.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The response.
    #[serde(rename = "what")]
    pub response: Response,
    /// In the reply to a read: the drained replicas and the routers that still use them.
    #[serde(default, rename = "unclear", skip_serializing_if = "Vec::is_empty")]
    pub remaining_uses: Vec<RemainingUse>,
}

/// Outcome of a command: the fleet state after it, or the reason of its rejection.
pub type CommandOutcome = Result<FleetState, Rejection>;

/// The response in a reply.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Response {
    /// Reply to a heartbeat: the state version that this member accepted last; `None` if it has not joined.
    #[serde(rename = "heard")]
    HeartbeatReceived(Option<u64>),
    /// Reply of the acceptor, and the routers that this member considers out of service; `None` if it can't tell.
    #[serde(rename = "answer")]
    Acceptor(AcceptorReply<FleetState>, Option<Vec<RouterIndex>>),
    /// The latest incarnation of the caller that this member knows; 0 if it knows none.
    #[serde(rename = "life")]
    Incarnation(Incarnation),
    /// Outcome of a submitted command; `None` if it is unknown because no majority answered this member in time.
    #[serde(rename = "changed")]
    Submitted(Option<CommandOutcome>),
}
