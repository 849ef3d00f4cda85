//! A router's part in what its fleet agrees on: it beats, answers for the register if it is of the council, follows the
//! document, and goes out of service by its leave alone. All decisions are `tallypin_membership`' and `tallypin_consensus`'s;
//! here are connections, time and tasks. Nothing of it is on a request's way, and it runs only where the settings say so.

pub mod connection;
#[cfg(test)]
mod file_faults;
mod incarnation;
pub mod operator_orders;
mod release_controller;
pub mod release_files;
pub mod release_plan;
pub mod settings;
mod stored_state;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tallypin_consensus::drain_lease::{LeaseHolder, LocalPhase, NextStep, SubmitOutcome};
use tallypin_consensus::fleet_state::{Command, CouncilView, FleetState, Rejection, UnfitReport};
use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember,
    MemberReport, Proposal, Proposer, RoundStep,
};
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{
    routers_not_clear, AppliedState, ReplicaStage, ReplicaUse, ReplicaView, UnixMs,
};
use tallypin_membership::{AdvertisedStatus, FailureDetector, Nanos, RouterIndex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify, Semaphore};
use tokio::time::{sleep, timeout_at};

use connection::CouncilConnection;
use settings::FleetSettings;
use wire::{Call, Direction, HeartbeatReport, Keys, NotClearReplica, Reply, Request, Response};

/// A round that lost to another is tried again after up to so many ms, doubled each time: guards against two that go on
/// overtaking each other.
const RETRY_BACKOFF_MS: (u64, u64) = (20, 640);
/// Changes that one round makes at the most, and those that may wait for one: a few of every router.
const MAX_BATCH: usize = 64;
const MAX_QUEUED: usize = 4096;
/// Routers that keep a node from being clear, of which the names are told.
const MAX_NAMED_ROUTERS: usize = 8;
/// A disk that has not answered for so long is taken to hang.
const DISK_TIMEOUT: Duration = Duration::from_secs(10);
/// Request is agreed on is stored so often, if it has changed.
const STORE_INTERVAL: Duration = Duration::from_millis(200);
/// The key file is read so often: a change of keys takes a few of these, and a file of two lines costs nothing.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Request the fleet wants of the router that it is a part of.
pub trait RouterControl {
    /// To go out of service: begin to drain. False: it can't.
    fn begin_drain(&self) -> bool;
    /// To serve again.
    fn resume_service(&self) -> bool;
    /// Whether it has gone out, and nothing that it took before is open any more.
    fn is_drained(&self) -> bool;
    /// To end.
    fn shut_down(&self);
    /// Request it says of itself.
    fn advertised_status(&self) -> AdvertisedStatus;
    /// Its final answers since its start.
    fn answer_counts(&self) -> AnswerCounts;
    /// The model nodes by id; `None`: it has not heard the list of late.
    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>>;
    /// Which model nodes are out by order, and which were put back and when.
    fn set_replica_overrides(&self, out: &[String], back: &[(String, UnixMs)]);
    /// Whether it has anything open at a model node.
    fn has_in_flight(&self, node: &str) -> bool;
    /// Whether it could start with these bytes as its file of this kind, or why not.
    fn validate_artifact(&self, what: &str, bytes: &[u8]) -> Result<(), String>;
}

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// It was decided that it is not.
    Rejected(Rejection),
    /// No majority of the council was reached in time: nothing is said of whether it was agreed on.
    NoMajority,
}

/// A router's part.
pub struct FleetAgent {
    settings: FleetSettings,
    keys: Rc<RefCell<Keys>>,
    control: Box<dyn RouterControl>,
    start: Instant,
    incarnation: u64,
    number: Cell<u64>,
    rng: RefCell<Rng>,
    /// The newest round heard of.
    highest_ballot: Cell<Ballot>,
    /// By member of the council; `None` for this one.
    connections: Vec<Option<CouncilConnection>>,
    /// The same for changes, which take longer than an answer.
    command_connections: Vec<Option<CouncilConnection>>,
    /// Changes that this member is to make, and who waits for each.
    queue: RefCell<Vec<(Command, oneshot::Sender<CommandOutcome>)>>,
    queueing: Notify,
    /// Request this member keeps, if it is one.
    acceptor: RefCell<Option<Acceptor<FleetState>>>,
    failure_detector: RefCell<FailureDetector>,
    /// The last call of each router's life, and the last change: one that comes again is no news.
    last_calls: RefCell<Vec<[(u64, u64); 2]>>,
    lease_holder: RefCell<LeaseHolder>,
    local_phase: Cell<LocalPhase>,
    /// The newest document that was agreed on, as far as known here.
    state: RefCell<Option<FleetState>>,
    /// The newest version that any member is said to have taken.
    latest_version_seen: Cell<u64>,
    /// Told when the document may have changed.
    news: Notify,
    /// The document has been learnt for the first time.
    first: Notify,
    /// Request it runs of each kind that may be released, by digest.
    runs: BTreeMap<String, String>,
    /// The file that was found fit last.
    fit: RefCell<Option<String>>,
    /// It has put another file in place, and ends.
    ending: Cell<bool>,
    /// Request each router has told last, and its life.
    reports: RefCell<Vec<Option<(u64, HeartbeatReport)>>>,
    /// By the last look: who keeps model nodes from being clear.
    not_clear: RefCell<BTreeMap<String, NotClearReplica>>,
    /// Messages that were not read, and those told of in the log.
    rejected_messages: Cell<u64>,
}

impl FleetAgent {
    /// Binds the address of this router and starts its tasks.
    pub async fn start(
        settings: FleetSettings,
        control: Box<dyn RouterControl>,
    ) -> io::Result<Rc<FleetAgent>> {
        let of = |what: &str, e: io::Error| io::Error::new(e.kind(), format!("fleet: {what}: {e}"));
        let path = settings.key_file.display().to_string();
        let text = std::fs::read_to_string(&settings.key_file).map_err(|e| of(&path, e))?;
        let keys = Keys::read(&settings.name, &text)
            .map_err(|why| of(&path, io::Error::new(io::ErrorKind::InvalidData, why)))?;
        let keys = Rc::new(RefCell::new(keys));
        let at = settings.routers[usize::from(settings.own_index)].address;
        let listener = TcpListener::bind(at).await.map_err(|e| of(&at.to_string(), e))?;
        let member = |place: &RouterIndex| settings.council.iter().position(|p| p == place);
        let links = |deadline: Duration| -> Vec<Option<CouncilConnection>> {
            let link = |&p: &RouterIndex| {
                let to = settings.routers[usize::from(p)].address;
                (p != settings.own_index).then(|| CouncilConnection::start(to, keys.clone(), deadline))
            };
            settings.council.iter().map(link).collect()
        };
        let (links, ways) = (links(settings.reply_timeout), links(settings.order_timeout / 2));
        let life = incarnation::choose(&links, settings.own_index).await;
        let path = settings.state_file.clone().filter(|_| settings.council.contains(&settings.own_index));
        let stored = match &path {
            Some(path) => stored_there(path.clone(), settings.name.clone()).await,
            None => None,
        };
        let runs = settings.release_files.iter().map(|r| Ok((r.artifact.clone(), r.installed_digest()?)));
        let runs = runs.collect::<io::Result<_>>().map_err(|e| of("release", e))?;
        let fleet = Rc::new(FleetAgent {
            connections: links,
            command_connections: ways,
            queue: RefCell::default(),
            queueing: Notify::new(),
            acceptor: RefCell::new(
                member(&settings.own_index).map(|_| Acceptor::new(life).with_stored(stored)),
            ),
            failure_detector: RefCell::new(FailureDetector::new(
                settings.heartbeat,
                settings.routers.len(),
                0,
            )),
            last_calls: RefCell::new(vec![[(0, 0); 2]; settings.routers.len()]),
            lease_holder: RefCell::new(LeaseHolder::new(settings.lease, settings.own_index, life)),
            keys,
            control,
            start: Instant::now(),
            incarnation: life,
            number: Cell::new(0),
            rng: RefCell::new(Rng::with_seed(life)),
            highest_ballot: Cell::default(),
            local_phase: Cell::new(LocalPhase::Serving),
            state: RefCell::new(None),
            latest_version_seen: Cell::new(0),
            news: Notify::new(),
            first: Notify::new(),
            runs,
            fit: RefCell::default(),
            ending: Cell::default(),
            reports: RefCell::new(vec![None; settings.routers.len()]),
            not_clear: RefCell::default(),
            rejected_messages: Cell::new(0),
            settings,
        });
        tokio::task::spawn_local(fleet.clone().accept_connections(listener));
        tokio::task::spawn_local(fleet.clone().send_heartbeats());
        tokio::task::spawn_local(fleet.clone().follow_state());
        tokio::task::spawn_local(fleet.clone().reload_keys());
        if let Some(path) = path {
            tokio::task::spawn_local(fleet.clone().persist_state(path));
        }
        if fleet.acceptor.borrow().is_some() {
            tokio::task::spawn_local(fleet.clone().join_council());
            tokio::task::spawn_local(fleet.clone().control_releases());
            tokio::task::spawn_local(fleet.clone().run_proposer());
        }
        tracing::info!(target: "fleet", name = fleet.settings.name, %at, life, "of the fleet");
        Ok(fleet)
    }

    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as u64
    }

    fn next_call(&self, what: Request) -> Call {
        self.number.set(self.number.get() + 1);
        let (from, life, number) = (self.settings.own_index, self.incarnation, self.number.get());
        let tells = matches!(what, Request::Heartbeat(_)).then(|| self.heartbeat_report());
        Call {
            version: wire::VERSION,
            from,
            incarnation: life,
            sequence: number,
            request: what,
            report: tells,
        }
    }

    fn heartbeat_report(&self) -> HeartbeatReport {
        let document = self.state.borrow();
        let follows = document.as_ref().map_or(AppliedState::default(), |d| {
            let out = d.replicas.iter().filter(|(_, e)| matches!(e.stage, ReplicaStage::OutOfService(_)));
            let open = out.map(|(id, _)| id.clone()).filter(|id| self.control.has_in_flight(id));
            AppliedState { version: d.version, in_flight: open.collect() }
        });
        let what = document.as_ref().and_then(|d| d.release.as_ref()).map(|r| r.artifact.as_str());
        let runs = what.and_then(|what| self.runs.get(what)).cloned();
        HeartbeatReport { counts: self.control.answer_counts(), applied: follows, running_digest: runs }
    }

    /// Waits until it knows what is agreed on, or for as long as an order may take: a router that begins to serve before
    /// would send to model nodes that are out by order.
    pub async fn wait_for_first_state(&self) {
        if self.known_version().is_none()
            && tokio::time::timeout(self.settings.order_timeout, self.first.notified()).await.is_err()
        {
            tracing::warn!(target: "fleet", "serves without knowing what is agreed on: no majority of the council answers");
        }
    }

    // ---- Request is asked of this router ----

    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        // A router has one connection for beats and answers and one for changes; at times one more for a moment.
        let places = std::sync::Arc::new(Semaphore::new(2 * self.settings.routers.len() + 2));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let Ok(place) = places.clone().try_acquire_owned() else {
                self.record_rejected(&from.to_string(), "too many connections");
                continue;
            };
            let fleet = self.clone();
            tokio::task::spawn_local(async move {
                if let Err(e) = fleet.serve_connection(stream).await {
                    if e.kind() == io::ErrorKind::InvalidData {
                        fleet.record_rejected(&from.to_string(), &e.to_string());
                    }
                }
                drop(place);
            });
        }
    }

    /// Counted, and told in the log at the first and then at each doubling: a stranger can't fill the disk.
    fn record_rejected(&self, from: &str, why: &str) {
        let n = self.rejected_messages.get() + 1;
        self.rejected_messages.set(n);
        if n.is_power_of_two() {
            tracing::warn!(target: "fleet", from, why, so_far = n, "a message that is none");
        }
    }

    async fn serve_connection(self: &Rc<Self>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Whoever says nothing for so long is gone, or has another connection by now.
        let idle = Duration::from_nanos(self.settings.heartbeat.silence_limit);
        loop {
            let bytes = tokio::time::timeout(idle, wire::read(&mut stream)).await??;
            let call: Call = self.keys.borrow().open(Direction::Call, &bytes)?;
            let wrong = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why);
            if call.version != wire::VERSION {
                return Err(wrong("of a version that is not known"));
            }
            let known = self.is_new_call(&call);
            let what = match &call.request {
                Request::Incarnation => {
                    Some((Response::Incarnation(self.latest_incarnation(call.from)), vec![]))
                }
                // Others are served meanwhile: it waits for agreement.
                Request::Submit(act) if known => {
                    Some((Response::Submitted(self.enqueue(act.clone()).await), vec![]))
                }
                _ if known => self.handle_request(&call),
                _ => None,
            };
            let what = what.ok_or_else(|| wrong("of no router of the fleet, or sent again"))?;
            let (what, unclear) = what;
            let reply =
                Reply { version: wire::VERSION, sequence: call.sequence, response: what, not_clear: unclear };
            let bytes = self.keys.borrow().seal(Direction::Reply, &reply)?;
            wire::write(&mut stream, &bytes).await?;
        }
    }

    /// Whether a call is of a router of the fleet, and has not come before.
    fn is_new_call(&self, call: &Call) -> bool {
        let mut heard = self.last_calls.borrow_mut();
        // Changes come by a connection of their own, and may overtake what was sent before.
        let way = usize::from(matches!(call.request, Request::Submit(_)));
        let Some(last) = heard.get_mut(usize::from(call.from)).map(|ways| &mut ways[way]) else {
            return false;
        };
        if matches!(call.request, Request::Incarnation) {
            return false;
        }
        let news = (call.incarnation, call.sequence) > *last;
        *last = (*last).max((call.incarnation, call.sequence));
        news
    }

    /// The latest life of a router that its calls have told of; 0: none was heard.
    fn latest_incarnation(&self, of: RouterIndex) -> u64 {
        let heard = self.last_calls.borrow();
        heard.get(usize::from(of)).map_or(0, |ways| ways.iter().map(|(life, _)| *life).max().unwrap_or(0))
    }

    /// Answers a call; `None`: it is none.
    fn handle_request(&self, call: &Call) -> Option<(Response, Vec<NotClearReplica>)> {
        match &call.request {
            Request::Submit(_) | Request::Incarnation => None,
            Request::Heartbeat(says) => {
                // One of an earlier incarnation, or of no router of the fleet, says nothing.
                let _ = self.failure_detector.borrow_mut().record_heartbeat(
                    self.now(),
                    call.from,
                    call.incarnation,
                    *says,
                );
                self.record_report(call.from, call.incarnation, call.report.clone().unwrap_or_default());
                Some((Response::HeartbeatReceived(self.accepted_version()), vec![]))
            }
            Request::Acceptor(ask) => {
                let (answer, out, unclear) = self.handle_locally(ask.clone())?;
                Some((Response::Acceptor(answer, out), unclear))
            }
        }
    }

    fn record_report(&self, from: RouterIndex, life: u64, mut tells: HeartbeatReport) {
        tells.applied.in_flight.truncate(tallypin_consensus::replica_drains::MAX_REPLICA_DRAINS);
        if let Some(told) = self.reports.borrow_mut().get_mut(usize::from(from)) {
            *told = Some((life, tells));
        }
    }

    /// Who keeps the nodes that are out, by what this member took last, from being clear.
    fn local_not_clear(&self) -> Vec<NotClearReplica> {
        let (now, presence, told) = (self.now(), self.failure_detector.borrow(), self.reports.borrow());
        let keeper = self.acceptor.borrow();
        let Some(value) = keeper.as_ref().and_then(|k| k.accepted()) else { return vec![] };
        // Request an earlier life told says nothing of this one.
        let said = |(place, told): (RouterIndex, &Option<(u64, HeartbeatReport)>)| {
            let here = presence.live_peer(now, place).map(|peer| peer.incarnation);
            let told = told.as_ref().filter(|(life, _)| Some(*life) == here);
            (told.map(|(_, tells)| tells.applied.clone()), presence.has_left(now, place))
        };
        let said: Vec<_> = (0..).zip(told.iter()).map(said).collect();
        let said: Vec<_> = said
            .iter()
            .map(|(applied, has_left)| ReplicaUse { applied: applied.as_ref(), has_left: *has_left })
            .collect();
        let out = value.state.replicas.iter().filter_map(|(id, e)| match e.stage {
            ReplicaStage::OutOfService(since) => Some((id, since)),
            _ => None,
        });
        out.map(|(id, since)| {
            let mut first = routers_not_clear(id, since, &said);
            let routers = first.len();
            first.truncate(MAX_NAMED_ROUTERS);
            NotClearReplica { replica: id.clone(), router_count: routers, first_routers: first }
        })
        .collect()
    }

    /// The version that this member took last.
    fn accepted_version(&self) -> Option<u64> {
        let keeper = self.acceptor.borrow();
        keeper.as_ref().and_then(|k| k.accepted()).map(|value| value.state.version)
    }

    fn handle_locally(&self, ask: AcceptorRequest<FleetState>) -> Heard {
        let looks = ask == AcceptorRequest::Read;
        let answer = self.acceptor.borrow_mut().as_mut()?.handle(ask);
        let (now, mut presence) = (self.now(), self.failure_detector.borrow_mut());
        presence.note_clock(now);
        let out = presence.can_detect_silence(now).then(|| presence.out_of_service(now));
        drop(presence);
        Some((answer, out, if looks { self.local_not_clear() } else { vec![] }))
    }

    // ---- Request it asks ----

    /// Asks all members at once; their answers as they come.
    fn request_all(
        self: &Rc<Self>,
        ask: &AcceptorRequest<FleetState>,
    ) -> mpsc::Receiver<(u8, AcceptorRequest<FleetState>, Heard)> {
        let (tell, told) = mpsc::channel(self.connections.len().max(1));
        for member in 0..self.connections.len() {
            let (fleet, ask, tell) = (self.clone(), ask.clone(), tell.clone());
            tokio::task::spawn_local(async move {
                let answer = match &fleet.connections[member] {
                    None => fleet.handle_locally(ask.clone()),
                    Some(link) => match link.call(fleet.next_call(Request::Acceptor(ask.clone()))).await {
                        Some(Reply {
                            response: Response::Acceptor(answer, out), not_clear: unclear, ..
                        }) => Some((answer, out, unclear)),
                        _ => None,
                    },
                };
                let _ = tell.send((member as u8, ask, answer)).await;
            });
        }
        told
    }

    /// One round with its changes, one after the other, each made or refused for itself. `None`: nothing came of it.
    async fn run_round(
        self: &Rc<Self>,
        mut round: Proposer<FleetState>,
        acts: &[Command],
    ) -> Option<Vec<CommandOutcome>> {
        let listed =
            acts.iter().any(|act| matches!(act, Command::DrainReplicas { .. } | Command::AdvanceReplica(_)));
        let nodes = if listed { self.control.replica_views() } else { None };
        let now_ms = now_ms();
        let mut view = CouncilView {
            majority: self.connections.len() / 2 + 1,
            replicas: nodes,
            unix_ms: now_ms,
            ..CouncilView::default()
        };
        let mut results: Vec<Result<(), Rejection>> = vec![];
        let mut told = self.request_all(&round.request());
        while let Some((member, ask, answer)) = told.recv().await {
            let Some((answer, out, _)) = answer else { continue };
            if let AcceptorReply::Superseded(seen) = &answer {
                self.highest_ballot.set(self.highest_ballot.get().max(*seen));
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
                        document = document.apply(act, &self.settings.limits, &view)?;
                        Ok(())
                    };
                    results = acts.iter().map(change).collect();
                    if results.iter().all(Result::is_err) {
                        return Some(
                            results.into_iter().map(|r| r.map(|()| FleetState::default())).collect(),
                        );
                    }
                    round.propose(document);
                    told = self.request_all(&round.request());
                }
                RoundStep::Chosen(value) => {
                    let document = value.state.clone();
                    if let Some(keeper) = self.acceptor.borrow_mut().as_mut() {
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
        let ballot = Ballot { number: 0, proposer: self.settings.own_index, incarnation: self.incarnation }
            .above(self.highest_ballot.get());
        self.highest_ballot.set(ballot);
        ballot
    }

    /// Request is agreed on, if a majority tells it alike.
    async fn read_state(self: &Rc<Self>) -> Option<FleetState> {
        let mut all = vec![None; self.connections.len()];
        let mut told = self.request_all(&AcceptorRequest::Read);
        let mut unclear: BTreeMap<String, NotClearReplica> = BTreeMap::new();
        while let Some((member, _, answer)) = told.recv().await {
            let Some((AcceptorReply::Current { incarnation: life, accepted: taken }, _, said)) = answer
            else {
                continue;
            };
            all[usize::from(member)] = Some(MemberReport { incarnation: life, accepted: taken });
            // Request one has heard a router say is so, though another has not.
            for u in said {
                let least = unclear.entry(u.replica.clone()).or_insert_with(|| u.clone());
                if u.router_count < least.router_count {
                    *least = u;
                }
            }
            if let Some(chosen) = chosen_value(&all) {
                if let Some(keeper) = self.acceptor.borrow_mut().as_mut() {
                    keeper.join(chosen.clone());
                }
                self.not_clear.replace(std::mem::take(&mut unclear));
                self.learn(&chosen.value.state);
                return Some(chosen.value.state);
            }
        }
        None
    }

    /// Has a change agreed on, or learns why not. All routers send their changes to one member, the first that answers,
    /// which makes many in one round: guards against hundreds whose rounds overtake each other.
    pub async fn submit(self: &Rc<Self>, act: &Command) -> Result<FleetState, SubmitError> {
        let until = Instant::now() + self.settings.order_timeout;
        if *act == Command::Read {
            if let Ok(Some(document)) = timeout_at(until.into(), self.read_state()).await {
                return Ok(document);
            }
        }
        let made = timeout_at(until.into(), async {
            let (well, others): (Vec<usize>, Vec<usize>) =
                (0..self.connections.len()).partition(|&m| self.reaches(m));
            for member in well.into_iter().chain(others) {
                let changed = match &self.command_connections[member] {
                    None => self.enqueue(act.clone()).await,
                    Some(way) => tokio::select! {
                        reply = way.call(self.next_call(Request::Submit(act.clone()))) => match reply.map(|r| r.response) {
                            Some(Response::Submitted(changed)) => changed,
                            _ => None,
                        },
                        // Its answers to beats tell sooner that it is stalled.
                        () = self.until_unreachable(member) => None,
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
            Ok(Some(Err(no))) => Err(SubmitError::Rejected(no)),
            Ok(None) | Err(_) => Err(SubmitError::NoMajority),
        }
    }

    /// Waits until a member is seen not to answer, and has been asked at least once more by then.
    async fn until_unreachable(&self, member: usize) {
        let beat = Duration::from_nanos(self.settings.heartbeat.interval);
        sleep(beat + self.settings.reply_timeout).await;
        while self.reaches(member) {
            sleep(beat).await;
        }
    }

    /// Whether a member of the council answered last.
    fn reaches(&self, member: usize) -> bool {
        self.connections[member].as_ref().is_none_or(CouncilConnection::answered_last)
    }

    /// A change for this member to make with its next round. `None`: nothing came of it, or it is no member.
    async fn enqueue(&self, act: Command) -> Option<CommandOutcome> {
        let (tell, told) = oneshot::channel();
        self.acceptor.borrow().as_ref()?;
        if self.queue.borrow().len() >= MAX_QUEUED {
            return None;
        }
        self.queue.borrow_mut().push((act, tell));
        self.queueing.notify_one();
        told.await.ok()
    }

    /// The changes of the next round.
    fn batch(&self) -> Vec<(Command, oneshot::Sender<CommandOutcome>)> {
        let mut queue = self.queue.borrow_mut();
        // Nobody waits for these any more.
        queue.retain(|(_, tell)| !tell.is_closed());
        // Operators' orders first: a halt does not wait for what it is to stop.
        queue.sort_by_key(|(act, _)| !act.is_operator_order());
        let most = queue.len().min(MAX_BATCH);
        queue.drain(..most).collect()
    }

    /// Makes what has been queued, all in one round, again and again.
    async fn run_proposer(self: Rc<Self>) {
        loop {
            self.queueing.notified().await;
            loop {
                let batch = self.batch();
                if batch.is_empty() {
                    break;
                }
                let (acts, tells): (Vec<Command>, Vec<_>) = batch.into_iter().unzip();
                if let Some(results) = self.propose_until_decided(&acts).await {
                    for (tell, result) in tells.into_iter().zip(results) {
                        let _ = tell.send(result);
                    }
                }
            }
        }
    }

    /// Rounds until one is not overtaken, or for as long as an order may take.
    async fn propose_until_decided(self: &Rc<Self>, acts: &[Command]) -> Option<Vec<CommandOutcome>> {
        let until = Instant::now() + self.settings.order_timeout;
        let mut again = RETRY_BACKOFF_MS.0;
        loop {
            let joins = acts.iter().filter_map(|act| match act {
                Command::JoinCouncil(joins) => Some(*joins),
                _ => None,
            });
            let round = Proposer::joining(self.ballot(), self.connections.len(), joins.collect());
            if let Some(results) = timeout_at(until.into(), self.run_round(round, acts)).await.ok()? {
                return Some(results);
            }
            let wait = self.rng.borrow_mut().u64(again / 2..=again);
            timeout_at(until.into(), sleep(Duration::from_millis(wait))).await.ok()?;
            again = (again * 2).min(RETRY_BACKOFF_MS.1);
        }
    }

    fn learn(&self, document: &FleetState) {
        let mut known = self.state.borrow_mut();
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
            self.control.set_replica_overrides(&out, &back);
        }
    }

    // ---- The council ----

    /// A member that has started takes part once the others have agreed on its life, or, where all are blank, begins
    /// anew with them.
    async fn join_council(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.heartbeat.interval);
        let member = self.settings.council.iter().position(|&p| p == self.settings.own_index).unwrap_or(0);
        while self.acceptor.borrow().as_ref().is_some_and(|k| !k.joined()) {
            // By whoever makes changes: a round of its own would be overtaken by them, again and again.
            let joins = CouncilMember { member: member as u8, incarnation: self.incarnation };
            let joins = self.submit(&Command::JoinCouncil(joins)).await;
            match joins {
                Ok(_) => drop(tokio::time::timeout(self.settings.order_timeout, self.read_state()).await),
                Err(_) => {
                    drop(tokio::time::timeout(self.settings.order_timeout, self.bootstrap_council()).await)
                }
            }
            if self.acceptor.borrow().as_ref().is_some_and(Acceptor::joined) {
                break;
            }
            let wait = self.rng.borrow_mut().u64(every.as_millis() as u64 / 2..=every.as_millis() as u64);
            sleep(Duration::from_millis(wait)).await;
        }
        tracing::info!(target: "fleet", "takes part in the council");
    }

    /// Has all members take a first document, if too few remember to agree on anything. Any blank one may: of two at once
    /// one fails, as what it asked is no longer the last that all have heard.
    async fn bootstrap_council(self: &Rc<Self>) {
        let mut members = vec![None; self.connections.len()];
        let mut documents: Vec<FleetState> = Vec::new();
        let ballot = self.ballot();
        let mut told = self.request_all(&AcceptorRequest::Prepare(ballot));
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
                    self.highest_ballot.set(self.highest_ballot.get().max(seen));
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
        let mut told = self.request_all(&AcceptorRequest::Bootstrap(Proposal { ballot, value }));
        let mut taken = 0;
        while let Some((_, _, answer)) = told.recv().await {
            taken += usize::from(matches!(answer, Some((AcceptorReply::Accepted { .. }, ..))));
        }
        if taken == self.connections.len() {
            tracing::warn!(target: "fleet", why = document.halted, "the council begins anew: halted until `resume`");
            self.learn(&document);
        }
    }

    // ---- Its own part ----

    async fn send_heartbeats(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_nanos(self.settings.heartbeat.interval));
        // After a stop one beat, not all that were missed.
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            self.failure_detector.borrow_mut().note_clock(self.now());
            let says = match self.acceptor.borrow().as_ref().is_none_or(Acceptor::joined) {
                true => self.control.advertised_status(),
                // A member that has forgotten counts as out until it takes part: else the next one could forget as well.
                false => AdvertisedStatus::Starting,
            };
            for member in 0..self.connections.len() {
                let fleet = self.clone();
                tokio::task::spawn_local(async move {
                    let version = match &fleet.connections[member] {
                        None => {
                            let now = fleet.now();
                            let _ = fleet.failure_detector.borrow_mut().record_heartbeat(
                                now,
                                fleet.settings.own_index,
                                fleet.incarnation,
                                says,
                            );
                            fleet.record_report(
                                fleet.settings.own_index,
                                fleet.incarnation,
                                fleet.heartbeat_report(),
                            );
                            fleet.accepted_version()
                        }
                        Some(link) => match link
                            .call(fleet.next_call(Request::Heartbeat(says)))
                            .await
                            .map(|r| r.response)
                        {
                            Some(Response::HeartbeatReceived(version)) => version,
                            _ => None,
                        },
                    };
                    fleet.latest_version_seen.set(fleet.latest_version_seen.get().max(version.unwrap_or(0)));
                    if version > fleet.known_version() {
                        fleet.news.notify_one();
                    }
                });
            }
        }
    }

    /// AppliedState the document and does its own part, again and again.
    async fn follow_state(self: Rc<Self>) {
        let every = Duration::from_nanos(self.settings.heartbeat.interval);
        loop {
            // News, or time: a leave may have run out, a refused one may be asked for again.
            let _ = tokio::time::timeout(every, self.news.notified()).await;
            let newer = Some(self.latest_version_seen.get()) > self.known_version()
                || self.accepted_version() > self.known_version();
            if newer && self.submit(&Command::Read).await.is_err() {
                continue;
            }
            self.take_steps().await;
        }
    }

    /// The version of the newest document that is known here to be agreed on.
    fn known_version(&self) -> Option<u64> {
        self.state.borrow().as_ref().map(|d| d.version)
    }

    /// Its own part, as far as it goes now.
    async fn take_steps(self: &Rc<Self>) {
        loop {
            let Some(document) = self.state.borrow().clone() else { return };
            let what = document.release.as_ref().map(|r| r.artifact.clone());
            let runs = what.as_ref().and_then(|what| self.runs.get(what)).map(String::as_str);
            let next =
                self.lease_holder.borrow().next_step(self.now(), &document, self.local_phase.get(), runs);
            match next {
                NextStep::Wait => return,
                NextStep::BeginDrain => {
                    // The clock was looked at above, and nothing was waited for since.
                    if !self.control.begin_drain() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "goes out by its leave");
                    self.local_phase.set(LocalPhase::OutOfService);
                }
                NextStep::ResumeService => {
                    if !self.control.resume_service() {
                        return;
                    }
                    tracing::info!(target: "fleet", version = document.version, "serves again");
                    self.local_phase.set(LocalPhase::Serving);
                }
                NextStep::InstallAndRestart(digest) => {
                    if self.ending.get() || !self.control.is_drained() {
                        return;
                    }
                    match self.install(what.unwrap_or_default(), digest).await {
                        Ok(()) => {
                            self.ending.set(true);
                            tracing::info!(target: "fleet", "ends, to start with what is released");
                            self.control.shut_down();
                            return;
                        }
                        Err(why) => {
                            if !self.report_unfit(why).await {
                                return;
                            }
                        }
                    }
                }
                NextStep::Submit(act) => {
                    if let (Command::AcquireReleaseLease(..), Some(what)) = (&act, &what) {
                        let to = document
                            .drains
                            .get(&self.settings.own_index)
                            .and_then(|e| e.target_digest.clone());
                        if let Err(why) = self.check_artifact(what.clone(), to.unwrap_or_default()).await {
                            match self.report_unfit(why).await {
                                true => continue,
                                false => return,
                            }
                        }
                    }
                    let at = self.now();
                    let done = self.submit(&act).await;
                    let keeps = matches!(act, Command::ReportServing(..) | Command::ReportUpToDate(_))
                        && done.is_ok();
                    if let (true, Some(what)) = (keeps, &what) {
                        self.confirm(what.clone()).await;
                    }
                    if let Err(SubmitError::Rejected(no)) = &done {
                        tracing::debug!(target: "fleet", ?act, %no, "not now");
                    }
                    let outcome = match done {
                        Ok(_) => SubmitOutcome::Applied,
                        Err(_) => SubmitOutcome::NotApplied,
                    };
                    self.lease_holder.borrow_mut().record_outcome(at, self.now(), &act, outcome);
                    if done.is_err() {
                        return;
                    }
                }
            }
        }
    }

    // ---- Files, off the thread that serves ----

    /// Stores what is agreed on, again and again. A disk that hangs or fails is told of once, and holds nothing up.
    async fn persist_state(self: Rc<Self>, path: std::path::PathBuf) {
        let (mut last, mut told) = (None, false);
        loop {
            sleep(STORE_INTERVAL).await;
            let Some(document) = self.state.borrow().clone().filter(|d| Some(d.version) != last) else {
                continue;
            };
            let (path, name, version) = (path.clone(), self.settings.name.clone(), document.version);
            match off_thread(move || stored_state::write(&path, &name, &document)).await {
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
    async fn reload_keys(self: Rc<Self>) {
        let mut told = String::new();
        loop {
            sleep(KEY_RELOAD_INTERVAL).await;
            let path = self.settings.key_file.clone();
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
        does: impl FnOnce(release_files::ReleaseFile) -> io::Result<T> + Send + 'static,
    ) -> Result<T, String> {
        let of = self.settings.release_files.iter().find(|r| r.artifact == what);
        let of = of.cloned().ok_or_else(|| format!("its settings have no place for `{what}`"))?;
        off_thread(move || does(of)).await
    }

    /// Whether it has what is released, and could start with it.
    async fn check_artifact(&self, what: String, digest: String) -> Result<(), String> {
        if self.fit.borrow().as_ref() == Some(&digest) {
            return Ok(());
        }
        let wanted = digest.clone();
        let bytes = self.on_disk(&what, move |of| of.stored_bytes(&wanted)).await?;
        self.control.validate_artifact(&what, &bytes)?;
        self.fit.replace(Some(digest));
        Ok(())
    }

    async fn install(&self, what: String, digest: String) -> Result<(), String> {
        self.on_disk(&what, move |of| of.install(&digest)).await
    }

    async fn confirm(&self, what: String) {
        if let Err(why) = self.on_disk(&what, |of| of.confirm()).await {
            tracing::warn!(target: "fleet", why, "serves with what was released, but its trial can't be ended");
        }
    }

    /// Has it agreed on that this router can't run what is released.
    async fn report_unfit(self: &Rc<Self>, why: String) -> bool {
        tracing::warn!(target: "fleet", why, "can't run what is released");
        let report = UnfitReport { router: self.settings.own_index, cause: why };
        self.submit(&Command::ReportUnfit(report)).await.is_ok()
    }

    /// Routers that the view from here takes to be out: only a member of the council has one.
    fn locally_out_of_service(&self) -> BTreeSet<RouterIndex> {
        self.failure_detector.borrow_mut().out_of_service(self.now()).into_iter().collect()
    }
}

/// Request is found stored at the start; what can't be used is told, and is none.
async fn stored_there(path: std::path::PathBuf, name: String) -> Option<FleetState> {
    let read = off_thread(move || stored_state::read(&path, &name)).await;
    read.unwrap_or_else(|why| {
        tracing::warn!(target: "fleet", why, "what is stored of the fleet can't be used");
        None
    })
}

/// Does something with files off the thread that serves; a disk that hangs is given up.
async fn off_thread<T: Send + 'static, E: ToString + Send + 'static>(
    does: impl FnOnce() -> Result<T, E> + Send + 'static,
) -> Result<T, String> {
    match tokio::time::timeout(DISK_TIMEOUT, tokio::task::spawn_blocking(does)).await {
        Ok(Ok(done)) => done.map_err(|e| e.to_string()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("the disk does not answer".into()),
    }
}

/// Request became of a change: the document with it, or why it was not made.
type CommandOutcome = Result<FleetState, Rejection>;

/// A member's answer to the register, who is out by its view, and who keeps nodes from being clear.
type Heard = Option<(AcceptorReply<FleetState>, Option<Vec<RouterIndex>>, Vec<NotClearReplica>)>;

/// The time, as routers tell it each other.
fn now_ms() -> UnixMs {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
