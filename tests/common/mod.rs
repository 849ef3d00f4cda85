//! A router under test: it gets settings and events, and each action that it returns is checked against the four rules.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;

use tallypin::api::*;
use tallypin::Balancer;

/// One millisecond.
pub const MS: Nanos = 1_000_000;

/// A count of a served report: requests of one tenant.
pub fn served(requests: u32, tenant: u32) -> tallypin::served_report::ServedCount {
    tallypin::served_report::ServedCount { tenant: TenantId(tenant), requests }
}

/// Settings with one idempotent class and one tenant whose quota is not reached.
pub fn test_settings(router_count: u32, own_index: u32) -> Settings {
    let class = Class {
        latency_objective: 1_000 * MS,
        latency_objective_per_1000_tokens: 30 * MS,
        token_interval_objective: 50 * MS,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_share: 0.2,
    };
    Settings {
        own_index: PeerId(own_index),
        router_count,
        zone: ZoneId(0),
        tenants: vec![Tenant { quota_per_s: 1000.0 }],
        tenants_digest: TenantsDigest::default(),
        classes: vec![class],
        max_attempts: 3,
        concurrent_attempts: false,
        can_cancel: true,
        has_peers: true,
        can_probe: false,
        max_retry_after: 2 * SECOND,
        list_mode: EndpointListMode::Pushed,
        drain_grace: SECOND / 2,
        report_fields: vec![],
        initial_capacity_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_window: 2 * SECOND,
        overload_multiple: 2.5,
        idle_timeout: 5 * SECOND,
        cross_zone_cost: 0.01,
    }
}

/// The endpoint entry of ready replica `n`; even and odd replicas are in different zones.
pub fn ready_entry(n: u64) -> EndpointEntry {
    EndpointEntry {
        replica: ReplicaId(n),
        state: EndpointState::Ready,
        started_at: 0,
        zone: ZoneId((n % 2) as u32),
        cell: (n / 2) as u32,
        kind: 0,
    }
}

/// A request of its own session, with one of five prefixes.
pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: 4 * SECOND,
        prompt_tokens: 1000,
        prefix_tokens: 800,
        session: Some(SessionKey(id * 7919 + 1)),
        prefix: Some(PrefixKey(id % 5 + 1)),
        resumes_stream: false,
        is_client_retry: false,
    }
}

/// One attempt, as seen from outside the balancer.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    pub entry: EndpointEntry,
    pub sent_at: Nanos,
    pub timeout: Nanos,
    pub outcome: Option<Outcome>,
    pub has_first_token: bool,
}

/// A request with its attempts and its final answers, as seen from outside the balancer.
#[derive(Debug, Clone)]
pub struct TrackedRequest {
    pub request: Request,
    pub deadline: Nanos,
    pub answers: u32,
    pub is_over: bool,
    pub attempts: Vec<SentAttempt>,
}

/// A balancer with its clock, its endpoint list, its requests and the actions it has returned. Every action is checked
/// against the four rules.
pub struct TestRouter {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Nanos,
    pub entries: BTreeMap<ReplicaId, EndpointEntry>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: Vec<(Nanos, u64)>,
    /// Messages to all other routers.
    pub gossip: Vec<Vec<u8>>,
    /// Messages to single routers, each with its receiver.
    pub peer_messages: Vec<(PeerId, Vec<u8>)>,
    pub list_polls: u32,
    /// All actions since the start.
    pub actions: Vec<Action>,
}

impl TestRouter {
    pub fn new(settings: Settings, seed: u64) -> Self {
        TestRouter {
            balancer: Balancer::new(settings.clone(), seed).expect("usable settings"),
            settings,
            now: SECOND * 1000,
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            gossip: vec![],
            peer_messages: vec![],
            list_polls: 0,
            actions: vec![],
        }
    }

    /// A router whose cached endpoint list has `replicas` ready replicas.
    pub fn with_replicas(settings: Settings, seed: u64, replicas: u64) -> Self {
        let mut router = TestRouter::new(settings, seed);
        router.update_list(ListUpdate::Cached, (0..replicas).map(ready_entry).collect());
        router
    }

    pub fn update_list(&mut self, kind: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<Action> {
        if kind == ListUpdate::Full || kind == ListUpdate::Cached {
            self.entries.clear();
        }
        for entry in &entries {
            self.entries.insert(entry.replica, entry.clone());
        }
        self.handle(Event::EndpointList { kind, entries })
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let tracked = TrackedRequest {
            deadline: self.now + request.time_left,
            request: request.clone(),
            answers: 0,
            is_over: false,
            attempts: vec![],
        };
        assert!(self.requests.insert(request.id, tracked).is_none(), "a request id is used once");
        self.handle(Event::Request(request))
    }

    pub fn first_token(&mut self, id: RequestId, attempt: u32) -> Vec<Action> {
        let sent = &mut self.requests.get_mut(&id).unwrap().attempts[attempt as usize];
        sent.has_first_token = true;
        let elapsed = self.now - sent.sent_at;
        self.handle(Event::FirstToken { request: id, attempt, elapsed })
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let now = self.now;
        let tracked = self.requests.get_mut(&id).unwrap();
        let sent = &mut tracked.attempts[attempt as usize];
        sent.outcome = Some(outcome);
        let since_send = now - sent.sent_at;
        if outcome == Outcome::Completed && !tracked.is_over {
            tracked.answers += 1;
            tracked.is_over = true;
        }
        if sent.has_first_token {
            tracked.is_over = true; // A broken stream ends the request, because its first token has reached the client.
        }
        let is_over = tracked.is_over;
        let cached_tokens = (outcome == Outcome::Completed).then_some(0);
        let load = vec![];
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome,
            elapsed: since_send,
            request_over: is_over,
            cached_tokens,
            load,
        }))
    }

    /// Advances the clock to `to` and delivers the timers that are due by then.
    pub fn run_to(&mut self, to: Nanos) -> Vec<Action> {
        let mut actions = vec![];
        loop {
            self.timers.sort_unstable();
            match self.timers.first().copied() {
                Some((at, token)) if at <= to => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    actions.extend(self.handle(Event::Timer(token)));
                }
                _ => break,
            }
        }
        self.now = to;
        actions
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, replica, timeout } => self.check_send(*request, *replica, *timeout),
            Action::Reject { request, retry_after, .. } => self.check_reject(*request, *retry_after),
            Action::Fail(request) => {
                Self::answer(self.requests.get_mut(request).expect("the failed request was submitted"))
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.can_cancel, "attempts are cancelled only where the settings allow it");
                let tracked = &self.requests[request];
                assert!((*attempt as usize) < tracked.attempts.len(), "the cancelled attempt was sent");
            }
            Action::Gossip(bytes) => {
                assert!(bytes.len() <= 256 && self.settings.has_peers);
                self.gossip.push(bytes.clone());
            }
            Action::SendToPeer { peer, bytes } => {
                assert!(bytes.len() <= 256 && self.settings.has_peers);
                assert!(*peer != self.settings.own_index && peer.0 < self.settings.router_count);
                self.peer_messages.push((*peer, bytes.clone()));
            }
            Action::WakeAt { at, token } => {
                assert!(*at >= self.now);
                self.timers.push((*at, *token));
            }
            Action::WatchEndpoints => self.list_polls += 1,
            Action::Probe(_) => assert!(self.settings.can_probe),
        }
    }

    fn effect(&self, request: &Request) -> Effect {
        let classes = &self.settings.classes;
        classes[(request.class.0 as usize).min(classes.len() - 1)].effect
    }

    fn check_send(&mut self, request: RequestId, replica: ReplicaId, timeout: Nanos) {
        let now = self.now;
        let effect = self.effect(&self.requests.get(&request).expect("the request was submitted").request);
        let tracked = self.requests.get_mut(&request).expect("the request was submitted");
        assert!(!tracked.is_over, "rule 1: no attempt after the request is over");
        assert!(now <= tracked.deadline, "rule 1: no attempt after the deadline");
        assert!(
            tracked.attempts.len() < self.settings.max_attempts as usize,
            "no more attempts than max_attempts"
        );
        assert!(timeout > 0 && now + timeout <= tracked.deadline + MS, "the timeout ends by the deadline");
        let target = self.entries.get(&replica).expect("the replica is in the endpoint list");
        assert_eq!(target.state, EndpointState::Ready, "rule 3: attempts go only to ready replicas");
        for earlier in &tracked.attempts {
            assert!(
                earlier.outcome.is_some() || self.settings.concurrent_attempts,
                "rule 2: one attempt at a time"
            );
            if !earlier.outcome.is_some_and(Outcome::never_ran) {
                Self::check_repeat(now, effect, earlier, target);
            }
        }
        tracked.attempts.push(SentAttempt {
            entry: target.clone(),
            sent_at: now,
            timeout,
            outcome: None,
            has_first_token: false,
        });
    }

    /// Checks an attempt that follows one that may have run.
    fn check_repeat(now: Nanos, effect: Effect, earlier: &SentAttempt, target: &EndpointEntry) {
        match effect {
            Effect::Idempotent => {}
            Effect::NotIdempotent => {
                panic!("rule 2: a request that is not idempotent could take effect twice")
            }
            Effect::IdempotentByKey { scope, window } => {
                assert!(
                    now < earlier.sent_at + window,
                    "rule 2: a keyed request is repeated only within the deduplication window"
                );
                let earlier_entry = &earlier.entry;
                match scope {
                    DeduplicationScope::AllReplicas => {}
                    DeduplicationScope::Zone => {
                        assert_eq!(earlier_entry.zone, target.zone, "rule 2: a repeat stays in the zone")
                    }
                    DeduplicationScope::Cell => {
                        assert_eq!(earlier_entry.cell, target.cell, "rule 2: a repeat stays in the cell")
                    }
                }
            }
        }
    }

    fn check_reject(&mut self, request: RequestId, retry_after: Nanos) {
        assert!(retry_after <= self.settings.max_retry_after);
        let effect = self.effect(&self.requests.get(&request).expect("the request was submitted").request);
        let tracked = self.requests.get_mut(&request).expect("the request was submitted");
        let may_have_run = |attempt: &SentAttempt| attempt.outcome.is_none_or(|o| !o.never_ran());
        let allowed = match effect {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, .. } => true,
            _ => !tracked.attempts.iter().any(may_have_run),
        };
        assert!(allowed, "rule 2: a request that may have run is not rejected");
        Self::answer(tracked);
    }

    fn answer(tracked: &mut TrackedRequest) {
        assert!(!tracked.is_over && tracked.answers == 0, "rule 1: a request gets one final answer");
        tracked.answers += 1;
        tracked.is_over = true;
    }

    /// The replica of the first attempt that `actions` send.
    pub fn sent_to(actions: &[Action]) -> Option<ReplicaId> {
        actions.iter().find_map(|a| match a {
            Action::Send { replica, .. } => Some(*replica),
            _ => None,
        })
    }

    /// The retry time of the first rejection in `actions`.
    pub fn retry_after_of(actions: &[Action]) -> Option<Nanos> {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// Submits a request and completes its attempt at once; `false` if no attempt was sent.
    pub fn serve(&mut self, request: Request) -> bool {
        let id = request.id;
        if TestRouter::sent_to(&self.submit(request)).is_none() {
            return false;
        }
        self.first_token(id, 0);
        self.end_attempt(id, 0, Outcome::Completed);
        true
    }
}
