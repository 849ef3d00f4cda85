//! Which routers of a fleet are alive, as seen by one member of the council from their heartbeats. The crate does no
//! I/O: the caller passes in messages and the time.
//!
//! Each router sends a heartbeat to each member of the council. The council has a fixed size, so the cost per router
//! does not grow with the fleet. A member's view alone decides nothing: `tallypin-consensus` asks a majority of the
//! council. `docs/FLEET-DESIGN.md` compares the alternatives.
//!
//! An *incarnation* is one run of a router's process. A later incarnation ends an earlier one at once, and late
//! heartbeats of an earlier one are rejected.

mod failure_detector;
mod status;

use std::time::Duration;

pub use failure_detector::{FailureDetector, HeartbeatError, HeartbeatTiming, LivePeer};
pub use status::{AdvertisedStatus, PeerStatus};

/// A point in time on the monotonic clock of one process, in ns.
pub type Nanos = u64;

/// Returns the time from `since` to `now` on one clock; zero if `since` is later.
pub fn elapsed(now: Nanos, since: Nanos) -> Duration {
    Duration::from_nanos(now.saturating_sub(since))
}

/// Index of a router in the list of routers in the fleet's settings, which is the same at all routers.
pub type RouterIndex = u16;

/// Number of a run of a router's process. Later runs have higher numbers; all are above 0.
pub type Incarnation = u64;
