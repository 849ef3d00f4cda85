//! A mock discovery service of limited capacity: it answers calls one after the other, and refuses a call that
//! would wait too long.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::scenario::{Change, ChangeKind, Fault, Scenario};
use crate::http_connection::HttpConnection;

/// Calls that would wait longer than this are refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);
/// Interval of heartbeats on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const REFUSED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The outcome of a list call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was answered 503 because discovery is at capacity, or closed because it is down.
    Refused,
    /// The call was accepted and never answered.
    Hung,
    /// Half of the list was written.
    Truncated,
    /// The whole list was written; its version.
    Answered(u64),
}

/// A call of a router for the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Index of the calling router.
    pub router: usize,
    /// When the call arrived, since the start of the run.
    pub at: Duration,
    /// When the call was answered or refused.
    pub ended_at: Duration,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// The address of discovery before or after it moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Address {
    Former,
    Later,
}

/// Counts of the events that interrupt all open watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Interruptions {
    silenced: u32,
    ended: u32,
    /// Whether the former address has stopped accepting calls.
    moved: bool,
}

/// A row of the endpoint list.
struct Row {
    json: Value,
    /// Version of the list in which this row last changed.
    changed_in: u64,
}

/// The endpoint list, including replicas that were removed from it.
struct List {
    version: u64,
    rows: Vec<Row>,
}

impl List {
    fn change(&mut self, change: &Change) {
        self.version += 1;
        let row = &mut self.rows[change.replica];
        row.changed_in = self.version;
        row.json["state"] = match change.kind {
            ChangeKind::Drains => "leaving",
            ChangeKind::Removed => "left",
        }
        .into();
    }

    /// Returns the message with the changes after version `since`, or with all replicas if it is `None`.
    fn message(&self, since: Option<u64>) -> String {
        let is_included = |row: &&Row| match since {
            Some(since) => row.changed_in > since,
            None => row.json["state"] != "left",
        };
        let rows: Vec<&Value> = self.rows.iter().filter(is_included).map(|row| &row.json).collect();
        format!("{}\n", json!({"version": self.version, "full": since.is_none(), "servers": rows}))
    }
}

/// The mock discovery service.
pub(super) struct Discovery {
    scenario: Scenario,
    started: Instant,
    list: watch::Sender<List>,
    interruptions: watch::Sender<Interruptions>,
    free_at: Cell<Instant>,
    down: Cell<bool>,
    at_capacity: Cell<bool>,
    hangs: Cell<bool>,
    rng: RefCell<fastrand::Rng>,
    calls: RefCell<Vec<Call>>,
}

impl Discovery {
    /// Returns a service with these rows as version 0 of the list.
    pub fn new(scenario: &Scenario, started: Instant, rows: &[Value]) -> Rc<Discovery> {
        let rows = rows.iter().map(|json| Row { json: json.clone(), changed_in: 0 }).collect();
        Rc::new(Discovery {
            scenario: scenario.clone(),
            started,
            list: watch::Sender::new(List { version: 0, rows }),
            interruptions: watch::Sender::default(),
            free_at: Cell::new(started),
            down: Cell::new(false),
            at_capacity: Cell::new(false),
            hangs: Cell::new(false),
            rng: RefCell::new(fastrand::Rng::with_seed(scenario.seed)),
            calls: RefCell::default(),
        })
    }

    /// Opens an address for one router and returns it; the address identifies the calling router.
    pub async fn listen(
        self: &Rc<Self>,
        ip: &str,
        router: usize,
        address: Address,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                spawn_local(
                    async move { discovery.serve(router, address, HttpConnection::new(stream)).await },
                );
            }
        });
        Ok(at)
    }

    /// Applies a change to the endpoint list.
    pub fn change(&self, change: &Change) {
        self.list.send_modify(|list| list.change(change));
    }

    /// Stops accepting calls at the former address; its watches end or fall silent.
    pub fn close_former_address(&self) {
        self.interruptions.send_modify(|all| all.moved = true);
    }

    /// Returns all list calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Starts the faults of the scenario.
    pub fn start_faults(self: &Rc<Self>) {
        for fault in self.scenario.faults.clone() {
            spawn_local(self.clone().cause(fault));
        }
    }

    async fn cause(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Down { at, length } => self.set_temporarily(&self.down, at, length).await,
            Fault::AtCapacity { at, length } => self.set_temporarily(&self.at_capacity, at, length).await,
            Fault::Hangs { at, length } => self.set_temporarily(&self.hangs, at, length).await,
            Fault::WatchesFallSilent(at) => {
                sleep_until(self.started + at).await;
                self.interruptions.send_modify(|all| all.silenced += 1);
            }
            Fault::WatchesEnd(at) => {
                sleep_until(self.started + at).await;
                self.interruptions.send_modify(|all| all.ended += 1);
            }
            Fault::Truncated(_) | Fault::TruncatedWithHeartbeats(_) | Fault::TruncatedUntil(_) => {}
        }
    }

    /// Sets `state` at `at` for `length`.
    async fn set_temporarily(&self, state: &Cell<bool>, at: Duration, length: Duration) {
        sleep_until(self.started + at).await;
        state.set(true);
        if self.down.get() {
            self.interruptions.send_modify(|all| all.ended += 1);
        }
        sleep(length).await;
        state.set(false);
    }

    /// Serves one list call until its connection ends.
    async fn serve(&self, router: usize, address: Address, mut connection: HttpConnection) -> io::Result<()> {
        let since = version_in(connection.read_head().await?.start());
        let mut interruptions = self.interruptions.subscribe();
        let interruptions_so_far = *interruptions.borrow_and_update();
        if interruptions_so_far.moved && address == Address::Former {
            return Ok(());
        }
        let at = self.started.elapsed();
        let record = |outcome| {
            let ended_at = self.started.elapsed();
            self.calls.borrow_mut().push(Call { router, at, ended_at, outcome });
        };
        if self.hangs.get() {
            record(CallOutcome::Hung);
            return wait_for_close(&mut connection).await;
        }
        if self.down.get() {
            record(CallOutcome::Refused);
            return Ok(());
        }
        let Some(answer_at) = self.reserve_turn() else {
            record(CallOutcome::Refused);
            return connection.write(REFUSED_RESPONSE).await;
        };
        sleep_until(answer_at).await;
        if self.down.get() {
            record(CallOutcome::Refused);
            return Ok(());
        }
        let at_start = *interruptions.borrow_and_update();
        let (version, text) = self.list_message(since);
        connection.write(WATCH_HEAD.as_bytes()).await?;
        if let Some(with_heartbeats) = self.truncation() {
            record(CallOutcome::Truncated);
            connection.write(chunk(&text[..text.len() / 2]).as_bytes()).await?;
            return self.hold_open(&mut connection, with_heartbeats).await;
        }
        connection.write(chunk(&text).as_bytes()).await?;
        record(CallOutcome::Answered(version));
        tokio::select! {
            result = self.send_changes(&mut connection, version) => return result,
            _ = interruptions.wait_for(|now| interrupts(now, &at_start, address)) => {}
        }
        let now = *interruptions.borrow();
        match self.is_silent(&now, &at_start) {
            true => wait_for_close(&mut connection).await,
            false => Ok(()),
        }
    }

    /// Whether an interrupted watch stays open without further messages.
    fn is_silent(&self, now: &Interruptions, before: &Interruptions) -> bool {
        let former_falls_silent =
            self.scenario.discovery_move.is_some_and(|discovery_move| discovery_move.former_falls_silent);
        now.ended == before.ended && (now.silenced != before.silenced || former_falls_silent)
    }

    /// Returns the version of the list and the message for a router that has version `since`.
    fn list_message(&self, since: Option<u64>) -> (u64, String) {
        let list = self.list.borrow();
        (list.version, list.message(since.filter(|_| self.scenario.changes_only)))
    }

    /// Returns when a call that arrives now is answered; `None` if it is refused.
    fn reserve_turn(&self) -> Option<Instant> {
        let now = Instant::now();
        let answer_at = self.free_at.get().max(now) + self.scenario.answer_time;
        if self.at_capacity.get() || answer_at - now > MAX_QUEUE_TIME {
            return None;
        }
        self.free_at.set(answer_at);
        Some(answer_at)
    }

    /// Whether this answer is truncated: `Some(true)` if heartbeats follow the first half, `None` if it is
    /// complete.
    fn truncation(&self) -> Option<bool> {
        let mut rng = self.rng.borrow_mut();
        self.scenario.faults.iter().find_map(|fault| match fault {
            Fault::Truncated(percent) if rng.u32(..100) < *percent => Some(false),
            Fault::TruncatedWithHeartbeats(percent) if rng.u32(..100) < *percent => Some(true),
            Fault::TruncatedUntil(end) if self.started.elapsed() < *end => Some(false),
            _ => None,
        })
    }

    async fn hold_open(&self, connection: &mut HttpConnection, with_heartbeats: bool) -> io::Result<()> {
        if !with_heartbeats {
            return wait_for_close(connection).await;
        }
        while timeout(HEARTBEAT_INTERVAL, wait_for_close(connection)).await.is_err() {
            connection.write(chunk("\n").as_bytes()).await?;
        }
        Ok(())
    }

    async fn send_changes(&self, connection: &mut HttpConnection, mut known: u64) -> io::Result<()> {
        let mut list = self.list.subscribe();
        loop {
            let changed =
                timeout(HEARTBEAT_INTERVAL, list.wait_for(|list| list.version > known)).await.is_ok();
            let text = match changed {
                false => "\n".to_string(),
                true => {
                    sleep(self.scenario.notice_delay).await;
                    let (version, text) = self.list_message(Some(known));
                    known = version;
                    text
                }
            };
            connection.write(chunk(&text).as_bytes()).await?;
        }
    }
}

/// Whether the change from `before` to `now` interrupts a watch at this address.
fn interrupts(now: &Interruptions, before: &Interruptions, address: Address) -> bool {
    let moved = now.moved != before.moved && address == Address::Former;
    moved || now.ended != before.ended || now.silenced != before.silenced
}

/// Returns the list version that a call says the router has.
fn version_in(request: &str) -> Option<u64> {
    request.split_once("since=")?.1.split(['&', ' ']).next()?.parse().ok()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Waits until the router has closed the connection.
async fn wait_for_close(connection: &mut HttpConnection) -> io::Result<()> {
    while connection.read_more().await.is_ok() {}
    Ok(())
}
