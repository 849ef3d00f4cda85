//! Decides which replica an attempt goes to: of a few candidates the one with the least predicted first-token
//! wait.
//!
//! Candidates are the replicas that are likely to have the prompt cached (see [`super::affinity`]), some
//! drawn at random, and those that are warming up.

use super::candidate::{Candidate, Selection, MAX_WARMING_CANDIDATES, RANDOM_CANDIDATES};
use super::Balancer;
use crate::api::{Nanos, Request};
use crate::first_token_wait;
use crate::prefix_cache;
use crate::ready_replicas::MAX_SCANNED_REPLICAS;
use crate::state::replica::Replica;
use crate::state::replica_statistics::sample_freshness;
use crate::state::request::RequestState;

/// How strongly the share of warming replicas draws requests there before the others queue: a power.
const WARMING_SHARE_POWER: i32 = 3;
/// Crossing a zone is worth so many latency objectives of waiting for each unit of its cost.
const CROSS_ZONE_OBJECTIVES: f64 = 3.0;
/// In a fleet beyond [`MAX_SCANNED_REPLICAS`] a replica without an idle connection is worth this share of the
/// latency objective less: where each request went to whichever is best by a hair, nearly each would open a
/// connection.
const CONNECT_OBJECTIVE_SHARE: f64 = 0.1;
/// Ranks are drawn apart by up to this share of themselves, so that ties are broken at random.
const TIE_BREAK_SHARE: f64 = 1e-6;

/// What all candidates for one attempt are compared by.
struct Comparison {
    now: Nanos,
    /// The request's latency objective, ns.
    objective: f64,
    prompt_tokens: f64,
    /// Time to read one prompt token, ns.
    ns_per_token: f64,
    /// Where the session's last answer began, if that is still cached.
    session_holder: Option<usize>,
    /// What the prefill at a warming replica counts for, 0 to 1.
    warming_discount: f64,
    /// Whether there are so many replicas that opening connections counts.
    is_large_fleet: bool,
}

/// What is predicted of a candidate, ns. Ranked by what is believed, admitted by what was sampled: the first
/// compares replicas, the second asks whether there is time.
struct Prediction {
    rank: f64,
    wait: f64,
}

impl Balancer {
    /// The best replica for the next attempt of a request; `None` if no ready one may get it.
    pub(super) fn select_replica(&mut self, now: Nanos, state: &RequestState) -> Option<Selection> {
        if self.replicas.ready().is_empty() {
            return None;
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let session_holder = self.add_preferred(now, &state.request, &mut candidates);
        self.add_random(&state.request, &mut candidates);
        self.add_warming(now, &state.request, &mut candidates);
        let comparison = self.comparison(now, &state.request, session_holder);
        let selection = self.best_of(&candidates, &comparison, state);
        self.candidates = candidates;
        selection
    }

    /// Adds a few replicas at random: first of the own zone, then of all.
    fn add_random(&mut self, request: &Request, candidates: &mut Vec<Candidate>) {
        let prefill_tokens = self.prefill_elsewhere(request);
        for draw in 0..RANDOM_CANDIDATES * 2 {
            let (own_zone, ready) = (self.replicas.ready_in_own_zone(), self.replicas.ready());
            let pool = if draw < RANDOM_CANDIDATES && !own_zone.is_empty() { own_zone } else { ready };
            let slot = pool[self.rng.usize(..pool.len())];
            if !candidates.iter().any(|candidate| candidate.slot == slot) {
                candidates.push(Candidate { slot, prefill_tokens });
            }
        }
    }

    /// Adds the replicas that are warming up. Few requests would draw one while there is credit for it, and
    /// with many routers each has little: so those with credit are all looked at.
    fn add_warming(&mut self, now: Nanos, request: &Request, candidates: &mut Vec<Candidate>) {
        let prefill_tokens = self.prefill_elsewhere(request);
        let warming_up = self.replicas.warming_up();
        let first = if warming_up.is_empty() { 0 } else { self.rng.usize(..warming_up.len()) };
        let in_turn = warming_up[first..].iter().chain(&warming_up[..first]);
        for &slot in in_turn.take(MAX_WARMING_CANDIDATES) {
            // One that is warm by now is like the others: a candidate for every attempt, it would run over.
            let is_warming_up = self.is_warming_up(now, &self.replicas[slot]);
            if is_warming_up && !candidates.iter().any(|candidate| candidate.slot == slot) {
                candidates.push(Candidate { slot, prefill_tokens });
            }
        }
    }

    /// Prompt tokens that a replica would have to read that is none of the prefix's preferred ones.
    fn prefill_elsewhere(&self, request: &Request) -> f64 {
        let (prompt, prefix) = (f64::from(request.prompt_tokens), f64::from(request.prefix_tokens));
        prompt - prefix * self.statistics.cached_elsewhere
    }

    fn comparison(&self, now: Nanos, request: &Request, session_holder: Option<usize>) -> Comparison {
        let (ready, warming_up) = (self.replicas.ready().len(), self.replicas.warming_up().len());
        Comparison {
            now,
            objective: self.latency_objective(request),
            prompt_tokens: f64::from(request.prompt_tokens),
            ns_per_token: self.statistics.prefill_ns_per_token(),
            session_holder,
            warming_discount: (1.0 - warming_up as f64 / ready as f64).powi(WARMING_SHARE_POWER),
            is_large_fleet: ready > MAX_SCANNED_REPLICAS,
        }
    }

    /// The candidate with the lowest rank. Ejected ones come last, however many they are: if all are, the
    /// cause may be at this router.
    fn best_of(
        &mut self,
        candidates: &[Candidate],
        comparison: &Comparison,
        state: &RequestState,
    ) -> Option<Selection> {
        let mut best: Option<((bool, f64), Selection)> = None;
        for candidate in candidates {
            let slot = candidate.slot;
            if !self.is_eligible(comparison.now, slot, state) {
                continue;
            }
            let prefill_tokens = self.prefill_at(candidate, comparison);
            let replica = &self.replicas[slot];
            let Prediction { rank, wait } = self.predict(replica, prefill_tokens, comparison);
            let is_ejected = replica.is_ejected(comparison.now);
            let rank = rank * (1.0 + TIE_BREAK_SHARE * self.rng.f64());
            if best.as_ref().is_none_or(|(lowest, _)| (is_ejected, rank) < *lowest) {
                let selection = Selection { slot, prefill_tokens, predicted_wait: wait };
                best = Some(((is_ejected, rank), selection));
            }
        }
        best.map(|(_, selection)| selection)
    }

    /// Whether an attempt of this request may go to a replica now.
    fn is_eligible(&self, now: Nanos, slot: usize, state: &RequestState) -> bool {
        let replica = &self.replicas[slot];
        let was_tried = state.attempts.iter().any(|attempt| attempt.entry.replica == replica.entry.replica);
        let effect = self.settings.classes[state.request.class.0 as usize].effect;
        // Rules 2 and 4.
        let may_repeat = state.may_repeat(now, effect, &replica.entry, self.settings.concurrent_attempts);
        let has_credit = || !self.is_warming_up(now, replica) || self.slow_start_credit(now, replica) >= 1.0;
        !was_tried && may_repeat && has_credit()
    }

    /// Prompt tokens that a candidate is expected to read. One that has just started has little cached,
    /// preferred or not, but what it is known to hold.
    fn prefill_at(&self, candidate: &Candidate, comparison: &Comparison) -> f64 {
        match self.replicas[candidate.slot].warming_up_since {
            Some(since) if comparison.session_holder != Some(candidate.slot) => {
                let age = comparison.now.saturating_sub(since);
                prefix_cache::uncached_tokens_after_start(
                    candidate.prefill_tokens,
                    comparison.prompt_tokens,
                    age,
                )
            }
            _ => candidate.prefill_tokens,
        }
    }

    fn predict(&self, replica: &Replica, prefill_tokens: f64, comparison: &Comparison) -> Prediction {
        let &Comparison { now, objective, ns_per_token, .. } = comparison;
        let is_sampled = replica.wait_sampled_at > 0;
        let concurrency = if is_sampled { replica.concurrency } else { self.statistics.concurrency };
        let smoothed = self.statistics.smoothed_wait(now, replica) / concurrency.max(1.0);
        let queue_wait = smoothed * f64::from(1 + replica.in_flight);
        let speed = self.statistics.speed_of_kind(replica.entry.kind);
        let prefill = (prefill_tokens + replica.backlog_at(now)) * ns_per_token / speed;
        // The more replicas are warming up, the more the others carry, and that shows only once they queue:
        // so the prefill at a warming one counts for less, where its first token still comes within the
        // objective.
        let is_preferred_warming = self.is_warming_up(now, replica)
            && queue_wait + prefill / self.capacity_share(now, replica) < objective;
        let ranked_prefill =
            if is_preferred_warming { prefill * comparison.warming_discount } else { prefill };
        let rank = first_token_wait::ranked_wait(smoothed, objective, replica.in_flight)
            + ranked_prefill
            + self.cross_zone_wait(replica, objective)
            + first_token_wait::queueing_wait(self.queue_at(now, replica, smoothed), objective)
            + self.connect_wait(replica, comparison);
        // Without a sample no more than the prefill is known. What has waited longest without a first token
        // tells the least that the next one may wait.
        let wait = if is_sampled { queue_wait + prefill } else { prefill };
        Prediction { rank, wait: wait.max(replica.longest_waiting(now)) }
    }

    /// What queues everywhere queues less at a replica that is warming up, the less it is sent of what it can
    /// do. One not sampled lately queues by as much more or less as its kind does. In ns.
    fn queue_at(&self, now: Nanos, replica: &Replica, smoothed: f64) -> f64 {
        let all = self.statistics.first_token_wait;
        let kind_excess = (self.statistics.wait_for_kind(now, replica.entry.kind) - all)
            * (1.0 - sample_freshness(now, replica.wait_sampled_at));
        (all.min(smoothed) + kind_excess).max(0.0) * self.capacity_share(now, replica)
    }

    /// The cost of crossing zones as a wait, ns.
    fn cross_zone_wait(&self, replica: &Replica, objective: f64) -> f64 {
        if replica.entry.zone == self.settings.zone {
            return 0.0;
        }
        CROSS_ZONE_OBJECTIVES * self.settings.cross_zone_cost * objective
    }

    /// The cost of opening a connection as a wait, ns.
    fn connect_wait(&self, replica: &Replica, comparison: &Comparison) -> f64 {
        let is_connected =
            !comparison.is_large_fleet || replica.is_connected(comparison.now, self.settings.idle_timeout);
        if is_connected {
            return 0.0;
        }
        CONNECT_OBJECTIVE_SHARE * comparison.objective
    }
}
