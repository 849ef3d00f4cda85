//! A discovery service with room for some calls at a time: it answers them one after the other, and refuses a call that
//! would wait for too long.

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

use super::plan::{Change, ChangeKind, Plan, Trouble};
use crate::wire::Wire;

/// A call that would wait for longer is refused.
const PATIENCE: Duration = Duration::from_secs(2);
/// A watch without news gives a sign of life so often.
const SIGN: Duration = Duration::from_secs(2);
const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Refused, for want of room or because discovery is down.
    Refused,
    /// Taken and never answered.
    Hung,
    /// Half of the list was written.
    Torn,
    /// The whole list was written, of this version.
    Answered(u64),
}

/// A call for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Of this router.
    pub router: usize,
    /// When it came, since the start.
    pub at: Duration,
    /// When it was answered or refused.
    pub ended_at: Duration,
    /// What became of it.
    pub ending: Ending,
}

/// One of the two addresses of discovery, before and after it moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Address {
    Former,
    Later,
}

/// What may happen to all watches at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Interruptions {
    silenced: u32,
    ended: u32,
    /// The former address takes no calls any more.
    moved: bool,
}

/// What discovery knows of a replica.
struct Row {
    value: Value,
    /// The version that changed it last.
    changed_by: u64,
}

/// The list, and what became of replicas that are no longer in it.
struct List {
    version: u64,
    rows: Vec<Row>,
}

impl List {
    fn change(&mut self, change: &Change) {
        self.version += 1;
        let row = &mut self.rows[change.replica];
        row.changed_by = self.version;
        row.value["state"] = match change.kind {
            ChangeKind::Drains => "leaving",
            ChangeKind::Removed => "left",
        }
        .into();
    }

    /// The message with what changed after a version, or with all replicas.
    fn message(&self, since: Option<u64>) -> String {
        let told = |row: &&Row| match since {
            Some(since) => row.changed_by > since,
            None => row.value["state"] != "left",
        };
        let rows: Vec<&Value> = self.rows.iter().filter(told).map(|row| &row.value).collect();
        format!("{}\n", json!({"version": self.version, "full": since.is_none(), "servers": rows}))
    }
}

/// The service.
pub(super) struct Discovery {
    plan: Plan,
    began: Instant,
    list: watch::Sender<List>,
    interruptions: watch::Sender<Interruptions>,
    free_at: Cell<Instant>,
    down: Cell<bool>,
    full: Cell<bool>,
    hangs: Cell<bool>,
    random: RefCell<fastrand::Rng>,
    calls: RefCell<Vec<Call>>,
}

impl Discovery {
    /// With this list, version 0.
    pub fn new(plan: &Plan, began: Instant, rows: &[Value]) -> Rc<Discovery> {
        let rows = rows.iter().map(|value| Row { value: value.clone(), changed_by: 0 }).collect();
        Rc::new(Discovery {
            plan: plan.clone(),
            began,
            list: watch::Sender::new(List { version: 0, rows }),
            interruptions: watch::Sender::default(),
            free_at: Cell::new(began),
            down: Cell::new(false),
            full: Cell::new(false),
            hangs: Cell::new(false),
            random: RefCell::new(fastrand::Rng::with_seed(plan.seed)),
            calls: RefCell::default(),
        })
    }

    /// Where a router reaches it: each has an address of its own, which tells them apart.
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
                spawn_local(async move { discovery.serve(router, address, Wire::new(stream)).await });
            }
        });
        Ok(at)
    }

    /// A replica drains or is removed.
    pub fn change(&self, change: &Change) {
        self.list.send_modify(|list| list.change(change));
    }

    /// The former address takes no calls from now on, and its watches end or fall silent.
    pub fn end_former(&self) {
        self.interruptions.send_modify(|all| all.moved = true);
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Has the troubles of the plan happen.
    pub fn begin_troubles(self: &Rc<Self>) {
        for trouble in self.plan.troubles.clone() {
            spawn_local(self.clone().play(trouble));
        }
    }

    async fn play(self: Rc<Self>, trouble: Trouble) {
        match trouble {
            Trouble::Down { at, length } => self.set_for(&self.down, at, length).await,
            Trouble::Full { at, length } => self.set_for(&self.full, at, length).await,
            Trouble::Hangs { at, length } => self.set_for(&self.hangs, at, length).await,
            Trouble::WatchesFallSilent(at) => {
                sleep_until(self.began + at).await;
                self.interruptions.send_modify(|all| all.silenced += 1);
            }
            Trouble::WatchesEnd(at) => {
                sleep_until(self.began + at).await;
                self.interruptions.send_modify(|all| all.ended += 1);
            }
            Trouble::Torn(_) | Trouble::TornWithSigns(_) | Trouble::TornUntil(_) => {}
        }
    }

    /// Something is so from then on, for so long.
    async fn set_for(&self, state: &Cell<bool>, at: Duration, length: Duration) {
        sleep_until(self.began + at).await;
        state.set(true);
        if self.down.get() {
            self.interruptions.send_modify(|all| all.ended += 1);
        }
        sleep(length).await;
        state.set(false);
    }

    /// Serves one call, until its connection ends.
    async fn serve(&self, router: usize, address: Address, mut wire: Wire) -> io::Result<()> {
        let since = version_in(wire.head().await?.start());
        let mut interruptions = self.interruptions.subscribe();
        let seen = *interruptions.borrow_and_update();
        if seen.moved && address == Address::Former {
            return Ok(());
        }
        let at = self.began.elapsed();
        let note = |ending| {
            let ended_at = self.began.elapsed();
            self.calls.borrow_mut().push(Call { router, at, ended_at, ending });
        };
        if self.hangs.get() {
            note(Ending::Hung);
            return gone(&mut wire).await;
        }
        let Some(turn) = self.turn() else {
            note(Ending::Refused);
            return wire.write(REFUSED).await;
        };
        sleep_until(turn).await;
        if self.down.get() {
            note(Ending::Refused);
            return wire.write(REFUSED).await;
        }
        let seen = *interruptions.borrow_and_update();
        let (version, text) = self.news(since);
        wire.write(WATCH.as_bytes()).await?;
        if let Some(signs) = self.tears() {
            note(Ending::Torn);
            wire.write(chunk(&text[..text.len() / 2]).as_bytes()).await?;
            return self.stall(&mut wire, signs).await;
        }
        wire.write(chunk(&text).as_bytes()).await?;
        note(Ending::Answered(version));
        tokio::select! {
            told = self.tell_changes(&mut wire, version) => return told,
            _ = interruptions.wait_for(|now| interrupts(now, &seen, address)) => {}
        }
        let now = *interruptions.borrow();
        match self.is_silent(&now, &seen) {
            true => gone(&mut wire).await,
            false => Ok(()),
        }
    }

    /// Whether a watch that was interrupted stays open and says nothing.
    fn is_silent(&self, now: &Interruptions, seen: &Interruptions) -> bool {
        let former_falls_silent = self.plan.moves.is_some_and(|moves| moves.former_falls_silent);
        now.ended == seen.ended && (now.silenced != seen.silenced || former_falls_silent)
    }

    /// The version of the list, and the message for who knows that of another version.
    fn news(&self, since: Option<u64>) -> (u64, String) {
        let list = self.list.borrow();
        (list.version, list.message(since.filter(|_| self.plan.changes_only)))
    }

    /// When a call is answered that comes now; `None` if it is refused.
    fn turn(&self) -> Option<Instant> {
        let now = Instant::now();
        let turn = self.free_at.get().max(now) + self.plan.answer_time;
        if self.down.get() || self.full.get() || turn - now > PATIENCE {
            return None;
        }
        self.free_at.set(turn);
        Some(turn)
    }

    /// Whether this answer is torn, and if so whether signs of life follow it.
    fn tears(&self) -> Option<bool> {
        let mut random = self.random.borrow_mut();
        self.plan.troubles.iter().find_map(|trouble| match trouble {
            Trouble::Torn(percent) if random.u32(..100) < *percent => Some(false),
            Trouble::TornWithSigns(percent) if random.u32(..100) < *percent => Some(true),
            Trouble::TornUntil(end) if self.began.elapsed() < *end => Some(false),
            _ => None,
        })
    }

    async fn stall(&self, wire: &mut Wire, signs: bool) -> io::Result<()> {
        if !signs {
            return gone(wire).await;
        }
        while timeout(SIGN, gone(wire)).await.is_err() {
            wire.write(chunk("\n").as_bytes()).await?;
        }
        Ok(())
    }

    async fn tell_changes(&self, wire: &mut Wire, mut known: u64) -> io::Result<()> {
        let mut list = self.list.subscribe();
        loop {
            let changed = timeout(SIGN, list.wait_for(|list| list.version > known)).await.is_ok();
            let text = match changed {
                false => "\n".to_string(),
                true => {
                    sleep(self.plan.notice_delay).await;
                    let (version, text) = self.news(Some(known));
                    known = version;
                    text
                }
            };
            wire.write(chunk(&text).as_bytes()).await?;
        }
    }
}

/// Whether a watch at this address does not go on.
fn interrupts(now: &Interruptions, seen: &Interruptions, address: Address) -> bool {
    let moved = now.moved != seen.moved && address == Address::Former;
    moved || now.ended != seen.ended || now.silenced != seen.silenced
}

/// The version of the list that a call says the router has.
fn version_in(request: &str) -> Option<u64> {
    request.split_once("since=")?.1.split(['&', ' ']).next()?.parse().ok()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Waits until the router has ended the connection.
async fn gone(wire: &mut Wire) -> io::Result<()> {
    while wire.more().await.is_ok() {}
    Ok(())
}
