//! Simulates seeded deployments event by event with real balancers: routers, model servers, clients, endpoint lists and
//! faults. Integers and its own random number generator make a run the same on every machine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use tallypin::api::*;
use tallypin::Balancer;

use super::common::MS;
use super::trace_text::Trace;

/// Time at the start of a run. It is large, so that no subtraction reaches zero.
const START: Nanos = 1_000 * SECOND;
/// Number of events between two snapshots of the balancer's replicas.
const EVENTS_PER_SNAPSHOT: u64 = 250;

/// A SplitMix64 random number generator.
pub struct RandomSource(u64);

impl RandomSource {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    /// True with a probability in thousandths.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

/// A deployment and its faults.
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    /// Settings of every router, except for its own index.
    pub settings: Settings,
    /// Indices of the simulated routers. If the settings name more, copies of gossip messages stand for theirs.
    pub routers: Vec<u32>,
    pub replicas: u64,
    pub zones: u32,
    pub kinds: u32,
    /// Requests per 10 s over all routers, outside of load peaks.
    pub per_10_s: u64,
    /// Time to the first token in an idle server, without the prefill.
    pub first_token: Nanos,
    /// Attempts per thousand that fail, outside of the phases with many faults.
    pub faults_per_mille: u64,
    /// Attempts per thousand whose server stops for 4 s.
    pub freezes_per_mille: u64,
    /// Mean time between two changes of the endpoint list or faults of servers, in milliseconds.
    pub disruption_ms: u64,
    /// Number of events after which the run ends.
    pub events: u64,
}

#[derive(Clone)]
struct Server {
    entry: EndpointEntry,
    is_alive: bool,
    frozen_until: Nanos,
    started_at: Nanos,
    open_attempts: u64,
}

struct Attempt {
    server: usize,
    sent_at: Nanos,
    has_first_token: bool,
    has_ended: bool,
}

struct Client {
    request: Request,
    attempts: Vec<Attempt>,
    is_over: bool,
}

/// A simulated router with the clients of its requests.
struct Router {
    own_index: u32,
    balancer: Balancer,
    clients: BTreeMap<u64, Client>,
}

/// A scheduled event. The first field is the router's position in `Simulation::routers`.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival,
    Disruption,
    /// Token of the timer.
    Timer(usize, u64),
    /// Request and attempt.
    FirstTokenDue(usize, u64, u32),
    /// Request, attempt and position of its outcome in [`OUTCOMES`].
    AttemptEnd(usize, u64, u32, u8),
    /// Request whose client leaves.
    Deadline(usize, u64),
    /// Index of the sender, and the message.
    Message(usize, u32, Vec<u8>),
    /// Kind of the update, as in [`Simulation::deliver_list`].
    ListDue(usize, u8),
}

/// Outcomes of attempts. The constants below are positions in this array.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Completed,
    Outcome::ReplicaError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectionRefused,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const COMPLETED: u8 = 0;
const ERROR: u8 = 1;
const REJECTED: u8 = 2;
const TIMED_OUT: u8 = 3;
const REFUSED: u8 = 4;
const RESET: u8 = 5;
const CANCELLED: u8 = 6;
const NOT_SENT: u8 = 7;

/// A running deployment.
pub struct Simulation {
    scenario: Scenario,
    rng: RandomSource,
    now: Nanos,
    schedule: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    scheduled_count: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    requests: u64,
    events: u64,
    trace: Trace,
}

impl Simulation {
    /// Runs a deployment to its end and returns the text of its trace.
    pub fn run(scenario: Scenario) -> String {
        let mut rng = RandomSource(scenario.seed);
        let routers = scenario.routers.iter().map(|&own_index| {
            let settings = Settings { own_index: PeerId(own_index), ..scenario.settings.clone() };
            let balancer =
                Balancer::new(settings, scenario.seed + u64::from(own_index)).expect("usable settings");
            Router { own_index, balancer, clients: BTreeMap::new() }
        });
        let routers = routers.collect();
        let servers =
            (0..scenario.replicas).map(|n| server(&mut rng, n, scenario.zones, scenario.kinds)).collect();
        let schedule = BinaryHeap::new();
        let trace = Trace::new(scenario.name);
        let mut simulation = Simulation {
            scenario,
            rng,
            now: START,
            schedule,
            scheduled_count: 0,
            routers,
            servers,
            requests: 0,
            events: 0,
            trace,
        };
        for router in 0..simulation.routers.len() {
            simulation.schedule_after(
                router as u64 * 40 * MS,
                ScheduledEvent::ListDue(router, if router % 2 == 0 { 1 } else { 2 }),
            );
        }
        simulation.schedule_after(100 * MS, ScheduledEvent::Arrival);
        simulation.schedule_after(3 * SECOND, ScheduledEvent::Disruption);
        while simulation.events < simulation.scenario.events {
            let Reverse((at, _, event)) =
                simulation.schedule.pop().expect("each arrival schedules the next one");
            simulation.now = simulation.now.max(at);
            simulation.process(event);
        }
        simulation.trace.text()
    }

    fn schedule_after(&mut self, after: Nanos, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.schedule.push(Reverse((self.now + after, self.scheduled_count, event)));
    }

    /// Phase of the load. Of each 40 s, 15 are normal (0), 5 have three times the requests (1), 10 are normal, in 5 the
    /// servers are three times slower (2), and in 5 many attempts fail (3).
    fn phase(&self) -> u64 {
        match (self.now - START) / SECOND % 40 {
            15..=19 => 1,
            30..=34 => 2,
            35..=39 => 3,
            _ => 0,
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.arrival(),
            ScheduledEvent::Disruption => self.disrupt(),
            ScheduledEvent::Timer(router, token) => self.deliver(router, Event::Timer(token)),
            ScheduledEvent::FirstTokenDue(router, id, attempt) => {
                self.handle_first_token(router, id, attempt)
            }
            ScheduledEvent::AttemptEnd(router, id, attempt, outcome) => {
                self.end_attempt(router, id, attempt, outcome)
            }
            ScheduledEvent::Deadline(router, id) => self.deadline(router, id),
            ScheduledEvent::Message(router, from, bytes) => {
                self.deliver(router, Event::PeerMessage { from: PeerId(from), bytes })
            }
            ScheduledEvent::ListDue(router, kind) => self.deliver_list(router, kind),
        }
    }

    fn deliver(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].balancer.handle(self.now, event, &mut out);
        self.events += 1;
        for action in out {
            self.trace.action(self.now - START, self.routers[router].own_index, &action);
            self.apply(router, action);
        }
        self.trace.event(self.events);
        if self.events % EVENTS_PER_SNAPSHOT == 0 {
            let snapshots = self.routers[router].balancer.replica_snapshots(self.now);
            self.trace.snapshots(&snapshots);
        }
    }

    fn apply(&mut self, router: usize, action: Action) {
        match action {
            Action::Send { request, replica, timeout } => {
                self.start_attempt(router, request.0, replica, timeout)
            }
            Action::Reject { request, .. } | Action::Fail(request) => self.mark_over(router, request.0),
            Action::Cancel { request, attempt } => {
                self.schedule_after(MS, ScheduledEvent::AttemptEnd(router, request.0, attempt, CANCELLED))
            }
            Action::Probe(_) => {}
            Action::WatchEndpoints => {
                let kind = if self.rng.chance(300) { 3 } else { 1 };
                self.schedule_after(20 * MS, ScheduledEvent::ListDue(router, kind));
            }
            Action::Gossip(bytes) => self.deliver_gossip(router, &bytes),
            Action::SendToPeer { peer, bytes } => self.deliver_to_peer(router, peer.0, &bytes),
            Action::WakeAt { at, token } => {
                self.schedule_after(at.saturating_sub(self.now), ScheduledEvent::Timer(router, token))
            }
        }
    }

    fn mark_over(&mut self, router: usize, id: u64) {
        self.routers[router].clients.get_mut(&id).expect("the request was submitted").is_over = true;
    }

    /// Delivers a gossip message to the other routers. Some copies are lost or corrupted. If not all routers are simulated,
    /// each simulated one gets a copy from a random sender, too.
    fn deliver_gossip(&mut self, router: usize, bytes: &[u8]) {
        let router_count = u64::from(self.scenario.settings.router_count);
        for to in 0..self.routers.len() {
            let own_index = self.routers[router].own_index;
            if to != router && !self.rng.chance(30) {
                let mut bytes = bytes.to_vec();
                if self.rng.chance(20) {
                    let position = self.rng.below(bytes.len() as u64) as usize;
                    bytes[position] ^= 0x81;
                }
                let after = (1 + self.rng.below(20)) * MS;
                self.schedule_after(after, ScheduledEvent::Message(to, own_index, bytes));
            }
            if router_count > self.routers.len() as u64 {
                let from = self.rng.below(router_count + 1) as u32;
                let after = (1 + self.rng.below(900)) * MS;
                self.schedule_after(after, ScheduledEvent::Message(to, from, bytes.to_vec()));
            }
        }
    }

    /// Delivers a message to one other router if that router is simulated; some messages are lost.
    fn deliver_to_peer(&mut self, router: usize, peer: u32, bytes: &[u8]) {
        let own_index = self.routers[router].own_index;
        let to = self.routers.iter().position(|router| router.own_index == peer);
        if let Some(to) = to.filter(|_| !self.rng.chance(30)) {
            let after = (1 + self.rng.below(20)) * MS;
            self.schedule_after(after, ScheduledEvent::Message(to, own_index, bytes.to_vec()));
        }
    }

    fn arrival(&mut self) {
        let rate = self.scenario.per_10_s * if self.phase() == 1 { 3 } else { 1 };
        let gap = 2 * self.rng.below(10 * SECOND / rate);
        self.schedule_after(gap, ScheduledEvent::Arrival);
        let router = self.rng.below(self.routers.len() as u64) as usize;
        let request = self.request();
        self.submit(router, request);
    }

    fn request(&mut self) -> Request {
        self.requests += 1;
        let rng = &mut self.rng;
        let prompt = if rng.chance(200) { 4000 + rng.below(12_000) } else { 50 + rng.below(2000) } as u32;
        // Nine in ten prompts start with one of ten prefixes.
        let prefix =
            (!rng.chance(100)).then(|| PrefixKey(if rng.chance(400) { 0 } else { 1 + rng.below(9) }));
        Request {
            id: RequestId(self.requests),
            // Some requests name a class or a tenant that is not in the settings.
            class: ClassId(
                rng.below(self.scenario.settings.classes.len() as u64) as u32 + 9 * u32::from(rng.chance(5)),
            ),
            tenant: TenantId(if rng.chance(500) { 0 } else { rng.below(4) as u32 }),
            time_left: (1500 + rng.below(6000)) * MS,
            prompt_tokens: prompt,
            prefix_tokens: if prefix.is_some() { rng.below(u64::from(prompt) * 11 / 10) as u32 } else { 0 },
            session: rng.chance(700).then(|| SessionKey(1 + rng.below(80))),
            prefix,
            resumes_stream: rng.chance(15),
            is_client_retry: rng.chance(30),
        }
    }

    fn submit(&mut self, router: usize, request: Request) {
        let (id, time_left) = (request.id.0, request.time_left);
        self.routers[router]
            .clients
            .insert(id, Client { request: request.clone(), attempts: vec![], is_over: false });
        let leaves_after = if self.rng.chance(30) { time_left / 5 } else { time_left };
        self.schedule_after(leaves_after, ScheduledEvent::Deadline(router, id));
        self.deliver(router, Event::Request(request));
    }

    /// The client leaves unless its stream has started, and its open attempts are cancelled.
    fn deadline(&mut self, router: usize, id: u64) {
        let client = self.routers[router].clients.get_mut(&id).expect("the request was submitted");
        if client.is_over || client.attempts.iter().any(|a| a.has_first_token) {
            return;
        }
        client.is_over = true;
        let open_attempts: Vec<u32> =
            (0..client.attempts.len() as u32).filter(|&a| !client.attempts[a as usize].has_ended).collect();
        self.deliver(router, Event::ClientLeft(RequestId(id)));
        for attempt in open_attempts {
            self.schedule_after(2 * MS, ScheduledEvent::AttemptEnd(router, id, attempt, CANCELLED));
        }
    }

    fn start_attempt(&mut self, router: usize, id: u64, replica: ReplicaId, timeout: Nanos) {
        let server = self
            .servers
            .iter()
            .position(|target| target.entry.replica == replica)
            .expect("the replica is in the endpoint list");
        let (now, phase, fault_factor) = (self.now, self.phase(), if self.phase() == 3 { 15 } else { 1 });
        let client = self.routers[router].clients.get_mut(&id).expect("the request was submitted");
        let attempt = client.attempts.len() as u32;
        client.attempts.push(Attempt { server, sent_at: now, has_first_token: false, has_ended: false });
        let prompt = u64::from(client.request.prompt_tokens);
        let freezes = self.rng.chance(self.scenario.freezes_per_mille);
        let target = &mut self.servers[server];
        target.open_attempts += 1;
        if freezes {
            target.frozen_until = now + 4 * SECOND;
        }
        // A server is slower by its kind, in the first 8 s after its start, with each open attempt and in phase 2.
        let start_factor = if now - target.started_at.min(now) < 8 * SECOND { 3 } else { 1 };
        let slowness = (2 + u64::from(target.entry.kind)) * start_factor * if phase == 2 { 3 } else { 1 };
        let frozen = target.frozen_until.saturating_sub(now);
        let (is_alive, open_attempts) = (target.is_alive, target.open_attempts);
        let first_token_after =
            frozen + (self.scenario.first_token + prompt * 10_000) * slowness / 2 * (3 + open_attempts) / 4;
        let first_token_after = first_token_after + self.rng.below(first_token_after / 2 + 1);
        let stream_duration = (100 + self.rng.below(1500)) * MS * slowness / 2;
        let planned_end = if !is_alive {
            (MS, REFUSED)
        } else if self.rng.chance(self.scenario.faults_per_mille * fault_factor) {
            match self.rng.below(7) {
                0 | 1 => (5 * MS, ERROR),
                2 => (2 * MS, REJECTED),
                3 => (MS, REFUSED),
                4 => (MS, NOT_SENT),
                5 => (first_token_after + stream_duration / 2, RESET),
                _ => (first_token_after / 2, RESET),
            }
        } else {
            (first_token_after + stream_duration, COMPLETED)
        };
        let (end_after, outcome) =
            if first_token_after.min(planned_end.0) > timeout { (timeout, TIMED_OUT) } else { planned_end };
        if first_token_after < end_after {
            self.schedule_after(first_token_after, ScheduledEvent::FirstTokenDue(router, id, attempt));
        }
        self.schedule_after(end_after, ScheduledEvent::AttemptEnd(router, id, attempt, outcome));
    }

    fn handle_first_token(&mut self, router: usize, id: u64, attempt: u32) {
        let client = self.routers[router].clients.get_mut(&id).expect("the request was submitted");
        let first_attempt = &mut client.attempts[attempt as usize];
        if first_attempt.has_ended || client.is_over {
            return;
        }
        first_attempt.has_first_token = true;
        let elapsed = self.now - first_attempt.sent_at;
        let other_attempts: Vec<u32> = (0..client.attempts.len() as u32)
            .filter(|&other| other != attempt && !client.attempts[other as usize].has_ended)
            .collect();
        self.deliver(router, Event::FirstToken { request: RequestId(id), attempt, elapsed });
        // Cancels the other attempts of the request.
        for other in other_attempts {
            self.end_attempt(router, id, other, CANCELLED);
        }
    }

    fn end_attempt(&mut self, router: usize, id: u64, attempt: u32, outcome: u8) {
        let now = self.now;
        let client = self.routers[router].clients.get_mut(&id).expect("the request was submitted");
        let ended_attempt = &mut client.attempts[attempt as usize];
        if std::mem::replace(&mut ended_attempt.has_ended, true) {
            return;
        }
        let (server, since_send, has_first_token) =
            (ended_attempt.server, now - ended_attempt.sent_at, ended_attempt.has_first_token);
        let stream_broke = has_first_token && outcome != COMPLETED && !client.is_over;
        client.is_over |= outcome == COMPLETED || has_first_token;
        let (is_over, request) = (client.is_over, client.request.clone());
        self.servers[server].open_attempts -= 1;
        let cached_tokens = match self.rng.below(4) {
            _ if outcome != COMPLETED => None,
            0 => None,
            1 => Some(self.rng.below(200) as u32),
            _ => Some(request.prefix_tokens.min(request.prompt_tokens)),
        };
        let load = self.random_load_report();
        let outcome = OUTCOMES[outcome as usize];
        let request_id = RequestId(id);
        let ended = AttemptEnded {
            request: request_id,
            attempt,
            outcome,
            elapsed: since_send,
            request_over: is_over,
            cached_tokens,
            load,
        };
        self.deliver(router, Event::AttemptEnded(ended));
        // Some clients resume a broken stream, at any router.
        if stream_broke && self.rng.chance(600) {
            self.requests += 1;
            let router = self.rng.below(self.routers.len() as u64) as usize;
            self.submit(router, Request { id: RequestId(self.requests), resumes_stream: true, ..request });
        }
    }

    fn random_load_report(&mut self) -> Vec<f64> {
        let fields = self.scenario.settings.report_fields.len();
        if self.rng.chance(100) {
            return vec![];
        }
        let mut load: Vec<f64> = (0..fields).map(|_| self.rng.below(4000) as f64 / 512.0).collect();
        if self.rng.chance(20) && fields > 0 {
            load[fields - 1] = if self.rng.chance(500) { f64::NAN } else { -1.0 };
        }
        load
    }

    /// Delivers the current endpoint list: 1 in full, 2 as cached before a restart; 3 reports a failed poll.
    fn deliver_list(&mut self, router: usize, kind: u8) {
        let mut entries: Vec<EndpointEntry> = self.servers.iter().map(|s| s.entry.clone()).collect();
        entries.retain(|r| r.state != EndpointState::Gone);
        match kind {
            1 => self.deliver(router, Event::EndpointList { kind: ListUpdate::Full, entries }),
            2 => self.deliver(router, Event::EndpointList { kind: ListUpdate::Cached, entries }),
            _ => self.deliver(router, Event::EndpointList { kind: ListUpdate::Failed, entries: vec![] }),
        }
    }

    /// Causes a random change or fault, and delivers list changes to all routers.
    fn disrupt(&mut self) {
        let next = self.scenario.disruption_ms / 2 + self.rng.below(self.scenario.disruption_ms);
        self.schedule_after(next * MS, ScheduledEvent::Disruption);
        let server_index = self.rng.below(self.servers.len() as u64) as usize;
        let (now, replica) = (self.now, self.servers[server_index].entry.replica);
        let server = &mut self.servers[server_index];
        match self.rng.below(16) {
            0 | 1 => server.entry.state = EndpointState::Draining,
            2 => server.entry.state = EndpointState::Gone,
            3..=5 => {
                (server.entry.state, server.entry.started_at) = (EndpointState::Ready, now - 200 * MS);
                (server.is_alive, server.started_at) = (true, now);
            }
            6 => {
                // The replica restarted, but its clock was set back, so that it reports an earlier start.
                (server.entry.state, server.entry.started_at) = (EndpointState::Ready, now - 50 * SECOND);
                (server.is_alive, server.started_at) = (true, now);
            }
            7 => return server.is_alive = false,
            8 => return server.frozen_until = now + 4 * SECOND,
            9 => return self.deliver_unexpected_events(replica),
            10 => return (0..self.routers.len()).for_each(|router| self.deliver_list(router, 3)),
            11 => return (0..self.routers.len()).for_each(|router| self.deliver_list(router, 1)),
            12 => {
                let n = self.servers.len() as u64;
                let mut new_server = self::server(&mut self.rng, n, self.scenario.zones, self.scenario.kinds);
                (new_server.entry.started_at, new_server.started_at) = (now, now);
                self.servers.push(new_server);
                return self.announce(n as usize);
            }
            _ => {
                server.entry.state = EndpointState::Ready;
                server.is_alive = true;
            }
        }
        self.announce(server_index);
    }

    fn announce(&mut self, server_index: usize) {
        for router in 0..self.routers.len() {
            let entries = vec![self.servers[server_index].entry.clone()];
            self.deliver(router, Event::EndpointList { kind: ListUpdate::Delta, entries });
        }
    }

    /// Delivers unexpected events: probes that nobody sent, unknown requests and timers, a malformed message.
    fn deliver_unexpected_events(&mut self, replica: ReplicaId) {
        let load = self.random_load_report();
        for outcome in [Outcome::Completed, Outcome::ConnectionRefused] {
            self.deliver(0, Event::ProbeEnded { replica, outcome, load: load.clone() });
        }
        let unknown = RequestId(1 << 40);
        self.deliver(0, Event::Timer(99));
        self.deliver(0, Event::ClientLeft(unknown));
        self.deliver(0, Event::FirstToken { request: unknown, attempt: 0, elapsed: MS });
        let (outcome, load) = (Outcome::Completed, vec![]);
        let ended = AttemptEnded {
            request: unknown,
            attempt: 7,
            outcome,
            elapsed: MS,
            request_over: false,
            cached_tokens: None,
            load,
        };
        self.deliver(0, Event::AttemptEnded(ended));
        self.deliver(0, Event::PeerMessage { from: PeerId(1), bytes: vec![1, 2, 3, 255] });
    }
}

/// Replica `n` with a random start, zone and kind.
fn server(rng: &mut RandomSource, n: u64, zones: u32, kinds: u32) -> Server {
    let entry = EndpointEntry {
        replica: ReplicaId(n * 31 + 7),
        state: EndpointState::Ready,
        // A quarter started 2 s ago, a quarter 5 min ago; for the rest no start is reported.
        started_at: [0, 0, START - 2 * SECOND, START - 300 * SECOND][rng.below(4) as usize],
        zone: ZoneId(rng.below(u64::from(zones)) as u32),
        cell: (n / 4) as u32,
        kind: rng.below(u64::from(kinds)) as u32,
    };
    let started_at = entry.started_at;
    Server { entry, is_alive: true, frozen_until: 0, started_at, open_attempts: 0 }
}
