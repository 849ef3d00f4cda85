//! Every decision of a router. The events and actions stand in `api.rs`.
//!
//! Which replica gets a request, whether it is retried, and what is rejected: a [`Balancer`] takes one
//! [`Event`] at a time, with the time it came at, and appends the [`Action`]s that follow. It does no I/O,
//! reads no clock and draws only from its own seeded generator, so the same events give the same actions.
//!
//! Each of these modules decides one thing:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | whether a request is admitted, by quota and by time left |
//! | `ranking` | which replica an attempt goes to: the one with the least predicted first-token wait |
//! | `affinity` | which replicas are likely to have a prompt cached, and are candidates for that |
//! | `slow_start` | how much a replica gets that is warming up |
//! | `timeouts` | when an attempt without a first token is cancelled, or hedged by another |
//! | `retry` | whether another attempt follows one that has failed |
//! | `outlier_ejection` | which replicas are left out because they fail |
//! | `load_reports` | what peers are told of served requests, and what their reports change |
//! | `endpoint_list` | which replicas there are, and when the list is polled |
//! | `drain_notices` | what routers tell each other of replicas that take nothing new |
//!
//! `request_lifecycle` takes a request through them, from its arrival to the end of its last attempt. All of
//! these extend [`Balancer`]. What they decide with are values that know nothing of it: `leaky_bucket`,
//! `retry_budget`, `candidate`, `attempt_checks`, `list_polling`, `known_drains`, `report_period`, and the
//! state of replicas and requests in `src/state/`. `tests/decision_imports.rs` holds that imports run one
//! way.
//!
//! The rules that the comments number: 1, each request gets exactly one final answer, by its deadline; 2,
//! nothing is repeated or rejected that could take effect twice; 3, only ready replicas get anything new; 4,
//! a replica that is warming up gets no more than it can do.

mod admission;
mod affinity;
mod attempt_checks;
mod candidate;
mod drain_notices;
mod endpoint_list;
mod known_drains;
mod leaky_bucket;
mod list_polling;
mod load_reports;
mod outlier_ejection;
mod ranking;
mod report_period;
mod request_lifecycle;
mod retry;
mod retry_budget;
mod slow_start;
mod timeouts;

use fastrand::Rng;
use rustc_hash::FxHashMap;

use crate::api::{Action, Event, Nanos, Outcome, PeerId, RequestId, Settings, SettingsError};
use crate::drain_notice::DrainMessage;
use crate::state::affinity::AffinityState;
use crate::state::replica_statistics::ReplicaStatistics;
use crate::state::replica_table::ReplicaTable;
use crate::state::request::RequestState;
use attempt_checks::AttemptChecks;
use candidate::Candidate;
use known_drains::KnownDrains;
use leaky_bucket::LeakyBucket;
use list_polling::ListPolling;
use report_period::ReportPeriod;
use retry_budget::RetryBudget;

/// Token of the timer that ends a report period.
const REPORT_TIMER: u64 = 1;
/// Token of the timer for a poll of the endpoint list.
const LIST_POLL_TIMER: u64 = 2;
/// Token of the timers for attempts without a first token.
const ATTEMPT_CHECK_TIMER: u64 = 3;
/// Token of the timer for queries about drains.
const DRAIN_QUERY_TIMER: u64 = 4;

/// The decisions of one router.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Rng,
    started: bool,
    pub(crate) replicas: ReplicaTable,
    pub(crate) statistics: ReplicaStatistics,
    /// Requests that are owed an answer or have attempts in flight.
    requests: FxHashMap<RequestId, RequestState>,
    /// By tenant.
    buckets: Vec<LeakyBucket>,
    affinity: AffinityState,
    /// What a ranking looks at; kept so that none allocates.
    candidates: Vec<Candidate>,
    retry_budget: RetryBudget,
    attempt_checks: AttemptChecks,
    report_period: ReportPeriod,
    list_polling: ListPolling,
    known_drains: KnownDrains,
}

impl Balancer {
    /// A router that has just started.
    ///
    /// # Errors
    ///
    /// Settings that nothing can be decided by, see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = Rng::with_seed(seed);
        Ok(Balancer {
            buckets: LeakyBucket::of_all_tenants(&settings, &mut rng),
            rng,
            started: false,
            replicas: ReplicaTable::default(),
            statistics: ReplicaStatistics::with_load_level(leaky_bucket::OVERLOAD_LOAD_LEVEL),
            requests: FxHashMap::default(),
            affinity: AffinityState::new(settings.cross_zone_cost),
            candidates: Vec::with_capacity(candidate::MAX_CANDIDATES),
            retry_budget: RetryBudget::default(),
            attempt_checks: AttemptChecks::default(),
            report_period: ReportPeriod::new(settings.router_count),
            list_polling: ListPolling::default(),
            known_drains: KnownDrains::new(seed),
            settings,
        })
    }

    /// Takes one event at `now` and appends what is to be done to `out`. Times never go back.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.start(now, out);
        }
        match event {
            Event::EndpointList { kind, rows } => self.handle_list_update(now, kind, rows, out),
            Event::Request(request) => self.handle_request(now, request, out),
            Event::FirstToken { request, attempt, elapsed } => {
                self.handle_first_token(now, request, attempt, elapsed);
            }
            Event::AttemptEnded(ended) => self.handle_attempt_ended(now, &ended, out),
            Event::ClientLeft(id) => self.close_request(id),
            Event::Timer(REPORT_TIMER) => self.end_report_period(now, out),
            Event::Timer(LIST_POLL_TIMER) => self.poll_list(now, out),
            Event::Timer(ATTEMPT_CHECK_TIMER) => self.check_attempts(now, out),
            Event::Timer(DRAIN_QUERY_TIMER) => self.send_drain_queries(now, out),
            Event::Timer(_) => {}
            Event::ProbeEnded { replica, outcome, load } => match self.replicas.slot_of(replica) {
                Some(slot) if outcome == Outcome::Completed => self.record_load_report(now, slot, &load),
                _ => {}
            },
            Event::PeerMessage { from, bytes } if !self.is_peer(from) => drop((from, bytes)),
            Event::PeerMessage { from, bytes } if DrainMessage::is_one(&bytes) => {
                self.handle_drain_message(now, from, &bytes, out);
            }
            Event::PeerMessage { from, bytes } => self.apply_peer_report(now, from, &bytes),
        }
    }

    /// Whether a message may be from this sender.
    fn is_peer(&self, from: PeerId) -> bool {
        from != self.settings.own_index && from.0 < self.settings.router_count
    }

    /// The first event: time begins.
    fn start(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.started = true;
        self.statistics.started_at = now;
        self.buckets.iter_mut().for_each(|bucket| bucket.start(now));
        self.start_report_period(now, out);
        self.start_polling(now, out);
    }
}
