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

use super::plan::{Plan, Trouble};
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

/// What may happen to all watches at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Interruptions {
    silenced: u32,
    ended: u32,
}

/// The service.
pub(super) struct Discovery {
    plan: Plan,
    began: Instant,
    /// Version and list.
    list: watch::Sender<(u64, Vec<Value>)>,
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
    pub fn new(plan: &Plan, began: Instant, rows: Vec<Value>) -> Rc<Discovery> {
        Rc::new(Discovery {
            plan: plan.clone(),
            began,
            list: watch::Sender::new((0, rows)),
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
    pub async fn listen(self: &Rc<Self>, ip: &str, router: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                spawn_local(async move { discovery.serve(router, Wire::new(stream)).await });
            }
        });
        Ok(at)
    }

    /// A row of the list changes its state.
    pub fn set_state(&self, row: usize, state: &str) {
        self.list.send_modify(|(version, rows)| {
            *version += 1;
            rows[row]["state"] = state.into();
        });
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
            Trouble::Torn(_) | Trouble::TornWithSigns(_) => {}
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
    async fn serve(&self, router: usize, mut wire: Wire) -> io::Result<()> {
        wire.head().await?;
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
        let mut interruptions = self.interruptions.subscribe();
        let seen = *interruptions.borrow_and_update();
        let (version, rows) = self.list.borrow().clone();
        let text = format!("{}\n", json!({"version": version, "full": true, "servers": rows}));
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
            _ = interruptions.wait_for(|now| *now != seen) => {}
        }
        let ended = interruptions.borrow().ended != seen.ended;
        match ended {
            true => Ok(()),
            false => gone(&mut wire).await,
        }
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
            let changed = timeout(SIGN, list.wait_for(|(version, _)| *version > known)).await.is_ok();
            let text = match changed {
                false => "\n".to_string(),
                true => {
                    sleep(self.plan.notice_delay).await;
                    let (version, rows) = self.list.borrow().clone();
                    known = version;
                    format!("{}\n", json!({"version": version, "full": true, "servers": rows}))
                }
            };
            wire.write(chunk(&text).as_bytes()).await?;
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Waits until the router has ended the connection.
async fn gone(wire: &mut Wire) -> io::Result<()> {
    while wire.more().await.is_ok() {}
    Ok(())
}
