//! The node list: its form, and the watch on it. When to ask is the module's decision; a lost watch is told
//! to it, and what is held goes on being used.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashSet;
use serde::Deserialize;
use tallypin::api::{EndpointEntry, EndpointListMode, EndpointState, ListUpdate, Nanos, ReplicaId, ZoneId};
use tallypin::deployment::Deployment;
use tallypin::name_hash;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};

use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list_state::EndpointListState;
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, MessageHead, StartLine};
use crate::limits::Limits;
use crate::object_reader::{NotAnObject, ObjectReader};
use crate::replica::ReplicaPool;
use crate::watch_clock::{Backoff, WatchClock, WatchStep, WatchTimeouts};

/// One object of the list: the whole of it, or what changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointListMessage {
    /// The version that it leads to.
    pub version: u64,
    /// The whole list.
    #[serde(default)]
    pub full: bool,
    /// The rows.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// A row of the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// The model node's name, the same at every router.
    pub id: String,
    /// Where this router reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its state.
    pub state: String,
    /// When it last started: Unix time in milliseconds, 0 if long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl EndpointRecord {
    /// The row as the module reads it.
    pub fn to_entry(&self, of: &Deployment) -> EndpointEntry {
        // A name that the settings lack is none of theirs: not the first zone, which may be the own one. A row that
        // names none is of a deployment that tells none apart.
        let place = |list: &[String], name: &str| match name {
            "" => 0,
            _ => list.iter().position(|n| n == name).unwrap_or(list.len()) as u32,
        };
        EndpointEntry {
            replica: name_hash::replica_id(&self.id),
            state: match self.state.as_str() {
                "active" => EndpointState::Ready,
                "left" => EndpointState::Gone,
                // A state that is not known is no invitation to send.
                _ => EndpointState::Draining,
            },
            started_at: (self.started_ms as Nanos).saturating_mul(1_000_000),
            zone: ZoneId(place(&of.zones, &self.zone)),
            cell: self.cell,
            kind: place(&of.kinds, &self.kind),
        }
    }
}

/// What the watch of the endpoint list needs of its router.
pub struct EndpointListContext {
    /// Zones and kinds by name, and how lists come.
    pub deployment: Rc<Deployment>,
    /// Sizes and times of calls.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// Told which replicas there are, and where.
    pub replicas: Rc<ReplicaPool>,
    /// Told what has changed.
    pub dispatcher: Rc<Dispatcher>,
    /// Where the list is, and when it was last heard.
    pub state: Rc<EndpointListState>,
    /// Spreads the calls of many routers.
    pub random: RefCell<fastrand::Rng>,
}

/// Takes news of the list.
pub fn apply(context: &Rc<EndpointListContext>, page: &EndpointListMessage, kind: ListUpdate) {
    let rows = last_rows(page, &context.deployment);
    if rows.len() < page.endpoints.len() {
        tracing::warn!(target: "node_list", version = page.version, rows = page.endpoints.len(), nodes = rows.len(),
            "node list: rows of one node twice, the last counts");
    }
    for (row, decoded) in &rows {
        tracing::debug!(target: "node_list", version = page.version, ?kind, node = %row.id, state = %row.state,
            started_ms = row.started_ms, machine = %row.kind, "node list: a row");
        if decoded.state != EndpointState::Gone {
            let ready = decoded.state == EndpointState::Ready;
            context.replicas.upsert(decoded.replica, row.addr, row.started_ms, ready);
            context.replicas.set_name(decoded.replica, &row.id);
        }
    }
    let (gone, there): (Vec<&EndpointEntry>, Vec<&EndpointEntry>) =
        rows.iter().map(|(_, decoded)| decoded).partition(|r| r.state == EndpointState::Gone);
    let gone: Vec<ReplicaId> = gone.iter().map(|r| r.replica).collect();
    let there: FxHashSet<ReplicaId> = there.iter().map(|r| r.replica).collect();
    context.dispatcher.with(|core, now| {
        core.endpoints_changed(now, kind, rows.into_iter().map(|(_, decoded)| decoded).collect())
    });
    match kind {
        ListUpdate::Delta => context.replicas.remove(&gone),
        _ => context.replicas.retain(|id| there.contains(&id)),
    }
}

/// The rows of a page in their order, of each node the last one.
fn last_rows<'a>(page: &'a EndpointListMessage, of: &Deployment) -> Vec<(&'a EndpointRecord, EndpointEntry)> {
    let mut seen = FxHashSet::default();
    let from_the_end = page.endpoints.iter().rev().map(|row| (row, row.to_entry(of)));
    let mut rows: Vec<_> = from_the_end.filter(|(_, decoded)| seen.insert(decoded.replica)).collect();
    rows.reverse();
    rows
}

/// A watch that runs until it is lost, and then says why.
type WatchFuture = Pin<Box<dyn Future<Output = String>>>;

/// What goes with one place of the list: its versions may be its own.
struct ListSource {
    address: SocketAddr,
    version: Cell<Option<u64>>,
    /// The log has been told that it says what is older than that.
    older_reported: Cell<bool>,
    /// The place that this one takes over from once it has told the list.
    predecessor: RefCell<Option<Rc<ListSource>>>,
    /// Another place has taken over: what still arrives from this one is older than what is known.
    superseded: Cell<bool>,
    /// Told when it has said something of the list.
    answered: Notify,
    /// Told when a call has been answered: from then on the watch is held to other times.
    established: Notify,
    clock: WatchClock,
}

impl ListSource {
    /// Whether a page tells something newer than is known: a whole list always does, as its versions may begin anew,
    /// but changes from before a version that is known would undo what came after them.
    fn advances(&self, page: &EndpointListMessage) -> bool {
        page.full || self.version.get().is_none_or(|known| page.version >= known)
    }
}

/// A place and the watch on it, if there is one.
struct SourceWatch {
    place: Rc<ListSource>,
    watching: Option<WatchFuture>,
}

impl SourceWatch {
    fn new(at: SocketAddr, terms: WatchTimeouts, former: Option<Rc<ListSource>>) -> SourceWatch {
        let place = ListSource {
            address: at,
            version: Cell::new(None),
            older_reported: Cell::new(false),
            predecessor: RefCell::new(former),
            superseded: Cell::new(false),
            answered: Notify::new(),
            established: Notify::new(),
            clock: WatchClock::new(terms),
        };
        SourceWatch { place: Rc::new(place), watching: None }
    }

    /// Follows the list until the watch is lost; says why. Dropped and called again, it goes on.
    async fn run(&mut self, context: &Rc<EndpointListContext>) -> String {
        let lost = loop {
            match self.place.clock.next_step(context.clock.now()) {
                WatchStep::Open => {
                    self.place.clock.watch_opened(context.clock.now());
                    self.watching = Some(Box::pin(watch(context.clone(), self.place.clone())));
                }
                WatchStep::Abandon => break "silent for too long".into(),
                WatchStep::Wait(until) => tokio::select! {
                    biased;
                    why = or_never(self.watching.as_mut()) => break why,
                    () = self.place.established.notified() => {}
                    // What is heard meanwhile puts the time off: looked at again then.
                    () = or_never(until.map(|at| sleep_until(context.clock.instant(at).into()))) => {}
                },
            }
        };
        self.watching = None;
        self.place.clock.watch_lost(context.clock.now(), context.random.borrow_mut().f64());
        lost
    }
}

/// Waits for something, or for ever if there is nothing to wait for.
async fn or_never<F: Future>(something: Option<F>) -> F::Output {
    match something {
        Some(something) => something.await,
        None => std::future::pending().await,
    }
}

/// Watches the list whenever the module asks for it, and goes where the configuration says that it is. The
/// old place is left only when the new one has told the whole list: until then its news goes on counting,
/// and what is held goes on being used. Where lists are pushed, a watch on the agent costs nobody anything and
/// what the agent holds counts as told: there is one from the start, whatever the module asks. Ends never.
pub async fn follow(context: Rc<EndpointListContext>) {
    let limits = &context.limits;
    let pushed = context.deployment.decisions.list_mode == EndpointListMode::Pushed;
    let asked = WatchTimeouts {
        answer: limits.list_response_timeout,
        silence: limits.watch_silence_timeout,
        reconnect: None,
    };
    // The agent is the router's own: no others ask it, and it is asked as often as ever.
    let steady = Backoff { first: limits.agent_backoff, max: limits.agent_backoff };
    let agent = WatchTimeouts { answer: limits.agent_response_timeout, reconnect: Some(steady), ..asked };
    let backoff = Backoff { first: limits.min_list_backoff, max: limits.max_list_backoff };
    let moving = WatchTimeouts { reconnect: Some(backoff), ..asked };
    let (terms, moving) = if pushed { (agent, agent) } else { (asked, moving) };
    let mut named = context.state.address();
    let mut current = SourceWatch::new(*named.borrow_and_update(), terms, None);
    let mut next: Option<SourceWatch> = None;
    if pushed {
        current.place.clock.request_watch(context.clock.now());
    }
    loop {
        let next_place = next.as_ref().map(|n| n.place.clone());
        tokio::select! {
            biased;
            // First of all: a place that has answered has superseded the one before it.
            () = or_never(next_place.as_ref().map(|p| p.answered.notified())) => {
                if let Some(told) = next.take() {
                    tracing::info!(target: "node_list", at = %told.place.address, "node list: now from the new place");
                    told.place.clock.set_timeouts(terms);
                    current = told;
                }
            }
            moved = named.changed() => {
                // It fails only when the sender is gone, and the context holds that.
                if moved.is_err() { return };
                // Asked at once, as the old place may end soon, and again soon if it fails: whoever never answers
                // is not waited for.
                let former = Some(current.place.clone());
                let follow = SourceWatch::new(*named.borrow_and_update(), moving, former);
                follow.place.clock.request_watch(context.clock.now());
                next = Some(follow);
            }
            why = or_never(next.as_mut().map(|n| n.run(&context))) => {
                tracing::warn!(target: "node_list", at = ?next.as_ref().map(|n| n.place.address), why, "node list: asked again");
            }
            // A further wish means that the last one has not been answered in good time.
            () = context.state.poll_requested() => {
                if next.is_none() {
                    current.place.clock.request_watch(context.clock.now());
                }
            }
            why = current.run(&context) => {
                tracing::warn!(target: "node_list", at = %current.place.address, why, "node list: watch lost");
                context.dispatcher.with(|core, now| core.endpoints_changed(now, ListUpdate::Failed, Vec::new()));
            }
        }
    }
}

/// Follows the list until the watch is lost; says why.
async fn watch(context: Rc<EndpointListContext>, place: Rc<ListSource>) -> String {
    let context = &context;
    let limits = &context.limits;
    let stream = match timeout(limits.watch_silence_timeout, TcpStream::connect(place.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "not connected in time".into(),
    };
    let mut wire = BufferedConnection::new(stream);
    let since = place.version.get().map_or(String::new(), |v| format!("&since={v}"));
    let request = format!("GET /discovery/hosts?follow=1{since} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    if let Err(e) = wire.write(Bytes::from(request)).await {
        return e.to_string();
    }
    let head = loop {
        match MessageHead::parse_response(&mut wire.unread, limits) {
            Ok(Some(head)) => break head,
            // The clock breaks it off, or the module asks again, when this takes too long.
            Ok(None) => match wire.read_more().await {
                Ok(true) => {}
                Ok(false) => return "ended before its answer".into(),
                Err(e) => return e.to_string(),
            },
            Err(_) => return "malformed answer".into(),
        }
    };
    let framing = match (&head.start_line, head.framing()) {
        (StartLine::Status(200), Ok(framing)) if framing != BodyFraming::Length(0) => framing,
        (start, _) => return format!("answered {start:?}"),
    };
    place.clock.heard(context.clock.now());
    place.established.notify_one();
    let (mut body, mut held) =
        (BodyReader::new(framing, limits.max_list_line_size as u64), ObjectReader::default());
    loop {
        match body.next_part(&mut wire.unread) {
            Ok(Some(BodyPart::Data(data))) => {
                context.state.heard();
                place.clock.heard(context.clock.now());
                held.push(&data);
                loop {
                    let page: EndpointListMessage = match held.take() {
                        Ok(Some(object)) => match serde_json::from_slice(&object) {
                            Ok(page) => page,
                            Err(e) => return format!("malformed: {e}"),
                        },
                        Ok(None) => break,
                        Err(NotAnObject) => return "malformed: no object".into(),
                    };
                    if place.superseded.get() {
                        // This watch is dropped as soon as its follower has seen that the new place answered.
                        return std::future::pending().await;
                    }
                    if !place.advances(&page) {
                        if !place.older_reported.replace(true) {
                            tracing::warn!(target: "node_list", version = page.version, known = place.version.get(),
                                "node list: older versions are ignored");
                        }
                        continue;
                    }
                    place.older_reported.set(false);
                    if let Some(former) = place.predecessor.take() {
                        former.superseded.set(true);
                    }
                    place.version.set(Some(page.version));
                    apply(context, &page, if page.full { ListUpdate::Full } else { ListUpdate::Delta });
                    place.answered.notify_one();
                }
                if held.held() > limits.max_list_line_size {
                    return format!("an object of more than {} bytes", limits.max_list_line_size);
                }
            }
            Ok(Some(BodyPart::End)) => return "ended".into(),
            Err(_) => return "malformed chunk".into(),
            Ok(None) => match wire.read_more().await {
                Ok(true) => {}
                Ok(false) => return "connection closed".into(),
                Err(e) => return e.to_string(),
            },
        }
    }
}
