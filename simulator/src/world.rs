//! Simulation of routers in front of a fleet of inference nodes, in virtual time: arrivals, attempts, the endpoint list, peer
//! messages, rolling deploys and slow periods. A run uses one thread; the same seed gives the same result.

use crate::engine::{Engine, Job, NodeKind, Progress};
use crate::policy::Policy;
use crate::queue::{Queue, Time};
use crate::random_streams;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::collections::VecDeque;
use tallypin::api::*;

/// Parameters of a simulated run. Times are in ns, shares are 0 to 1.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random streams.
    pub seed: u64,
    /// Number of routers.
    pub routers: u32,
    /// Number of nodes at the start.
    pub nodes: u32,
    /// Kinds of nodes, assigned in turn.
    pub kinds: Vec<NodeKind>,
    /// Quotas of the tenants, as in the routers' settings.
    pub tenants: Vec<Tenant>,
    /// Request classes, as in the routers' settings.
    pub classes: Vec<Class>,
    /// For each class, how long a client waits for the first token.
    pub deadlines: Vec<Time>,
    /// Arrivals per second at all routers.
    pub rate_per_s: f64,
    /// How long requests arrive; requests in flight after that are simulated to their end.
    pub duration: Time,
    /// Number of concurrent sessions.
    pub sessions: u32,
    /// Number of shared prefixes; their popularity has a Zipf distribution with exponent 1.
    pub prefixes: u32,
    /// Tokens of a shared prefix.
    pub prefix_tokens: u32,
    /// Median number of tokens that a turn adds to its session's prompt.
    pub median_turn_tokens: f64,
    /// Median number of tokens of an answer.
    pub median_answer_tokens: f64,
    /// Maximum number of prompt tokens; a session that exceeds it is replaced by a new one.
    pub max_prompt_tokens: u32,
    /// Network latency between a router and a node, each way.
    pub latency: Time,
    /// Delay of changes of the endpoint list.
    pub list_delay: Time,
    /// Latency of messages between routers.
    pub peer_latency: Time,
    /// Share of messages between routers that are lost.
    pub peer_loss: f64,
    /// Share of full speed with which a new node starts.
    pub initial_speed_share: f64,
    /// Time until a new node has full speed.
    pub warm_up_time: Time,
    /// Rolling deploy: begin, end, and the share of nodes that it replaces.
    pub deploy: Option<(Time, Time, f64)>,
    /// Drain time of a node before it is removed.
    pub drain_time: Time,
    /// Slow period: begin, end, share of nodes, and the factor on their step durations.
    pub slow_period: Option<(Time, Time, f64, f64)>,
}

/// Results of a simulated run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Requests of clients; retries are not counted.
    pub requests: u64,
    /// Complete answers with the first token within the latency objective.
    pub in_time: u64,
    /// Complete answers with the first token after the latency objective.
    pub late: u64,
    /// Requests that were rejected and not retried.
    pub rejected: u64,
    /// Requests that failed or whose deadline passed.
    pub failed: u64,
    /// Attempts at nodes.
    pub attempts: u64,
    /// Attempts that timed out before their first token.
    pub timed_out: u64,
    /// Times to the first token of complete answers in ns, ascending.
    pub first_token_times: Vec<Time>,
    /// Simulated events.
    pub events: u64,
    /// Prompt tokens of requests with complete answers.
    pub prompt_tokens: u64,
    /// Prompt tokens of them that were found in a prefix cache.
    pub cached_tokens: u64,
    /// Retries of clients after a rejection.
    pub client_retries: u64,
    /// Nodes that failed from overload during their warm-up.
    pub overloaded_nodes: u64,
    /// Descriptions of rule violations.
    pub violations: Vec<String>,
}

impl Figures {
    /// Returns a quantile of the times to the first token in ns; 0.5 is the median.
    pub fn first_token_quantile(&self, quantile: f64) -> Time {
        let at = (quantile.clamp(0.0, 1.0) * self.first_token_times.len() as f64) as usize;
        self.first_token_times.get(at).or(self.first_token_times.last()).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy)]
enum SimEvent {
    Arrival,
    Timer { router: u32, token: u64 },
    AttemptArrival { request: u32, attempt: u32 },
    StepEnd { node: u32, step_number: u32 },
    FirstToken { request: u32, attempt: u32 },
    AttemptEnd { request: u32, attempt: u32, outcome: Outcome },
    AttemptTimeout { request: u32, attempt: u32 },
    Deadline { request: u32 },
    ClientRetry { request: u32 },
    ListChange { change: u32 },
    PeerMessage { message: u32 },
    DeployStep { step: u32 },
    NodeRemoval { node: u32 },
    SlowPeriod { begins: bool },
}

struct Node {
    engine: Engine,
    /// Number of the scheduled step; the event of an earlier step is ignored.
    step_number: u32,
    scheduled_step: Option<Time>,
    /// Time after which routers must not send new requests to the node.
    no_requests_after: Option<Time>,
    /// Arrival time and cost in ns of the work that arrived during warm-up, within the overload window.
    warm_up_work: VecDeque<(Time, f64)>,
    /// The node failed from overload and refuses connections.
    failed: bool,
    entry: EndpointEntry,
}

struct Attempt {
    node: u32,
    sent: Time,
    first_token: Option<Time>,
    cached: u32,
    ended: bool,
}

struct Submission {
    router: u32,
    class: u32,
    tenant: u32,
    /// Arrival of the client's first submission.
    arrived: Time,
    deadline: Time,
    /// Number of this submission, above 1 for a retry.
    number: u32,
    job: Job,
    attempts: Vec<Attempt>,
    answers: u32,
    ended: bool,
}

struct Session {
    id: u64,
    prefix: u64,
    prompt_tokens: u32,
}

/// State of a simulated run.
pub struct World<'a> {
    plan: &'a Plan,
    queue: Queue<SimEvent>,
    now: Time,
    routers: Vec<Box<dyn Policy>>,
    nodes: Vec<Node>,
    requests: Vec<Submission>,
    open_requests: u64,
    sessions: Vec<Session>,
    next_session: u64,
    list_changes: Vec<EndpointEntry>,
    peer_messages: Vec<(u32, PeerId, Vec<u8>)>,
    arrival_rng: ChaCha8Rng,
    prompt_rng: ChaCha8Rng,
    front_rng: ChaCha8Rng,
    network_rng: ChaCha8Rng,
    fault_rng: ChaCha8Rng,
    slow_nodes: Vec<u32>,
    actions: Vec<Action>,
    progress: Vec<Progress>,
    figures: Figures,
}

/// Job ids for each request: a job id is the index of the request times this, plus the index of the attempt.
const JOB_IDS: u64 = 16;
/// Maximum number of submissions of a client's request.
const MAX_SUBMISSIONS: u32 = 4;
/// Minimum delay of a client's retry, ns.
const MIN_RETRY_DELAY: Time = SECOND / 20;
/// Overload limit of a warming node: work of all routers above this multiple of its capacity for this window in ns makes it fail.
const WARM_UP_OVERLOAD: (f64, Time) = (2.5, 2 * SECOND);
/// Time that routers have to stop sending to a node after the list reports its drain, ns.
const DRAIN_REACTION_TIME: Time = SECOND / 2;

impl<'a> World<'a> {
    /// Creates a world. `policy` makes each router's policy from its settings and a seed.
    pub fn new(plan: &'a Plan, policy: impl Fn(Settings, u64) -> Box<dyn Policy>) -> Self {
        let mut seeds = random_streams::stream(plan.seed, "routers");
        let settings = |me| Settings {
            own_index: PeerId(me),
            router_count: plan.routers,
            zone: ZoneId(0),
            tenants: plan.tenants.clone(),
            tenants_digest: TenantsDigest::default(),
            classes: plan.classes.clone(),
            max_attempts: 4,
            concurrent_attempts: true,
            can_cancel: true,
            has_peers: plan.routers > 1,
            can_probe: false,
            max_retry_after: 2 * SECOND,
            list_mode: EndpointListMode::Pushed,
            drain_grace: DRAIN_REACTION_TIME,
            report_fields: vec![],
            initial_capacity_share: plan.initial_speed_share,
            warm_up_time: plan.warm_up_time,
            overload_window: WARM_UP_OVERLOAD.1,
            overload_multiple: WARM_UP_OVERLOAD.0,
            cross_zone_cost: 0.0,
            idle_timeout: 5 * SECOND,
        };
        let routers = (0..plan.routers).map(|me| policy(settings(me), seeds.random())).collect();
        let stream = |name| random_streams::stream(plan.seed, name);
        let mut world = World {
            plan,
            queue: Queue::default(),
            now: 1_000 * SECOND,
            routers,
            nodes: vec![],
            requests: vec![],
            open_requests: 0,
            sessions: vec![],
            next_session: 1,
            list_changes: vec![],
            peer_messages: vec![],
            arrival_rng: stream("arrivals"),
            prompt_rng: stream("prompts"),
            front_rng: stream("front"),
            network_rng: stream("net"),
            fault_rng: stream("troubles"),
            slow_nodes: vec![],
            actions: vec![],
            progress: vec![],
            figures: Figures::default(),
        };
        for _ in 0..plan.nodes {
            world.add_node(0);
        }
        let rows: Vec<EndpointEntry> = world.nodes.iter().map(|n| n.entry.clone()).collect();
        for router in 0..plan.routers {
            world.pass_event(router, Event::EndpointList { kind: ListUpdate::Full, entries: rows.clone() });
        }
        let start = world.now;
        world.queue.push(start, SimEvent::Arrival);
        if let Some((from, ..)) = plan.deploy {
            world.queue.push(start + from, SimEvent::DeployStep { step: 0 });
        }
        if let Some((from, to, ..)) = plan.slow_period {
            world.queue.push(start + from, SimEvent::SlowPeriod { begins: true });
            world.queue.push(start + to, SimEvent::SlowPeriod { begins: false });
        }
        world
    }

    fn add_node(&mut self, started: Time) -> u32 {
        let number = self.nodes.len() as u32;
        let kind = &self.plan.kinds[number as usize % self.plan.kinds.len()];
        let entry = EndpointEntry {
            replica: ReplicaId(u64::from(number) + 1),
            state: EndpointState::Ready,
            started_at: started,
            zone: ZoneId(0),
            cell: 0,
            kind: number % self.plan.kinds.len() as u32,
        };
        let mut engine = Engine::new(kind.clone());
        if started > 0 {
            engine.start_cold(started, self.plan.initial_speed_share, self.plan.warm_up_time);
        }
        self.nodes.push(Node {
            engine,
            step_number: 0,
            scheduled_step: None,
            no_requests_after: None,
            warm_up_work: VecDeque::new(),
            failed: false,
            entry,
        });
        number
    }

    /// Runs the simulation until the arrivals have ended and no request is open.
    pub fn run(mut self) -> Figures {
        let end = self.now + self.plan.duration;
        let longest_deadline = self.plan.deadlines.iter().max().copied().unwrap_or(0);
        while let Some((at, event)) = self.queue.pop() {
            // The routers' timers never end.
            if at > end + longest_deadline + 120 * SECOND || (at > end && self.open_requests == 0) {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            self.handle(event, end);
        }
        for (i, r) in self.requests.iter().enumerate().filter(|(_, r)| r.answers != 1) {
            let violation = format!("seed {}: request {i} has {} answers", self.plan.seed, r.answers);
            self.figures.violations.push(violation);
        }
        self.figures.first_token_times.sort_unstable();
        self.figures
    }

    fn handle(&mut self, event: SimEvent, end: Time) {
        match event {
            SimEvent::Arrival => {
                self.submit_next_turn();
                let gap =
                    Exp::new(self.plan.rate_per_s).expect("positive rate").sample(&mut self.arrival_rng);
                let at = self.now + (gap * SECOND as f64) as Time;
                if at < end {
                    self.queue.push(at, SimEvent::Arrival);
                }
            }
            SimEvent::Timer { router, token } => self.pass_event(router, Event::Timer(token)),
            SimEvent::AttemptArrival { request, attempt } => self.arrive_at_node(request, attempt),
            SimEvent::StepEnd { node, step_number } => self.finish_step(node, step_number),
            SimEvent::FirstToken { request, attempt } => self.first_token(request, attempt),
            SimEvent::AttemptEnd { request, attempt, outcome } => self.end_attempt(request, attempt, outcome),
            SimEvent::AttemptTimeout { request, attempt } => {
                let r = &self.requests[request as usize];
                if r.attempts[attempt as usize].first_token.is_none() && !r.attempts[attempt as usize].ended {
                    self.figures.timed_out += 1;
                    self.cancel_at_node(request, attempt);
                    self.end_attempt(request, attempt, Outcome::TimedOut);
                }
            }
            SimEvent::Deadline { request } => {
                let r = &self.requests[request as usize];
                if !r.ended && !r.attempts.iter().any(|t| t.first_token.is_some()) {
                    self.count(request, |f| &mut f.failed);
                    let router = self.requests[request as usize].router;
                    self.pass_event(router, Event::ClientLeft(RequestId(u64::from(request))));
                }
            }
            SimEvent::ClientRetry { request } => self.retry(request),
            SimEvent::ListChange { change } => {
                let entry = self.list_changes[change as usize].clone();
                if entry.state != EndpointState::Ready {
                    let node = &mut self.nodes[entry.replica.0 as usize - 1];
                    node.no_requests_after = node.no_requests_after.or(Some(self.now + DRAIN_REACTION_TIME));
                }
                for router in 0..self.routers.len() as u32 {
                    self.pass_event(
                        router,
                        Event::EndpointList { kind: ListUpdate::Delta, entries: vec![entry.clone()] },
                    );
                }
            }
            SimEvent::PeerMessage { message } => {
                let (to, from, bytes) = std::mem::take(&mut self.peer_messages[message as usize]);
                self.pass_event(to, Event::PeerMessage { from, bytes });
            }
            SimEvent::DeployStep { step } => self.replace_next_node(step),
            SimEvent::NodeRemoval { node } => self.remove_node(node),
            SimEvent::SlowPeriod { begins } => self.set_slow_period(begins),
        }
    }

    fn submit_next_turn(&mut self) {
        let plan = self.plan;
        let p = &mut self.prompt_rng;
        let whole_tokens = |x: f64, max: u32| (x as u32).clamp(1, max.max(1));
        let turn = LogNormal::new(plan.median_turn_tokens.ln(), 0.8).expect("the median is above zero");
        let answer = LogNormal::new(plan.median_answer_tokens.ln(), 0.7).expect("the median is above zero");
        let slot = p.random_range(0..plan.sessions.max(1)) as usize;
        let new_session = |next: &mut u64, p: &mut ChaCha8Rng| {
            *next += 1;
            let rank: f64 = Zipf::new(f64::from(plan.prefixes.max(1)), 1.0).expect("n is positive").sample(p);
            // Sessions and shared prefixes share a node's cache index: sessions have even keys, prefixes odd ones.
            Session { id: *next * 2, prefix: rank as u64 * 2 + 1, prompt_tokens: plan.prefix_tokens }
        };
        while self.sessions.len() <= slot {
            self.sessions.push(new_session(&mut self.next_session, p));
        }
        let added_tokens = whole_tokens(turn.sample(p), 8_000);
        let answer_tokens = whole_tokens(answer.sample(p), 800);
        if self.sessions[slot].prompt_tokens + added_tokens > plan.max_prompt_tokens {
            self.sessions[slot] = new_session(&mut self.next_session, p);
        }
        let s = &mut self.sessions[slot];
        let prompt_tokens = s.prompt_tokens + added_tokens;
        s.prompt_tokens = prompt_tokens + answer_tokens;
        let id = self.requests.len() as u64;
        let class = p.random_range(0..plan.classes.len()) as u32;
        let tenant = match plan.tenants.len() {
            0 => 0,
            n => p.random_range(0..n) as u32,
        };
        let job = Job {
            id: id * JOB_IDS,
            session: s.id,
            prefix: s.prefix,
            prefix_tokens: plan.prefix_tokens,
            prompt_tokens,
            answer_tokens,
        };
        self.figures.requests += 1;
        let (arrived, deadline) = (self.now, self.now + plan.deadlines[class as usize]);
        self.submit(Submission {
            router: 0,
            class,
            tenant,
            arrived,
            deadline,
            number: 1,
            job,
            attempts: vec![],
            answers: 0,
            ended: false,
        });
    }

    /// Sends a client's request to a random router.
    fn submit(&mut self, mut client: Submission) {
        let (id, job) = (self.requests.len() as u32, client.job);
        client.router = self.front_rng.random_range(0..self.plan.routers);
        let (router, deadline) = (client.router, client.deadline);
        let request = Request {
            id: RequestId(u64::from(id)),
            class: ClassId(client.class),
            tenant: TenantId(client.tenant),
            time_left: deadline - self.now,
            prompt_tokens: job.prompt_tokens,
            prefix_tokens: job.prefix_tokens,
            session: Some(SessionKey(job.session)),
            prefix: Some(PrefixKey(job.prefix)),
            resumes_stream: false,
            is_client_retry: false,
        };
        self.requests.push(client);
        self.open_requests += 1;
        self.queue.push(deadline, SimEvent::Deadline { request: id });
        self.pass_event(router, Event::Request(request));
    }

    /// Submits a rejected request again, under a new id.
    fn retry(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let job = Job { id: self.requests.len() as u64 * JOB_IDS, ..r.job };
        let (class, tenant, arrived, deadline) = (r.class, r.tenant, r.arrived, r.deadline);
        let number = r.number + 1;
        self.figures.client_retries += 1;
        let (attempts, answers, ended, router) = (vec![], 0, false, 0);
        self.submit(Submission {
            router,
            class,
            tenant,
            arrived,
            deadline,
            number,
            job,
            attempts,
            answers,
            ended,
        });
    }

    fn pass_event(&mut self, router: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.routers[router as usize].handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(router, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, router: u32, action: Action) {
        match action {
            Action::Send { request, replica, timeout } => {
                let (request, node) = (request.0 as u32, replica.0 as u32 - 1);
                let r = &mut self.requests[request as usize];
                let attempt = r.attempts.len() as u32;
                r.attempts.push(Attempt { node, sent: self.now, first_token: None, cached: 0, ended: false });
                self.figures.attempts += 1;
                if r.ended {
                    self.record_violation(request, "sent after its answer");
                } else if u64::from(attempt) >= 4 {
                    self.record_violation(request, "more attempts than allowed");
                }
                if self.nodes[node as usize].no_requests_after.is_some_and(|at| self.now > at) {
                    self.record_violation(request, "sent to a node that was known to drain");
                }
                self.queue.push(self.now + self.plan.latency, SimEvent::AttemptArrival { request, attempt });
                self.queue.push(self.now + timeout, SimEvent::AttemptTimeout { request, attempt });
            }
            Action::Reject { request, retry_after, .. } => self.reject(request.0 as u32, retry_after),
            Action::Fail(request) => self.count(request.0 as u32, |f| &mut f.failed),
            Action::Cancel { request, attempt } => {
                let request = request.0 as u32;
                let is_open =
                    self.requests[request as usize].attempts.get(attempt as usize).is_some_and(|t| !t.ended);
                if is_open {
                    self.cancel_at_node(request, attempt);
                    self.queue.push(
                        self.now,
                        SimEvent::AttemptEnd { request, attempt, outcome: Outcome::Cancelled },
                    );
                }
            }
            Action::Gossip(bytes) => {
                for to in (0..self.plan.routers).filter(|&to| to != router) {
                    if !self.network_rng.random_bool(self.plan.peer_loss) {
                        self.peer_messages.push((to, PeerId(router), bytes.clone()));
                        let message = self.peer_messages.len() as u32 - 1;
                        self.queue.push(self.now + self.plan.peer_latency, SimEvent::PeerMessage { message });
                    }
                }
            }
            Action::WakeAt { at, token } => {
                self.queue.push(at.max(self.now), SimEvent::Timer { router, token })
            }
            // Not needed here: the endpoint list is pushed, and the settings disable probes.
            Action::WatchEndpoints | Action::SendToPeer { .. } | Action::Probe(_) => {}
        }
    }

    /// Rejects a submission. The client retries after `retry_after` if its deadline allows it.
    fn reject(&mut self, request: u32, retry_after: Time) {
        let r = &self.requests[request as usize];
        let at = self.now + retry_after.max(MIN_RETRY_DELAY);
        if r.number >= MAX_SUBMISSIONS || at >= r.deadline {
            return self.count(request, |f| &mut f.rejected);
        }
        // The rejection is not counted: each client request has one outcome.
        self.end_request(request);
        self.queue.push(at, SimEvent::ClientRetry { request });
    }

    fn record_violation(&mut self, request: u32, violation: &str) {
        let text = format!("seed {} at {} ns: request {request} {violation}", self.plan.seed, self.now);
        self.figures.violations.push(text);
    }

    /// Ends a request with its final answer. Returns false if it had one before.
    fn end_request(&mut self, request: u32) -> bool {
        let r = &mut self.requests[request as usize];
        r.answers += 1;
        r.ended = true;
        if r.answers > 1 {
            self.record_violation(request, "answered twice");
            return false;
        }
        self.open_requests -= 1;
        true
    }

    /// Ends a request and increments the counter of its outcome.
    fn count(&mut self, request: u32, counter: impl Fn(&mut Figures) -> &mut u64) {
        if self.end_request(request) {
            *counter(&mut self.figures) += 1;
        }
    }

    fn arrive_at_node(&mut self, request: u32, attempt: u32) {
        let r = &self.requests[request as usize];
        let t = &r.attempts[attempt as usize];
        let (node, job) = (t.node, Job { id: r.job.id + u64::from(attempt), ..r.job });
        if t.ended {
            return;
        }
        self.add_warm_up_work(node, &job);
        let n = &mut self.nodes[node as usize];
        let outcome = match n.entry.state {
            _ if n.failed => Outcome::ConnectionRefused,
            EndpointState::Gone => Outcome::ConnectionRefused,
            _ if n.engine.try_enqueue(self.now, job) => return self.schedule_step(node),
            _ => Outcome::Rejected,
        };
        self.queue.push(self.now + self.plan.latency, SimEvent::AttemptEnd { request, attempt, outcome });
    }

    /// Counts the work that arrives at a warming node, even if the node rejects it. The node fails from too much of it.
    fn add_warm_up_work(&mut self, node: u32, job: &Job) {
        let (multiple, window) = WARM_UP_OVERLOAD;
        let n = &mut self.nodes[node as usize];
        let speed_share = n.engine.speed_share(self.now);
        if speed_share >= 1.0 || n.failed {
            return n.warm_up_work.clear();
        }
        n.warm_up_work.push_back((self.now, n.engine.cost_ns(job)));
        while n.warm_up_work.front().is_some_and(|(at, _)| at + window < self.now) {
            n.warm_up_work.pop_front();
        }
        let work: f64 = n.warm_up_work.iter().map(|p| p.1).sum();
        // Capacity within the window, by the speed in its middle. Two requests of average cost are tolerated in addition.
        let capacity_ns = multiple
            * window as f64
            * n.engine.speed_share(self.now.saturating_sub(window / 2).max(n.entry.started_at));
        if work > capacity_ns + 2.0 * work / n.warm_up_work.len() as f64 {
            n.failed = true;
            self.figures.overloaded_nodes += 1;
            let text =
                format!("seed {} at {} ns: node {node} pushed over while cold", self.plan.seed, self.now);
            self.figures.violations.push(text);
            self.reset_jobs(node);
        }
    }

    /// Ends all attempts at a node with a connection reset.
    fn reset_jobs(&mut self, node: u32) {
        let n = &mut self.nodes[node as usize];
        let job_ids: Vec<u64> = n.engine.job_ids().collect();
        n.engine = Engine::new(self.plan.kinds[node as usize % self.plan.kinds.len()].clone());
        (n.scheduled_step, n.step_number) = (None, n.step_number + 1);
        for id in job_ids {
            self.end_attempt((id / JOB_IDS) as u32, (id % JOB_IDS) as u32, Outcome::ConnectionReset);
        }
    }

    fn schedule_step(&mut self, node: u32) {
        let n = &mut self.nodes[node as usize];
        if n.engine.step_end() != n.scheduled_step {
            n.scheduled_step = n.engine.step_end();
            n.step_number += 1;
            if let Some(at) = n.scheduled_step {
                self.queue.push(at, SimEvent::StepEnd { node, step_number: n.step_number });
            }
        }
    }

    fn finish_step(&mut self, node: u32, step_number: u32) {
        if self.nodes[node as usize].step_number != step_number {
            return;
        }
        let mut progress = std::mem::take(&mut self.progress);
        progress.clear();
        self.nodes[node as usize].engine.finish_step(self.now, &mut progress);
        debug_assert!(self.nodes[node as usize].engine.memory_is_consistent());
        let at = self.now + self.plan.latency;
        for event in progress.drain(..) {
            let (Progress::FirstToken { id, cached_tokens } | Progress::Completed { id, cached_tokens }) =
                event;
            let (request, attempt) = ((id / JOB_IDS) as u32, (id % JOB_IDS) as u32);
            self.requests[request as usize].attempts[attempt as usize].cached = cached_tokens;
            match event {
                Progress::FirstToken { .. } => self.queue.push(at, SimEvent::FirstToken { request, attempt }),
                Progress::Completed { .. } => self
                    .queue
                    .push(at, SimEvent::AttemptEnd { request, attempt, outcome: Outcome::Completed }),
            }
        }
        self.progress = progress;
        self.schedule_step(node);
    }

    fn first_token(&mut self, request: u32, attempt: u32) {
        let r = &mut self.requests[request as usize];
        let has_first_token = r.attempts.iter().any(|t| t.first_token.is_some());
        let t = &mut r.attempts[attempt as usize];
        if t.ended || has_first_token || r.ended {
            return;
        }
        t.first_token = Some(self.now);
        let (router, elapsed) = (r.router, self.now - t.sent);
        let event = Event::FirstToken { request: RequestId(u64::from(request)), attempt, elapsed };
        // The other attempts are cancelled, as the router's core does.
        let others: Vec<u32> =
            (0..r.attempts.len() as u32).filter(|&a| a != attempt && !r.attempts[a as usize].ended).collect();
        self.pass_event(router, event);
        for a in others {
            self.cancel_at_node(request, a);
            self.end_attempt(request, a, Outcome::Cancelled);
        }
    }

    fn cancel_at_node(&mut self, request: u32, attempt: u32) {
        let r = &self.requests[request as usize];
        let t = &r.attempts[attempt as usize];
        self.nodes[t.node as usize].engine.cancel(r.job.id + u64::from(attempt));
    }

    fn end_attempt(&mut self, request: u32, attempt: u32, outcome: Outcome) {
        let objective_ns = {
            let r = &self.requests[request as usize];
            self.plan.classes[r.class as usize].latency_objective_for(r.job.prompt_tokens)
        };
        let r = &mut self.requests[request as usize];
        let t = &mut r.attempts[attempt as usize];
        if t.ended {
            return;
        }
        t.ended = true;
        let (router, elapsed, cached_tokens, first_token) =
            (r.router, self.now - t.sent, t.cached, t.first_token);
        let ends_request = first_token.is_some() && !r.ended;
        if ends_request {
            // The answer had begun, so the end of the attempt ends the request.
            let (took, prompt_tokens) = (first_token.map_or(0, |at| at - r.arrived), r.job.prompt_tokens);
            if outcome == Outcome::Completed {
                self.figures.first_token_times.push(took);
                self.figures.prompt_tokens += u64::from(prompt_tokens);
                self.figures.cached_tokens += u64::from(cached_tokens);
                let late = took as f64 > objective_ns;
                self.count(request, |f| if late { &mut f.late } else { &mut f.in_time });
            } else {
                self.count(request, |f| &mut f.failed);
            }
        }
        let ended = AttemptEnded {
            request: RequestId(u64::from(request)),
            attempt,
            outcome,
            elapsed,
            request_over: self.requests[request as usize].ended,
            cached_tokens: (outcome == Outcome::Completed).then_some(cached_tokens),
            load: vec![],
        };
        self.pass_event(router, Event::AttemptEnded(ended));
    }

    /// Changes a node's state in the endpoint list; routers receive the change after the list's delay.
    fn change_state(&mut self, node: u32, state: EndpointState) {
        let n = &mut self.nodes[node as usize];
        n.entry.state = state;
        self.list_changes.push(n.entry.clone());
        let change = self.list_changes.len() as u32 - 1;
        self.queue.push(self.now + self.plan.list_delay, SimEvent::ListChange { change });
    }

    /// Replaces one more node of the deploy: starts its successor and drains it.
    fn replace_next_node(&mut self, step: u32) {
        let Some((from, to, share)) = self.plan.deploy else { return };
        let count = (f64::from(self.plan.nodes) * share) as u32;
        if step >= count {
            return;
        }
        self.add_node(self.now);
        self.change_state(self.nodes.len() as u32 - 1, EndpointState::Ready);
        self.change_state(step, EndpointState::Draining);
        self.queue.push(self.now + self.plan.drain_time, SimEvent::NodeRemoval { node: step });
        let gap = (to - from) / Time::from(count.max(1));
        self.queue.push(self.now + gap, SimEvent::DeployStep { step: step + 1 });
    }

    fn remove_node(&mut self, node: u32) {
        self.change_state(node, EndpointState::Gone);
        self.reset_jobs(node);
    }

    fn set_slow_period(&mut self, begins: bool) {
        let Some((_, _, share, factor)) = self.plan.slow_period else { return };
        if begins {
            let ready: Vec<u32> = (self.nodes.iter().zip(0..))
                .filter(|(n, _)| n.entry.state == EndpointState::Ready)
                .map(|(_, i)| i)
                .collect();
            self.slow_nodes = ready.into_iter().filter(|_| self.fault_rng.random_bool(share)).collect();
        }
        for &i in &self.slow_nodes {
            self.nodes[i as usize].engine.slowdown = if begins { factor } else { 1.0 };
        }
    }
}
