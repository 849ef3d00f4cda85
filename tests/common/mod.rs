//! A router under test: settings, events in, actions out, and the rules checked on every action.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;

use tallypin::api::*;
use tallypin::Balancer;

pub const MS: Nanos = 1_000_000;

/// Requests of a tenant that a router has served.
pub fn served(requests: u32, tenant: u32) -> tallypin::served_report::ServedCount {
    tallypin::served_report::ServedCount { tenant: TenantId(tenant), requests }
}

pub fn settings(routers: u32, me: u32) -> Settings {
    let class = Class {
        latency_objective: 1_000 * MS,
        latency_objective_per_1000_tokens: 30 * MS,
        token_interval_objective: 50 * MS,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_share: 0.2,
    };
    Settings {
        own_index: PeerId(me),
        router_count: routers,
        zone: ZoneId(0),
        tenants: vec![Tenant { quota_per_s: 1000.0 }],
        digest: TenantsDigest::default(),
        classes: vec![class],
        max_attempts: 3,
        concurrent_attempts: false,
        can_cancel: true,
        has_peers: true,
        can_probe: false,
        max_retry_after: 2 * SECOND,
        list_mode: EndpointListMode::Pushed,
        report_fields: vec![],
        initial_capacity_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_window: 2 * SECOND,
        overload_multiple: 2.5,
        idle_timeout: 5 * SECOND,
        cross_zone_cost: 0.01,
    }
}

pub fn row(n: u64) -> EndpointEntry {
    EndpointEntry {
        replica: ReplicaId(n),
        state: EndpointState::Ready,
        started_at: 0,
        zone: ZoneId((n % 2) as u32),
        cell: (n / 2) as u32,
        kind: 0,
    }
}

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

/// One attempt as the world outside the module knows it.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    pub entry: EndpointEntry,
    pub sent_at: Nanos,
    pub timeout: Nanos,
    pub outcome: Option<Outcome>,
    pub has_first_token: bool,
}

#[derive(Debug, Clone)]
pub struct TrackedRequest {
    pub request: Request,
    pub deadline: Nanos,
    pub answers: u32,
    pub is_over: bool,
    pub attempts: Vec<SentAttempt>,
}

/// A router and the world it has seen; every action is checked against the four rules.
pub struct World {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Nanos,
    pub entries: BTreeMap<ReplicaId, EndpointEntry>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: Vec<(Nanos, u64)>,
    pub gossip: Vec<Vec<u8>>,
    /// Messages to one other router.
    pub peer_messages: Vec<(PeerId, Vec<u8>)>,
    pub list_polls: u32,
    pub actions: Vec<Action>,
}

impl World {
    pub fn new(set: Settings, seed: u64) -> Self {
        World {
            balancer: Balancer::new(set.clone(), seed).expect("usable settings"),
            settings: set,
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

    pub fn with_replicas(set: Settings, seed: u64, n: u64) -> Self {
        let mut w = World::new(set, seed);
        w.update_list(ListUpdate::Cached, (0..n).map(row).collect());
        w
    }

    pub fn update_list(&mut self, kind: ListUpdate, rows: Vec<EndpointEntry>) -> Vec<Action> {
        if kind == ListUpdate::Full || kind == ListUpdate::Cached {
            self.entries.clear();
        }
        for r in &rows {
            self.entries.insert(r.replica, r.clone());
        }
        self.handle(Event::EndpointList { kind, rows })
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        let known = TrackedRequest {
            deadline: self.now + request.time_left,
            request: request.clone(),
            answers: 0,
            is_over: false,
            attempts: vec![],
        };
        assert!(self.requests.insert(request.id, known).is_none(), "ids are new");
        self.handle(Event::Request(request))
    }

    pub fn first_token(&mut self, id: RequestId, attempt: u32) -> Vec<Action> {
        let s = &mut self.requests.get_mut(&id).unwrap().attempts[attempt as usize];
        s.has_first_token = true;
        let after = self.now - s.sent_at;
        self.handle(Event::FirstToken { request: id, attempt, elapsed: after })
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let now = self.now;
        let k = self.requests.get_mut(&id).unwrap();
        let s = &mut k.attempts[attempt as usize];
        s.outcome = Some(outcome);
        let after = now - s.sent_at;
        if outcome == Outcome::Completed && !k.is_over {
            k.answers += 1;
            k.is_over = true;
        }
        if s.has_first_token {
            k.is_over = true; // A break in a started stream ends the request, too.
        }
        let over = k.is_over;
        let kept_tokens = (outcome == Outcome::Completed).then_some(0);
        let load = vec![];
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome,
            elapsed: after,
            request_over: over,
            cached_tokens: kept_tokens,
            load,
        }))
    }

    /// Lets time pass to `to`, delivering timers on the way.
    pub fn run_to(&mut self, to: Nanos) -> Vec<Action> {
        let mut all = vec![];
        loop {
            self.timers.sort_unstable();
            match self.timers.first().copied() {
                Some((at, token)) if at <= to => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    all.extend(self.handle(Event::Timer(token)));
                }
                _ => break,
            }
        }
        self.now = to;
        all
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        for a in &out {
            self.check(a);
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, replica, timeout } => self.check_send(*request, *replica, *timeout),
            Action::Reject { request, retry_after, .. } => self.check_reject(*request, *retry_after),
            Action::Fail(request) => Self::answer(self.requests.get_mut(request).expect("given")),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.can_cancel, "only where it is allowed");
                let tracked = &self.requests[request];
                assert!((*attempt as usize) < tracked.attempts.len(), "of an attempt that was made");
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
        let effect = self.effect(&self.requests.get(&request).expect("a request that was given").request);
        let tracked = self.requests.get_mut(&request).expect("a request that was given");
        assert!(!tracked.is_over, "rule 1: nothing after the end");
        assert!(now <= tracked.deadline, "rule 1: not after the deadline");
        assert!(tracked.attempts.len() < self.settings.max_attempts as usize, "within the limit of attempts");
        assert!(timeout > 0 && now + timeout <= tracked.deadline + MS, "ends by the deadline");
        let target = self.entries.get(&replica).expect("a replica that was listed");
        assert_eq!(target.state, EndpointState::Ready, "rule 3: only to ready replicas");
        for earlier in &tracked.attempts {
            assert!(earlier.outcome.is_some() || self.settings.concurrent_attempts, "rule 2: one at a time");
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

    /// An attempt follows one that may have run.
    fn check_repeat(now: Nanos, effect: Effect, earlier: &SentAttempt, target: &EndpointEntry) {
        match effect {
            Effect::Idempotent => {}
            Effect::NotIdempotent => panic!("rule 2: an effect could happen twice"),
            Effect::IdempotentByKey { scope, window } => {
                assert!(now < earlier.sent_at + window, "rule 2: within the window");
                let from = &earlier.entry;
                match scope {
                    DeduplicationScope::AllReplicas => {}
                    DeduplicationScope::Zone => assert_eq!(from.zone, target.zone, "rule 2: same zone"),
                    DeduplicationScope::Cell => assert_eq!(from.cell, target.cell, "rule 2: same cell"),
                }
            }
        }
    }

    fn check_reject(&mut self, request: RequestId, retry_after: Nanos) {
        assert!(retry_after <= self.settings.max_retry_after);
        let effect = self.effect(&self.requests.get(&request).expect("a request that was given").request);
        let tracked = self.requests.get_mut(&request).expect("a request that was given");
        let may_have_run = |attempt: &SentAttempt| attempt.outcome.is_none_or(|o| !o.never_ran());
        let allowed = match effect {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, .. } => true,
            _ => !tracked.attempts.iter().any(may_have_run),
        };
        assert!(allowed, "rule 2: a rejection says that repeating is harmless");
        Self::answer(tracked);
    }

    fn answer(k: &mut TrackedRequest) {
        assert!(!k.is_over && k.answers == 0, "rule 1: one final answer");
        k.answers += 1;
        k.is_over = true;
    }

    /// The replica of the only attempt in `actions`.
    pub fn sent_to(actions: &[Action]) -> Option<ReplicaId> {
        actions.iter().find_map(|a| match a {
            Action::Send { replica, .. } => Some(*replica),
            _ => None,
        })
    }

    pub fn retry_after_of(actions: &[Action]) -> Option<Nanos> {
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// A request served at once: its whole life, or `false` if it was refused.
    pub fn serve(&mut self, r: Request) -> bool {
        let id = r.id;
        if World::sent_to(&self.submit(r)).is_none() {
            return false;
        }
        self.first_token(id, 0);
        self.end_attempt(id, 0, Outcome::Completed);
        true
    }
}
