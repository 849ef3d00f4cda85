//! A gateway under test: settings, events in, actions out, and the rules checked on every action.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;

use tallypin::api::*;
use tallypin::Balancer;

pub const MS: Nanos = 1_000_000;

pub fn settings(gateways: u32, me: u32) -> Settings {
    let class = Class {
        aim: 1_000 * MS,
        aim_per_1000_tokens: 30 * MS,
        token_aim: 50 * MS,
        effect: Effect::Pure,
        worth: 1.0,
        late_share: 0.2,
    };
    Settings {
        me: PeerId(me),
        gateways,
        zone: ZoneId(0),
        tenants: vec![Tenant { quota_per_s: 1000.0 }],
        digest: Digest::default(),
        classes: vec![class],
        try_limit: 3,
        parallel_tries: false,
        cancel: true,
        peers: true,
        probes: false,
        max_retry_after: 2 * SECOND,
        list: ListMode::Pushed,
        report: vec![],
        cold_share: 0.2,
        cold: 10 * SECOND,
        fall: 2 * SECOND,
        fall_multiple: 2.5,
        idle_close: 5 * SECOND,
        cross_zone_price: 0.01,
    }
}

pub fn row(n: u64) -> ReplicaRow {
    ReplicaRow {
        replica: ReplicaId(n),
        state: ReplicaState::Ready,
        last_start: 0,
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
        left: 4 * SECOND,
        prompt_tokens: 1000,
        prefix_tokens: 800,
        session: Some(SessionKey(id * 7919 + 1)),
        prefix: Some(PrefixKey(id % 5 + 1)),
        returned: false,
        again: false,
    }
}

/// One attempt as the world outside the module knows it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub row: ReplicaRow,
    pub at: Nanos,
    pub limit: Nanos,
    pub outcome: Option<Outcome>,
    pub started: bool,
}

#[derive(Debug, Clone)]
pub struct Known {
    pub request: Request,
    pub deadline: Nanos,
    pub answers: u32,
    pub over: bool,
    pub sent: Vec<Sent>,
}

/// A gateway and the world it has seen; every action is checked against the four rules.
pub struct World {
    pub set: Settings,
    pub gateway: Balancer,
    pub now: Nanos,
    pub rows: BTreeMap<ReplicaId, ReplicaRow>,
    pub requests: BTreeMap<RequestId, Known>,
    pub timers: Vec<(Nanos, u64)>,
    pub tells: Vec<Vec<u8>>,
    pub watches: u32,
    pub log: Vec<Action>,
}

impl World {
    pub fn new(set: Settings, seed: u64) -> Self {
        World {
            gateway: Balancer::new(set.clone(), seed).expect("usable settings"),
            set,
            now: SECOND * 1000,
            rows: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            tells: vec![],
            watches: 0,
            log: vec![],
        }
    }

    pub fn with_replicas(set: Settings, seed: u64, n: u64) -> Self {
        let mut w = World::new(set, seed);
        w.list(ListKind::Cached, (0..n).map(row).collect());
        w
    }

    pub fn list(&mut self, kind: ListKind, rows: Vec<ReplicaRow>) -> Vec<Action> {
        if kind == ListKind::Full || kind == ListKind::Cached {
            self.rows.clear();
        }
        for r in &rows {
            self.rows.insert(r.replica, r.clone());
        }
        self.handle(Event::List { kind, rows })
    }

    pub fn demand(&mut self, request: Request) -> Vec<Action> {
        let known = Known {
            deadline: self.now + request.left,
            request: request.clone(),
            answers: 0,
            over: false,
            sent: vec![],
        };
        assert!(self.requests.insert(request.id, known).is_none(), "ids are new");
        self.handle(Event::Request(request))
    }

    pub fn first(&mut self, id: RequestId, attempt: u32) -> Vec<Action> {
        let s = &mut self.requests.get_mut(&id).unwrap().sent[attempt as usize];
        s.started = true;
        let after = self.now - s.at;
        self.handle(Event::FirstToken { request: id, attempt, after })
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let now = self.now;
        let k = self.requests.get_mut(&id).unwrap();
        let s = &mut k.sent[attempt as usize];
        s.outcome = Some(outcome);
        let after = now - s.at;
        if outcome == Outcome::Done && !k.over {
            k.answers += 1;
            k.over = true;
        }
        if s.started {
            k.over = true; // A break in a started stream ends the request, too.
        }
        let over = k.over;
        let kept_tokens = (outcome == Outcome::Done).then_some(0);
        let load = vec![];
        self.handle(Event::Ended(Ended { request: id, attempt, outcome, after, over, kept_tokens, load }))
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
        self.gateway.handle(self.now, event, &mut out);
        for a in &out {
            self.check(a);
        }
        self.log.extend(out.iter().cloned());
        out
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        match action {
            Action::Send { request, replica, limit } => {
                let rows = &self.rows;
                let k = self.requests.get_mut(request).expect("a request that was given");
                assert!(!k.over, "rule 1: nothing after the end");
                assert!(now <= k.deadline, "rule 1: not after the deadline");
                assert!(k.sent.len() < self.set.try_limit as usize, "within the limit of tries");
                assert!(*limit > 0 && now + limit <= k.deadline + MS, "ends by the deadline");
                let to = rows.get(replica).expect("a replica that was listed");
                assert_eq!(to.state, ReplicaState::Ready, "rule 3: only to ready replicas");
                let class = &self.set.classes[(k.request.class.0 as usize).min(self.set.classes.len() - 1)];
                for s in &k.sent {
                    assert!(s.outcome.is_some() || self.set.parallel_tries, "rule 2: one at a time");
                    if s.outcome.is_some_and(Outcome::never_ran) {
                        continue;
                    }
                    match class.effect {
                        Effect::Pure => {}
                        Effect::SideEffect => panic!("rule 2: an effect could happen twice"),
                        Effect::Token { group, window } => {
                            assert!(now < s.at + window, "rule 2: within the window");
                            let from = &s.row;
                            match group {
                                Group::All => {}
                                Group::Zone => assert_eq!(from.zone, to.zone, "rule 2: same zone"),
                                Group::Cell => assert_eq!(from.cell, to.cell, "rule 2: same cell"),
                            }
                        }
                    }
                }
                let (row, limit) = (to.clone(), *limit);
                k.sent.push(Sent { row, at: now, limit, outcome: None, started: false });
            }
            Action::Refuse { request, retry_after, .. } => {
                assert!(*retry_after <= self.set.max_retry_after);
                let k = self.requests.get_mut(request).expect("a request that was given");
                let ran = k.sent.iter().any(|s| s.outcome.is_none_or(|o| !o.never_ran()));
                let class = &self.set.classes[(k.request.class.0 as usize).min(self.set.classes.len() - 1)];
                let allowed = match class.effect {
                    Effect::Pure => true,
                    Effect::Token { group: Group::All, .. } => true,
                    _ => !ran,
                };
                assert!(allowed, "rule 2: a refusal says that trying again is harmless");
                Self::answer(k);
            }
            Action::Fail(request) => Self::answer(self.requests.get_mut(request).expect("given")),
            Action::Cancel { request, attempt } => {
                assert!(self.set.cancel, "only where it is allowed");
                let k = &self.requests[request];
                assert!((*attempt as usize) < k.sent.len(), "of an attempt that was made");
            }
            Action::Tell(bytes) => {
                assert!(bytes.len() <= 256 && self.set.peers);
                self.tells.push(bytes.clone());
            }
            Action::WakeAt { at, token } => {
                assert!(*at >= now);
                self.timers.push((*at, *token));
            }
            Action::Watch => self.watches += 1,
            Action::Probe(_) => assert!(self.set.probes),
        }
    }

    fn answer(k: &mut Known) {
        assert!(!k.over && k.answers == 0, "rule 1: one final answer");
        k.answers += 1;
        k.over = true;
    }

    /// The replica of the only attempt in `actions`.
    pub fn sent_to(actions: &[Action]) -> Option<ReplicaId> {
        actions.iter().find_map(|a| match a {
            Action::Send { replica, .. } => Some(*replica),
            _ => None,
        })
    }

    pub fn refused(actions: &[Action]) -> Option<Nanos> {
        actions.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// A request served at once: its whole life, or `false` if it was refused.
    pub fn serve(&mut self, r: Request) -> bool {
        let id = r.id;
        if World::sent_to(&self.demand(r)).is_none() {
            return false;
        }
        self.first(id, 0);
        self.end(id, 0, Outcome::Done);
        true
    }
}
