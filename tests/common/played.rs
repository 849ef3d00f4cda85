//! Seeded deployments played event by event against the decision module: routers, model servers, clients, lists and
//! faults. Whole numbers only, and a generator of its own, so that a play is the same on every machine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use tallypin::api::*;
use tallypin::Balancer;

use super::common::MS;
use super::trace_text::Trace;

/// When plays begin: no time is near zero.
const BEGIN: Nanos = 1_000 * SECOND;
/// Events between two looks at what the module holds of its replicas.
const LOOK_EVERY: u64 = 250;

/// SplitMix64.
pub struct Draw(u64);

impl Draw {
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

    /// True for so many of a thousand.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

/// What is played.
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    /// The settings of every router, but for its own number.
    pub settings: Settings,
    /// The numbers of the routers that are played; others send what the played ones sent.
    pub played: Vec<u32>,
    pub replicas: u64,
    pub zones: u32,
    pub kinds: u32,
    /// Requests in ten seconds, over all routers, in calm times.
    pub per_10_s: u64,
    /// A first token in an idle server, without the reading of the prompt.
    pub first: Nanos,
    /// Attempts of a thousand that end badly, in calm times.
    pub faults: u64,
    /// Attempts of a thousand whose server stands still for some seconds.
    pub freezes: u64,
    /// Milliseconds between two changes of the list or faults of servers.
    pub trouble_ms: u64,
    pub events: u64,
}

#[derive(Clone)]
struct Server {
    row: EndpointEntry,
    alive: bool,
    frozen_until: Nanos,
    began: Nanos,
    open: u64,
}

struct Attempt {
    server: usize,
    at: Nanos,
    started: bool,
    ended: bool,
}

struct Client {
    request: Request,
    attempts: Vec<Attempt>,
    over: bool,
}

struct Router {
    me: u32,
    module: Balancer,
    clients: BTreeMap<u64, Client>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Trouble,
    Timer(usize, u64),
    First(usize, u64, u32),
    End(usize, u64, u32, u8),
    Deadline(usize, u64),
    Message(usize, u32, Vec<u8>),
    List(usize, u8),
}

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
const DONE: u8 = 0;
const ERROR: u8 = 1;
const BUSY: u8 = 2;
const TIMED_OUT: u8 = 3;
const REFUSED: u8 = 4;
const RESET: u8 = 5;
const CANCELLED: u8 = 6;
const SKIPPED: u8 = 7;

pub struct Scene {
    d: Scenario,
    draw: Draw,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    dues: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    requests: u64,
    events: u64,
    trace: Trace,
}

impl Scene {
    /// Plays a deployment to its end; the text of what was done.
    pub fn whole(d: Scenario) -> String {
        let mut draw = Draw(d.seed);
        let routers = d.played.iter().map(|&me| {
            let settings = Settings { own_index: PeerId(me), ..d.settings.clone() };
            let module = Balancer::new(settings, d.seed + u64::from(me)).expect("usable settings");
            Router { me, module, clients: BTreeMap::new() }
        });
        let routers = routers.collect();
        let servers = (0..d.replicas).map(|n| server(&mut draw, n, d.zones, d.kinds)).collect();
        let due = BinaryHeap::new();
        let trace = Trace::new(d.name);
        let mut play =
            Scene { d, draw, now: BEGIN, due, dues: 0, routers, servers, requests: 0, events: 0, trace };
        for g in 0..play.routers.len() {
            play.later(g as u64 * 40 * MS, Due::List(g, if g % 2 == 0 { 1 } else { 2 }));
        }
        play.later(100 * MS, Due::Arrival);
        play.later(3 * SECOND, Due::Trouble);
        while play.events < play.d.events {
            let Reverse((at, _, due)) = play.due.pop().expect("arrivals never end");
            play.now = play.now.max(at);
            play.take(due);
        }
        play.trace.text()
    }

    fn later(&mut self, after: Nanos, due: Due) {
        self.dues += 1;
        self.due.push(Reverse((self.now + after, self.dues, due)));
    }

    /// Of each 40 s: 15 calm, 5 with three times the requests, 10 calm, 5 with servers at a third, 5 with many faults.
    fn phase(&self) -> u64 {
        match (self.now - BEGIN) / SECOND % 40 {
            15..=19 => 1,
            30..=34 => 2,
            35..=39 => 3,
            _ => 0,
        }
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrival(),
            Due::Trouble => self.trouble(),
            Due::Timer(g, token) => self.hand(g, Event::Timer(token)),
            Due::First(g, id, attempt) => self.first(g, id, attempt),
            Due::End(g, id, attempt, outcome) => self.end(g, id, attempt, outcome),
            Due::Deadline(g, id) => self.deadline(g, id),
            Due::Message(g, from, bytes) => self.hand(g, Event::PeerMessage { from: PeerId(from), bytes }),
            Due::List(g, kind) => self.list(g, kind),
        }
    }

    fn hand(&mut self, g: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[g].module.handle(self.now, event, &mut out);
        self.events += 1;
        for action in out {
            self.trace.action(self.now - BEGIN, self.routers[g].me, &action);
            self.act(g, action);
        }
        self.trace.event(self.events);
        if self.events % LOOK_EVERY == 0 {
            let seen = self.routers[g].module.replica_snapshots(self.now);
            self.trace.view(&seen);
        }
    }

    fn act(&mut self, g: usize, action: Action) {
        match action {
            Action::Send { request, replica, timeout: limit } => self.sent(g, request.0, replica, limit),
            Action::Reject { request, .. } | Action::Fail(request) => self.over(g, request.0),
            Action::Cancel { request, attempt } => self.later(MS, Due::End(g, request.0, attempt, CANCELLED)),
            Action::Probe(_) => {}
            Action::WatchEndpoints => {
                let kind = if self.draw.chance(300) { 3 } else { 1 };
                self.later(20 * MS, Due::List(g, kind));
            }
            Action::Gossip(bytes) => self.told(g, &bytes),
            Action::SendToPeer { peer, bytes } => self.told_one(g, peer.0, &bytes),
            Action::WakeAt { at, token } => self.later(at.saturating_sub(self.now), Due::Timer(g, token)),
        }
    }

    fn over(&mut self, g: usize, id: u64) {
        self.routers[g].clients.get_mut(&id).expect("asked").over = true;
    }

    /// A message reaches the other routers, a few of them torn or lost; where many aren't played, it comes from those too.
    fn told(&mut self, g: usize, bytes: &[u8]) {
        let all = u64::from(self.d.settings.router_count);
        for to in 0..self.routers.len() {
            let me = self.routers[g].me;
            if to != g && !self.draw.chance(30) {
                let mut bytes = bytes.to_vec();
                if self.draw.chance(20) {
                    let at = self.draw.below(bytes.len() as u64) as usize;
                    bytes[at] ^= 0x81;
                }
                let after = (1 + self.draw.below(20)) * MS;
                self.later(after, Due::Message(to, me, bytes));
            }
            if all > self.routers.len() as u64 {
                let from = self.draw.below(all + 1) as u32;
                let after = (1 + self.draw.below(900)) * MS;
                self.later(after, Due::Message(to, from, bytes.to_vec()));
            }
        }
    }

    /// A message reaches one other router, if that is one of those that are played.
    fn told_one(&mut self, g: usize, peer: u32, bytes: &[u8]) {
        let me = self.routers[g].me;
        let to = self.routers.iter().position(|router| router.me == peer);
        if let Some(to) = to.filter(|_| !self.draw.chance(30)) {
            let after = (1 + self.draw.below(20)) * MS;
            self.later(after, Due::Message(to, me, bytes.to_vec()));
        }
    }

    fn arrival(&mut self) {
        let rate = self.d.per_10_s * if self.phase() == 1 { 3 } else { 1 };
        let gap = 2 * self.draw.below(10 * SECOND / rate);
        self.later(gap, Due::Arrival);
        let g = self.draw.below(self.routers.len() as u64) as usize;
        let request = self.request();
        self.ask(g, request);
    }

    fn request(&mut self) -> Request {
        self.requests += 1;
        let d = &mut self.draw;
        let prompt = if d.chance(200) { 4000 + d.below(12_000) } else { 50 + d.below(2000) } as u32;
        // One of a few beginnings is in most prompts.
        let prefix = (!d.chance(100)).then(|| PrefixKey(if d.chance(400) { 0 } else { 1 + d.below(9) }));
        Request {
            id: RequestId(self.requests),
            // Now and then a class or tenant that is not in the settings.
            class: ClassId(d.below(self.d.settings.classes.len() as u64) as u32 + 9 * u32::from(d.chance(5))),
            tenant: TenantId(if d.chance(500) { 0 } else { d.below(4) as u32 }),
            time_left: (1500 + d.below(6000)) * MS,
            prompt_tokens: prompt,
            prefix_tokens: if prefix.is_some() { d.below(u64::from(prompt) * 11 / 10) as u32 } else { 0 },
            session: d.chance(700).then(|| SessionKey(1 + d.below(80))),
            prefix,
            resumes_stream: d.chance(15),
            is_client_retry: d.chance(30),
        }
    }

    fn ask(&mut self, g: usize, request: Request) {
        let (id, left) = (request.id.0, request.time_left);
        self.routers[g]
            .clients
            .insert(id, Client { request: request.clone(), attempts: vec![], over: false });
        let leaves = if self.draw.chance(30) { left / 5 } else { left };
        self.later(leaves, Due::Deadline(g, id));
        self.hand(g, Event::Request(request));
    }

    /// The client leaves unless it has been served: what is out for it is called off.
    fn deadline(&mut self, g: usize, id: u64) {
        let client = self.routers[g].clients.get_mut(&id).expect("asked");
        if client.over || client.attempts.iter().any(|a| a.started) {
            return;
        }
        client.over = true;
        let out: Vec<u32> =
            (0..client.attempts.len() as u32).filter(|&a| !client.attempts[a as usize].ended).collect();
        self.hand(g, Event::ClientLeft(RequestId(id)));
        for attempt in out {
            self.later(2 * MS, Due::End(g, id, attempt, CANCELLED));
        }
    }

    fn sent(&mut self, g: usize, id: u64, replica: ReplicaId, limit: Nanos) {
        let server = self.servers.iter().position(|s| s.row.replica == replica).expect("listed");
        let (now, phase, times) = (self.now, self.phase(), if self.phase() == 3 { 15 } else { 1 });
        let client = self.routers[g].clients.get_mut(&id).expect("asked");
        let attempt = client.attempts.len() as u32;
        client.attempts.push(Attempt { server, at: now, started: false, ended: false });
        let prompt = u64::from(client.request.prompt_tokens);
        let freezes = self.draw.chance(self.d.freezes);
        let s = &mut self.servers[server];
        s.open += 1;
        if freezes {
            s.frozen_until = now + 4 * SECOND;
        }
        // Slower by kind, while young, with each open stream, and in its phase.
        let young = if now - s.began.min(now) < 8 * SECOND { 3 } else { 1 };
        let slow = (2 + u64::from(s.row.kind)) * young * if phase == 2 { 3 } else { 1 };
        let frozen = s.frozen_until.saturating_sub(now);
        let (alive, open) = (s.alive, s.open);
        let first = frozen + (self.d.first + prompt * 10_000) * slow / 2 * (3 + open) / 4;
        let first = first + self.draw.below(first / 2 + 1);
        let stream = (100 + self.draw.below(1500)) * MS * slow / 2;
        let fate = if !alive {
            (MS, REFUSED)
        } else if self.draw.chance(self.d.faults * times) {
            match self.draw.below(7) {
                0 | 1 => (5 * MS, ERROR),
                2 => (2 * MS, BUSY),
                3 => (MS, REFUSED),
                4 => (MS, SKIPPED),
                5 => (first + stream / 2, RESET),
                _ => (first / 2, RESET),
            }
        } else {
            (first + stream, DONE)
        };
        let (end, outcome) = if first.min(fate.0) > limit { (limit, TIMED_OUT) } else { fate };
        if first < end {
            self.later(first, Due::First(g, id, attempt));
        }
        self.later(end, Due::End(g, id, attempt, outcome));
    }

    fn first(&mut self, g: usize, id: u64, attempt: u32) {
        let client = self.routers[g].clients.get_mut(&id).expect("asked");
        let a = &mut client.attempts[attempt as usize];
        if a.ended || client.over {
            return;
        }
        a.started = true;
        let after = self.now - a.at;
        let others: Vec<u32> = (0..client.attempts.len() as u32)
            .filter(|&o| o != attempt && !client.attempts[o as usize].ended)
            .collect();
        self.hand(g, Event::FirstToken { request: RequestId(id), attempt, elapsed: after });
        // Its copies are called off.
        for other in others {
            self.end(g, id, other, CANCELLED);
        }
    }

    fn end(&mut self, g: usize, id: u64, attempt: u32, outcome: u8) {
        let now = self.now;
        let client = self.routers[g].clients.get_mut(&id).expect("asked");
        let a = &mut client.attempts[attempt as usize];
        if std::mem::replace(&mut a.ended, true) {
            return;
        }
        let (server, after, started) = (a.server, now - a.at, a.started);
        let broken = started && outcome != DONE && !client.over;
        client.over |= outcome == DONE || started;
        let (over, request) = (client.over, client.request.clone());
        self.servers[server].open -= 1;
        let kept_tokens = match self.draw.below(4) {
            _ if outcome != DONE => None,
            0 => None,
            1 => Some(self.draw.below(200) as u32),
            _ => Some(request.prefix_tokens.min(request.prompt_tokens)),
        };
        let load = self.load();
        let outcome = OUTCOMES[outcome as usize];
        let request_id = RequestId(id);
        let ended = AttemptEnded {
            request: request_id,
            attempt,
            outcome,
            elapsed: after,
            request_over: over,
            cached_tokens: kept_tokens,
            load,
        };
        self.hand(g, Event::AttemptEnded(ended));
        // A client whose stream broke comes back for the rest, to any router.
        if broken && self.draw.chance(600) {
            self.requests += 1;
            let g = self.draw.below(self.routers.len() as u64) as usize;
            self.ask(g, Request { id: RequestId(self.requests), resumes_stream: true, ..request });
        }
    }

    fn load(&mut self) -> Vec<f64> {
        let fields = self.d.settings.report_fields.len();
        if self.draw.chance(100) {
            return vec![];
        }
        let mut load: Vec<f64> = (0..fields).map(|_| self.draw.below(4000) as f64 / 512.0).collect();
        if self.draw.chance(20) && fields > 0 {
            load[fields - 1] = if self.draw.chance(500) { f64::NAN } else { -1.0 };
        }
        load
    }

    /// The list as it is: 1 whole, 2 as last held before a restart, 3 failed.
    fn list(&mut self, g: usize, kind: u8) {
        let mut rows: Vec<EndpointEntry> = self.servers.iter().map(|s| s.row.clone()).collect();
        rows.retain(|r| r.state != EndpointState::Gone);
        match kind {
            1 => self.hand(g, Event::EndpointList { kind: ListUpdate::Full, rows }),
            2 => self.hand(g, Event::EndpointList { kind: ListUpdate::Cached, rows }),
            _ => self.hand(g, Event::EndpointList { kind: ListUpdate::Failed, rows: vec![] }),
        }
    }

    /// Something changes, and all routers that can know it do.
    fn trouble(&mut self) {
        let next = self.d.trouble_ms / 2 + self.draw.below(self.d.trouble_ms);
        self.later(next * MS, Due::Trouble);
        let at = self.draw.below(self.servers.len() as u64) as usize;
        let (now, replica) = (self.now, self.servers[at].row.replica);
        let server = &mut self.servers[at];
        match self.draw.below(16) {
            0 | 1 => server.row.state = EndpointState::Draining,
            2 => server.row.state = EndpointState::Gone,
            3..=5 => {
                (server.row.state, server.row.started_at) = (EndpointState::Ready, now - 200 * MS);
                (server.alive, server.began) = (true, now);
            }
            6 => {
                // A clock that was set back tells an earlier start.
                (server.row.state, server.row.started_at) = (EndpointState::Ready, now - 50 * SECOND);
                (server.alive, server.began) = (true, now);
            }
            7 => return server.alive = false,
            8 => return server.frozen_until = now + 4 * SECOND,
            9 => return self.odd(replica),
            10 => return (0..self.routers.len()).for_each(|g| self.list(g, 3)),
            11 => return (0..self.routers.len()).for_each(|g| self.list(g, 1)),
            12 => {
                let n = self.servers.len() as u64;
                let mut new = self::server(&mut self.draw, n, self.d.zones, self.d.kinds);
                (new.row.started_at, new.began) = (now, now);
                self.servers.push(new);
                return self.news(n as usize);
            }
            _ => {
                server.row.state = EndpointState::Ready;
                server.alive = true;
            }
        }
        self.news(at);
    }

    fn news(&mut self, at: usize) {
        for g in 0..self.routers.len() {
            let rows = vec![self.servers[at].row.clone()];
            self.hand(g, Event::EndpointList { kind: ListUpdate::Delta, rows });
        }
    }

    /// Events that tell nothing, or what nobody asked for.
    fn odd(&mut self, replica: ReplicaId) {
        let load = self.load();
        for outcome in [Outcome::Completed, Outcome::ConnectionRefused] {
            self.hand(0, Event::ProbeEnded { replica, outcome, load: load.clone() });
        }
        let unknown = RequestId(1 << 40);
        self.hand(0, Event::Timer(99));
        self.hand(0, Event::ClientLeft(unknown));
        self.hand(0, Event::FirstToken { request: unknown, attempt: 0, elapsed: MS });
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
        self.hand(0, Event::AttemptEnded(ended));
        self.hand(0, Event::PeerMessage { from: PeerId(1), bytes: vec![1, 2, 3, 255] });
    }
}

fn server(draw: &mut Draw, n: u64, zones: u32, kinds: u32) -> Server {
    let row = EndpointEntry {
        replica: ReplicaId(n * 31 + 7),
        state: EndpointState::Ready,
        // Some have just started with the routers, some minutes ago, the rest are not told of.
        started_at: [0, 0, BEGIN - 2 * SECOND, BEGIN - 300 * SECOND][draw.below(4) as usize],
        zone: ZoneId(draw.below(u64::from(zones)) as u32),
        cell: (n / 4) as u32,
        kind: draw.below(u64::from(kinds)) as u32,
    };
    let began = row.started_at;
    Server { row, alive: true, frozen_until: 0, began, open: 0 }
}
