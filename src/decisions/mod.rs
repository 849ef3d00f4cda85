//! The decisions of a router. Its events and actions are defined in `api.rs`.
//!
//! A [`Balancer`] selects the replica for each request, retries it, or rejects it. It takes one [`Event`] at
//! a time, with the time of the event, and appends the resulting [`Action`]s. It does no I/O, reads no clock
//! and uses only its own seeded generator, so the same events give the same actions.
//!
//! Each of these modules decides one thing:
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | whether a request is admitted, by quota and by time left |
//! | `ranking` | which replica an attempt goes to: the one with the lowest predicted first-token wait |
//! | `affinity` | which replicas are candidates because they are likely to have a prompt cached |
//! | `slow_start` | how many requests a replica gets while it is warming up |
//! | `timeouts` | when an attempt without a first token is cancelled or hedged |
//! | `retry` | whether another attempt follows a failed one |
//! | `outlier_ejection` | which replicas are ejected because they fail |
//! | `load_reports` | what peers' and replicas' load reports change, and what is reported to peers |
//! | `endpoint_list` | which replicas exist, and when the list is polled |
//! | `drain_notices` | what routers report to each other about drained replicas |
//!
//! `request_lifecycle` takes a request through them, from its arrival to the end of its last attempt. All of
//! these modules extend [`Balancer`]. They use types that do not depend on it: `leaky_bucket`,
//! `retry_budget`, `candidate`, `attempt_checks`, `list_polling`, `known_drains`, `report_period`, and the
//! state of replicas and requests in `src/state/`. `tests/decision_imports.rs` checks that imports go one
//! way.
//!
//! Comments refer to these rules by number:
//!
//! 1. Each request gets exactly one final answer, by its deadline.
//! 2. A request is neither repeated nor rejected if its effect could then happen twice.
//! 3. Only ready replicas get new attempts.
//! 4. A replica that is warming up gets no more than its current capacity allows.

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

/// Makes the decisions of one router.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Rng,
    started: bool,
    pub(crate) replicas: ReplicaTable,
    pub(crate) statistics: ReplicaStatistics,
    /// Requests that are unanswered or have attempts in flight.
    requests: FxHashMap<RequestId, RequestState>,
    /// Leaky bucket of each tenant, by tenant index.
    buckets: Vec<LeakyBucket>,
    affinity: AffinityState,
    /// Candidates of the current ranking; kept to avoid an allocation per ranking.
    candidates: Vec<Candidate>,
    retry_budget: RetryBudget,
    attempt_checks: AttemptChecks,
    report_period: ReportPeriod,
    list_polling: ListPolling,
    known_drains: KnownDrains,
}

impl Balancer {
    /// Creates the decisions of a router that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = Rng::with_seed(seed);
        Ok(Balancer {
            buckets: LeakyBucket::for_all_tenants(&settings, &mut rng),
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

    /// Handles one event at `now` and appends the resulting actions to `out`. Times must not decrease.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.start(now, out);
        }
        match event {
            Event::EndpointList { kind, entries } => self.handle_list_update(now, kind, entries, out),
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
            Event::PeerMessage { from, bytes } if DrainMessage::is_drain_message(&bytes) => {
                self.handle_drain_message(now, from, &bytes, out);
            }
            Event::PeerMessage { from, bytes } => self.apply_peer_report(now, from, &bytes),
        }
    }

    /// Returns whether a message may come from this sender.
    fn is_peer(&self, from: PeerId) -> bool {
        from != self.settings.own_index && from.0 < self.settings.router_count
    }

    /// Starts the timers and buckets at the time of the first event.
    fn start(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.started = true;
        self.statistics.started_at = now;
        self.buckets.iter_mut().for_each(|bucket| bucket.start(now));
        self.start_report_period(now, out);
        self.start_polling(now, out);
    }
}
