//! A router's part in what its fleet agrees on: it beats, answers for the register if it is of the council, follows the
//! document, and goes out of service by its leave alone. All decisions are `tallypin_membership`' and `tallypin_consensus`'s;
//! here are connections, time and tasks. Nothing of it is on a request's way, and it runs only where the settings say so.

mod conduct;
#[cfg(test)]
mod file_faults;
pub mod files;
pub mod link;
mod lives;
pub mod orders;
pub mod plan;
pub mod settings;
mod stored;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tallypin_consensus::drain_lease::{LeaseHolder, LocalPhase, NextStep};
use tallypin_consensus::fleet_state::{Command, CouncilView, FleetState, Rejection};
use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember,
    MemberReport, Proposal, Proposer, RoundStep,
};
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{
    routers_not_clear, AppliedState, ReplicaStage, ReplicaView, UnixMs,
};
use tallypin_membership::{AdvertisedStatus, FailureDetector, Nanos, RouterIndex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify, Semaphore};
use tokio::time::{sleep, timeout_at};

use link::Link;
use settings::FleetSettings;
use wire::{Call, Keys, Reply, Said, Tells, Unclear, Way, What};

/// A round that lost to another is tried again after up to so many ms, doubled each time: guards against two that go on
/// overtaking each other.
const AGAIN_MS: (u64, u64) = (20, 640);
/// Changes that one round makes at the most, and those that may wait for one: a few of every router.
const BATCH: usize = 64;
const MOST_QUEUED: usize = 4096;
/// Routers that keep a node from being clear, of which the names are told.
const NAMED: usize = 8;
/// A disk that has not answered for so long is taken to hang.
const DISK: Duration = Duration::from_secs(10);
/// What is agreed on is stored so often, if it has changed.
const STORE: Duration = Duration::from_millis(200);
/// The key file is read so often: a change of keys takes a few of these, and a file of two lines costs nothing.
const KEYS: Duration = Duration::from_secs(2);

/// What the fleet wants of the router that it is a part of.
pub trait Duty {
    /// To go out of service: begin to drain. False: it can't.
    fn go_out(&self) -> bool;
    /// To serve again.
    fn serve(&self) -> bool;
    /// Whether it has gone out, and nothing that it took before is open any more.
    fn drained(&self) -> bool;
    /// To end.
    fn end(&self);
    /// What it says of itself.
    fn says(&self) -> AdvertisedStatus;
    /// Its final answers since its start.
    fn counts(&self) -> AnswerCounts;
    /// The model nodes by id; `None`: it has not heard the list of late.
    fn nodes(&self) -> Option<BTreeMap<String, ReplicaView>>;
    /// Which model nodes are out by order, and which were put back and when.
    fn by_hand(&self, out: &[String], back: &[(String, UnixMs)]);
    /// Whether it has anything open at a model node.
    fn open_at(&self, node: &str) -> bool;
    /// Whether it could start with these bytes as its file of this kind, or why not.
    fn fit(&self, what: &str, bytes: &[u8]) -> Result<(), String>;
}

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// It was decided that it is not.
    Rejected(Rejection),
    /// No majority of the council was reached in time: nothing is said of whether it was agreed on.
    NoMajority,
}

/// A router's part.
pub struct Fleet {
    settings: FleetSettings,
    keys: Rc<RefCell<Keys>>,
    duty: Box<dyn Duty>,
    start: Instant,
    life: u64,
    number: Cell<u64>,
    rng: RefCell<Rng>,
    /// The newest round heard of.
    seen: Cell<Ballot>,
    /// By member of the council; `None` for this one.
    links: Vec<Option<Link>>,
    /// The same for changes, which take longer than an answer.
    ways: Vec<Option<Link>>,
    /// Changes that this member is to make, and who waits for each.
    queue: RefCell<Vec<(Command, oneshot::Sender<Changed>)>>,
    queueing: Notify,
    /// What this member keeps, if it is one.
    keeper: RefCell<Option<Acceptor<FleetState>>>,
    presence: RefCell<FailureDetector>,
    /// The last call of each router's life, and the last change: one that comes again is no news.
    heard: RefCell<Vec<[(u64, u64); 2]>>,
    leaver: RefCell<LeaseHolder>,
    own: Cell<LocalPhase>,
    /// The newest document that was agreed on, as far as known here.
    document: RefCell<Option<FleetState>>,
    /// The newest version that any member is said to have taken.
    rumour: Cell<u64>,
    /// Told when the document may have changed.
    news: Notify,
    /// The document has been learnt for the first time.
    first: Notify,
    /// What it runs of each kind that may be released, by digest.
    runs: BTreeMap<String, String>,
    /// The file that was found fit last.
    fit: RefCell<Option<String>>,
    /// It has put another file in place, and ends.
    ending: Cell<bool>,
    /// What each router has told last, and its life.
    told: RefCell<Vec<Option<(u64, Tells)>>>,
    /// By the last look: who keeps model nodes from being clear.
    unclear: RefCell<BTreeMap<String, Unclear>>,
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
        let keys = Rc::new(RefCell::new(keys));
        let at = settings.routers[usize::from(settings.me)].at;
        let listener = TcpListener::bind(at).await.map_err(|e| of(&at.to_string(), e))?;
        let member = |place: &RouterIndex| settings.council.iter().position(|p| p == place);
        let links = |deadline: Duration| -> Vec<Option<Link>> {
            let link = |&p: &RouterIndex| {
                let to = settings.routers[usize::from(p)].at;
                (p != settings.me).then(|| Link::start(to, keys.clone(), deadline))
            };
            settings.council.iter().map(link).collect()
        };
        let (links, ways) = (links(settings.answer), links(settings.within / 2));
        let life = lives::next(&links, settings.me).await;
        let path = settings.store.clone().filter(|_| settings.council.contains(&settings.me));
        let stored = match &path {
            Some(path) => stored_there(path.clone(), settings.name.clone()).await,
            None => None,
        };
        let runs = settings.released.iter().map(|r| Ok((r.what.clone(), r.runs()?)));
        let runs = runs.collect::<io::Result<_>>().map_err(|e| of("release", e))?;
        let fleet = Rc::new(Fleet {
            links,
            ways,
            queue: RefCell::default(),
            queueing: Notify::new(),
            keeper: RefCell::new(member(&settings.me).map(|_| Acceptor::new(life).with_stored(stored))),
            presence: RefCell::new(FailureDetector::new(settings.members, settings.routers.len(), 0)),
            heard: RefCell::new(vec![[(0, 0); 2]; settings.routers.len()]),
            leaver: RefCell::new(LeaseHolder::new(settings.leave, settings.me, life)),
            keys,
            duty,
            start: Instant::now(),
            life,
            number: Cell::new(0),
            rng: RefCell::new(Rng::with_seed(life)),
            seen: Cell::default(),
            own: Cell::new(LocalPhase::Serving),
            document: RefCell::new(None),
            rumour: Cell::new(0),
            news: Notify::new(),
            first: Notify::new(),
            runs,
            fit: RefCell::default(),
            ending: Cell::default(),
            told: RefCell::new(vec![None; settings.routers.len()]),
            unclear: RefCell::default(),
            spoilt: Cell::new(0),
            settings,
        });
        tokio::task::spawn_local(fleet.clone().listen(listener));
        tokio::task::spawn_local(fleet.clone().beat());
        tokio::task::spawn_local(fleet.clone().follow());
        tokio::task::spawn_local(fleet.clone().reread());
        if let Some(path) = path {
            tokio::task::spawn_local(fleet.clone().store(path));
        }
        if fleet.keeper.borrow().is_some() {
            tokio::task::spawn_local(fleet.clone().join());
            tokio::task::spawn_local(fleet.clone().conduct());
            tokio::task::spawn_local(fleet.clone().propose());
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
        let tells = matches!(what, What::Beat(_)).then(|| self.tells());
        Call { v: wire::VERSION, from, life, number, what, tells }
    }

    fn tells(&self) -> Tells {
        let document = self.document.borrow();
        let follows = document.as_ref().map_or(AppliedState::default(), |d| {
            let out = d.replicas.iter().filter(|(_, e)| matches!(e.stage, ReplicaStage::OutOfService(_)));
            let open = out.map(|(id, _)| id.clone()).filter(|id| self.duty.open_at(id));
            AppliedState { version: d.version, in_flight: open.collect() }
        });
        let what = document.as_ref().and_then(|d| d.release.as_ref()).map(|r| r.artifact.as_str());
        let runs = what.and_then(|what| self.runs.get(what)).cloned();
        Tells { counts: self.duty.counts(), follows, runs }
    }

    /// Waits until it knows what is agreed on, or for as long as an order may take: a router that begins to serve before
    /// would send to model nodes that are out by order.
    pub async fn wait_for_first_state(&self) {
        if self.known().is_none()
            && tokio::time::timeout(self.settings.within, self.first.notified()).await.is_err()
        {
            tracing::warn!(target: "fleet", "serves without knowing what is agreed on: no majority of the council answers");
        }
    }

    // ---- What is asked of this router ----

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        // A router has one connection for beats and answers and one for changes; at times one more for a moment.
        let places = std::sync::Arc::new(Semaphore::new(2 * self.settings.routers.len() + 2));
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

    async fn serve(self: &Rc<Self>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Whoever says nothing for so long is gone, or has another connection by now.
        let idle = Duration::from_nanos(self.settings.members.silence_limit);
        loop {
            let bytes = tokio::time::timeout(idle, wire::read(&mut stream)).await??;
            let call: Call = self.keys.borrow().open(Way::Call, &bytes)?;
            let wrong = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why);
            if call.v != wire::VERSION {
                return Err(wrong("of a version that is not known"));
            }
            let known = self.is_news(&call);
            let what = match &call.what {
                What::Life => Some((Said::Life(self.latest_life(call.from)), vec![])),
                // Others are served meanwhile: it waits for agreement.
                What::Change(act) if known => Some((Said::Changed(self.queued(act.clone()).await), vec![])),
                _ if known => self.asked(&call),
                _ => None,
            };
            let what = what.ok_or_else(|| wrong("of no router of the fleet, or sent again"))?;
            let (what, unclear) = what;
            let reply = Reply { v: wire::VERSION, number: call.number, what, unclear };
            let bytes = self.keys.borrow().seal(Way::Reply, &reply)?;
            wire::write(&mut stream, &bytes).await?;
        }
    }

    /// Whether a call is of a router of the fleet, and has not come before.
    fn is_news(&self, call: &Call) -> bool {
        let mut heard = self.heard.borrow_mut();
        // Changes come by a connection of their own, and may overtake what was sent before.
        let way = usize::from(matches!(call.what, What::Change(_)));
        let Some(last) = heard.get_mut(usize::from(call.from)).map(|ways| &mut ways[way]) else {
            return false;
        };
        if matches!(call.what, What::Life) {
            return false;
        }
        let news = (call.life, call.number) > *last;
        *last = (*last).max((call.life, call.number));
        news
    }

    /// The latest life of a router that its calls have told of; 0: none was heard.
    fn latest_life(&self, of: RouterIndex) -> u64 {
        let heard = self.heard.borrow();
        heard.get(usize::from(of)).map_or(0, |ways| ways.iter().map(|(life, _)| *life).max().unwrap_or(0))
    }

    /// Answers a call; `None`: it is none.
    fn asked(&self, call: &Call) -> Option<(Said, Vec<Unclear>)> {
        match &call.what {
            What::Change(_) | What::Life => None,
            What::Beat(says) => {
                // One of an earlier incarnation, or of no router of the fleet, says nothing.
                let _ = self.presence.borrow_mut().record_heartbeat(self.now(), call.from, call.life, *says);
                self.tell(call.from, call.life, call.tells.clone().unwrap_or_default());
                Some((Said::Heard(self.taken()), vec![]))
            }
            What::Ask(ask) => {
                let (answer, out, unclear) = self.ask_here(ask.clone())?;
                Some((Said::Answer(answer, out), unclear))
            }
        }
    }

    fn tell(&self, from: RouterIndex, life: u64, mut tells: Tells) {
        tells.follows.in_flight.truncate(tallypin_consensus::replica_drains::MAX_REPLICA_DRAINS);
        if let Some(told) = self.told.borrow_mut().get_mut(usize::from(from)) {
            *told = Some((life, tells));
        }
    }

    /// Who keeps the nodes that are out, by what this member took last, from being clear.
    fn unclear_here(&self) -> Vec<Unclear> {
        let (now, presence, told) = (self.now(), self.presence.borrow(), self.told.borrow());
        let keeper = self.keeper.borrow();
        let Some(value) = keeper.as_ref().and_then(|k| k.accepted()) else { return vec![] };
        // What an earlier life told says nothing of this one.
        let said = |(place, told): (RouterIndex, &Option<(u64, Tells)>)| {
            let here = presence.live_peer(now, place).map(|peer| peer.incarnation);
            let told = told.as_ref().filter(|(life, _)| Some(*life) == here);
            (told.map(|(_, tells)| tells.follows.clone()), presence.has_left(now, place))
        };
        let said: Vec<_> = (0..).zip(told.iter()).map(said).collect();
        let said: Vec<_> = said.iter().map(|(f, gone)| (f.as_ref(), *gone)).collect();
        let out = value.state.replicas.iter().filter_map(|(id, e)| match e.stage {
            ReplicaStage::OutOfService(since) => Some((id, since)),
            _ => None,
        });
        out.map(|(id, since)| {
            let mut first = routers_not_clear(id, since, &said);
            let routers = first.len();
            first.truncate(NAMED);
            Unclear { node: id.clone(), routers, first }
        })
        .collect()
    }

    /// The version that this member took last.
    fn taken(&self) -> Option<u64> {
        let keeper = self.keeper.borrow();
        keeper.as_ref().and_then(|k| k.accepted()).map(|value| value.state.version)
    }

    fn ask_here(&self, ask: AcceptorRequest<FleetState>) -> Heard {
        let looks = ask == AcceptorRequest::Read;
        let answer = self.keeper.borrow_mut().as_mut()?.handle(ask);
        let (now, mut presence) = (self.now(), self.presence.borrow_mut());
        presence.note_clock(now);
        let out = presence.can_detect_silence(now).then(|| presence.out_of_service(now));
        drop(presence);
        Some((answer, out, if looks { self.unclear_here() } else { vec![] }))
    }

    // ---- What it asks ----

    /// Asks all members at once; their answers as they come.
    fn ask_all(
        self: &Rc<Self>,
        ask: &AcceptorRequest<FleetState>,
    ) -> mpsc::Receiver<(u8, AcceptorRequest<FleetState>, Heard)> {
        let (tell, told) = mpsc::channel(self.links.len().max(1));
        for member in 0..self.links.len() {
            let (fleet, ask, tell) = (self.clone(), ask.clone(), tell.clone());
            tokio::task::spawn_local(async move {
                let answer = match &fleet.links[member] {
                    None => fleet.ask_here(ask.clone()),
                    Some(link) => match link.call(fleet.call(What::Ask(ask.clone()))).await {
                        Some(Reply { what: Said::Answer(answer, out), unclear, .. }) => {
                            Some((answer, out, unclear))
                        }
                        _ => None,
                    },
                };
                let _ = tell.send((member as u8, ask, answer)).await;
            });
        }
        told
    }

    /// One round with its changes, one after the other, each made or refused for itself. `None`: nothing came of it.
    async fn round(
        self: &Rc<Self>,
        mut round: Proposer<FleetState>,
        acts: &[Command],
    ) -> Option<Vec<Changed>> {
        let listed =
            acts.iter().any(|act| matches!(act, Command::DrainReplicas { .. } | Command::AdvanceReplica(_)));
        let nodes = if listed { self.duty.nodes() } else { None };
        let now_ms = now_ms();
        let mut view = CouncilView {
            majority: self.links.len() / 2 + 1,
            replicas: nodes,
            unix_ms: now_ms,
            ..CouncilView::default()
        };
        let mut results: Vec<Result<(), Rejection>> = vec![];
        let mut told = self.ask_all(&round.request());
        while let Some((member, ask, answer)) = told.recv().await {
            let Some((answer, out, _)) = answer else { continue };
            if let AcceptorReply::Superseded(seen) = &answer {
                self.seen.set(self.seen.get().max(*seen));
            }
            if let (AcceptorReply::Promised { .. }, Some(out)) = (&answer, out) {
                view.informed_members += 1;
                view.out_of_service.extend(out);
            }
            match round.handle_reply(member, &ask, answer) {
                RoundStep::Wait => {}
                RoundStep::Superseded(_) => return None,
                RoundStep::Propose(mut document) => {
                    let change = |act| {
                        document = document.apply(act, &self.settings.bounds, &view)?;
                        Ok(())
                    };
                    results = acts.iter().map(change).collect();
                    if results.iter().all(Result::is_err) {
                        return Some(
                            results.into_iter().map(|r| r.map(|()| FleetState::default())).collect(),
                        );
                    }
                    round.propose(document);
                    told = self.ask_all(&round.request());
                }
                RoundStep::Chosen(value) => {
                    let document = value.state.clone();
                    if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
                        keeper.join(Proposal { ballot: round.ballot(), value });
                    }
                    self.learn(&document);
                    return Some(results.into_iter().map(|r| r.map(|()| document.clone())).collect());
                }
            }
        }
        None
    }

    fn ballot(&self) -> Ballot {
        let ballot =
            Ballot { number: 0, proposer: self.settings.me, incarnation: self.life }.above(self.seen.get());
        self.seen.set(ballot);
        ballot
    }

    /// What is agreed on, if a majority tells it alike.
    async fn look(self: &Rc<Self>) -> Option<FleetState> {
        let mut all = vec![None; self.links.len()];
        let mut told = self.ask_all(&AcceptorRequest::Read);
        let mut unclear: BTreeMap<String, Unclear> = BTreeMap::new();
        while let Some((member, _, answer)) = told.recv().await {
            let Some((AcceptorReply::Current { incarnation: life, accepted: taken }, _, said)) = answer
            else {
                continue;
            };
            all[usize::from(member)] = Some(MemberReport { incarnation: life, accepted: taken });
            // What one has heard a router say is so, though another has not.
            for u in said {
                let least = unclear.entry(u.node.clone()).or_insert_with(|| u.clone());
                if u.routers < least.routers {
                    *least = u;
                }
            }
            if let Some(chosen) = chosen_value(&all) {
                if let Some(keeper) = self.keeper.borrow_mut().as_mut() {
                    keeper.join(chosen.clone());
                }
                self.unclear.replace(std::mem::take(&mut unclear));
                self.learn(&chosen.value.state);
                return Some(chosen.value.state);
            }
        }
        None
    }

    /// Has a change agreed on, or learns why not. All routers send their changes to one member, the first that answers,
    /// which makes many in one round: guards against hundreds whose rounds overtake each other.
    pub async fn change(self: &Rc<Self>, act: &Command) -> Result<FleetState, Failed> {
        let until = Instant::now() + self.settings.within;
        if *act == Command::Read {
            if let Ok(Some(document)) = timeout_at(until.into(), self.look()).await {
                return Ok(document);
            }
        }
        let made = timeout_at(until.into(), async {
            let (well, others): (Vec<usize>, Vec<usize>) =
                (0..self.links.len()).partition(|&m| self.reaches(m));
            for member in well.into_iter().chain(others) {
                let changed = match &self.ways[member] {
                    None => self.queued(act.clone()).await,
                    Some(way) => tokio::select! {
                        reply = way.call(self.call(What::Change(act.clone()))) => match reply.map(|r| r.what) {
                            Some(Said::Changed(changed)) => changed,
                            _ => None,
                        },
                        // Its answers to beats tell sooner that it is stalled.
                        () = self.lost(member) => None,
                    },
                };
                if let Some(changed) = changed {
                    return Some(changed);
                }
            }
            None
        });
        match made.await {
            Ok(Some(Ok(document))) => {
                self.learn(&document);
                Ok(document)
            }
            Ok(Some(Err(no))) => Err(Failed::Rejected(no)),
            Ok(None) | Err(_) => Err(Failed::NoMajority),
        }
    }

    /// Waits until a member is seen not to answer, and has been asked at least once more by then.
    async fn lost(&self, member: usize) {
        let beat = Duration::from_nanos(self.settings.members.interval);
        sleep(beat + self.settings.answer).await;
        while self.reaches(member) {
            sleep(beat).await;
        }
    }

    /// Whether a member of the council answered last.
    fn reaches(&self, member: usize) -> bool {
        self.links[member].as_ref().is_none_or(Link::well)
    }

    /// A change for this member to make with its next round. `None`: nothing came of it, or it is no member.
    async fn queued(&self, act: Command) -> Option<Changed> {
        let (tell, told) = oneshot::channel();
        self.keeper.borrow().as_ref()?;
        if self.queue.borrow().len() >= MOST_QUEUED {
            return None;
        }
        self.queue.borrow_mut().push((act, tell));
        self.queueing.notify_one();
        told.await.ok()
    }

    /// The changes of the next round.
    fn batch(&self) -> Vec<(Command, oneshot::Sender<Changed>)> {
        let mut queue = self.queue.borrow_mut();
        // Nobody waits for these any more.
        queue.retain(|(_, tell)| !tell.is_closed());
        // Operators' orders first: a halt does not wait for what it is to stop.
        queue.sort_by_key(|(act, _)| !act.is_operator_order());
        let most = queue.len().min(BATCH);
        queue.drain(..most).collect()
    }

    /// Makes what has been queued, all in one round, again and again.
    async fn propose(self: Rc<Self>) {
        loop {
            self.queueing.notified().await;
            loop {
                let batch = self.batch();
                if batch.is_empty() {
                    break;
                }
                let (acts, tells): (Vec<Command>, Vec<_>) = batch.into_iter().unzip();
                if let Some(results) = self.made(&acts).await {
                    for (tell, result) in tells.into_iter().zip(results) {
                        let _ = tell.send(result);
                    }
                }
            }
        }
    }

    /// Rounds until one is not overtaken, or for as long as an order may take.
    async fn made(self: &Rc<Self>, acts: &[Command]) -> Option<Vec<Changed>> {
        let until = Instant::now() + self.settings.within;
        let mut again = AGAIN_MS.0;
        loop {
            let joins = acts.iter().filter_map(|act| match act {
                Command::JoinCouncil(joins) => Some(*joins),
                _ => None,
            });
            let round = Proposer::joining(self.ballot(), self.links.len(), joins.collect());
            if let Some(results) = timeout_at(until.into(), self.round(round, acts)).await.ok()? {
                return Some(results);
            }
            let wait = self.rng.borrow_mut().u64(again / 2..=again);
            timeout_at(until.into(), sleep(Duration::from_millis(wait))).await.ok()?;
            again = (again * 2).min(AGAIN_MS.1);
        }
    }

    fn learn(&self, document: &FleetState) {
        let mut known = self.document.borrow_mut();
        if known.as_ref().is_none_or(|k| k.version < document.version) {
            tracing::info!(target: "fleet", version = document.version, halted = document.halted.as_deref().unwrap_or("no"),
                entries = document.drains.len(), "agreed on");
            *known = Some(document.clone());
            self.first.notify_one();
            self.news.notify_one();
            drop(known);
            let (mut out, mut back) = (Vec::new(), Vec::new());
            for (id, e) in &document.replicas {
                match e.stage {
                    ReplicaStage::OutOfService(_) => out.push(id.clone()),
                    ReplicaStage::Restored(at) => back.push((id.clone(), at)),
                    ReplicaStage::Requested => {}
                }
            }
            self.duty.by_hand(&out, &back);
        }
    }

    // ---- The council ----

    /// A member that has started takes part once the others have agreed on its life, or, where all are blank, begins
    /// anew with them.
    async fn join(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.members.interval);
        let member = self.settings.council.iter().position(|&p| p == self.settings.me).unwrap_or(0);
        while self.keeper.borrow().as_ref().is_some_and(|k| !k.joined()) {
            // By whoever makes changes: a round of its own would be overtaken by them, again and again.
            let joins = CouncilMember { member: member as u8, incarnation: self.life };
            let joins = self.change(&Command::JoinCouncil(joins)).await;
            match joins {
                Ok(_) => drop(tokio::time::timeout(self.settings.within, self.look()).await),
                Err(_) => drop(tokio::time::timeout(self.settings.within, self.found()).await),
            }
            if self.keeper.borrow().as_ref().is_some_and(Acceptor::joined) {
                break;
            }
            let wait = self.rng.borrow_mut().u64(every.as_millis() as u64 / 2..=every.as_millis() as u64);
            sleep(Duration::from_millis(wait)).await;
        }
        tracing::info!(target: "fleet", "takes part in the council");
    }

    /// Has all members take a first document, if too few remember to agree on anything. Any blank one may: of two at once
    /// one fails, as what it asked is no longer the last that all have heard.
    async fn found(self: &Rc<Self>) {
        let mut members = vec![None; self.links.len()];
        let mut documents: Vec<FleetState> = Vec::new();
        let ballot = self.ballot();
        let mut told = self.ask_all(&AcceptorRequest::Prepare(ballot));
        while let Some((member, _, answer)) = told.recv().await {
            members[usize::from(member)] = match answer {
                Some((AcceptorReply::Uninitialized { incarnation: life, stored }, ..)) => {
                    documents.extend(stored);
                    Some(MemberReport { incarnation: life, accepted: None })
                }
                Some((AcceptorReply::Promised { incarnation: life, accepted: taken }, ..)) => {
                    Some(MemberReport { incarnation: life, accepted: taken })
                }
                Some((AcceptorReply::Superseded(seen), ..)) => {
                    self.seen.set(self.seen.get().max(seen));
                    None
                }
                _ => None,
            };
        }
        let newest = |held: Option<&FleetState>| {
            FleetState::bootstrap(held.into_iter().chain(&documents).max_by_key(|d| d.version))
        };
        let Some(value) = bootstrap_value(&members, newest) else { return };
        let document = value.state.clone();
        let mut told = self.ask_all(&AcceptorRequest::Bootstrap(Proposal { ballot, value }));
        let mut taken = 0;
        while let Some((_, _, answer)) = told.recv().await {
            taken += usize::from(matches!(answer, Some((AcceptorReply::Accepted { .. }, ..))));
        }
        if taken == self.links.len() {
            tracing::warn!(target: "fleet", why = document.halted, "the council begins anew: halted until `resume`");
            self.learn(&document);
        }
    }

    // ---- Its own part ----

    async fn beat(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_nanos(self.settings.members.interval));
        // After a stop one beat, not all that were missed.
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            self.presence.borrow_mut().note_clock(self.now());
            let says = match self.keeper.borrow().as_ref().is_none_or(Acceptor::joined) {
                true => self.duty.says(),
                // A member that has forgotten counts as out until it takes part: else the next one could forget as well.
                false => AdvertisedStatus::Starting,
            };
            for member in 0..self.links.len() {
                let fleet = self.clone();
                tokio::task::spawn_local(async move {
                    let version = match &fleet.links[member] {
                        None => {
                            let now = fleet.now();
                            let _ = fleet.presence.borrow_mut().record_heartbeat(
                                now,
                                fleet.settings.me,
                                fleet.life,
                                says,
                            );
                            fleet.tell(fleet.settings.me, fleet.life, fleet.tells());
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

    /// AppliedState the document and does its own part, again and again.
    async fn follow(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.members.interval);
        loop {
            // News, or time: a leave may have run out, a refused one may be asked for again.
            let _ = tokio::time::timeout(every, self.news.notified()).await;
            let newer = Some(self.rumour.get()) > self.known() || self.taken() > self.known();
            if newer && self.change(&Command::Read).await.is_err() {
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
            let what = document.release.as_ref().map(|r| r.artifact.clone());
            let runs = what.as_ref().and_then(|what| self.runs.get(what)).map(String::as_str);
            let next = self.leaver.borrow().next_step(self.now(), &document, self.own.get(), runs);
            match next {
                NextStep::Wait => return,
                NextStep::BeginDrain => {
                    // The clock was looked at above, and nothing was waited for since.
                    if !self.duty.go_out() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "goes out by its leave");
                    self.own.set(LocalPhase::OutOfService);
                }
                NextStep::ResumeService => {
                    if !self.duty.serve() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "serves again");
                    self.own.set(LocalPhase::Serving);
                }
                NextStep::InstallAndRestart(digest) => {
                    if self.ending.get() || !self.duty.drained() {
                        return;
                    }
                    match self.swap(what.unwrap_or_default(), digest).await {
                        Ok(()) => {
                            self.ending.set(true);
                            tracing::info!(target: "fleet", "ends, to start with what is released");
                            self.duty.end();
                            return;
                        }
                        Err(why) => {
                            if !self.unfit(why).await {
                                return;
                            }
                        }
                    }
                }
                NextStep::Submit(act) => {
                    if let (Command::AcquireReleaseLease(..), Some(what)) = (&act, &what) {
                        let to = document.drains.get(&self.settings.me).and_then(|e| e.target_digest.clone());
                        if let Err(why) = self.fits(what.clone(), to.unwrap_or_default()).await {
                            match self.unfit(why).await {
                                true => continue,
                                false => return,
                            }
                        }
                    }
                    let at = self.now();
                    let done = self.change(&act).await;
                    let keeps = matches!(act, Command::ReportServing(..) | Command::ReportUpToDate(_))
                        && done.is_ok();
                    if let (true, Some(what)) = (keeps, &what) {
                        self.keep(what.clone()).await;
                    }
                    if let Err(Failed::Rejected(no)) = &done {
                        tracing::debug!(target: "fleet", ?act, %no, "not now");
                    }
                    self.leaver.borrow_mut().record_outcome(at, self.now(), &act, done.is_ok());
                    if done.is_err() {
                        return;
                    }
                }
            }
        }
    }

    // ---- Files, off the thread that serves ----

    /// Stores what is agreed on, again and again. A disk that hangs or fails is told of once, and holds nothing up.
    async fn store(self: Rc<Self>, path: std::path::PathBuf) {
        let (mut last, mut told) = (None, false);
        loop {
            sleep(STORE).await;
            let Some(document) = self.document.borrow().clone().filter(|d| Some(d.version) != last) else {
                continue;
            };
            let (path, name, version) = (path.clone(), self.settings.name.clone(), document.version);
            match off_thread(move || stored::write(&path, &name, &document)).await {
                Ok(()) => (last, told) = (Some(version), false),
                Err(why) => {
                    if !told {
                        tracing::warn!(target: "fleet", why, "what is agreed on can't be stored");
                    }
                    told = true;
                }
            }
        }
    }

    /// Reads the keys again and again, so that they can be changed without a restart. A file that can't be read, or holds
    /// none, changes nothing.
    async fn reread(self: Rc<Self>) {
        let mut told = String::new();
        loop {
            sleep(KEYS).await;
            let path = self.settings.key.clone();
            let text = off_thread(move || std::fs::read_to_string(path)).await;
            match text.and_then(|text| Keys::read(&self.settings.name, &text)) {
                Ok(keys) if keys != *self.keys.borrow() => {
                    tracing::info!(target: "fleet", ?keys, "goes by other keys now");
                    self.keys.replace(keys);
                    told.clear();
                }
                Err(why) if why != told => {
                    tracing::warn!(target: "fleet", why, "the key file can't be used; goes on with the keys it has");
                    told = why;
                }
                _ => {}
            }
        }
    }

    /// Does something with the files of a kind. One that hangs is given up, and holds nothing up.
    async fn on_disk<T: Send + 'static>(
        &self,
        what: &str,
        does: impl FnOnce(files::Released) -> io::Result<T> + Send + 'static,
    ) -> Result<T, String> {
        let of = self.settings.released.iter().find(|r| r.what == what);
        let of = of.cloned().ok_or_else(|| format!("its settings have no place for `{what}`"))?;
        off_thread(move || does(of)).await
    }

    /// Whether it has what is released, and could start with it.
    async fn fits(&self, what: String, digest: String) -> Result<(), String> {
        if self.fit.borrow().as_ref() == Some(&digest) {
            return Ok(());
        }
        let wanted = digest.clone();
        let bytes = self.on_disk(&what, move |of| of.stored(&wanted)).await?;
        self.duty.fit(&what, &bytes)?;
        self.fit.replace(Some(digest));
        Ok(())
    }

    async fn swap(&self, what: String, digest: String) -> Result<(), String> {
        self.on_disk(&what, move |of| of.swap(&digest)).await
    }

    async fn keep(&self, what: String) {
        if let Err(why) = self.on_disk(&what, |of| of.keep()).await {
            tracing::warn!(target: "fleet", why, "serves with what was released, but its trial can't be ended");
        }
    }

    /// Has it agreed on that this router can't run what is released.
    async fn unfit(self: &Rc<Self>, why: String) -> bool {
        tracing::warn!(target: "fleet", why, "can't run what is released");
        self.change(&Command::ReportUnfit(self.settings.me, why)).await.is_ok()
    }

    /// Routers that the view from here takes to be out: only a member of the council has one.
    fn out_here(&self) -> BTreeSet<RouterIndex> {
        self.presence.borrow_mut().out_of_service(self.now()).into_iter().collect()
    }
}

/// What is found stored at the start; what can't be used is told, and is none.
async fn stored_there(path: std::path::PathBuf, name: String) -> Option<FleetState> {
    let read = off_thread(move || stored::read(&path, &name)).await;
    read.unwrap_or_else(|why| {
        tracing::warn!(target: "fleet", why, "what is stored of the fleet can't be used");
        None
    })
}

/// Does something with files off the thread that serves; a disk that hangs is given up.
async fn off_thread<T: Send + 'static, E: ToString + Send + 'static>(
    does: impl FnOnce() -> Result<T, E> + Send + 'static,
) -> Result<T, String> {
    match tokio::time::timeout(DISK, tokio::task::spawn_blocking(does)).await {
        Ok(Ok(done)) => done.map_err(|e| e.to_string()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("the disk does not answer".into()),
    }
}

/// What became of a change: the document with it, or why it was not made.
type Changed = Result<FleetState, Rejection>;

/// A member's answer to the register, who is out by its view, and who keeps nodes from being clear.
type Heard = Option<(AcceptorReply<FleetState>, Option<Vec<RouterIndex>>, Vec<Unclear>)>;

/// The time, as routers tell it each other.
fn now_ms() -> UnixMs {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
