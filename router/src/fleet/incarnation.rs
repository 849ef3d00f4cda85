//! The lives of a router: one for each start of its process, later starts above earlier ones.
//!
//! A life is taken from the wall clock, which may have been set back since the start before. Members of the council hear
//! nothing of an earlier life than the latest that they know, so that one is asked for first.

use std::time::{SystemTime, UNIX_EPOCH};

use tallypin_membership::RouterIndex;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::connection::CouncilConnection;
use super::wire::{self, Call, Request, Response};

/// The life of a router that starts now: above any that a member of the council answers to have heard of. Who does not
/// answer within the deadline of its link is not waited for.
pub async fn choose(links: &[Option<CouncilConnection>], me: RouterIndex) -> u64 {
    let by_clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    let (tell, mut told) = mpsc::channel(links.len().max(1));
    for link in links.iter().flatten() {
        let call = Call {
            version: wire::VERSION,
            from: me,
            incarnation: by_clock,
            sequence: 0,
            request: Request::Incarnation,
            report: None,
        };
        let (answer, tell) = (link.calling(call), tell.clone());
        spawn_local(async move {
            let life = match answer.await.map(|reply| reply.response) {
                Some(Response::Incarnation(life)) => life,
                _ => 0,
            };
            let _ = tell.send(life).await;
        });
    }
    drop(tell);
    let mut life = by_clock;
    while let Some(known) = told.recv().await {
        life = life.max(known.saturating_add(1));
    }
    life
}
