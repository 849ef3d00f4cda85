//! The incarnation of a router: a number for each start of its process, later starts above earlier ones.
//!
//! It is taken from the wall clock, which may have been set back since the start before. Members of the council reject
//! calls of an earlier incarnation than the latest that they know, so they are asked for that one first.

use std::time::{SystemTime, UNIX_EPOCH};

use tallypin_membership::{Incarnation, RouterIndex};
use tokio::task::JoinSet;

use super::connection::CouncilConnection;
use super::wire::{Call, Request, Response, VERSION};

/// The incarnation of a router that starts now: above any that a member of the council has heard of. A member that does
/// not reply within the timeout of its connection is not waited for.
pub async fn choose(connections: &[Option<CouncilConnection>], own_index: RouterIndex) -> Incarnation {
    let by_clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    let mut asked = JoinSet::new();
    for connection in connections.iter().flatten() {
        let reply = connection.call(Call {
            version: VERSION,
            from: own_index,
            incarnation: by_clock,
            sequence: 0,
            request: Request::Incarnation,
            report: None,
        });
        asked.spawn_local(async move {
            match reply.await.map(|reply| reply.response) {
                Some(Response::Incarnation(known)) => known,
                _ => 0,
            }
        });
    }
    let mut incarnation = by_clock;
    while let Some(known) = asked.join_next().await {
        incarnation = incarnation.max(known.unwrap_or(0).saturating_add(1));
    }
    incarnation
}
