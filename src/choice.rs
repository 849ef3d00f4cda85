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
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = Rng::with_seed(seed);
        let router_count = settings.router_count as f64;
        let period = (REPORT_PERIOD_PER_ROUTER_S * router_count)
            .clamp(REPORT_PERIOD_RANGE_S.0, REPORT_PERIOD_RANGE_S.1);
        // Without tenants all traffic is one tenant without a limit: same path, bucket never empty.
        let quotas: Vec<f64> = match settings.tenants.is_empty() {
            true => vec![f64::INFINITY],
            false => settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
        };
        let bucket = |quota: f64, rng: &mut Rng| LeakyBucket {
            quota_per_s: quota,
            refill_per_s: quota,
            // Guards against N full bursts after a start or restart: each gateway begins with its share.
            tokens: BURST_SECONDS * quota / router_count * 2.0 * rng.f64().max(0.01),
            updated_at: 0,
            served_since_report: 0,
            own_served_per_s: 0.0,
            peers_served_per_s: 0.0,
            drain_integral: 0.0,
            peers: vec![PeerRate::default(); settings.router_count as usize],
        };
        let buckets = quotas.iter().map(|&quota| bucket(quota, &mut rng)).collect();
        Ok(Balancer {
            rng,
            started: false,
            replicas: Vec::new(),
            slots: FxHashMap::default(),
            membership: ReadyReplicas::default(),
            other_zone_weight: (-settings.cross_zone_cost / CROSS_ZONE_PREFERENCE_SCALE).exp().max(1e-6),
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
            settings,
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
                Some(&slot) if outcome == Outcome::Completed => self.record_load_report(now, slot, &load),
                _ => {}
            },
            Event::PeerMessage { from, bytes } => self.apply_peer_report(now, from, &bytes),
        }
    }

    fn start(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.started = true;
        (self.statistics.started_at, self.last_report_at) = (now, now);
        for bucket in &mut self.buckets {
            bucket.updated_at = now;
            bucket.peers.iter_mut().for_each(|peer| peer.updated_at = now);
        }
        // Staggered, so that peers' reports do not land together.
        let phase =
            self.report_period * u64::from(self.settings.own_index.0) / u64::from(self.settings.router_count);
        out.push(Action::WakeAt { at: now + self.report_period / 2 + phase, token: REPORT_TIMER });
        if let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode {
            // All gateways may have started together: the list could not answer them at once.
            let jitter = 0.3 * self.rng.f64();
            self.schedule_poll(now + (max_poll_interval as f64 * jitter) as Nanos, out);
        }
    }

    // ---- Membership ----

    fn handle_list_update(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
        out: &mut Vec<Action>,
    ) {
        if kind == ListUpdate::Failed {
            self.list_held.watch_ended(now);
            // Either a call failed or the subscription ended, which is not said: ask again, later each time.
            if let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode {
                self.list_polling.subscribed = false;
                self.list_polling.failures = (self.list_polling.failures + 1).min(4);
                let wait = max_poll_interval as f64 * 0.1 * f64::from(self.list_polling.failures);
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
            let listed: FxHashSet<_> = entries.iter().map(|entry| entry.replica).collect();
            for slot in 0..self.replicas.len() {
                let entry = &self.replicas[slot].entry;
                if !listed.contains(&entry.replica) {
                    self.apply_entry(slot, EndpointEntry { state: EndpointState::Gone, ..entry.clone() });
                }
            }
        }
        for entry in entries {
            match self.slots.get(&entry.replica) {
                Some(&slot) => {
                    // Another start, earlier or later: a clock that was set back tells an earlier one.
                    let restarted =
                        entry.started_at != self.replicas[slot].entry.started_at && entry.started_at > 0;
                    self.apply_entry(slot, entry);
                    if restarted {
                        self.reset_replica(now, slot);
                    }
                }
                None if entry.state == EndpointState::Gone => {}
                None => {
                    let slot = self.allocate_slot();
                    self.slots.insert(entry.replica, slot);
                    self.apply_entry(slot, entry);
                    self.reset_replica(now, slot);
                }
            }
        }
        if kind != ListUpdate::Cached {
            self.list_held.watch_began();
        }
        self.statistics.begin_ready_replicas(self.membership.ready.all().len());
    }

    /// The list's word on a replica.
    fn apply_entry(&mut self, slot: usize, entry: EndpointEntry) {
        let previous = std::mem::replace(&mut self.replicas[slot].entry, entry);
        self.membership.apply_entry(slot, &previous, &self.replicas[slot].entry, self.settings.zone);
        self.update_warming_up(slot);
    }

    /// Keeps the cold apart: those that are ready and taken for cold. Rule 3: no others.
    fn update_warming_up(&mut self, slot: usize) {
        let replica = &self.replicas[slot];
        match replica.entry.state == EndpointState::Ready && replica.warming_up_since.is_some() {
            true => self.warming_up.add(slot),
            false => self.warming_up.remove(slot),
        };
    }

    /// A place for a new replica: that of one gone for good, or one more.
    fn allocate_slot(&mut self) -> usize {
        let Some(slot) = self.membership.reuse_index(|slot| self.replicas[slot].in_flight == 0) else {
            self.replicas.push(Replica::default());
            return self.replicas.len() - 1;
        };
        let gone = std::mem::take(&mut self.replicas[slot]);
        self.slots.remove(&gone.entry.replica);
        slot
    }

    /// A replica is new or has started again: nothing known of it holds any longer.
    fn reset_replica(&mut self, now: Nanos, slot: usize) {
        // Spaced evenly short of a request: somewhere one can be sent at any time, and never by all at once.
        let entry = &self.replicas[slot].entry;
        let turn = turn(
            mix(entry.replica.0, entry.started_at),
            self.settings.own_index.0,
            self.settings.router_count,
        );
        let (warm_up_time, highest_wait) = (self.settings.warm_up_time, self.statistics.highest_wait);
        let replica = &mut self.replicas[slot];
        (replica.first_token_wait, replica.wait_sampled_at, replica.decode_rate) =
            (highest_wait, 0, DecodeRate::default());
        (
            replica.consecutive_failures,
            replica.next_ejection,
            replica.ejected_until,
            replica.half_open_check,
        ) = (0, EJECTION_TIME_RANGE.0, 0, false);
        (replica.prefill_backlog, replica.backlog_reported_at, replica.last_completed_at) = (0.0, 0, 0);
        let started_at = replica.entry.started_at;
        let believed_start = self.list_held.plausible_start(now, started_at);
        replica.warming_up_since =
            (started_at > 0 && now < believed_start.saturating_add(warm_up_time)).then_some(believed_start);
        (replica.slow_start_credit, replica.credit_updated_at) = (1.0 - turn, now);
        self.update_warming_up(slot);
    }

    fn poll_list(&mut self, now: Nanos, out: &mut Vec<Action>) {
        match self.settings.list_mode {
            EndpointListMode::Polled { max_poll_interval }
                if !self.list_polling.subscribed && now >= self.list_polling.next_poll_at =>
            {
                out.push(Action::WatchEndpoints);
                // The answer may be lost: ask again in good time.
                self.schedule_poll(now + max_poll_interval / 2, out);
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
        let bucket = &mut self.buckets[tenant];
        let granted = bucket.tokens > 1.0 - 1e-6;
        bucket.tokens -= f64::from(u8::from(granted));
        granted
    }

    fn refill_bucket(&mut self, now: Nanos, tenant: usize) {
        let router_count = f64::from(self.settings.router_count);
        // Exception: what is late, lost or refused by chance leaves a tenant short of its quota. While first
        // tokens come early there is room to make up for it.
        let headroom = MAX_HEADROOM * (1.0 - self.statistics.load_level / NO_HEADROOM_LOAD_LEVEL).max(0.0);
        // Exception: once first tokens take most of the aim, all tenants are cut alike, before all come late.
        let overload_cut =
            (OVERLOAD_LOAD_LEVEL / self.statistics.load_level.max(1e-9)).clamp(MIN_QUOTA_SHARE, 1.0);
        let bucket = &mut self.buckets[tenant];
        let elapsed_s = now.saturating_sub(bucket.updated_at) as f64 / SECOND as f64;
        bucket.updated_at = now;
        if bucket.quota_per_s.is_infinite() {
            bucket.tokens = f64::INFINITY;
            return;
        }
        // Exception to plain subtraction: between reports the bucket drains by the peers' smoothed rate,
        // scaled down where all together are over quota, so that gateways share the quota as they do the
        // traffic. Guards against buckets that refill unseen and reopen in step at every gateway.
        bucket.refill_per_s = bucket.quota_per_s * (1.0 + headroom) * overload_cut;
        let (drained_share, own_share) = bucket.drain_share(router_count);
        bucket.drain_integral += drained_share * elapsed_s;
        let max_tokens = (BURST_SECONDS * bucket.refill_per_s * own_share).max(MIN_BURST_TOKENS);
        bucket.tokens = (bucket.tokens
            + (bucket.refill_per_s - drained_share * bucket.peers_served_per_s) * elapsed_s)
            .clamp(-max_tokens, max_tokens);
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
        let resumes_stream = request.resumes_stream;
        let admitted = resumes_stream || self.take_token(now, tenant);
        let state = RequestState {
            quota_charged: admitted && !resumes_stream,
            ..RequestState::new(now, deadline, request)
        };
        // Refused early: no token, or no replica that would begin in time.
        let selection = if admitted { self.select_replica(now, &state) } else { None };
        let selection = selection.filter(|selection| self.begins_in_time(now, &state, selection));
        self.requests.insert(id, state);
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        match selection {
            Some(selection) => self.send_attempt(now, id, selection, out),
            None if admitted => self.reject_no_capacity(id, out),
            None => self.reject_quota_exceeded(id, tenant, out),
        }
    }

    fn latency_objective(&self, request: &Request) -> f64 {
        self.settings.classes[request.class.0 as usize].latency_objective_for(request.prompt_tokens)
    }

    /// Whether an attempt is likely to begin in time: the replica is not known to take longer, and there is
    /// left what first tokens take on the average. What is called off costs replicas work, and others time.
    fn begins_in_time(&self, now: Nanos, state: &RequestState, selection: &Selection) -> bool {
        let time_left = state.deadline.saturating_sub(now) as f64;
        let usual_wait = self.statistics.load_level_at(now) * self.latency_objective(&state.request);
        selection.predicted_wait < self.first_token_wanted_within(now, state) && usual_wait < time_left
    }

    /// So many ns from now a first token is wanted: before the client leaves; under strain within the aim,
    /// where late answers earn less. Those that lost their kept tokens would delay the others.
    fn first_token_wanted_within(&self, now: Nanos, state: &RequestState) -> f64 {
        let (request, time_left) = (&state.request, state.deadline.saturating_sub(now) as f64);
        let late_has_full_value =
            request.resumes_stream || self.settings.classes[request.class.0 as usize].late_value_share >= 1.0;
        let within_objective =
            !late_has_full_value && self.statistics.load_level_at(now) >= HEDGE_MAX_LOAD_LEVEL;
        time_left.min(if within_objective {
            self.latency_objective(request) - now.saturating_sub(state.arrived_at) as f64
        } else {
            time_left
        })
    }

    // ---- Selection ----

    fn smoothed_wait(&self, now: Nanos, replica: &Replica) -> f64 {
        if replica.wait_sampled_at == 0 {
            return self.statistics.highest_wait.max(replica.first_token_wait);
        }
        self.statistics.first_token_wait
            + (replica.first_token_wait - self.statistics.first_token_wait)
                * sample_freshness(now, replica.wait_sampled_at)
    }

    /// Nanoseconds to read a prompt token, fitted to the own first tokens.
    fn prefill_ns_per_token(&self) -> f64 {
        let prior = SECOND as f64 / DEFAULT_PREFILL_TOKENS_PER_S;
        self.statistics.prefill_fit.slope(prior).clamp(prior / 10.0, prior * 5.0)
    }

    fn select_replica(&mut self, now: Nanos, state: &RequestState) -> Option<Selection> {
        if self.membership.ready.all().is_empty() {
            return None;
        }
        let request = &state.request;
        let ns_per_token = self.prefill_ns_per_token();
        let objective = self.latency_objective(request);
        let (prompt, prefix) = (f64::from(request.prompt_tokens), f64::from(request.prefix_tokens));
        let session = request.session.map_or(0, |s| s.0);
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let mut session_holder = usize::MAX;
        if let Some(key) = request.prefix.map(|selection| selection.0).or(request.session.map(|s| s.0)) {
            let (own_zone, ready) =
                (self.membership.nearby.all().len() as f64, self.membership.ready.all().len() as f64);
            let reach = own_zone + (ready - own_zone) * self.other_zone_weight;
            // Told by few requests the share is a guess, another one at each gateway. As far as it is, all
            // are homes, which gateways agree on: a session's turns meet at one, whoever gets them.
            let share =
                self.prefix_traffic.share(request.prefix, 1.0 / PREFERRED_PER_SHARE, PREFIX_SHARE_DOUBT);
            let spread = share * reach * PREFERRED_PER_SHARE;
            // More homes than a pick looks at: the beginning is split; gateways agree on a session's part.
            let parts = (spread / MAX_PREFERRED_REPLICAS as f64).max(1.0).log2().ceil().exp2();
            let key = if parts > 1.0 { mix(key, mix(session, 0) % parts as u64) } else { key };
            let spread = (spread / parts).clamp(MIN_PREFERRED, MAX_PREFERRED_REPLICAS as f64);
            let preferred =
                self.membership.preferred_replicas(key, self.settings.zone, self.other_zone_weight, |slot| {
                    &self.replicas[slot].entry
                });
            // Among the homes a session has one of its own, drawn by weighted rendezvous: gateways whose
            // views of the beginning's share differ a little still agree for most sessions.
            let mut closest = (f64::MAX, 0);
            for (rank, &slot) in preferred.iter().enumerate() {
                let weight = (-(rank as f64) / spread).exp();
                let entry = &self.replicas[slot].entry;
                let draw = unit_race(mix(session, entry.replica.0))
                    / (weight * self.statistics.speed_of_kind(entry.kind));
                if draw < closest.0 {
                    closest = (draw, rank);
                }
                candidates.push((slot, prompt - prefix * weight.max(self.statistics.cached_elsewhere)));
            }
            if request.session.is_some() {
                // Its home, unless its last answer here began elsewhere: then the rest was read there.
                let holder = self.sessions.last_replica(now, session);
                let located =
                    holder.and_then(|holder| self.slots.get(&holder.replica).copied().zip(Some(holder)));
                let held = located.filter(|&(slot, holder)| self.replicas[slot].holds_session(&holder));
                match held.filter(|&(slot, _)| slot != preferred[closest.1]) {
                    None => candidates[closest.1].1 = 0.0,
                    Some((slot, holder)) => {
                        let prefill_tokens = (prompt - f64::from(holder.tokens)).max(0.0);
                        match candidates.iter_mut().find(|candidate| candidate.0 == slot) {
                            Some(candidate) => candidate.1 = candidate.1.min(prefill_tokens),
                            None => candidates.push((slot, prefill_tokens)),
                        }
                    }
                }
                session_holder = held.map_or(session_holder, |(slot, _)| slot);
            }
        }
        for k in 0..RANDOM_CANDIDATES * 2 {
            let (own_zone, ready) = (self.membership.nearby.all(), self.membership.ready.all());
            let pool = if k < RANDOM_CANDIDATES && !own_zone.is_empty() { own_zone } else { ready };
            let slot = pool[self.rng.usize(..pool.len())];
            if !candidates.iter().any(|candidate| candidate.0 == slot) {
                candidates.push((slot, prompt - prefix * self.statistics.cached_elsewhere));
            }
        }
        // Few requests would draw a cold replica while there is credit for it, and with many gateways each
        // has little: so those with credit are all looked at.
        let warming_up = self.warming_up.all();
        let first = if warming_up.is_empty() { 0 } else { self.rng.usize(..warming_up.len()) };
        for &slot in warming_up[first..].iter().chain(&warming_up[..first]).take(MAX_WARMING_CANDIDATES) {
            // One that is warm by now is like the others: looked at by every pick, it would run over.
            if self.is_warming_up(now, &self.replicas[slot])
                && !candidates.iter().any(|candidate| candidate.0 == slot)
            {
                candidates.push((slot, prompt - prefix * self.statistics.cached_elsewhere));
            }
        }
        let warming_discount = (1.0 - warming_up.len() as f64 / self.membership.ready.all().len() as f64)
            .powi(WARMING_SHARE_POWER);
        let is_large_fleet = self.membership.ready.all().len() > MAX_SCANNED_REPLICAS;
        let mut chosen: Option<((bool, f64), Selection)> = None;
        for &(slot, prefill_tokens) in &candidates {
            // A replica that has just started keeps little, home or not, but what it is known to hold.
            let prefill_tokens = match self.replicas[slot].warming_up_since {
                Some(from) if slot != session_holder => prefix_cache::uncached_tokens_after_start(
                    prefill_tokens,
                    prompt,
                    now.saturating_sub(from),
                ),
                _ => prefill_tokens,
            };
            if !self.is_eligible(now, slot, state) {
                continue;
            }
            let replica = &self.replicas[slot];
            let report_age_s = now.saturating_sub(replica.backlog_reported_at) as f64 / SECOND as f64;
            let backlog = replica.prefill_backlog * (-report_age_s).exp2();
            let concurrency =
                if replica.wait_sampled_at > 0 { replica.concurrency } else { self.statistics.concurrency };
            let smoothed = self.smoothed_wait(now, replica) / concurrency.max(1.0);
            let queue_wait = smoothed * f64::from(1 + replica.in_flight);
            let prefill =
                (prefill_tokens + backlog) * ns_per_token / self.statistics.speed_of_kind(replica.entry.kind);
            // What queues everywhere queues less at one just started, the less it is sent of what it can do.
            // One not met lately queues by as much more or less as its kind does.
            let kind_excess = (self.statistics.wait_for_kind(now, replica.entry.kind)
                - self.statistics.first_token_wait)
                * (1.0 - sample_freshness(now, replica.wait_sampled_at));
            let queue = (self.statistics.first_token_wait.min(smoothed) + kind_excess).max(0.0)
                * self.capacity_share(now, replica);
            let queued = first_token_wait::queueing_wait(queue, objective);
            // What has waited longest without a token tells the least that the next one may wait.
            let longest_waiting =
                replica.awaiting_first_token.first().map_or(0.0, |&t| now.saturating_sub(t) as f64);
            let is_other_zone = replica.entry.zone != self.settings.zone;
            let zone_cost = if is_other_zone {
                CROSS_ZONE_OBJECTIVES * self.settings.cross_zone_cost * objective
            } else {
                0.0
            };
            // Without a sample no more than the reading is known.
            let wait = (if replica.wait_sampled_at > 0 { queue_wait + prefill } else { prefill })
                .max(longest_waiting);
            // Ranked by what is believed, admitted by what was sampled: the first compares replicas,
            // the second asks whether there is time.
            // The more are cold, the more the others carry, and that shows only once they queue: so reading
            // at a cold one counts for less, where it still begins within the aim.
            let prefers_warming = self.is_warming_up(now, replica)
                && queue_wait + prefill / self.capacity_share(now, replica) < objective;
            let ranked_prefill = if prefers_warming { prefill * warming_discount } else { prefill };
            let connected = !is_large_fleet || replica.is_connected(now, self.settings.idle_timeout);
            let connect_cost = if connected { 0.0 } else { CONNECT_OBJECTIVE_SHARE * objective };
            let rank = first_token_wait::ranked_wait(smoothed, objective, replica.in_flight)
                + ranked_prefill
                + zone_cost
                + queued
                + connect_cost;
            let selection = Selection { slot, prefill_tokens, predicted_wait: wait };
            // Ties are broken at random.
            let rank = rank * (1.0 + 1e-6 * self.rng.f64());
            // Whoever is left out goes last, however many are; if all are, it may be the own view.
            let left_out =
                replica.ejected_until > now || (replica.ejected_until > 0 && replica.half_open_check);
            if chosen.as_ref().is_none_or(|(best, _)| (left_out, rank) < *best) {
                chosen = Some(((left_out, rank), selection));
            }
        }
        self.candidates = candidates;
        chosen.map(|(_, selection)| selection)
    }

    /// Whether an attempt of this request may go to a replica now.
    fn is_eligible(&self, now: Nanos, slot: usize, state: &RequestState) -> bool {
        let replica = &self.replicas[slot];
        let already_tried =
            state.attempts.iter().any(|attempt| attempt.entry.replica == replica.entry.replica);
        // Rules 2 and 4.
        let may_repeat =
            state.may_repeat(now, self.effect(state), &replica.entry, self.settings.concurrent_attempts);
        !already_tried
            && may_repeat
            && (!self.is_warming_up(now, replica) || self.slow_start_credit(now, replica) >= 1.0)
    }

    fn effect(&self, state: &RequestState) -> Effect {
        self.settings.classes[state.request.class.0 as usize].effect
    }

    fn may_reject(&self, state: &RequestState) -> bool {
        self.effect(state).may_reject(state.may_have_run())
    }

    /// Whether a replica is within its cold time.
    pub(crate) fn is_warming_up(&self, now: Nanos, replica: &Replica) -> bool {
        replica.warming_up_since.is_some_and(|from| now < from.saturating_add(self.settings.warm_up_time))
    }

    /// What a replica is taken to be able to do, as a share of what it can when warm.
    pub(crate) fn capacity_share(&self, now: Nanos, replica: &Replica) -> f64 {
        let age = |from| now.saturating_sub(from);
        replica.warming_up_since.map_or(1.0, |from| {
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
    fn slow_start_credit(&self, now: Nanos, replica: &Replica) -> f64 {
        let window_s = self.settings.overload_window as f64 / SECOND as f64;
        let since = now.saturating_sub(self.last_report_at);
        let own_flow = self.statistics.first_tokens_per_s(now, since);
        let used_share = (1.0 - (-self.statistics.arrivals_per_s(since).max(own_flow) * window_s).exp())
            .max(MIN_CREDIT_USE);
        let capacity =
            self.capacity_share(now, replica) * self.statistics.speed_of_kind(replica.entry.kind).min(1.0);
        let credit_per_s =
            self.settings.overload_multiple * own_flow / self.statistics.ready_replicas.max(1.0) * capacity
                / used_share;
        let elapsed_s = now.saturating_sub(replica.credit_updated_at) as f64 / SECOND as f64;
        let saved = replica.slow_start_credit + elapsed_s * credit_per_s;
        let max_credit = (1.0 + credit_per_s * window_s).min(MAX_CREDIT);
        let excess = (saved - max_credit).max(0.0);
        // Whole credits are lost; where two or more are earned within that time, only what is over the most.
        saved - if max_credit < MAX_CREDIT { excess.ceil() } else { excess }
    }

    // ---- Attempts ----

    fn send_attempt(&mut self, now: Nanos, id: RequestId, selection: Selection, out: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else { return };
        let time_left = state.deadline.saturating_sub(now);
        let objective = self.latency_objective(&state.request);
        let may_retry = (state.attempts.len() as u32 + 1) < self.settings.max_attempts;
        // Leave room for another attempt, unless there will be none. Where attempts can be called off,
        // a check after this time tells silence from slowness; elsewhere it is the time-out.
        let elapsed = now.saturating_sub(state.arrived_at) as f64;
        // Patience grows with what first tokens take now and with what may have to be read: in a jam, calling
        // slow attempts off and ejecting the slow would only make more work.
        let prefill_allowance =
            TIMEOUT_PREFILL_MULTIPLE * f64::from(state.request.prompt_tokens) * self.prefill_ns_per_token();
        let first_token_timeout = (TIMEOUT_OBJECTIVE_SHARE * objective + prefill_allowance)
            .max(3.0 * selection.predicted_wait)
            .max(TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level * objective);
        let first_token_timeout =
            first_token_timeout.max(0.5 * (objective - elapsed)).min(time_left as f64 * 0.7);
        let timeout =
            if may_retry && !self.settings.can_cancel { first_token_timeout } else { time_left as f64 };
        let first_token_timeout_at = now + first_token_timeout as Nanos;
        if may_retry && self.settings.can_cancel {
            let hedge_after =
                (HEDGE_OBJECTIVE_SHARE * objective + prefill_allowance).max(3.0 * selection.predicted_wait);
            let hedges = self.settings.concurrent_attempts
                && self.statistics.load_level < HEDGE_MAX_LOAD_LEVEL
                && hedge_after < first_token_timeout;
            let hedge_after = hedges.then_some(now + hedge_after as Nanos);
            for at in hedge_after.into_iter().chain([first_token_timeout_at]) {
                self.attempt_checks.push(Reverse((at, id, state.attempts.len() as u32)));
                out.push(Action::WakeAt { at, token: ATTEMPT_CHECK_TIMER });
            }
        }
        let slot = selection.slot;
        if self.is_warming_up(now, &self.replicas[slot]) {
            let credit = self.slow_start_credit(now, &self.replicas[slot]) - 1.0;
            let replica = &mut self.replicas[slot];
            (replica.slow_start_credit, replica.credit_updated_at) = (credit, now);
        } else {
            self.replicas[slot].warming_up_since = None;
            self.update_warming_up(slot);
        }
        let replica = &mut self.replicas[slot];
        let concurrency = f64::from(1 + replica.in_flight);
        replica.in_flight += 1;
        if replica.unanswered_since == 0 {
            replica.unanswered_since = now;
        }
        replica.awaiting_first_token.push(now);
        if replica.consecutive_failures > 0 && replica.ejected_until > 0 {
            replica.half_open_check = true;
        }
        let (replica, entry) = (replica.entry.replica, replica.entry.clone());
        let state = self.requests.get_mut(&id).expect("looked up above");
        state.attempts.push(Attempt {
            slot,
            entry,
            sent_at: now,
            prefill_tokens: selection.prefill_tokens,
            concurrency,
            first_token_after: 0,
            first_token_timeout_at,
            outcome: None,
        });
        out.push(Action::Send { request: id, replica, timeout: (timeout as Nanos).max(1) });
    }

    /// Attempts without a first token after their patience: called off if their replica is silent.
    fn check_attempts(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some(&Reverse((at, id, attempt_index))) =
            self.attempt_checks.peek().filter(|check| check.0 .0 <= now)
        {
            self.attempt_checks.pop();
            let Some(state) = self.requests.get(&id) else { continue };
            let Some(attempt) = state.attempts.get(attempt_index as usize) else { continue };
            if at < attempt.first_token_timeout_at {
                if self.replicas[attempt.slot].last_response_at < attempt.sent_at {
                    self.send_hedge(now, id, out);
                }
                continue;
            }
            // A replica that has begun another answer since is alive: waiting on beats starting over. So it
            // does where no other is likely to be in time, if late answers earn anything and it can be told.
            let silent = self.replicas[attempt.slot].last_response_at < attempt.sent_at;
            let is_waiting = !state.answered && !state.stream_started && attempt.outcome.is_none() && silent;
            let late_has_value = self.settings.classes[state.request.class.0 as usize].late_value_share > 0.0;
            let needs_target = late_has_value && self.settings.concurrent_attempts;
            if is_waiting
                && self.retry_budget >= 1.0
                && (!needs_target || self.retry_target(now, id).is_some())
            {
                out.push(Action::Cancel { request: id, attempt: attempt_index });
            }
        }
    }

    /// One attempt is out and has not begun where most have: a second copy, if that is likely to be in time.
    fn send_hedge(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        // Those that have just started are slow by nature, and more work makes them slower.
        let any_warming_up =
            self.warming_up.all().iter().any(|&slot| self.is_warming_up(now, &self.replicas[slot]));
        let may_hedge =
            self.statistics.load_level < HEDGE_MAX_LOAD_LEVEL && self.retry_budget >= 1.0 && !any_warming_up;
        let Some(state) =
            self.requests.get(&id).filter(|state| may_hedge && !state.answered && !state.stream_started)
        else {
            return;
        };
        let time_left = self.latency_objective(&state.request) - now.saturating_sub(state.arrived_at) as f64;
        let in_flight = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let selection = if in_flight == 1 { self.retry_target(now, id) } else { None };
        if let Some(selection) = selection.filter(|selection| selection.predicted_wait < time_left) {
            self.retry_budget -= 1.0;
            self.send_attempt(now, id, selection, out);
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Nanos, reason: RejectReason, out: &mut Vec<Action>) {
        self.refund_quota(id);
        self.close_request(id);
        out.push(Action::Reject { request: id, retry_after, reason });
    }

    /// The next token of the tenant's bucket tells when to come back; up to twice as late, so that those
    /// refused together do not come back together.
    fn reject_quota_exceeded(&mut self, id: RequestId, tenant: usize, out: &mut Vec<Action>) {
        let bucket = &self.buckets[tenant];
        let wait = (1.0 - bucket.tokens) / bucket.quota_per_s * SECOND as f64 * (1.0 + self.rng.f64());
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
        if let Some(state) = self.requests.get_mut(&id) {
            if state.quota_charged && !state.counted_as_served {
                state.quota_charged = false;
                self.buckets[state.request.tenant.0 as usize].tokens += 1.0;
            }
        }
    }

    /// Nothing more is owed; the entry stays until its last attempt has ended.
    fn close_request(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.answered = true;
            if state.attempts.iter().all(|attempt| attempt.outcome.is_some()) {
                self.requests.remove(&id);
            }
        }
    }

    fn handle_first_token(&mut self, now: Nanos, id: RequestId, attempt_index: u32, elapsed: Nanos) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let Some(attempt) =
            state.attempts.get_mut(attempt_index as usize).filter(|attempt| attempt.outcome.is_none())
        else {
            return;
        };
        attempt.first_token_after = elapsed;
        let (slot, sent_at, prefill_tokens, concurrency, started_at) = (
            attempt.slot,
            attempt.sent_at,
            attempt.prefill_tokens,
            attempt.concurrency,
            attempt.entry.started_at,
        );
        state.stream_started = true;
        let objective = self.settings.classes[state.request.class.0 as usize]
            .latency_objective_for(state.request.prompt_tokens);
        let objectives_taken = now.saturating_sub(state.arrived_at) as f64 / objective;
        if state.quota_charged && !state.counted_as_served {
            state.counted_as_served = true;
            let bucket = &mut self.buckets[state.request.tenant.0 as usize];
            bucket.served_since_report = bucket.served_since_report.saturating_add(1);
        }
        if let Some(session) = state.request.session {
            self.sessions.record(now, session.0, &attempt.entry, state.request.prompt_tokens);
        }
        self.replicas[slot].stop_awaiting_first_token(sent_at);
        // What is sent in a jam is no measure of what replicas can do; what they begin is.
        self.statistics.record_first_token(now);
        self.statistics.record_load_level(now, objectives_taken);
        if started_at != self.replicas[slot].entry.started_at {
            return; // An earlier life's answer tells nothing of this one.
        }
        self.replicas[slot].decode_rate.stream_began(now);
        let wait = (elapsed as f64 - prefill_tokens * self.prefill_ns_per_token()).max(0.0);
        self.record_wait_sample(now, slot, wait, concurrency);
        self.record_success(now, slot);
    }

    fn record_wait_sample(&mut self, now: Nanos, slot: usize, wait: f64, concurrency: f64) {
        let smoothed = self.smoothed_wait(now, &self.replicas[slot]);
        let replica = &mut self.replicas[slot];
        let is_first = replica.wait_sampled_at == 0;
        replica.first_token_wait =
            if is_first { wait } else { smoothed + WAIT_SAMPLE_WEIGHT * (wait - smoothed) };
        replica.concurrency = if is_first {
            concurrency
        } else {
            replica.concurrency + WAIT_SAMPLE_WEIGHT * (concurrency - replica.concurrency)
        };
        replica.wait_sampled_at = now;
        let kind = replica.entry.kind;
        self.statistics.record_wait(now, kind, wait, concurrency);
    }

    fn handle_attempt_ended(&mut self, now: Nanos, ended: AttemptEnded, out: &mut Vec<Action>) {
        let (id, outcome, elapsed) = (ended.request, ended.outcome, ended.elapsed);
        let Some(state) = self.requests.get_mut(&id) else { return };
        let Some(attempt) =
            state.attempts.get_mut(ended.attempt as usize).filter(|attempt| attempt.outcome.is_none())
        else {
            return;
        };
        attempt.outcome = Some(outcome);
        let (slot, sent_at, first_token_after, expected_prefill, kind) = (
            attempt.slot,
            attempt.sent_at,
            attempt.first_token_after,
            attempt.prefill_tokens,
            attempt.entry.kind,
        );
        let (stream_started, prompt_tokens, prefix_tokens) =
            (state.stream_started, state.request.prompt_tokens, state.request.prefix_tokens);
        // What became of an earlier life's attempts tells nothing of this one: above all not that it is ill.
        let same_incarnation = attempt.entry.started_at == self.replicas[slot].entry.started_at;
        self.replicas[slot].in_flight = self.replicas[slot].in_flight.saturating_sub(1);
        self.replicas[slot].stop_awaiting_first_token(sent_at);
        if same_incarnation {
            if first_token_after > 0 {
                self.replicas[slot].decode_rate.stream_ended(now, outcome == Outcome::Completed);
            }
            self.record_load_report(now, slot, &ended.load);
        }
        match outcome {
            Outcome::Completed => {
                if same_incarnation {
                    (self.replicas[slot].last_response_at, self.replicas[slot].unanswered_since) = (now, 0);
                    self.replicas[slot].last_completed_at = now;
                }
                if let Some(cached_tokens) = ended.cached_tokens {
                    let prefill_tokens = f64::from(prompt_tokens.saturating_sub(cached_tokens));
                    if expected_prefill > 0.5 * f64::from(prefix_tokens) && prefix_tokens > 0 {
                        let share = f64::from(cached_tokens.min(prefix_tokens)) / f64::from(prefix_tokens);
                        self.statistics.cached_elsewhere +=
                            MIN_SAMPLE_WEIGHT * (share - self.statistics.cached_elsewhere);
                    }
                    self.statistics.record_stream(
                        kind,
                        elapsed.saturating_sub(first_token_after) as f64 / SECOND as f64,
                    );
                    if first_token_after > 0 {
                        self.statistics.prefill_fit.add(prefill_tokens, first_token_after as f64);
                    }
                }
            }
            _ if !same_incarnation => {}
            // Called off by a check: as good as timed out.
            Outcome::Cancelled if !ended.request_over && !stream_started => {
                self.record_failure(now, slot, Outcome::TimedOut, stream_started, elapsed)
            }
            // Its copy was faster: what it would have taken is at least this.
            Outcome::Cancelled
                if !ended.request_over
                    && first_token_after == 0
                    && self.replicas[slot].last_response_at < sent_at =>
            {
                self.record_wait_sample(now, slot, elapsed as f64, 1.0)
            }
            Outcome::TimedOut
            | Outcome::ConnectionReset
            | Outcome::ConnectionRefused
            | Outcome::ReplicaError => self.record_failure(now, slot, outcome, stream_started, elapsed),
            Outcome::Rejected => {
                self.record_wait_sample(now, slot, self.statistics.highest_wait.max(elapsed as f64), 1.0)
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replicas[slot].half_open_check &= !same_incarnation;
        if ended.request_over || self.requests.get(&id).is_none_or(|state| state.answered) {
            if outcome != Outcome::Completed {
                self.refund_quota(id);
            }
            return self.close_request(id);
        }
        let state = &self.requests[&id];
        if state.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            return; // Another attempt is still out and will answer.
        }
        self.retry_or_answer(now, id, out);
    }

    /// No attempt is out and no answer given: another attempt, or the final answer.
    fn retry_or_answer(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let selection = self.retry_target(now, id);
        let Some(may_reject) = self.requests.get(&id).map(|state| self.may_reject(state)) else { return };
        match selection {
            Some(selection) => {
                self.retry_budget -= 1.0;
                self.send_attempt(now, id, selection, out)
            }
            None if may_reject => self.reject_no_capacity(id, out),
            None => {
                self.refund_quota(id);
                self.close_request(id);
                out.push(Action::Fail(id));
            }
        }
    }

    /// Where another attempt is likely to be in time, if there may be one.
    fn retry_target(&mut self, now: Nanos, id: RequestId) -> Option<Selection> {
        let state = self.requests.remove(&id)?;
        let may_retry =
            (state.attempts.len() as u32) < self.settings.max_attempts && self.retry_budget >= 1.0;
        let selection = if may_retry { self.select_replica(now, &state) } else { None };
        let selection = selection.filter(|selection| self.begins_in_time(now, &state, selection));
        self.requests.insert(id, state);
        selection
    }
}
