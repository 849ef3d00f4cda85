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
const BURST_SECONDS: f64 = 4.0;
/// Report period per gateway, s: report load grows with gateways squared, so the period grows with them.
const REPORT_PERIOD_PER_ROUTER_S: f64 = 0.05;
/// The least burst of a gateway, in tokens: with less, chance clusters of a small tenant are refused.
const MIN_BURST_TOKENS: f64 = 6.0;
/// The least share of a tenant's quota that a gateway claims, as a part of an even split.
pub(crate) const MINIMUM_SHARE: f64 = 0.25;
/// Bounds of the report period, s.
const REPORT_PERIOD_RANGE_S: (f64, f64) = (0.25, 16.0);
/// Weight of a new sample in the smoothed hit rates. Counts of one period are small and thus noisy.
pub(crate) const RATE_SAMPLE_WEIGHT: f64 = 0.25;
/// A peer silent for so many periods is forecast at half, and half again each period.
const PEER_SILENCE_PERIODS: f64 = 3.0;
/// Where replicas are plainly idle, buckets fill faster by up to this share of the quota. Idle means that
/// first tokens come in a small share of the aim: none is left of it once they take
/// `NO_HEADROOM_LOAD_LEVEL` of the aim.
const MAX_HEADROOM: f64 = 0.5;
const NO_HEADROOM_LOAD_LEVEL: f64 = 0.4;
/// Beyond this share of the aim quotas are cut in proportion, down to `MIN_QUOTA_SHARE` of them.
const OVERLOAD_LOAD_LEVEL: f64 = 0.35;
const MIN_QUOTA_SHARE: f64 = 0.2;
/// Weight of a new sample in a replica's smoothed wait; a gateway has few streams on each.
const WAIT_SAMPLE_WEIGHT: f64 = 0.3;
/// The least weight of a new sample in what is smoothed over all replicas, and the time, s, after which the
/// newer samples have half of it, however few they are: with many gateways each has one in a second or two.
pub(crate) const MIN_SAMPLE_WEIGHT: f64 = 0.04;
pub(crate) const SAMPLE_HALF_LIFE_S: f64 = 3.0;
/// Replicas drawn at random for a pick, beside the likely holders of the prompt.
const RANDOM_CANDIDATES: usize = 4;
/// The fewest homes of a beginning, so that one slow home does not hold it up.
const MIN_PREFERRED: f64 = 2.0;
/// Homes per replica's worth of a beginning's traffic.
const PREFERRED_PER_SHARE: f64 = 5.0;
/// A beginning's share of the traffic is believed for a half after so many requests: enough to tell one of a
/// twentieth, a node's worth times five in a hundred, to within a third of itself.
const PREFIX_SHARE_DOUBT: f64 = 150.0;
/// Tokens read per second before any sample says otherwise.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// A replica of another zone is a home e times less likely for each so much of the price of crossing.
const CROSS_ZONE_PREFERENCE_SCALE: f64 = 0.05;
/// Crossing a zone is worth this many aims of waiting for each unit of its price.
const CROSS_ZONE_OBJECTIVES: f64 = 3.0;
/// In a fleet beyond [`MAX_SCANNED_REPLICAS`] a replica without a connection at rest is worth this share of
/// the aim less: where each request went to whoever is best by a hair, nearly each would open a connection.
const CONNECT_OBJECTIVE_SHARE: f64 = 0.1;
/// An attempt may wait for its first token for this share of the aim while another is affordable. What is
/// called off goes on where it ran: sooner, and a jam feeds itself.
const TIMEOUT_OBJECTIVE_SHARE: f64 = 1.2;
/// It may read its whole prompt so many times over, as others may be read before it.
const TIMEOUT_PREFILL_MULTIPLE: f64 = 1.5;
/// And always for so many times what first tokens take on the average.
const TIMEOUT_LOAD_MULTIPLE: f64 = 4.0;
/// Without a first token after this share of the aim and the reading of the prompt, a second copy goes to
/// another replica, if its own is silent and first tokens take less than `HEDGE_MAX_LOAD_LEVEL` of the aim:
/// where most begin at once, waiting out the patience only makes the answer late. In a jam it makes more
/// work.
const HEDGE_OBJECTIVE_SHARE: f64 = 0.4;
const HEDGE_MAX_LOAD_LEVEL: f64 = 0.15;
/// A replica heard again after so long may have started anew in between: it is taken for cold.
const RESTART_SUSPECTED_AFTER: Nanos = 3 * SECOND;
/// Further attempts earned by each request, and the most that can be saved.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Failures in a row that eject a replica; one is enough where the connection was refused.
const FAILURES_TO_EJECT: u32 = 3;
/// First and longest time of an ejection, ns.
const EJECTION_TIME_RANGE: (Nanos, Nanos) = (3 * SECOND, 24 * SECOND);

/// The least advice to a client refused for want of room.
const MIN_RETRY_AFTER: Nanos = SECOND / 10;

/// The most credit saved for a cold replica, in requests.
const MAX_CREDIT: f64 = 2.0;
/// At least this share of credits is taken to be used. Bounds what is earned in place of those lost.
const MIN_CREDIT_USE: f64 = 0.3;

/// How strongly the share of cold replicas draws requests there before the others queue: a power.
const WARMING_SHARE_POWER: i32 = 3;

/// The most cold replicas that a pick looks at.
const MAX_WARMING_CANDIDATES: usize = 64;

/// Timer tokens.
const REPORT_TIMER: u64 = 1;
const LIST_POLL_TIMER: u64 = 2;
const ATTEMPT_CHECK_TIMER: u64 = 3;

/// The decision module of one gateway.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Rng,
    started: bool,
    pub(crate) replicas: Vec<Replica>,
    slots: FxHashMap<ReplicaId, usize>,
    /// Those that are ready. Rule 3: picks know only these, so nothing new goes to a replica from the moment
    /// that it is known to drain or to be gone.
    membership: ReadyReplicas,
    /// Weight of a replica of another zone as a home, against one of the own.
    other_zone_weight: f64,
    /// Those of them that are taken for cold.
    warming_up: ReplicaSet,
    /// What a pick looks at; here so that none allocates.
    candidates: Vec<(usize, f64)>,
    /// Where sessions' last answers began.
    sessions: SessionAffinity,
    requests: FxHashMap<RequestId, RequestState>,
    buckets: Vec<LeakyBucket>,
    report_period: Nanos,
    last_report_at: Nanos,
    prefix_traffic: PrefixTraffic,
    pub(crate) statistics: ReplicaStatistics,
    retry_budget: f64,
    list_polling: ListPolling,
    list_held: ListCoverage,
    /// Attempts to look at again, earliest first.
    attempt_checks: BinaryHeap<Reverse<(Nanos, RequestId, u32)>>,
}

impl Balancer {
    /// A gateway that has just started. Settings that cannot be decided by are refused.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let mut rng = Rng::with_seed(seed);
        let n = set.router_count as f64;
        let period = (REPORT_PERIOD_PER_ROUTER_S * n).clamp(REPORT_PERIOD_RANGE_S.0, REPORT_PERIOD_RANGE_S.1);
        // Without tenants all traffic is one tenant without a limit: same path, bucket never empty.
        let quotas: Vec<f64> = match set.tenants.is_empty() {
            true => vec![f64::INFINITY],
            false => set.tenants.iter().map(|t| t.quota_per_s).collect(),
        };
        let bucket = |quota: f64, rng: &mut Rng| LeakyBucket {
            quota_per_s: quota,
            refill_per_s: quota,
            // Guards against N full bursts after a start or restart: each gateway begins with its share.
            tokens: BURST_SECONDS * quota / n * 2.0 * rng.f64().max(0.01),
            updated_at: 0,
            served_since_report: 0,
            own_served_per_s: 0.0,
            peers_served_per_s: 0.0,
            drain_integral: 0.0,
            peers: vec![PeerRate::default(); set.router_count as usize],
        };
        let buckets = quotas.iter().map(|&q| bucket(q, &mut rng)).collect();
        Ok(Balancer {
            rng,
            started: false,
            replicas: Vec::new(),
            slots: FxHashMap::default(),
            membership: ReadyReplicas::default(),
            other_zone_weight: (-set.cross_zone_cost / CROSS_ZONE_PREFERENCE_SCALE).exp().max(1e-6),
            warming_up: ReplicaSet::default(),
            candidates: Vec::with_capacity(
                MAX_PREFERRED_REPLICAS + RANDOM_CANDIDATES * 2 + MAX_WARMING_CANDIDATES + 1,
            ),
            sessions: SessionAffinity::default(),
            requests: FxHashMap::default(),
            buckets,
            report_period: (period * SECOND as f64) as Nanos,
            last_report_at: 0,
            prefix_traffic: PrefixTraffic::default(),
            retry_budget: MAX_SAVED_RETRIES,
            list_polling: ListPolling::default(),
            list_held: ListCoverage::default(),
            statistics: ReplicaStatistics::with_load_level(OVERLOAD_LOAD_LEVEL),
            attempt_checks: BinaryHeap::new(),
            settings: set,
        })
    }

    /// Takes one event at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.start(now, out);
        }
        match event {
            Event::EndpointList { kind, rows } => self.handle_list_update(now, kind, rows, out),
            Event::Request(request) => self.handle_request(now, request, out),
            Event::FirstToken { request, attempt, elapsed: after } => {
                self.handle_first_token(now, request, attempt, after)
            }
            Event::AttemptEnded(ended) => self.handle_attempt_ended(now, ended, out),
            Event::ClientLeft(id) => self.close_request(id),
            Event::Timer(REPORT_TIMER) => self.end_report_period(now, out),
            Event::Timer(LIST_POLL_TIMER) => self.poll_list(now, out),
            Event::Timer(ATTEMPT_CHECK_TIMER) => self.check_attempts(now, out),
            Event::Timer(_) => {}
            Event::ProbeEnded { replica, outcome, load } => match self.slots.get(&replica) {
                Some(&i) if outcome == Outcome::Completed => self.record_load_report(now, i, &load),
                _ => {}
            },
            Event::PeerMessage { from, bytes } => self.apply_peer_report(now, from, &bytes),
        }
    }

    fn start(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.started = true;
        (self.statistics.started_at, self.last_report_at) = (now, now);
        for b in &mut self.buckets {
            b.updated_at = now;
            b.peers.iter_mut().for_each(|p| p.updated_at = now);
        }
        // Staggered, so that peers' reports do not land together.
        let phase =
            self.report_period * u64::from(self.settings.own_index.0) / u64::from(self.settings.router_count);
        out.push(Action::WakeAt { at: now + self.report_period / 2 + phase, token: REPORT_TIMER });
        if let EndpointListMode::Polled { max_poll_interval: must_ask_in } = self.settings.list_mode {
            // All gateways may have started together: the list could not answer them at once.
            let jitter = 0.3 * self.rng.f64();
            self.schedule_poll(now + (must_ask_in as f64 * jitter) as Nanos, out);
        }
    }

    // ---- Membership ----

    fn handle_list_update(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        rows: Vec<EndpointEntry>,
        out: &mut Vec<Action>,
    ) {
        if kind == ListUpdate::Failed {
            self.list_held.watch_ended(now);
            // Either a call failed or the subscription ended, which is not said: ask again, later each time.
            if let EndpointListMode::Polled { max_poll_interval: must_ask_in } = self.settings.list_mode {
                self.list_polling.subscribed = false;
                self.list_polling.failures = (self.list_polling.failures + 1).min(4);
                let wait = must_ask_in as f64 * 0.1 * f64::from(self.list_polling.failures);
                let wait = wait.min(MAX_LIST_POLL_DELAY as f64) * (0.5 + 0.5 * self.rng.f64());
                self.schedule_poll(now + wait as Nanos, out);
            }
            return;
        }
        if kind != ListUpdate::Cached {
            self.list_polling.subscribed = true;
            self.list_polling.failures = 0;
        }
        if kind != ListUpdate::Delta {
            // Whoever is not in a full list is gone.
            let listed: FxHashSet<_> = rows.iter().map(|r| r.replica).collect();
            for i in 0..self.replicas.len() {
                let row = &self.replicas[i].entry;
                if !listed.contains(&row.replica) {
                    self.apply_entry(i, EndpointEntry { state: EndpointState::Gone, ..row.clone() });
                }
            }
        }
        for row in rows {
            match self.slots.get(&row.replica) {
                Some(&i) => {
                    // Another start, earlier or later: a clock that was set back tells an earlier one.
                    let restarted = row.started_at != self.replicas[i].entry.started_at && row.started_at > 0;
                    self.apply_entry(i, row);
                    if restarted {
                        self.reset_replica(now, i);
                    }
                }
                None if row.state == EndpointState::Gone => {}
                None => {
                    let i = self.allocate_slot();
                    self.slots.insert(row.replica, i);
                    self.apply_entry(i, row);
                    self.reset_replica(now, i);
                }
            }
        }
        if kind != ListUpdate::Cached {
            self.list_held.watch_began();
        }
        self.statistics.begin_ready_replicas(self.membership.ready.all().len());
    }

    /// The list's word on a replica.
    fn apply_entry(&mut self, i: usize, row: EndpointEntry) {
        let was = std::mem::replace(&mut self.replicas[i].entry, row);
        self.membership.apply_entry(i, &was, &self.replicas[i].entry, self.settings.zone);
        self.update_warming_up(i);
    }

    /// Keeps the cold apart: those that are ready and taken for cold. Rule 3: no others.
    fn update_warming_up(&mut self, i: usize) {
        let r = &self.replicas[i];
        match r.entry.state == EndpointState::Ready && r.warming_up_since.is_some() {
            true => self.warming_up.add(i),
            false => self.warming_up.remove(i),
        };
    }

    /// A place for a new replica: that of one gone for good, or one more.
    fn allocate_slot(&mut self) -> usize {
        let Some(i) = self.membership.reuse_index(|i| self.replicas[i].in_flight == 0) else {
            self.replicas.push(Replica::default());
            return self.replicas.len() - 1;
        };
        let left = std::mem::take(&mut self.replicas[i]);
        self.slots.remove(&left.entry.replica);
        i
    }

    /// A replica is new or has started again: nothing known of it holds any longer.
    fn reset_replica(&mut self, now: Nanos, i: usize) {
        // Spaced evenly short of a request: somewhere one can be sent at any time, and never by all at once.
        let row = &self.replicas[i].entry;
        let turn =
            turn(mix(row.replica.0, row.started_at), self.settings.own_index.0, self.settings.router_count);
        let (cold, peak) = (self.settings.warm_up_time, self.statistics.highest_wait);
        let r = &mut self.replicas[i];
        (r.first_token_wait, r.wait_sampled_at, r.decode_rate) = (peak, 0, DecodeRate::default());
        (r.consecutive_failures, r.next_ejection, r.ejected_until, r.half_open_check) =
            (0, EJECTION_TIME_RANGE.0, 0, false);
        (r.prefill_backlog, r.backlog_reported_at, r.last_completed_at) = (0.0, 0, 0);
        let start = r.entry.started_at;
        let believed = self.list_held.plausible_start(now, start);
        r.warming_up_since = (start > 0 && now < believed.saturating_add(cold)).then_some(believed);
        (r.slow_start_credit, r.credit_updated_at) = (1.0 - turn, now);
        self.update_warming_up(i);
    }

    fn poll_list(&mut self, now: Nanos, out: &mut Vec<Action>) {
        match self.settings.list_mode {
            EndpointListMode::Polled { max_poll_interval: must_ask_in }
                if !self.list_polling.subscribed && now >= self.list_polling.next_poll_at =>
            {
                out.push(Action::WatchEndpoints);
                // The answer may be lost: ask again in good time.
                self.schedule_poll(now + must_ask_in / 2, out);
            }
            _ => {}
        }
    }

    fn schedule_poll(&mut self, at: Nanos, out: &mut Vec<Action>) {
        self.list_polling.next_poll_at = at;
        out.push(Action::WakeAt { at, token: LIST_POLL_TIMER });
    }

    // ---- Admission ----

    /// Takes a token; false if the bucket holds none.
    fn take_token(&mut self, now: Nanos, tenant: usize) -> bool {
        self.refill_bucket(now, tenant);
        let b = &mut self.buckets[tenant];
        let granted = b.tokens > 1.0 - 1e-6;
        b.tokens -= f64::from(u8::from(granted));
        granted
    }

    fn refill_bucket(&mut self, now: Nanos, tenant: usize) {
        let n = f64::from(self.settings.router_count);
        // Exception: what is late, lost or refused by chance leaves a tenant short of its quota. While first
        // tokens come early there is room to make up for it.
        let headroom = MAX_HEADROOM * (1.0 - self.statistics.load_level / NO_HEADROOM_LOAD_LEVEL).max(0.0);
        // Exception: once first tokens take most of the aim, all tenants are cut alike, before all come late.
        let cut = (OVERLOAD_LOAD_LEVEL / self.statistics.load_level.max(1e-9)).clamp(MIN_QUOTA_SHARE, 1.0);
        let b = &mut self.buckets[tenant];
        let dt = now.saturating_sub(b.updated_at) as f64 / SECOND as f64;
        b.updated_at = now;
        if b.quota_per_s.is_infinite() {
            b.tokens = f64::INFINITY;
            return;
        }
        // Exception to plain subtraction: between reports the bucket drains by the peers' smoothed rate,
        // scaled down where all together are over quota, so that gateways share the quota as they do the
        // traffic. Guards against buckets that refill unseen and reopen in step at every gateway.
        b.refill_per_s = b.quota_per_s * (1.0 + headroom) * cut;
        let (scale, share) = b.drain_share(n);
        b.drain_integral += scale * dt;
        let cap = (BURST_SECONDS * b.refill_per_s * share).max(MIN_BURST_TOKENS);
        b.tokens = (b.tokens + (b.refill_per_s - scale * b.peers_served_per_s) * dt).clamp(-cap, cap);
    }

    fn handle_request(&mut self, now: Nanos, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        request.class.0 = request.class.0.min(self.settings.classes.len() as u32 - 1);
        request.tenant.0 = request.tenant.0.min(self.buckets.len() as u32 - 1);
        request.prefix_tokens = request.prefix_tokens.min(request.prompt_tokens);
        let tenant = request.tenant.0 as usize;
        // The share of each beginning in the traffic, over some seconds, decides how many homes it gets.
        self.prefix_traffic.record(now, request.prefix);
        self.statistics.record_arrival();
        let deadline = now.saturating_add(request.time_left);
        // A stream that comes back was paid for when it first came.
        let returned = request.resumes_stream;
        let paid = returned || self.take_token(now, tenant);
        let open =
            RequestState { quota_charged: paid && !returned, ..RequestState::new(now, deadline, request) };
        // Refused early: no token, or no replica that would begin in time.
        let pick = if paid { self.select_replica(now, &open) } else { None };
        let pick = pick.filter(|p| self.begins_in_time(now, &open, p));
        self.requests.insert(id, open);
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        match pick {
            Some(p) => self.send_attempt(now, id, p, out),
            None if paid => self.reject_no_capacity(id, out),
            None => self.reject_quota_exceeded(id, tenant, out),
        }
    }

    fn latency_objective(&self, r: &Request) -> f64 {
        self.settings.classes[r.class.0 as usize].latency_objective_for(r.prompt_tokens)
    }

    /// Whether an attempt is likely to begin in time: the replica is not known to take longer, and there is
    /// left what first tokens take on the average. What is called off costs replicas work, and others time.
    fn begins_in_time(&self, now: Nanos, open: &RequestState, pick: &Selection) -> bool {
        let left = open.deadline.saturating_sub(now) as f64;
        let mean = self.statistics.load_level_at(now) * self.latency_objective(&open.request);
        pick.predicted_wait < self.first_token_wanted_within(now, open) && mean < left
    }

    /// So many ns from now a first token is wanted: before the client leaves; under strain within the aim,
    /// where late answers earn less. Those that lost their kept tokens would delay the others.
    fn first_token_wanted_within(&self, now: Nanos, open: &RequestState) -> f64 {
        let (r, left) = (&open.request, open.deadline.saturating_sub(now) as f64);
        let late_pays = r.resumes_stream || self.settings.classes[r.class.0 as usize].late_value_share >= 1.0;
        let bound = !late_pays && self.statistics.load_level_at(now) >= HEDGE_MAX_LOAD_LEVEL;
        left.min(if bound {
            self.latency_objective(r) - now.saturating_sub(open.arrived_at) as f64
        } else {
            left
        })
    }

    // ---- Selection ----

    fn smoothed_wait(&self, now: Nanos, r: &Replica) -> f64 {
        if r.wait_sampled_at == 0 {
            return self.statistics.highest_wait.max(r.first_token_wait);
        }
        self.statistics.first_token_wait
            + (r.first_token_wait - self.statistics.first_token_wait)
                * sample_freshness(now, r.wait_sampled_at)
    }

    /// Nanoseconds to read a prompt token, fitted to the own first tokens.
    fn prefill_ns_per_token(&self) -> f64 {
        let prior = SECOND as f64 / DEFAULT_PREFILL_TOKENS_PER_S;
        self.statistics.prefill_fit.slope(prior).clamp(prior / 10.0, prior * 5.0)
    }

    fn select_replica(&mut self, now: Nanos, open: &RequestState) -> Option<Selection> {
        if self.membership.ready.all().is_empty() {
            return None;
        }
        let r = &open.request;
        let per_token = self.prefill_ns_per_token();
        let aim = self.latency_objective(r);
        let (prompt, prefix) = (f64::from(r.prompt_tokens), f64::from(r.prefix_tokens));
        let session = r.session.map_or(0, |s| s.0);
        let mut found = std::mem::take(&mut self.candidates);
        found.clear();
        let mut known = usize::MAX;
        if let Some(key) = r.prefix.map(|p| p.0).or(r.session.map(|s| s.0)) {
            let (near, all) =
                (self.membership.nearby.all().len() as f64, self.membership.ready.all().len() as f64);
            let reach = near + (all - near) * self.other_zone_weight;
            // Told by few requests the share is a guess, another one at each gateway. As far as it is, all
            // are homes, which gateways agree on: a session's turns meet at one, whoever gets them.
            let share = self.prefix_traffic.share(r.prefix, 1.0 / PREFERRED_PER_SHARE, PREFIX_SHARE_DOUBT);
            let spread = share * reach * PREFERRED_PER_SHARE;
            // More homes than a pick looks at: the beginning is split; gateways agree on a session's part.
            let parts = (spread / MAX_PREFERRED_REPLICAS as f64).max(1.0).log2().ceil().exp2();
            let key = if parts > 1.0 { mix(key, mix(session, 0) % parts as u64) } else { key };
            let spread = (spread / parts).clamp(MIN_PREFERRED, MAX_PREFERRED_REPLICAS as f64);
            let homes =
                self.membership.preferred_replicas(key, self.settings.zone, self.other_zone_weight, |i| {
                    &self.replicas[i].entry
                });
            // Among the homes a session has one of its own, drawn by weighted rendezvous: gateways whose
            // views of the beginning's share differ a little still agree for most sessions.
            let mut own = (f64::MAX, 0);
            for (rank, &i) in homes.iter().enumerate() {
                let weight = (-(rank as f64) / spread).exp();
                let row = &self.replicas[i].entry;
                let race = unit_race(mix(session, row.replica.0))
                    / (weight * self.statistics.speed_of_kind(row.kind));
                if race < own.0 {
                    own = (race, rank);
                }
                found.push((i, prompt - prefix * weight.max(self.statistics.cached_elsewhere)));
            }
            if r.session.is_some() {
                // Its home, unless its last answer here began elsewhere: then the rest was read there.
                let holder = self.sessions.last_replica(now, session);
                let place = holder.and_then(|h| self.slots.get(&h.replica).copied().zip(Some(h)));
                let held = place.filter(|&(i, h)| self.replicas[i].holds_session(&h));
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
        for k in 0..RANDOM_CANDIDATES * 2 {
            let (near, ready) = (self.membership.nearby.all(), self.membership.ready.all());
            let pool = if k < RANDOM_CANDIDATES && !near.is_empty() { near } else { ready };
            let i = pool[self.rng.usize(..pool.len())];
            if !found.iter().any(|f| f.0 == i) {
                found.push((i, prompt - prefix * self.statistics.cached_elsewhere));
            }
        }
        // Few requests would draw a cold replica while there is credit for it, and with many gateways each
        // has little: so those with credit are all looked at.
        let cold = self.warming_up.all();
        let first = if cold.is_empty() { 0 } else { self.rng.usize(..cold.len()) };
        for &i in cold[first..].iter().chain(&cold[..first]).take(MAX_WARMING_CANDIDATES) {
            // One that is warm by now is like the others: looked at by every pick, it would run over.
            if self.is_warming_up(now, &self.replicas[i]) && !found.iter().any(|f| f.0 == i) {
                found.push((i, prompt - prefix * self.statistics.cached_elsewhere));
            }
        }
        let spared =
            (1.0 - cold.len() as f64 / self.membership.ready.all().len() as f64).powi(WARMING_SHARE_POWER);
        let many = self.membership.ready.all().len() > MAX_SCANNED_REPLICAS;
        let mut chosen: Option<((bool, f64), Selection)> = None;
        for &(i, unread) in &found {
            // A replica that has just started keeps little, home or not, but what it is known to hold.
            let unread = match self.replicas[i].warming_up_since {
                Some(from) if i != known => {
                    prefix_cache::uncached_tokens_after_start(unread, prompt, now.saturating_sub(from))
                }
                _ => unread,
            };
            if !self.is_eligible(now, i, open) {
                continue;
            }
            let c = &self.replicas[i];
            let age = now.saturating_sub(c.backlog_reported_at) as f64 / SECOND as f64;
            let backlog = c.prefill_backlog * (-age).exp2();
            let crowd = if c.wait_sampled_at > 0 { c.concurrency } else { self.statistics.concurrency };
            let smoothed = self.smoothed_wait(now, c) / crowd.max(1.0);
            let base = smoothed * f64::from(1 + c.in_flight);
            let read = (unread + backlog) * per_token / self.statistics.speed_of_kind(c.entry.kind);
            // What queues everywhere queues less at one just started, the less it is sent of what it can do.
            // One not met lately queues by as much more or less as its kind does.
            let kind = (self.statistics.wait_for_kind(now, c.entry.kind) - self.statistics.first_token_wait)
                * (1.0 - sample_freshness(now, c.wait_sampled_at));
            let queue = (self.statistics.first_token_wait.min(smoothed) + kind).max(0.0)
                * self.capacity_share(now, c);
            let queued = first_token_wait::queueing_wait(queue, aim);
            // What has waited longest without a token tells the least that the next one may wait.
            let oldest = c.awaiting_first_token.first().map_or(0.0, |&t| now.saturating_sub(t) as f64);
            let far = c.entry.zone != self.settings.zone;
            let cross = if far { CROSS_ZONE_OBJECTIVES * self.settings.cross_zone_cost * aim } else { 0.0 };
            // Without a sample no more than the reading is known.
            let wait = (if c.wait_sampled_at > 0 { base + read } else { read }).max(oldest);
            // Ranked by what is believed, admitted by what was sampled: the first compares replicas,
            // the second asks whether there is time.
            // The more are cold, the more the others carry, and that shows only once they queue: so reading
            // at a cold one counts for less, where it still begins within the aim.
            let early = self.is_warming_up(now, c) && base + read / self.capacity_share(now, c) < aim;
            let reading = if early { read * spared } else { read };
            let connected = !many || c.is_connected(now, self.settings.idle_timeout);
            let connect = if connected { 0.0 } else { CONNECT_OBJECTIVE_SHARE * aim };
            let rank = first_token_wait::ranked_wait(smoothed, aim, c.in_flight)
                + reading
                + cross
                + queued
                + connect;
            let pick = Selection { slot: i, prefill_tokens: unread, predicted_wait: wait };
            // Ties are broken at random.
            let rank = rank * (1.0 + 1e-6 * self.rng.f64());
            // Whoever is left out goes last, however many are; if all are, it may be the own view.
            let out = c.ejected_until > now || (c.ejected_until > 0 && c.half_open_check);
            if chosen.as_ref().is_none_or(|(best, _)| (out, rank) < *best) {
                chosen = Some(((out, rank), pick));
            }
        }
        self.candidates = found;
        chosen.map(|(_, p)| p)
    }

    /// Whether an attempt of this request may go to a replica now.
    fn is_eligible(&self, now: Nanos, i: usize, open: &RequestState) -> bool {
        let r = &self.replicas[i];
        let tried = open.attempts.iter().any(|a| a.entry.replica == r.entry.replica);
        // Rules 2 and 4.
        let repeats = open.may_repeat(now, self.effect(open), &r.entry, self.settings.concurrent_attempts);
        !tried && repeats && (!self.is_warming_up(now, r) || self.slow_start_credit(now, r) >= 1.0)
    }

    fn effect(&self, open: &RequestState) -> Effect {
        self.settings.classes[open.request.class.0 as usize].effect
    }

    fn may_reject(&self, open: &RequestState) -> bool {
        self.effect(open).may_reject(open.may_have_run())
    }

    /// Whether a replica is within its cold time.
    pub(crate) fn is_warming_up(&self, now: Nanos, r: &Replica) -> bool {
        r.warming_up_since.is_some_and(|from| now < from.saturating_add(self.settings.warm_up_time))
    }

    /// What a replica is taken to be able to do, as a share of what it can when warm.
    pub(crate) fn capacity_share(&self, now: Nanos, r: &Replica) -> f64 {
        let age = |from| now.saturating_sub(from);
        r.warming_up_since.map_or(1.0, |from| {
            warm_up::capacity_share(
                age(from),
                self.settings.warm_up_time,
                self.settings.initial_capacity_share,
            )
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
    fn slow_start_credit(&self, now: Nanos, r: &Replica) -> f64 {
        let fall = self.settings.overload_window as f64 / SECOND as f64;
        let since = now.saturating_sub(self.last_report_at);
        let flow = self.statistics.first_tokens_per_s(now, since);
        let used =
            (1.0 - (-self.statistics.arrivals_per_s(since).max(flow) * fall).exp()).max(MIN_CREDIT_USE);
        let share = self.capacity_share(now, r) * self.statistics.speed_of_kind(r.entry.kind).min(1.0);
        let gain =
            self.settings.overload_multiple * flow / self.statistics.ready_replicas.max(1.0) * share / used;
        let dt = now.saturating_sub(r.credit_updated_at) as f64 / SECOND as f64;
        let saved = r.slow_start_credit + dt * gain;
        let most = (1.0 + gain * fall).min(MAX_CREDIT);
        let over = (saved - most).max(0.0);
        // Whole credits are lost; where two or more are earned within that time, only what is over the most.
        saved - if most < MAX_CREDIT { over.ceil() } else { over }
    }

    // ---- Attempts ----

    fn send_attempt(&mut self, now: Nanos, id: RequestId, pick: Selection, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let left = open.deadline.saturating_sub(now);
        let aim = self.latency_objective(&open.request);
        let more = (open.attempts.len() as u32 + 1) < self.settings.max_attempts;
        // Leave room for another attempt, unless there will be none. Where attempts can be called off,
        // a check after this time tells silence from slowness; elsewhere it is the time-out.
        let spent = now.saturating_sub(open.arrived_at) as f64;
        // Patience grows with what first tokens take now and with what may have to be read: in a jam, calling
        // slow attempts off and ejecting the slow would only make more work.
        let unsure =
            TIMEOUT_PREFILL_MULTIPLE * f64::from(open.request.prompt_tokens) * self.prefill_ns_per_token();
        let patience = (TIMEOUT_OBJECTIVE_SHARE * aim + unsure)
            .max(3.0 * pick.predicted_wait)
            .max(TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level * aim);
        let patience = patience.max(0.5 * (aim - spent)).min(left as f64 * 0.7);
        let limit = if more && !self.settings.can_cancel { patience } else { left as f64 };
        let patient_until = now + patience as Nanos;
        if more && self.settings.can_cancel {
            let hedge = (HEDGE_OBJECTIVE_SHARE * aim + unsure).max(3.0 * pick.predicted_wait);
            let hedges = self.settings.concurrent_attempts
                && self.statistics.load_level < HEDGE_MAX_LOAD_LEVEL
                && hedge < patience;
            let hedge = hedges.then_some(now + hedge as Nanos);
            for at in hedge.into_iter().chain([patient_until]) {
                self.attempt_checks.push(Reverse((at, id, open.attempts.len() as u32)));
                out.push(Action::WakeAt { at, token: ATTEMPT_CHECK_TIMER });
            }
        }
        let i = pick.slot;
        if self.is_warming_up(now, &self.replicas[i]) {
            let credit = self.slow_start_credit(now, &self.replicas[i]) - 1.0;
            let r = &mut self.replicas[i];
            (r.slow_start_credit, r.credit_updated_at) = (credit, now);
        } else {
            self.replicas[i].warming_up_since = None;
            self.update_warming_up(i);
        }
        let r = &mut self.replicas[i];
        let crowd = f64::from(1 + r.in_flight);
        r.in_flight += 1;
        if r.unanswered_since == 0 {
            r.unanswered_since = now;
        }
        r.awaiting_first_token.push(now);
        if r.consecutive_failures > 0 && r.ejected_until > 0 {
            r.half_open_check = true;
        }
        let (replica, row) = (r.entry.replica, r.entry.clone());
        let open = self.requests.get_mut(&id).expect("looked up above");
        open.attempts.push(Attempt {
            slot: i,
            entry: row,
            sent_at: now,
            prefill_tokens: pick.prefill_tokens,
            concurrency: crowd,
            first_token_after: 0,
            first_token_timeout_at: patient_until,
            outcome: None,
        });
        out.push(Action::Send { request: id, replica, timeout: (limit as Nanos).max(1) });
    }

    /// Attempts without a first token after their patience: called off if their replica is silent.
    fn check_attempts(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some(&Reverse((at, id, attempt))) = self.attempt_checks.peek().filter(|c| c.0 .0 <= now) {
            self.attempt_checks.pop();
            let Some(o) = self.requests.get(&id) else { continue };
            let Some(a) = o.attempts.get(attempt as usize) else { continue };
            if at < a.first_token_timeout_at {
                if self.replicas[a.slot].last_response_at < a.sent_at {
                    self.send_hedge(now, id, out);
                }
                continue;
            }
            // A replica that has begun another answer since is alive: waiting on beats starting over. So it
            // does where no other is likely to be in time, if late answers earn anything and it can be told.
            let silent = self.replicas[a.slot].last_response_at < a.sent_at;
            let waits = !o.answered && !o.stream_started && a.outcome.is_none() && silent;
            let earns = self.settings.classes[o.request.class.0 as usize].late_value_share > 0.0;
            let asks = earns && self.settings.concurrent_attempts;
            if waits && self.retry_budget >= 1.0 && (!asks || self.retry_target(now, id).is_some()) {
                out.push(Action::Cancel { request: id, attempt });
            }
        }
    }

    /// One attempt is out and has not begun where most have: a second copy, if that is likely to be in time.
    fn send_hedge(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        // Those that have just started are slow by nature, and more work makes them slower.
        let young = self.warming_up.all().iter().any(|&i| self.is_warming_up(now, &self.replicas[i]));
        let calm = self.statistics.load_level < HEDGE_MAX_LOAD_LEVEL && self.retry_budget >= 1.0 && !young;
        let Some(o) = self.requests.get(&id).filter(|o| calm && !o.answered && !o.stream_started) else {
            return;
        };
        let left = self.latency_objective(&o.request) - now.saturating_sub(o.arrived_at) as f64;
        let out_now = o.attempts.iter().filter(|a| a.outcome.is_none()).count();
        let pick = if out_now == 1 { self.retry_target(now, id) } else { None };
        if let Some(p) = pick.filter(|p| p.predicted_wait < left) {
            self.retry_budget -= 1.0;
            self.send_attempt(now, id, p, out);
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Nanos, why: RejectReason, out: &mut Vec<Action>) {
        self.refund_quota(id);
        self.close_request(id);
        out.push(Action::Reject { request: id, retry_after, reason: why });
    }

    /// The next token of the tenant's bucket tells when to come back; up to twice as late, so that those
    /// refused together do not come back together.
    fn reject_quota_exceeded(&mut self, id: RequestId, tenant: usize, out: &mut Vec<Action>) {
        let b = &self.buckets[tenant];
        let wait = (1.0 - b.tokens) / b.quota_per_s * SECOND as f64 * (1.0 + self.rng.f64());
        self.reject(id, (wait as Nanos).min(self.settings.max_retry_after), RejectReason::QuotaExceeded, out);
    }

    /// No share is short, so no bucket tells when to come back: what first tokens wait for now does, spread
    /// out so that those refused together do not come back together.
    fn reject_no_capacity(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let wait = self.statistics.first_token_wait.max(MIN_RETRY_AFTER as f64) * (0.5 + self.rng.f64());
        self.reject(id, (wait as Nanos).min(self.settings.max_retry_after), RejectReason::NoCapacity, out);
    }

    /// A token comes back when an admitted request ends unserved.
    fn refund_quota(&mut self, id: RequestId) {
        if let Some(o) = self.requests.get_mut(&id) {
            if o.quota_charged && !o.counted_as_served {
                o.quota_charged = false;
                self.buckets[o.request.tenant.0 as usize].tokens += 1.0;
            }
        }
    }

    /// Nothing more is owed; the entry stays until its last attempt has ended.
    fn close_request(&mut self, id: RequestId) {
        if let Some(o) = self.requests.get_mut(&id) {
            o.answered = true;
            if o.attempts.iter().all(|a| a.outcome.is_some()) {
                self.requests.remove(&id);
            }
        }
    }

    fn handle_first_token(&mut self, now: Nanos, id: RequestId, attempt: u32, after: Nanos) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.first_token_after = after;
        let (i, sent, unread, crowd, life) =
            (a.slot, a.sent_at, a.prefill_tokens, a.concurrency, a.entry.started_at);
        o.stream_started = true;
        let aim =
            self.settings.classes[o.request.class.0 as usize].latency_objective_for(o.request.prompt_tokens);
        let taken = now.saturating_sub(o.arrived_at) as f64 / aim;
        if o.quota_charged && !o.counted_as_served {
            o.counted_as_served = true;
            let b = &mut self.buckets[o.request.tenant.0 as usize];
            b.served_since_report = b.served_since_report.saturating_add(1);
        }
        if let Some(session) = o.request.session {
            self.sessions.record(now, session.0, &a.entry, o.request.prompt_tokens);
        }
        self.replicas[i].stop_awaiting_first_token(sent);
        // What is sent in a jam is no measure of what replicas can do; what they begin is.
        self.statistics.record_first_token(now);
        self.statistics.record_load_level(now, taken);
        if life != self.replicas[i].entry.started_at {
            return; // An earlier life's answer tells nothing of this one.
        }
        self.replicas[i].decode_rate.stream_began(now);
        let wait = (after as f64 - unread * self.prefill_ns_per_token()).max(0.0);
        self.record_wait_sample(now, i, wait, crowd);
        self.record_success(now, i);
    }

    fn record_wait_sample(&mut self, now: Nanos, i: usize, wait: f64, crowd: f64) {
        let base = self.smoothed_wait(now, &self.replicas[i]);
        let r = &mut self.replicas[i];
        let fresh = r.wait_sampled_at == 0;
        r.first_token_wait = if fresh { wait } else { base + WAIT_SAMPLE_WEIGHT * (wait - base) };
        r.concurrency =
            if fresh { crowd } else { r.concurrency + WAIT_SAMPLE_WEIGHT * (crowd - r.concurrency) };
        r.wait_sampled_at = now;
        let kind = r.entry.kind;
        self.statistics.record_wait(now, kind, wait, crowd);
    }

    fn handle_attempt_ended(&mut self, now: Nanos, e: AttemptEnded, out: &mut Vec<Action>) {
        let (id, outcome, after) = (e.request, e.outcome, e.elapsed);
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(e.attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        let (i, sent, first, guess, kind) =
            (a.slot, a.sent_at, a.first_token_after, a.prefill_tokens, a.entry.kind);
        let (started, prompt, prefix) = (o.stream_started, o.request.prompt_tokens, o.request.prefix_tokens);
        // What became of an earlier life's attempts tells nothing of this one: above all not that it is ill.
        let same = a.entry.started_at == self.replicas[i].entry.started_at;
        self.replicas[i].in_flight = self.replicas[i].in_flight.saturating_sub(1);
        self.replicas[i].stop_awaiting_first_token(sent);
        if same {
            if first > 0 {
                self.replicas[i].decode_rate.stream_ended(now, outcome == Outcome::Completed);
            }
            self.record_load_report(now, i, &e.load);
        }
        match outcome {
            Outcome::Completed => {
                if same {
                    (self.replicas[i].last_response_at, self.replicas[i].unanswered_since) = (now, 0);
                    self.replicas[i].last_completed_at = now;
                }
                if let Some(kept) = e.cached_tokens {
                    let unread = f64::from(prompt.saturating_sub(kept));
                    if guess > 0.5 * f64::from(prefix) && prefix > 0 {
                        let share = f64::from(kept.min(prefix)) / f64::from(prefix);
                        self.statistics.cached_elsewhere +=
                            MIN_SAMPLE_WEIGHT * (share - self.statistics.cached_elsewhere);
                    }
                    self.statistics.record_stream(kind, after.saturating_sub(first) as f64 / SECOND as f64);
                    if first > 0 {
                        self.statistics.prefill_fit.add(unread, first as f64);
                    }
                }
            }
            _ if !same => {}
            // Called off by a check: as good as timed out.
            Outcome::Cancelled if !e.request_over && !started => {
                self.record_failure(now, i, Outcome::TimedOut, started, after)
            }
            // Its copy was faster: what it would have taken is at least this.
            Outcome::Cancelled
                if !e.request_over && first == 0 && self.replicas[i].last_response_at < sent =>
            {
                self.record_wait_sample(now, i, after as f64, 1.0)
            }
            Outcome::TimedOut
            | Outcome::ConnectionReset
            | Outcome::ConnectionRefused
            | Outcome::ReplicaError => self.record_failure(now, i, outcome, started, after),
            Outcome::Rejected => {
                self.record_wait_sample(now, i, self.statistics.highest_wait.max(after as f64), 1.0)
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replicas[i].half_open_check &= !same;
        if e.request_over || self.requests.get(&id).is_none_or(|o| o.answered) {
            if outcome != Outcome::Completed {
                self.refund_quota(id);
            }
            return self.close_request(id);
        }
        let o = &self.requests[&id];
        if o.attempts.iter().any(|a| a.outcome.is_none()) {
            return; // Another attempt is still out and will answer.
        }
        self.retry_or_answer(now, id, out);
    }

    /// No attempt is out and no answer given: another attempt, or the final answer.
    fn retry_or_answer(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let pick = self.retry_target(now, id);
        let Some(refuse) = self.requests.get(&id).map(|o| self.may_reject(o)) else { return };
        match pick {
            Some(p) => {
                self.retry_budget -= 1.0;
                self.send_attempt(now, id, p, out)
            }
            None if refuse => self.reject_no_capacity(id, out),
            None => {
                self.refund_quota(id);
                self.close_request(id);
                out.push(Action::Fail(id));
            }
        }
    }

    /// Where another attempt is likely to be in time, if there may be one.
    fn retry_target(&mut self, now: Nanos, id: RequestId) -> Option<Selection> {
        let o = self.requests.remove(&id)?;
        let more = (o.attempts.len() as u32) < self.settings.max_attempts && self.retry_budget >= 1.0;
        let pick = if more { self.select_replica(now, &o) } else { None };
        let pick = pick.filter(|p| self.begins_in_time(now, &o, p));
        self.requests.insert(id, o);
        pick
    }
}
