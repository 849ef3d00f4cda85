//! The incarnation of a router: a number per process start that increases with every start.
//!
//! It is derived from the wall clock, which may have been set back since the previous start. Council members reject calls
//! of an earlier incarnation than the latest they know, so a starting router first queries them for that incarnation.

use std::time::{SystemTime, UNIX_EPOCH};

use tallypin_membership::{Incarnation, RouterIndex};
use tokio::task::JoinSet;

use super::connection::CouncilConnection;
use super::wire::{Call, Request, Response, VERSION};

/// Returns the incarnation of a router that starts now: the wall clock in ns, or higher if a council member knows a later
/// incarnation. Members that do not reply within the call timeout are ignored.
pub async fn choose(connections: &[Option<CouncilConnection>], own_index: RouterIndex) -> Incarnation {
    let clock_ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    let mut queries = JoinSet::new();
    for connection in connections.iter().flatten() {
        let reply = connection.call(Call {
            version: VERSION,
            from: own_index,
            incarnation: clock_ns,
            sequence: 0,
            request: Request::Incarnation,
            report: None,
        });
        queries.spawn_local(async move {
            match reply.await.map(|reply| reply.response) {
                Some(Response::Incarnation(known)) => known,
                _ => 0,
            }
        });
    }
    let mut incarnation = clock_ns;
    while let Some(known) = queries.join_next().await {
        incarnation = incarnation.max(known.unwrap_or(0).saturating_add(1));
    }
    incarnation
}
