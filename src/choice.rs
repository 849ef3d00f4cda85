//! Every decision of a gateway. The types, events and actions stand in `api.rs`.
//!
//! The design is DThrottle's: each gateway limits each tenant by a leaky bucket of its own, which peers'
//! reports of served hits drain as well; admitted requests go to the replica with the least predicted
//! first-token wait. Sections: constants, membership, admission, pick, attempts. The reports to peers and the
//! health of replicas stand in modules of their own.

mod health;
mod reports;

use crate::api::*;
use crate::prefix_cache::{self, SessionAffinity};
use crate::ready_replicas::{ReadyReplicas, ReplicaSet, MAX_PREFERRED_REPLICAS, MAX_SCANNED_REPLICAS};
use crate::rendezvous_hash::{mix, turn, unit_race};
use crate::start_time::ListCoverage;
use crate::state::*;
use crate::{decode_rate::DecodeRate, first_token_wait, prefix_traffic::PrefixTraffic, warm_up};
use fastrand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use std::{cmp::Reverse, collections::BinaryHeap};

// ---- Constants: none is taken from a deployment ----

/// Seconds of quota that the fleet as a whole may grant at once. Shorter refuses chance clusters,
/// longer lets a surge through.
const BURST_S: f64 = 4.0;
/// Report period per gateway, s: report load grows with gateways squared, so the period grows with them.
const PERIOD_PER_GATEWAY_S: f64 = 0.05;
/// The least burst of a gateway, in tokens: with less, chance clusters of a small tenant are refused.
const MIN_BURST: f64 = 6.0;
/// The least share of a tenant's quota that a gateway claims, as a part of an even split.
pub(crate) const FOOT: f64 = 0.25;
/// Bounds of the report period, s.
const PERIOD_S: (f64, f64) = (0.25, 16.0);
/// Weight of a new sample in the smoothed hit rates. Counts of one period are small and thus noisy.
pub(crate) const RATE_WEIGHT: f64 = 0.25;
/// A peer silent for so many periods is forecast at half, and half again each period.
const SILENT_PERIODS: f64 = 3.0;
/// Where replicas are plainly idle, buckets fill faster by up to this share of the quota. Idle means that
/// first tokens come in a small share of the aim: none is left of it once they take `STRAINED` of the aim.
const HEADROOM: f64 = 0.5;
const STRAINED: f64 = 0.4;
/// Beyond this share of the aim quotas are cut in proportion, down to `LEAST_RATE` of them.
const OVERLOADED: f64 = 0.35;
const LEAST_RATE: f64 = 0.2;
/// Weight of a new sample in a replica's smoothed wait; a gateway has few streams on each.
const WAIT_WEIGHT: f64 = 0.3;
/// The least weight of a new sample in what is smoothed over all replicas, and the time, s, after which the
/// newer samples have half of it, however few they are: with many gateways each has one in a second or two.
pub(crate) const FLEET_WEIGHT: f64 = 0.04;
pub(crate) const FLEET_HALF_S: f64 = 3.0;
/// Replicas drawn at random for a pick, beside the likely holders of the prompt.
const SAMPLED: usize = 4;
/// The fewest homes of a beginning, so that one slow home does not hold it up.
const LEAST_HOMES: f64 = 2.0;
/// Homes per replica's worth of a beginning's traffic.
const HOMES_PER_SHARE: f64 = 5.0;
/// A beginning's share of the traffic is believed for a half after so many requests: enough to tell one of a
/// twentieth, a node's worth times five in a hundred, to within a third of itself.
const SHARE_DOUBT: f64 = 150.0;
/// Tokens read per second before any sample says otherwise.
const READ_PER_S: f64 = 10_000.0;
/// A replica of another zone is a home e times less likely for each so much of the price of crossing.
const CROSS_SCALE: f64 = 0.05;
/// Crossing a zone is worth this many aims of waiting for each unit of its price.
const CROSS_AIMS: f64 = 3.0;
/// In a fleet beyond [`MAX_SCANNED_REPLICAS`] a replica without a connection at rest is worth this share of
/// the aim less: where each request went to whoever is best by a hair, nearly each would open a connection.
const CONNECT_SHARE: f64 = 0.1;
/// An attempt may wait for its first token for this share of the aim while another is affordable. What is
/// called off goes on where it ran: sooner, and a jam feeds itself.
const TRY_SHARE: f64 = 1.2;
/// It may read its whole prompt so many times over, as others may be read before it.
const READ_PATIENCE: f64 = 1.5;
/// And always for so many times what first tokens take on the average.
const PATIENCE: f64 = 4.0;
/// Without a first token after this share of the aim and the reading of the prompt, a second copy goes to
/// another replica, if its own is silent and first tokens take less than `HEDGE_STRAIN` of the aim: where
/// most begin at once, waiting out the patience only makes the answer late. In a jam it makes more work.
const HEDGE_SHARE: f64 = 0.4;
const HEDGE_STRAIN: f64 = 0.15;
/// A replica heard again after so long may have started anew in between: it is taken for cold.
const SILENCE: Nanos = 3 * SECOND;
/// Further attempts earned by each request, and the most that can be saved.
const RETRY_SHARE: f64 = 0.2;
const RETRY_MOST: f64 = 20.0;
/// Failures in a row that eject a replica; one is enough where the connection was refused.
const FAILS: u32 = 3;
/// First and longest time of an ejection, ns.
const EJECT: (Nanos, Nanos) = (3 * SECOND, 24 * SECOND);

/// The least advice to a client refused for want of room.
const LEAST_ADVICE: Nanos = SECOND / 10;

/// The most credit saved for a cold replica, in requests.
const MOST_CREDIT: f64 = 2.0;
/// At least this share of credits is taken to be used. Bounds what is earned in place of those lost.
const LEAST_USED: f64 = 0.3;

/// How strongly the share of cold replicas draws requests there before the others queue: a power.
const EARLY: i32 = 3;

/// The most cold replicas that a pick looks at.
const COLD_SEEN: usize = 64;

/// Timer tokens.
const TICK: u64 = 1;
const WATCH: u64 = 2;
const CHECK: u64 = 3;

/// The decision module of one gateway.
pub struct Balancer {
    pub(crate) set: Settings,
    rng: Rng,
    started: bool,
    pub(crate) replicas: Vec<Replica>,
    index: FxHashMap<ReplicaId, usize>,
    /// Those that are ready. Rule 3: picks know only these, so nothing new goes to a replica from the moment
    /// that it is known to drain or to be gone.
    members: ReadyReplicas,
    /// Weight of a replica of another zone as a home, against one of the own.
    far_weight: f64,
    /// Those of them that are taken for cold.
    cold: ReplicaSet,
    /// What a pick looks at; here so that none allocates.
    found: Vec<(usize, f64)>,
    /// Where sessions' last answers began.
    sessions: SessionAffinity,
    open: FxHashMap<RequestId, Open>,
    buckets: Vec<Bucket>,
    period: Nanos,
    last_tick: Nanos,
    beginnings: PrefixTraffic,
    pub(crate) fleet: Fleet,
    retry_budget: f64,
    watch: Watch,
    list_held: ListCoverage,
    /// Attempts to look at again, earliest first.
    checks: BinaryHeap<Reverse<(Nanos, RequestId, u32)>>,
}

impl Balancer {
    /// A gateway that has just started. Settings that cannot be decided by are refused.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let mut rng = Rng::with_seed(seed);
        let n = set.router_count as f64;
        let period = (PERIOD_PER_GATEWAY_S * n).clamp(PERIOD_S.0, PERIOD_S.1);
        // Without tenants all traffic is one tenant without a limit: same path, bucket never empty.
        let quotas: Vec<f64> = match set.tenants.is_empty() {
            true => vec![f64::INFINITY],
            false => set.tenants.iter().map(|t| t.quota_per_s).collect(),
        };
        let bucket = |quota: f64, rng: &mut Rng| Bucket {
            quota,
            rate: quota,
            // Guards against N full bursts after a start or restart: each gateway begins with its share.
            level: BURST_S * quota / n * 2.0 * rng.f64().max(0.01),
            at: 0,
            served: 0,
            own_rate: 0.0,
            peer_rate: 0.0,
            scale_sum: 0.0,
            peers: vec![PeerRate::default(); set.router_count as usize],
        };
        let buckets = quotas.iter().map(|&q| bucket(q, &mut rng)).collect();
        Ok(Balancer {
            rng,
            started: false,
            replicas: Vec::new(),
            index: FxHashMap::default(),
            members: ReadyReplicas::default(),
            far_weight: (-set.cross_zone_cost / CROSS_SCALE).exp().max(1e-6),
            cold: ReplicaSet::default(),
            found: Vec::with_capacity(MAX_PREFERRED_REPLICAS + SAMPLED * 2 + COLD_SEEN + 1),
            sessions: SessionAffinity::default(),
            open: FxHashMap::default(),
            buckets,
            period: (period * SECOND as f64) as Nanos,
            last_tick: 0,
            beginnings: PrefixTraffic::default(),
            retry_budget: RETRY_MOST,
            watch: Watch::default(),
            list_held: ListCoverage::default(),
            fleet: Fleet::begin(OVERLOADED),
            checks: BinaryHeap::new(),
            set,
        })
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.start(now, out);
        }
        match event {
            Event::EndpointList { kind, rows } => self.on_list(now, kind, rows, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstToken { request, attempt, elapsed: after } => {
                self.on_first(now, request, attempt, after)
            }
            Event::AttemptEnded(ended) => self.on_ended(now, ended, out),
            Event::ClientLeft(id) => self.close(id),
            Event::Timer(TICK) => self.on_tick(now, out),
            Event::Timer(WATCH) => self.on_watch(now, out),
            Event::Timer(CHECK) => self.on_check(now, out),
            Event::Timer(_) => {}
            Event::ProbeEnded { replica, outcome, load } => match self.index.get(&replica) {
                Some(&i) if outcome == Outcome::Completed => self.note_load(now, i, &load),
                _ => {}
            },
            Event::PeerMessage { from, bytes } => self.on_report(now, from, &bytes),
        }
    }

    fn start(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.started = true;
        (self.fleet.started, self.last_tick) = (now, now);
        for b in &mut self.buckets {
            b.at = now;
            b.peers.iter_mut().for_each(|p| p.at = now);
        }
        // Staggered, so that peers' reports do not land together.
        let phase = self.period * u64::from(self.set.own_index.0) / u64::from(self.set.router_count);
        out.push(Action::WakeAt { at: now + self.period / 2 + phase, token: TICK });
        if let EndpointListMode::Polled { max_poll_interval: must_ask_in } = self.set.list_mode {
            // All gateways may have started together: the list could not answer them at once.
            let jitter = 0.3 * self.rng.f64();
            self.ask_at(now + (must_ask_in as f64 * jitter) as Nanos, out);
        }
    }

    // ---- Membership ----

    fn on_list(&mut self, now: Nanos, kind: ListUpdate, rows: Vec<EndpointEntry>, out: &mut Vec<Action>) {
        if kind == ListUpdate::Failed {
            self.list_held.watch_ended(now);
            // Either a call failed or the subscription ended, which is not said: ask again, later each time.
            if let EndpointListMode::Polled { max_poll_interval: must_ask_in } = self.set.list_mode {
                self.watch.on = false;
                self.watch.fails = (self.watch.fails + 1).min(4);
                let wait = must_ask_in as f64 * 0.1 * f64::from(self.watch.fails);
                let wait = wait.min(MAX_LIST_POLL_DELAY as f64) * (0.5 + 0.5 * self.rng.f64());
                self.ask_at(now + wait as Nanos, out);
            }
            return;
        }
        if kind != ListUpdate::Cached {
            self.watch.on = true;
            self.watch.fails = 0;
        }
        if kind != ListUpdate::Delta {
            // Whoever is not in a full list is gone.
            let listed: FxHashSet<_> = rows.iter().map(|r| r.replica).collect();
            for i in 0..self.replicas.len() {
                let row = &self.replicas[i].row;
                if !listed.contains(&row.replica) {
                    self.enlist(i, EndpointEntry { state: EndpointState::Gone, ..row.clone() });
                }
            }
        }
        for row in rows {
            match self.index.get(&row.replica) {
                Some(&i) => {
                    // Another start, earlier or later: a clock that was set back tells an earlier one.
                    let restarted = row.started_at != self.replicas[i].row.started_at && row.started_at > 0;
                    self.enlist(i, row);
                    if restarted {
                        self.reset(now, i);
                    }
                }
                None if row.state == EndpointState::Gone => {}
                None => {
                    let i = self.free_slot();
                    self.index.insert(row.replica, i);
                    self.enlist(i, row);
                    self.reset(now, i);
                }
            }
        }
        if kind != ListUpdate::Cached {
            self.list_held.watch_began();
        }
        self.fleet.first_nodes(self.members.ready.all().len());
    }

    /// The list's word on a replica.
    fn enlist(&mut self, i: usize, row: EndpointEntry) {
        let was = std::mem::replace(&mut self.replicas[i].row, row);
        self.members.apply_entry(i, &was, &self.replicas[i].row, self.set.zone);
        self.note_cold(i);
    }

    /// Keeps the cold apart: those that are ready and taken for cold. Rule 3: no others.
    fn note_cold(&mut self, i: usize) {
        let r = &self.replicas[i];
        match r.row.state == EndpointState::Ready && r.cold_from.is_some() {
            true => self.cold.add(i),
            false => self.cold.remove(i),
        };
    }

    /// A place for a new replica: that of one gone for good, or one more.
    fn free_slot(&mut self) -> usize {
        let Some(i) = self.members.reuse_index(|i| self.replicas[i].open == 0) else {
            self.replicas.push(Replica::default());
            return self.replicas.len() - 1;
        };
        let left = std::mem::take(&mut self.replicas[i]);
        self.index.remove(&left.row.replica);
        i
    }

    /// A replica is new or has started again: nothing known of it holds any longer.
    fn reset(&mut self, now: Nanos, i: usize) {
        // Spaced evenly short of a request: somewhere one can be sent at any time, and never by all at once.
        let row = &self.replicas[i].row;
        let turn = turn(mix(row.replica.0, row.started_at), self.set.own_index.0, self.set.router_count);
        let (cold, peak) = (self.set.warm_up_time, self.fleet.peak);
        let r = &mut self.replicas[i];
        (r.wait, r.sampled_at, r.pace) = (peak, 0, DecodeRate::default());
        (r.fails, r.eject_for, r.ejected_until, r.trial) = (0, EJECT.0, 0, false);
        (r.unread, r.reported_at, r.served_at) = (0.0, 0, 0);
        let start = r.row.started_at;
        let believed = self.list_held.plausible_start(now, start);
        r.cold_from = (start > 0 && now < believed.saturating_add(cold)).then_some(believed);
        (r.cold_credit, r.cold_at) = (1.0 - turn, now);
        self.note_cold(i);
    }

    fn on_watch(&mut self, now: Nanos, out: &mut Vec<Action>) {
        match self.set.list_mode {
            EndpointListMode::Polled { max_poll_interval: must_ask_in }
                if !self.watch.on && now >= self.watch.at =>
            {
                out.push(Action::WatchEndpoints);
                self.ask_at(now + must_ask_in / 2, out); // The answer may be lost: ask again in good time.
            }
            _ => {}
        }
    }

    fn ask_at(&mut self, at: Nanos, out: &mut Vec<Action>) {
        self.watch.at = at;
        out.push(Action::WakeAt { at, token: WATCH });
    }

    // ---- Admission ----

    /// Takes a token; false if the bucket holds none.
    fn take(&mut self, now: Nanos, tenant: usize) -> bool {
        self.refill(now, tenant);
        let b = &mut self.buckets[tenant];
        let granted = b.level > 1.0 - 1e-6;
        b.level -= f64::from(u8::from(granted));
        granted
    }

    fn refill(&mut self, now: Nanos, tenant: usize) {
        let n = f64::from(self.set.router_count);
        // Exception: what is late, lost or refused by chance leaves a tenant short of its quota. While first
        // tokens come early there is room to make up for it.
        let headroom = HEADROOM * (1.0 - self.fleet.strain / STRAINED).max(0.0);
        // Exception: once first tokens take most of the aim, all tenants are cut alike, before all come late.
        let cut = (OVERLOADED / self.fleet.strain.max(1e-9)).clamp(LEAST_RATE, 1.0);
        let b = &mut self.buckets[tenant];
        let dt = now.saturating_sub(b.at) as f64 / SECOND as f64;
        b.at = now;
        if b.quota.is_infinite() {
            b.level = f64::INFINITY;
            return;
        }
        // Exception to plain subtraction: between reports the bucket drains by the peers' smoothed rate,
        // scaled down where all together are over quota, so that gateways share the quota as they do the
        // traffic. Guards against buckets that refill unseen and reopen in step at every gateway.
        b.rate = b.quota * (1.0 + headroom) * cut;
        let (scale, share) = b.split(n);
        b.scale_sum += scale * dt;
        let cap = (BURST_S * b.rate * share).max(MIN_BURST);
        b.level = (b.level + (b.rate - scale * b.peer_rate) * dt).clamp(-cap, cap);
    }

    fn on_request(&mut self, now: Nanos, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        request.class.0 = request.class.0.min(self.set.classes.len() as u32 - 1);
        request.tenant.0 = request.tenant.0.min(self.buckets.len() as u32 - 1);
        request.prefix_tokens = request.prefix_tokens.min(request.prompt_tokens);
        let tenant = request.tenant.0 as usize;
        // The share of each beginning in the traffic, over some seconds, decides how many homes it gets.
        self.beginnings.record(now, request.prefix);
        self.fleet.note_request();
        let deadline = now.saturating_add(request.time_left);
        // A stream that comes back was paid for when it first came.
        let returned = request.resumes_stream;
        let paid = returned || self.take(now, tenant);
        let open = Open { paid: paid && !returned, ..Open::new(now, deadline, request) };
        // Refused early: no token, or no replica that would begin in time.
        let pick = if paid { self.pick(now, &open) } else { None };
        let pick = pick.filter(|p| self.in_time(now, &open, p));
        self.open.insert(id, open);
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(RETRY_MOST);
        match pick {
            Some(p) => self.send(now, id, p, out),
            None if paid => self.refuse_for_room(id, out),
            None => self.refuse_for_share(id, tenant, out),
        }
    }

    fn aim(&self, r: &Request) -> f64 {
        self.set.classes[r.class.0 as usize].latency_objective_for(r.prompt_tokens)
    }

    /// Whether an attempt is likely to begin in time: the replica is not known to take longer, and there is
    /// left what first tokens take on the average. What is called off costs replicas work, and others time.
    fn in_time(&self, now: Nanos, open: &Open, pick: &Pick) -> bool {
        let left = open.deadline.saturating_sub(now) as f64;
        let mean = self.fleet.strain_at(now) * self.aim(&open.request);
        pick.wait < self.wanted_in(now, open) && mean < left
    }

    /// So many ns from now a first token is wanted: before the client leaves; under strain within the aim,
    /// where late answers earn less. Those that lost their kept tokens would delay the others.
    fn wanted_in(&self, now: Nanos, open: &Open) -> f64 {
        let (r, left) = (&open.request, open.deadline.saturating_sub(now) as f64);
        let late_pays = r.resumes_stream || self.set.classes[r.class.0 as usize].late_value_share >= 1.0;
        let bound = !late_pays && self.fleet.strain_at(now) >= HEDGE_STRAIN;
        left.min(if bound { self.aim(r) - now.saturating_sub(open.arrived) as f64 } else { left })
    }

    // ---- Pick ----

    fn smoothed(&self, now: Nanos, r: &Replica) -> f64 {
        if r.sampled_at == 0 {
            return self.fleet.peak.max(r.wait);
        }
        self.fleet.wait + (r.wait - self.fleet.wait) * fresh(now, r.sampled_at)
    }

    /// Nanoseconds to read a prompt token, fitted to the own first tokens.
    fn per_token(&self) -> f64 {
        let prior = SECOND as f64 / READ_PER_S;
        self.fleet.fit.slope(prior).clamp(prior / 10.0, prior * 5.0)
    }

    fn pick(&mut self, now: Nanos, open: &Open) -> Option<Pick> {
        if self.members.ready.all().is_empty() {
            return None;
        }
        let r = &open.request;
        let per_token = self.per_token();
        let aim = self.aim(r);
        let (prompt, prefix) = (f64::from(r.prompt_tokens), f64::from(r.prefix_tokens));
        let session = r.session.map_or(0, |s| s.0);
        let mut found = std::mem::take(&mut self.found);
        found.clear();
        let mut known = usize::MAX;
        if let Some(key) = r.prefix.map(|p| p.0).or(r.session.map(|s| s.0)) {
            let (near, all) = (self.members.nearby.all().len() as f64, self.members.ready.all().len() as f64);
            let reach = near + (all - near) * self.far_weight;
            // Told by few requests the share is a guess, another one at each gateway. As far as it is, all
            // are homes, which gateways agree on: a session's turns meet at one, whoever gets them.
            let share = self.beginnings.share(r.prefix, 1.0 / HOMES_PER_SHARE, SHARE_DOUBT);
            let spread = share * reach * HOMES_PER_SHARE;
            // More homes than a pick looks at: the beginning is split; gateways agree on a session's part.
            let parts = (spread / MAX_PREFERRED_REPLICAS as f64).max(1.0).log2().ceil().exp2();
            let key = if parts > 1.0 { mix(key, mix(session, 0) % parts as u64) } else { key };
            let spread = (spread / parts).clamp(LEAST_HOMES, MAX_PREFERRED_REPLICAS as f64);
            let homes = self
                .members
                .preferred_replicas(key, self.set.zone, self.far_weight, |i| &self.replicas[i].row);
            // Among the homes a session has one of its own, drawn by weighted rendezvous: gateways whose
            // views of the beginning's share differ a little still agree for most sessions.
            let mut own = (f64::MAX, 0);
            for (rank, &i) in homes.iter().enumerate() {
                let weight = (-(rank as f64) / spread).exp();
                let row = &self.replicas[i].row;
                let race = unit_race(mix(session, row.replica.0)) / (weight * self.fleet.speed(row.kind));
                if race < own.0 {
                    own = (race, rank);
                }
                found.push((i, prompt - prefix * weight.max(self.fleet.stray_kept)));
            }
            if r.session.is_some() {
                // Its home, unless its last answer here began elsewhere: then the rest was read there.
                let holder = self.sessions.last_replica(now, session);
                let place = holder.and_then(|h| self.index.get(&h.replica).copied().zip(Some(h)));
                let held = place.filter(|&(i, h)| self.replicas[i].holds(&h));
                match held.filter(|&(i, _)| i != homes[own.1]) {
                    None => found[own.1].1 = 0.0,
                    Some((i, h)) => {
                        let unread = (prompt - f64::from(h.tokens)).max(0.0);
                        match found.iter_mut().find(|f| f.0 == i) {
                            Some(f) => f.1 = f.1.min(unread),
                            None => found.push((i, unread)),
                        }
                    }
                }
                known = held.map_or(known, |(i, _)| i);
            }
        }
        for k in 0..SAMPLED * 2 {
            let (near, ready) = (self.members.nearby.all(), self.members.ready.all());
            let pool = if k < SAMPLED && !near.is_empty() { near } else { ready };
            let i = pool[self.rng.usize(..pool.len())];
            if !found.iter().any(|f| f.0 == i) {
                found.push((i, prompt - prefix * self.fleet.stray_kept));
            }
        }
        // Few requests would draw a cold replica while there is credit for it, and with many gateways each
        // has little: so those with credit are all looked at.
        let cold = self.cold.all();
        let first = if cold.is_empty() { 0 } else { self.rng.usize(..cold.len()) };
        for &i in cold[first..].iter().chain(&cold[..first]).take(COLD_SEEN) {
            // One that is warm by now is like the others: looked at by every pick, it would run over.
            if self.is_cold(now, &self.replicas[i]) && !found.iter().any(|f| f.0 == i) {
                found.push((i, prompt - prefix * self.fleet.stray_kept));
            }
        }
        let spared = (1.0 - cold.len() as f64 / self.members.ready.all().len() as f64).powi(EARLY);
        let many = self.members.ready.all().len() > MAX_SCANNED_REPLICAS;
        let mut chosen: Option<((bool, f64), Pick)> = None;
        for &(i, unread) in &found {
            // A replica that has just started keeps little, home or not, but what it is known to hold.
            let unread = match self.replicas[i].cold_from {
                Some(from) if i != known => {
                    prefix_cache::uncached_tokens_after_start(unread, prompt, now.saturating_sub(from))
                }
                _ => unread,
            };
            if !self.eligible(now, i, open) {
                continue;
            }
            let c = &self.replicas[i];
            let age = now.saturating_sub(c.reported_at) as f64 / SECOND as f64;
            let backlog = c.unread * (-age).exp2();
            let crowd = if c.sampled_at > 0 { c.crowd } else { self.fleet.crowd };
            let smoothed = self.smoothed(now, c) / crowd.max(1.0);
            let base = smoothed * f64::from(1 + c.open);
            let read = (unread + backlog) * per_token / self.fleet.speed(c.row.kind);
            // What queues everywhere queues less at one just started, the less it is sent of what it can do.
            // One not met lately queues by as much more or less as its kind does.
            let kind =
                (self.fleet.wait_of(now, c.row.kind) - self.fleet.wait) * (1.0 - fresh(now, c.sampled_at));
            let queue = (self.fleet.wait.min(smoothed) + kind).max(0.0) * self.warmth(now, c);
            let queued = first_token_wait::queueing_wait(queue, aim);
            // What has waited longest without a token tells the least that the next one may wait.
            let oldest = c.waiting.first().map_or(0.0, |&t| now.saturating_sub(t) as f64);
            let far = c.row.zone != self.set.zone;
            let cross = if far { CROSS_AIMS * self.set.cross_zone_cost * aim } else { 0.0 };
            // Without a sample no more than the reading is known.
            let wait = (if c.sampled_at > 0 { base + read } else { read }).max(oldest);
            // Ranked by what is believed, admitted by what was sampled: the first compares replicas,
            // the second asks whether there is time.
            // The more are cold, the more the others carry, and that shows only once they queue: so reading
            // at a cold one counts for less, where it still begins within the aim.
            let early = self.is_cold(now, c) && base + read / self.warmth(now, c) < aim;
            let reading = if early { read * spared } else { read };
            let connected = !many || c.is_connected(now, self.set.idle_timeout);
            let connect = if connected { 0.0 } else { CONNECT_SHARE * aim };
            let rank =
                first_token_wait::ranked_wait(smoothed, aim, c.open) + reading + cross + queued + connect;
            let pick = Pick { replica: i, unread, wait };
            // Ties are broken at random.
            let rank = rank * (1.0 + 1e-6 * self.rng.f64());
            // Whoever is left out goes last, however many are; if all are, it may be the own view.
            let out = c.ejected_until > now || (c.ejected_until > 0 && c.trial);
            if chosen.as_ref().is_none_or(|(best, _)| (out, rank) < *best) {
                chosen = Some(((out, rank), pick));
            }
        }
        self.found = found;
        chosen.map(|(_, p)| p)
    }

    /// Whether an attempt of this request may go to a replica now.
    fn eligible(&self, now: Nanos, i: usize, open: &Open) -> bool {
        let r = &self.replicas[i];
        let tried = open.attempts.iter().any(|a| a.row.replica == r.row.replica);
        // Rules 2 and 4.
        let repeats = open.may_repeat(now, self.effect(open), &r.row, self.set.concurrent_attempts);
        !tried && repeats && (!self.is_cold(now, r) || self.cold_credit(now, r) >= 1.0)
    }

    fn effect(&self, open: &Open) -> Effect {
        self.set.classes[open.request.class.0 as usize].effect
    }

    fn may_refuse(&self, open: &Open) -> bool {
        self.effect(open).may_reject(open.may_have_run())
    }

    /// Whether a replica is within its cold time.
    pub(crate) fn is_cold(&self, now: Nanos, r: &Replica) -> bool {
        r.cold_from.is_some_and(|from| now < from.saturating_add(self.set.warm_up_time))
    }

    /// What a replica is taken to be able to do, as a share of what it can when warm.
    pub(crate) fn warmth(&self, now: Nanos, r: &Replica) -> f64 {
        let age = |from| now.saturating_sub(from);
        r.cold_from.map_or(1.0, |from| {
            warm_up::capacity_share(age(from), self.set.warm_up_time, self.set.initial_capacity_share)
        })
    }

    /// Rule 4: this gateway sends a cold replica at most its part of what the rule allows: the stated
    /// multiple of its own mean flow per replica, times the warm share, and less where its kind is slow. N
    /// gateways doing so sum to that of the fleet, however uneven, and whoever dies leaves its part to
    /// those that get its traffic. A request costs one. A whole credit not used within the time of the rule
    /// is lost: guards against hundreds of gateways that each keep one and use them together, when the
    /// others have no room. So a gateway with few requests gains by as much more as it will lose. Replicas
    /// that leave at once don't raise the mean flow of the others: what is left of a fleet can do no more
    /// than before.
    fn cold_credit(&self, now: Nanos, r: &Replica) -> f64 {
        let fall = self.set.overload_window as f64 / SECOND as f64;
        let since = now.saturating_sub(self.last_tick);
        let flow = self.fleet.flow(now, since);
        let used = (1.0 - (-self.fleet.demand(since).max(flow) * fall).exp()).max(LEAST_USED);
        let share = self.warmth(now, r) * self.fleet.speed(r.row.kind).min(1.0);
        let gain = self.set.overload_multiple * flow / self.fleet.nodes.max(1.0) * share / used;
        let dt = now.saturating_sub(r.cold_at) as f64 / SECOND as f64;
        let saved = r.cold_credit + dt * gain;
        let most = (1.0 + gain * fall).min(MOST_CREDIT);
        let over = (saved - most).max(0.0);
        // Whole credits are lost; where two or more are earned within that time, only what is over the most.
        saved - if most < MOST_CREDIT { over.ceil() } else { over }
    }

    // ---- Attempts ----

    fn send(&mut self, now: Nanos, id: RequestId, pick: Pick, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let left = open.deadline.saturating_sub(now);
        let aim = self.aim(&open.request);
        let more = (open.attempts.len() as u32 + 1) < self.set.max_attempts;
        // Leave room for another attempt, unless there will be none. Where attempts can be called off,
        // a check after this time tells silence from slowness; elsewhere it is the time-out.
        let spent = now.saturating_sub(open.arrived) as f64;
        // Patience grows with what first tokens take now and with what may have to be read: in a jam, calling
        // slow attempts off and ejecting the slow would only make more work.
        let unsure = READ_PATIENCE * f64::from(open.request.prompt_tokens) * self.per_token();
        let patience =
            (TRY_SHARE * aim + unsure).max(3.0 * pick.wait).max(PATIENCE * self.fleet.strain * aim);
        let patience = patience.max(0.5 * (aim - spent)).min(left as f64 * 0.7);
        let limit = if more && !self.set.can_cancel { patience } else { left as f64 };
        let patient_until = now + patience as Nanos;
        if more && self.set.can_cancel {
            let hedge = (HEDGE_SHARE * aim + unsure).max(3.0 * pick.wait);
            let hedges = self.set.concurrent_attempts && self.fleet.strain < HEDGE_STRAIN && hedge < patience;
            let hedge = hedges.then_some(now + hedge as Nanos);
            for at in hedge.into_iter().chain([patient_until]) {
                self.checks.push(Reverse((at, id, open.attempts.len() as u32)));
                out.push(Action::WakeAt { at, token: CHECK });
            }
        }
        let i = pick.replica;
        if self.is_cold(now, &self.replicas[i]) {
            let credit = self.cold_credit(now, &self.replicas[i]) - 1.0;
            let r = &mut self.replicas[i];
            (r.cold_credit, r.cold_at) = (credit, now);
        } else {
            self.replicas[i].cold_from = None;
            self.note_cold(i);
        }
        let r = &mut self.replicas[i];
        let crowd = f64::from(1 + r.open);
        r.open += 1;
        if r.asked == 0 {
            r.asked = now;
        }
        r.waiting.push(now);
        if r.fails > 0 && r.ejected_until > 0 {
            r.trial = true;
        }
        let (replica, row) = (r.row.replica, r.row.clone());
        let open = self.open.get_mut(&id).expect("looked up above");
        open.attempts.push(Attempt {
            replica: i,
            row,
            sent: now,
            unread: pick.unread,
            crowd,
            first: 0,
            patient_until,
            outcome: None,
        });
        out.push(Action::Send { request: id, replica, timeout: (limit as Nanos).max(1) });
    }

    /// Attempts without a first token after their patience: called off if their replica is silent.
    fn on_check(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some(&Reverse((at, id, attempt))) = self.checks.peek().filter(|c| c.0 .0 <= now) {
            self.checks.pop();
            let Some(o) = self.open.get(&id) else { continue };
            let Some(a) = o.attempts.get(attempt as usize) else { continue };
            if at < a.patient_until {
                if self.replicas[a.replica].heard < a.sent {
                    self.hedge(now, id, out);
                }
                continue;
            }
            // A replica that has begun another answer since is alive: waiting on beats starting over. So it
            // does where no other is likely to be in time, if late answers earn anything and it can be told.
            let silent = self.replicas[a.replica].heard < a.sent;
            let waits = !o.answered && !o.started && a.outcome.is_none() && silent;
            let earns = self.set.classes[o.request.class.0 as usize].late_value_share > 0.0;
            let asks = earns && self.set.concurrent_attempts;
            if waits && self.retry_budget >= 1.0 && (!asks || self.another(now, id).is_some()) {
                out.push(Action::Cancel { request: id, attempt });
            }
        }
    }

    /// One attempt is out and has not begun where most have: a second copy, if that is likely to be in time.
    fn hedge(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        // Those that have just started are slow by nature, and more work makes them slower.
        let young = self.cold.all().iter().any(|&i| self.is_cold(now, &self.replicas[i]));
        let calm = self.fleet.strain < HEDGE_STRAIN && self.retry_budget >= 1.0 && !young;
        let Some(o) = self.open.get(&id).filter(|o| calm && !o.answered && !o.started) else { return };
        let left = self.aim(&o.request) - now.saturating_sub(o.arrived) as f64;
        let out_now = o.attempts.iter().filter(|a| a.outcome.is_none()).count();
        let pick = if out_now == 1 { self.another(now, id) } else { None };
        if let Some(p) = pick.filter(|p| p.wait < left) {
            self.retry_budget -= 1.0;
            self.send(now, id, p, out);
        }
    }

    fn refuse(&mut self, id: RequestId, retry_after: Nanos, why: RejectReason, out: &mut Vec<Action>) {
        self.unpay(id);
        self.close(id);
        out.push(Action::Reject { request: id, retry_after, reason: why });
    }

    /// The next token of the tenant's bucket tells when to come back; up to twice as late, so that those
    /// refused together do not come back together.
    fn refuse_for_share(&mut self, id: RequestId, tenant: usize, out: &mut Vec<Action>) {
        let b = &self.buckets[tenant];
        let wait = (1.0 - b.level) / b.quota * SECOND as f64 * (1.0 + self.rng.f64());
        self.refuse(id, (wait as Nanos).min(self.set.max_retry_after), RejectReason::QuotaExceeded, out);
    }

    /// No share is short, so no bucket tells when to come back: what first tokens wait for now does, spread
    /// out so that those refused together do not come back together.
    fn refuse_for_room(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let wait = self.fleet.wait.max(LEAST_ADVICE as f64) * (0.5 + self.rng.f64());
        self.refuse(id, (wait as Nanos).min(self.set.max_retry_after), RejectReason::NoCapacity, out);
    }

    /// A token comes back when an admitted request ends unserved.
    fn unpay(&mut self, id: RequestId) {
        if let Some(o) = self.open.get_mut(&id) {
            if o.paid && !o.counted {
                o.paid = false;
                self.buckets[o.request.tenant.0 as usize].level += 1.0;
            }
        }
    }

    /// Nothing more is owed; the entry stays until its last attempt has ended.
    fn close(&mut self, id: RequestId) {
        if let Some(o) = self.open.get_mut(&id) {
            o.answered = true;
            if o.attempts.iter().all(|a| a.outcome.is_some()) {
                self.open.remove(&id);
            }
        }
    }

    fn on_first(&mut self, now: Nanos, id: RequestId, attempt: u32, after: Nanos) {
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.first = after;
        let (i, sent, unread, crowd, life) = (a.replica, a.sent, a.unread, a.crowd, a.row.started_at);
        o.started = true;
        let aim = self.set.classes[o.request.class.0 as usize].latency_objective_for(o.request.prompt_tokens);
        let taken = now.saturating_sub(o.arrived) as f64 / aim;
        if o.paid && !o.counted {
            o.counted = true;
            let b = &mut self.buckets[o.request.tenant.0 as usize];
            b.served = b.served.saturating_add(1);
        }
        if let Some(session) = o.request.session {
            self.sessions.record(now, session.0, &a.row, o.request.prompt_tokens);
        }
        self.replicas[i].unwait(sent);
        // What is sent in a jam is no measure of what replicas can do; what they begin is.
        self.fleet.note_begun(now);
        self.fleet.note_taken(now, taken);
        if life != self.replicas[i].row.started_at {
            return; // An earlier life's answer tells nothing of this one.
        }
        self.replicas[i].pace.stream_began(now);
        let wait = (after as f64 - unread * self.per_token()).max(0.0);
        self.sample(now, i, wait, crowd);
        self.well(now, i);
    }

    fn sample(&mut self, now: Nanos, i: usize, wait: f64, crowd: f64) {
        let base = self.smoothed(now, &self.replicas[i]);
        let r = &mut self.replicas[i];
        let fresh = r.sampled_at == 0;
        r.wait = if fresh { wait } else { base + WAIT_WEIGHT * (wait - base) };
        r.crowd = if fresh { crowd } else { r.crowd + WAIT_WEIGHT * (crowd - r.crowd) };
        r.sampled_at = now;
        let kind = r.row.kind;
        self.fleet.note_wait(now, kind, wait, crowd);
    }

    fn on_ended(&mut self, now: Nanos, e: AttemptEnded, out: &mut Vec<Action>) {
        let (id, outcome, after) = (e.request, e.outcome, e.elapsed);
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(e.attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        let (i, sent, first, guess, kind) = (a.replica, a.sent, a.first, a.unread, a.row.kind);
        let (started, prompt, prefix) = (o.started, o.request.prompt_tokens, o.request.prefix_tokens);
        // What became of an earlier life's attempts tells nothing of this one: above all not that it is ill.
        let same = a.row.started_at == self.replicas[i].row.started_at;
        self.replicas[i].open = self.replicas[i].open.saturating_sub(1);
        self.replicas[i].unwait(sent);
        if same {
            if first > 0 {
                self.replicas[i].pace.stream_ended(now, outcome == Outcome::Completed);
            }
            self.note_load(now, i, &e.load);
        }
        match outcome {
            Outcome::Completed => {
                if same {
                    (self.replicas[i].heard, self.replicas[i].asked) = (now, 0);
                    self.replicas[i].served_at = now;
                }
                if let Some(kept) = e.cached_tokens {
                    let unread = f64::from(prompt.saturating_sub(kept));
                    if guess > 0.5 * f64::from(prefix) && prefix > 0 {
                        let share = f64::from(kept.min(prefix)) / f64::from(prefix);
                        self.fleet.stray_kept += FLEET_WEIGHT * (share - self.fleet.stray_kept);
                    }
                    self.fleet.note_pace(kind, after.saturating_sub(first) as f64 / SECOND as f64);
                    if first > 0 {
                        self.fleet.fit.add(unread, first as f64);
                    }
                }
            }
            _ if !same => {}
            // Called off by a check: as good as timed out.
            Outcome::Cancelled if !e.request_over && !started => {
                self.ill(now, i, Outcome::TimedOut, started, after)
            }
            // Its copy was faster: what it would have taken is at least this.
            Outcome::Cancelled if !e.request_over && first == 0 && self.replicas[i].heard < sent => {
                self.sample(now, i, after as f64, 1.0)
            }
            Outcome::TimedOut
            | Outcome::ConnectionReset
            | Outcome::ConnectionRefused
            | Outcome::ReplicaError => self.ill(now, i, outcome, started, after),
            Outcome::Rejected => self.sample(now, i, self.fleet.peak.max(after as f64), 1.0),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replicas[i].trial &= !same;
        if e.request_over || self.open.get(&id).is_none_or(|o| o.answered) {
            if outcome != Outcome::Completed {
                self.unpay(id);
            }
            return self.close(id);
        }
        let o = &self.open[&id];
        if o.attempts.iter().any(|a| a.outcome.is_none()) {
            return; // Another attempt is still out and will answer.
        }
        self.again(now, id, out);
    }

    /// No attempt is out and no answer given: another attempt, or the final answer.
    fn again(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let pick = self.another(now, id);
        let Some(refuse) = self.open.get(&id).map(|o| self.may_refuse(o)) else { return };
        match pick {
            Some(p) => {
                self.retry_budget -= 1.0;
                self.send(now, id, p, out)
            }
            None if refuse => self.refuse_for_room(id, out),
            None => {
                self.unpay(id);
                self.close(id);
                out.push(Action::Fail(id));
            }
        }
    }

    /// Where another attempt is likely to be in time, if there may be one.
    fn another(&mut self, now: Nanos, id: RequestId) -> Option<Pick> {
        let o = self.open.remove(&id)?;
        let more = (o.attempts.len() as u32) < self.set.max_attempts && self.retry_budget >= 1.0;
        let pick = if more { self.pick(now, &o) } else { None };
        let pick = pick.filter(|p| self.in_time(now, &o, p));
        self.open.insert(id, o);
        pick
    }
}
