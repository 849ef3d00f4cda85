//! Which routers of a fleet are alive, as one member of the council sees it from their heartbeats. No input or output:
//! messages and the clock are handed in.
//!
//! Each router sends a heartbeat to each member of the council. The council has a fixed size, so that a router's cost does
//! not grow with the fleet. A member's view decides nothing alone: `tallypin-consensus` asks a majority of the council.
//! `docs/FLEET-DESIGN.md` weighs the alternatives.
//!
//! An *incarnation* is one start of a router's process. A later incarnation ends an earlier one at once, and a heartbeat
//! of an earlier one that arrives late is rejected.

mod failure_detector;
mod status;

use std::time::Duration;

pub use failure_detector::{FailureDetector, HeartbeatError, HeartbeatTiming, LivePeer};
pub use status::{AdvertisedStatus, PeerStatus};

/// A point in time on the monotonic clock of one process, in ns.
pub type Nanos = u64;

/// The time from `since` to `now`, by one clock; zero if `since` is later.
pub fn elapsed(now: Nanos, since: Nanos) -> Duration {
    Duration::from_nanos(now.saturating_sub(since))
}

/// A router's position in the list of routers in the fleet's settings, from 0. All routers have the same list.
pub type RouterIndex = u16;

/// One start of a router's process. Later starts have higher numbers; 0 is below all of them.
pub type Incarnation = u64;
