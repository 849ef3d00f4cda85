//! A router's part in what its fleet agrees on: it beats, answers for the register if it is of the council, follows the
//! document, and goes out of service by its leave alone. All decisions are `tallypin_members`' and `tallypin_accord`'s;
//! here are connections, time and tasks. Nothing of it is on a request's way, and it runs only where the settings say so.

pub mod link;
pub mod orders;
pub mod settings;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tallypin_accord::document::{Act, Document, No, View};
use tallypin_accord::leave::{Leaver, Next, Own};
use tallypin_accord::register::{agreed, first, Answer, Ask, Ballot, Keeper, Round, Step};
use tallypin_members::{Nanos, Place, Presence, Says};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::time::{sleep, timeout_at};

use link::Link;
use settings::FleetSettings;
use wire::{Call, Keys, Reply, Said, Way, What};

/// A round that lost to another is tried again after up to so many ms, doubled each time: guards against two that go on
/// overtaking each other.
const AGAIN_MS: (u64, u64) = (20, 640);

/// What the fleet wants of the router that it is a part of.
pub trait Duty {
    /// To go out of service: begin to drain. False: it can't.
    fn go_out(&self) -> bool;
    /// To serve again.
    fn serve(&self) -> bool;
    /// What it says of itself.
    fn says(&self) -> Says;
}

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// It was decided that it is not.
    No(No),
    /// No majority of the council was reached in time: nothing is said of whether it was agreed on.
    NoMajority,
}

/// A router's part.
pub struct Fleet {
    settings: FleetSettings,
    keys: Keys,
    duty: Box<dyn Duty>,
    start: Instant,
    life: u64,
    number: Cell<u64>,
    rng: RefCell<Rng>,
    /// The newest round heard of.
    seen: Cell<Ballot>,
    /// By member of the council; `None` for this one.
    links: Vec<Option<Link>>,
    /// What this member keeps, if it is one.
    keeper: RefCell<Option<Keeper<Document>>>,
    presence: RefCell<Presence>,
    /// The last call of each router's life: one that comes again is no news.
    heard: RefCell<Vec<(u64, u64)>>,
    leaver: RefCell<Leaver>,
    own: Cell<Own>,
    /// The newest document that was agreed on, as far as known here.
    document: RefCell<Option<Document>>,
    /// The newest version that any member is said to have taken.
    rumour: Cell<u64>,
    /// Told when the document may have changed.
    news: Notify,
    /// Messages that were not read, and those told of in the log.
    spoilt: Cell<u64>,
}

impl Fleet {
    /// Binds the address of this router and starts its tasks.
    pub async fn start(settings: FleetSettings, duty: Box<dyn Duty>) -> io::Result<Rc<Fleet>> {
        let of = |what: &str, e: io::Error| io::Error::new(e.kind(), format!("fleet: {what}: {e}"));
        let path = settings.key.display().to_string();
        let text = std::fs::read_to_string(&settings.key).map_err(|e| of(&path, e))?;
        let keys = Keys::read(&settings.name, &text)
            .map_err(|why| of(&path, io::Error::new(io::ErrorKind::InvalidData, why)))?;
        let at = settings.routers[usize::from(settings.me)].at;
        let listener = TcpListener::bind(at).await.map_err(|e| of(&at.to_string(), e))?;
        // A later start is a later life. A clock that was set back makes it an earlier one, which no member hears until
        // the life before is that long gone: the router then stays out, as seen from the council.
        let life = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |d| d.as_nanos() as u64);
        let member = |place: &Place| settings.council.iter().position(|p| p == place);
        let links = settings.council.iter().map(|&p| {
            let to = settings.routers[usize::from(p)].at;
            (p != settings.me).then(|| Link::start(to, keys.clone(), settings.answer))
        });
        let fleet = Rc::new(Fleet {
            links: links.collect(),
            keeper: RefCell::new(member(&settings.me).map(|_| Keeper::blank(life))),
            presence: RefCell::new(Presence::new(settings.members, settings.routers.len(), 0)),
            heard: RefCell::new(vec![(0, 0); settings.routers.len()]),
            leaver: RefCell::new(Leaver::new(settings.leave, settings.me, life)),
            keys,
            duty,
            start: Instant::now(),
            life,
            number: Cell::new(0),
            rng: RefCell::new(Rng::with_seed(life)),
            seen: Cell::default(),
            own: Cell::new(Own::Serving),
            document: RefCell::new(None),
            rumour: Cell::new(0),
            news: Notify::new(),
            spoilt: Cell::new(0),
            settings,
        });
        tokio::task::spawn_local(fleet.clone().listen(listener));
        tokio::task::spawn_local(fleet.clone().beat());
        tokio::task::spawn_local(fleet.clone().follow());
        if fleet.keeper.borrow().is_some() {
            tokio::task::spawn_local(fleet.clone().join());
        }
        tracing::info!(target: "fleet", name = fleet.settings.name, %at, life, "of the fleet");
        Ok(fleet)
    }

    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as u64
    }

    fn call(&self, what: What) -> Call {
        self.number.set(self.number.get() + 1);
        let (from, life, number) = (self.settings.me, self.life, self.number.get());
        Call { v: wire::VERSION, from, life, number, what }
    }

    // ---- What is asked of this router ----

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        // A router has one connection; one that was cut off and comes again may have two for a moment.
        let places = std::sync::Arc::new(Semaphore::new(self.settings.routers.len() + 2));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let Ok(place) = places.clone().try_acquire_owned() else {
                self.spoilt(&from.to_string(), "too many connections");
                continue;
            };
            let fleet = self.clone();
            tokio::task::spawn_local(async move {
                if let Err(e) = fleet.serve(stream).await {
                    if e.kind() == io::ErrorKind::InvalidData {
                        fleet.spoilt(&from.to_string(), &e.to_string());
                    }
                }
                drop(place);
            });
        }
    }

    /// Counted, and told in the log at the first and then at each doubling: a stranger can't fill the disk.
    fn spoilt(&self, from: &str, why: &str) {
        let n = self.spoilt.get() + 1;
        self.spoilt.set(n);
        if n.is_power_of_two() {
            tracing::warn!(target: "fleet", from, why, so_far = n, "a message that is none");
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Whoever says nothing for so long is gone, or has another connection by now.
        let idle = Duration::from_nanos(self.settings.members.silent);
        loop {
            let bytes = tokio::time::timeout(idle, wire::read(&mut stream)).await??;
            let call: Call = self.keys.open(Way::Call, &bytes)?;
            let wrong = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why);
            if call.v != wire::VERSION {
                return Err(wrong("of a version that is not known"));
            }
            let what = self.asked(&call).ok_or_else(|| wrong("of no router of the fleet, or sent again"))?;
            let reply = Reply { v: wire::VERSION, number: call.number, what };
            wire::write(&mut stream, &self.keys.seal(Way::Reply, &reply)?).await?;
        }
    }

    /// Answers a call; `None`: it is none.
    fn asked(&self, call: &Call) -> Option<Said> {
        let mut heard = self.heard.borrow_mut();
        let last = heard.get_mut(usize::from(call.from))?;
        if (call.life, call.number) <= *last {
            return None;
        }
        *last = (call.life, call.number);
        drop(heard);
        match &call.what {
            What::Beat(says) => {
                self.presence.borrow_mut().beat(self.now(), call.from, call.life, *says);
                Some(Said::Heard(self.taken()))
            }
            What::Ask(ask) => {
                let (answer, out) = self.ask_here(ask.clone())?;
                Some(Said::Answer(answer, out))
            }
        }
    }

    /// The version that this member took last.
    fn taken(&self) -> Option<u64> {
        let keeper = self.keeper.borrow();
        keeper.as_ref().and_then(|k| k.taken()).map(|value| value.document.version)
    }

    fn ask_here(&self, ask: Ask<Document>) -> Option<(Answer<Document>, Option<Vec<Place>>)> {
        let answer = self.keeper.borrow_mut().as_mut()?.asked(ask);
        let (now, mut presence) = (self.now(), self.presence.borrow_mut());
        presence.look(now);
        let out = presence.knows(now).then(|| presence.out(now));
        Some((answer, out))
    }

    // ---- What it asks ----

    /// Asks all members at once; their answers as they come.
    fn ask_all(self: &Rc<Self>, ask: &Ask<Document>) -> mpsc::Receiver<(u8, Ask<Document>, Heard)> {
        let (tell, told) = mpsc::channel(self.links.len().max(1));
        for member in 0..self.links.len() {
            let (fleet, ask, tell) = (self.clone(), ask.clone(), tell.clone());
            tokio::task::spawn_local(async move {
                let answer = match &fleet.links[member] {
                    None => fleet.ask_here(ask.clone()),
                    Some(link) => match link.call(fleet.call(What::Ask(ask.clone()))).await.map(|r| r.what) {
                        Some(Said::Answer(answer, out)) => Some((answer, out)),
                        _ => None,
                    },
                };
                let _ = tell.send((member as u8, ask, answer)).await;
            });
        }
        told
    }

    /// One round with its change. `None`: nothing came of it.
    async fn round(self: &Rc<Self>, mut round: Round<Document>, act: &Act) -> Option<Result<Document, No>> {
        let mut view = View { wanted: self.links.len() / 2 + 1, ..View::default() };
        let mut told = self.ask_all(&round.ask());
        while let Some((member, ask, answer)) = told.recv().await {
            let Some((answer, out)) = answer else { continue };
            if let Answer::Newer(seen) = &answer {
                self.seen.set(self.seen.get().max(*seen));
            }
            if let (Answer::Promised { .. }, Some(out)) = (&answer, out) {
                view.knowing += 1;
                view.out.extend(out);
            }
            match round.heard(member, &ask, answer) {
                Step::Wait => {}
                Step::Lost(_) => return None,
                Step::Change(document) => {
                    match document.changed(act, &self.settings.bounds, &view) {
                        Ok(document) => round.propose(document),
                        Err(no) => return Some(Err(no)),
                    }
                    told = self.ask_all(&round.ask());
                }
                Step::Agreed(value) => {
                    let document = value.document.clone();
                    if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
                        keeper.join(round.ballot(), value);
                    }
                    self.learn(&document);
                    return Some(Ok(document));
                }
            }
        }
        None
    }

    fn ballot(&self) -> Ballot {
        let ballot = Ballot { number: 0, by: self.settings.me, life: self.life }.above(self.seen.get());
        self.seen.set(ballot);
        ballot
    }

    /// What is agreed on, if a majority tells it alike.
    async fn look(self: &Rc<Self>) -> Option<Document> {
        let mut all = vec![None; self.links.len()];
        let mut told = self.ask_all(&Ask::Look);
        while let Some((member, _, answer)) = told.recv().await {
            let Some((Answer::Has { life, taken }, _)) = answer else { continue };
            all[usize::from(member)] = Some((life, taken));
            if let Some(value) = agreed(&all) {
                self.learn(&value.document);
                return Some(value.document);
            }
        }
        None
    }

    /// Has a change agreed on, or learns why not.
    pub async fn change(self: &Rc<Self>, act: &Act) -> Result<Document, Failed> {
        let until = Instant::now() + self.settings.within;
        let mut again = AGAIN_MS.0;
        if *act == Act::Look {
            if let Ok(Some(document)) = timeout_at(until.into(), self.look()).await {
                return Ok(document);
            }
        }
        loop {
            let round = Round::new(self.ballot(), self.links.len());
            match timeout_at(until.into(), self.round(round, act)).await {
                Ok(Some(done)) => return done.map_err(Failed::No),
                Ok(None) => {}
                Err(_) => return Err(Failed::NoMajority),
            }
            let wait = self.rng.borrow_mut().u64(again / 2..=again);
            if timeout_at(until.into(), sleep(Duration::from_millis(wait))).await.is_err() {
                return Err(Failed::NoMajority);
            }
            again = (again * 2).min(AGAIN_MS.1);
        }
    }

    fn learn(&self, document: &Document) {
        let mut known = self.document.borrow_mut();
        if known.as_ref().is_none_or(|k| k.version < document.version) {
            tracing::info!(target: "fleet", version = document.version, halted = document.halted.as_deref().unwrap_or("no"),
                entries = document.entries.len(), "agreed on");
            *known = Some(document.clone());
            self.news.notify_one();
        }
    }

    // ---- The council ----

    /// A member that has started takes part once the others have agreed on its life, or, where all are blank, begins
    /// anew with them.
    async fn join(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.members.every);
        let member = self.settings.council.iter().position(|&p| p == self.settings.me).unwrap_or(0);
        while self.keeper.borrow().as_ref().is_some_and(|k| !k.joined()) {
            let round = Round::joining(self.ballot(), self.links.len(), member as u8, self.life);
            let joined = tokio::time::timeout(self.settings.within, self.round(round, &Act::Look)).await;
            if !matches!(joined, Ok(Some(Ok(_)))) && member == 0 {
                let _ = tokio::time::timeout(self.settings.within, self.found()).await;
            }
            let wait = self.rng.borrow_mut().u64(every.as_millis() as u64 / 2..=every.as_millis() as u64);
            sleep(Duration::from_millis(wait)).await;
        }
        tracing::info!(target: "fleet", "takes part in the council");
    }

    /// The first member has all take the first document, if all are blank.
    async fn found(self: &Rc<Self>) {
        let mut blank = vec![None; self.links.len()];
        let mut told = self.ask_all(&Ask::Prepare(self.ballot()));
        while let Some((member, _, answer)) = told.recv().await {
            if let Some((Answer::Blank { life }, _)) = answer {
                blank[usize::from(member)] = Some(life);
            }
        }
        let Some(value) = first(Document::first(), &blank) else { return };
        let document = value.document.clone();
        let mut told = self.ask_all(&Ask::Found(self.ballot(), value));
        let mut taken = 0;
        while let Some((_, _, answer)) = told.recv().await {
            taken += usize::from(matches!(answer, Some((Answer::Taken { .. }, _))));
        }
        if taken == self.links.len() {
            tracing::warn!(target: "fleet", "the council begins anew: nobody remembers anything; halted until `resume`");
            self.learn(&document);
        }
    }

    // ---- Its own part ----

    async fn beat(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_nanos(self.settings.members.every));
        // After a stop one beat, not all that were missed.
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            self.presence.borrow_mut().look(self.now());
            let says = self.duty.says();
            for member in 0..self.links.len() {
                let fleet = self.clone();
                tokio::task::spawn_local(async move {
                    let version = match &fleet.links[member] {
                        None => {
                            let now = fleet.now();
                            fleet.presence.borrow_mut().beat(now, fleet.settings.me, fleet.life, says);
                            fleet.taken()
                        }
                        Some(link) => match link.call(fleet.call(What::Beat(says))).await.map(|r| r.what) {
                            Some(Said::Heard(version)) => version,
                            _ => None,
                        },
                    };
                    fleet.rumour.set(fleet.rumour.get().max(version.unwrap_or(0)));
                    if version > fleet.known() {
                        fleet.news.notify_one();
                    }
                });
            }
        }
    }

    /// Follows the document and does its own part, again and again.
    async fn follow(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.members.every);
        loop {
            // News, or time: a leave may have run out, a refused one may be asked for again.
            let _ = tokio::time::timeout(every, self.news.notified()).await;
            let newer = Some(self.rumour.get()) > self.known() || self.taken() > self.known();
            if newer && self.change(&Act::Look).await.is_err() {
                continue;
            }
            self.step().await;
        }
    }

    /// The version of the newest document that is known here to be agreed on.
    fn known(&self) -> Option<u64> {
        self.document.borrow().as_ref().map(|d| d.version)
    }

    /// Its own part, as far as it goes now.
    async fn step(self: &Rc<Self>) {
        loop {
            let Some(document) = self.document.borrow().clone() else { return };
            let next = self.leaver.borrow().next(self.now(), &document, self.own.get());
            match next {
                Next::Rest => return,
                Next::GoOut => {
                    // The clock was looked at above, and nothing was waited for since.
                    if !self.duty.go_out() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "goes out by its leave");
                    self.own.set(Own::Out);
                }
                Next::Serve => {
                    if !self.duty.serve() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "serves again");
                    self.own.set(Own::Serving);
                }
                Next::Ask(act) => {
                    let at = self.now();
                    let done = self.change(&act).await;
                    if let Err(Failed::No(no)) = &done {
                        tracing::debug!(target: "fleet", ?act, %no, "not now");
                    }
                    self.leaver.borrow_mut().asked(at, self.now(), &act, done.is_ok());
                    if done.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Routers that the view from here takes to be out: only a member of the council has one.
    fn out_here(&self) -> BTreeSet<Place> {
        self.presence.borrow_mut().out(self.now()).into_iter().collect()
    }
}

/// A member's answer to the register, and who is out by its view.
type Heard = Option<(Answer<Document>, Option<Vec<Place>>)>;
