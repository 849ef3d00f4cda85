//! The node list: its form, and the watch on it. When to ask is the module's decision; a lost watch is told
//! to it, and what is held goes on being used.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use tallypin::api::{ListKind, Nanos, ReplicaRow, ReplicaState, ZoneId};
use tallypin::names;
use tallypin::settings::Deployment;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::host::Host;
use crate::http::{Body, Framing, Head, Part, Start, Wire};

/// One object of the list: the whole of it, or what changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Page {
    /// The version that it leads to.
    pub version: u64,
    /// The whole list.
    #[serde(default)]
    pub full: bool,
    /// The rows.
    pub servers: Vec<Row>,
}

/// A row of the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Row {
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

impl Row {
    /// The row as the module reads it.
    pub fn decode(&self, of: &Deployment) -> ReplicaRow {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0) as u32;
        ReplicaRow {
            replica: names::node(&self.id),
            state: match self.state.as_str() {
                "active" => ReplicaState::Ready,
                "left" => ReplicaState::Gone,
                // A state that is not known is no invitation to send.
                _ => ReplicaState::Draining,
            },
            last_start: (self.started_ms as Nanos).saturating_mul(1_000_000),
            zone: ZoneId(place(&of.zones, &self.zone)),
            cell: self.cell,
            kind: place(&of.kinds, &self.kind),
        }
    }
}

/// Takes news of the list.
pub fn take(host: &Rc<Host>, page: &Page, kind: ListKind) {
    let rows: Vec<ReplicaRow> = page.servers.iter().map(|r| r.decode(&host.deployment)).collect();
    for (row, decoded) in page.servers.iter().zip(&rows) {
        tracing::debug!(target: "node_list", version = page.version, ?kind, node = %row.id, state = %row.state,
            started_ms = row.started_ms, machine = %row.kind, "node list: a row");
        if decoded.state != ReplicaState::Gone {
            let ready = decoded.state == ReplicaState::Ready;
            host.nodes.set(decoded.replica, row.addr, row.started_ms, ready);
            host.nodes.name(decoded.replica, &row.id);
        }
    }
    let gone = |id| match kind {
        ListKind::Delta => rows.iter().any(|r| r.replica == id && r.state == ReplicaState::Gone),
        _ => !rows.iter().any(|r| r.replica == id && r.state != ReplicaState::Gone),
    };
    host.with(|core, now| core.list(now, kind, rows.clone()));
    host.nodes.retain(|id| !gone(id));
}

/// A watch that runs until it is lost, and then says why.
type Watching = Pin<Box<dyn Future<Output = String>>>;

/// What goes with one place of the list: its versions may be its own.
#[derive(Clone, Default)]
struct Place {
    version: Rc<Cell<Option<u64>>>,
    /// Told when it has said something of the list.
    answered: Rc<Notify>,
}

/// Watches the list whenever the module asks for it, and goes where the configuration says that it is. The
/// old place is left only when the new one has told the whole list: until then its news goes on counting,
/// and what is held goes on being used. Ends never.
pub async fn keep(host: Rc<Host>) {
    let mut named = host.list_at.subscribe();
    let mut at = *named.borrow_and_update();
    let (mut place, mut next_place) = (Place::default(), Place::default());
    let (mut current, mut next): (Option<Watching>, Option<Watching>) = (None, None);
    loop {
        tokio::select! {
            biased;
            moved = named.changed() => {
                // It fails only when the sender is gone, and the host holds that.
                if moved.is_err() { return };
                at = *named.borrow_and_update();
                next_place = Place::default();
                next = Some(Box::pin(move_to(host.clone(), at, next_place.clone(), false)));
            }
            () = next_place.answered.notified(), if next.is_some() => {
                tracing::info!(target: "node_list", %at, "node list: now from the new place");
                (current, place) = (next.take(), next_place.clone());
            }
            why = running(&mut next), if next.is_some() => {
                tracing::warn!(target: "node_list", %at, why, "node list: asked again");
                next = Some(Box::pin(move_to(host.clone(), at, next_place.clone(), true)));
            }
            // A further wish means that the last one has not been answered in good time.
            () = host.list_wanted.notified() => {
                if next.is_none() {
                    current = Some(Box::pin(watch(host.clone(), at, place.clone())));
                }
            }
            why = running(&mut current), if current.is_some() => {
                current = None;
                tracing::warn!(target: "node_list", %at, why, "node list: watch lost");
                host.with(|core, now| core.list(now, ListKind::Failed, Vec::new()));
            }
        }
    }
}

async fn running(watching: &mut Option<Watching>) -> String {
    match watching {
        Some(watching) => watching.await,
        None => std::future::pending().await,
    }
}

/// Follows the list at a new place; it is asked at once, as the old place may end soon, and again soon if it
/// fails. Whoever never answers is not waited for.
async fn move_to(host: Rc<Host>, at: SocketAddr, place: Place, again: bool) -> String {
    if again {
        tokio::time::sleep(host.limits.list_again).await;
    }
    let mut watching = std::pin::pin!(watch(host.clone(), at, place.clone()));
    let early = async {
        tokio::time::sleep(host.limits.list_answer).await;
        while place.version.get().is_some() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        why = &mut watching => why,
        () = early => "no answer in time".into(),
    }
}

/// Follows the list until the watch is lost; says why.
async fn watch(host: Rc<Host>, at: SocketAddr, place: Place) -> String {
    let host = &host;
    let limits = &host.limits;
    let stream = match timeout(limits.list_silence, TcpStream::connect(at)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "not connected in time".into(),
    };
    let mut wire = Wire::new(stream);
    let since = place.version.get().map_or(String::new(), |v| format!("&since={v}"));
    let request = format!("GET /discovery/hosts?follow=1{since} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    if let Err(e) = wire.write(Bytes::from(request)).await {
        return e.to_string();
    }
    let head = loop {
        match Head::answer(&mut wire.buf, limits) {
            Ok(Some(head)) => break head,
            // The module asks again when this takes too long.
            Ok(None) => match wire.more().await {
                Ok(true) => {}
                Ok(false) => return "ended before its answer".into(),
                Err(e) => return e.to_string(),
            },
            Err(_) => return "malformed answer".into(),
        }
    };
    let framing = match (&head.start, head.framing()) {
        (Start::Status(200), Ok(framing)) if framing != Framing::Length(0) => framing,
        (start, _) => return format!("answered {start:?}"),
    };
    let (mut body, mut held) = (Body::new(framing, limits.list_line as u64), BytesMut::new());
    loop {
        match body.next(&mut wire.buf) {
            Ok(Some(Part::Bytes(data))) => {
                host.list_heard();
                held.extend_from_slice(&data);
                while let Some(end) = held.iter().position(|b| *b == b'\n') {
                    let line = held.split_to(end + 1);
                    if line.trim_ascii().is_empty() {
                        continue; // A sign of life.
                    }
                    let page: Page = match serde_json::from_slice(&line) {
                        Ok(page) => page,
                        Err(e) => return format!("malformed line: {e}"),
                    };
                    place.version.set(Some(page.version));
                    take(host, &page, if page.full { ListKind::Full } else { ListKind::Delta });
                    place.answered.notify_one();
                }
                if held.len() > limits.list_line {
                    return "line too long".into();
                }
            }
            Ok(Some(Part::End)) => return "ended".into(),
            Err(_) => return "malformed chunk".into(),
            Ok(None) => match timeout(limits.list_silence, wire.more()).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) => return "connection closed".into(),
                Ok(Err(e)) => return e.to_string(),
                Err(_) => return "silent for too long".into(),
            },
        }
    }
}
