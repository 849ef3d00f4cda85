//! Decides which replica an attempt goes to: of a few candidates, the one with the lowest predicted
//! first-token wait.
//!
//! Candidates are the replicas that are likely to have the prompt cached (see [`super::affinity`]), some
//! random ones, and those that are warming up.

use super::candidate::{Candidate, Selection, MAX_WARMING_CANDIDATES, RANDOM_CANDIDATES};
use super::Balancer;
use crate::api::{Nanos, Request};
use crate::first_token_wait;
use crate::prefix_cache;
use crate::ready_replicas::MAX_SCANNED_REPLICAS;
use crate::state::replica::Replica;
use crate::state::replica_statistics::sample_freshness;
use crate::state::request::RequestState;

/// Exponent of the prefill discount for warming replicas. The more of the fleet is warming, the more requests
/// they attract before the other replicas queue.
const WARMING_DISCOUNT_EXPONENT: i32 = 3;
/// Penalty for crossing zones, in latency objectives of waiting per unit of its cost.
const CROSS_ZONE_OBJECTIVES: f64 = 3.0;
/// Penalty for a replica without an idle connection, as a share of the latency objective, in fleets larger
/// than [`MAX_SCANNED_REPLICAS`]. Without it, tiny differences in rank would make nearly every request open a
/// new connection.
const CONNECT_OBJECTIVE_SHARE: f64 = 0.1;
/// Maximum random change of a rank, as a share of it, which breaks ties.
const TIE_BREAK_SHARE: f64 = 1e-6;

/// Values that are the same for all candidates of one attempt.
struct RankingContext {
    now: Nanos,
    /// Latency objective of the request, ns.
    objective: f64,
    prompt_tokens: f64,
    /// Time to prefill one prompt token, ns.
    ns_per_token: f64,
    /// Slot of the replica that last answered the session, if it still has it cached.
    session_slot: Option<usize>,
    /// Factor on the prefill at a warming replica, 0 to 1.
    warming_discount: f64,
    /// Whether the fleet is so large that the cost of new connections counts.
    is_large_fleet: bool,
}

/// Prediction for a candidate, ns. `rank` uses the estimates shrunk to a prior and compares replicas; `wait`
/// uses the samples alone and decides whether there is enough time.
struct Prediction {
    rank: f64,
    wait: f64,
}

impl Balancer {
    /// Returns the best replica for the next attempt of a request; `None` if no ready replica is eligible, or
    /// the list is too old to tell which are ready.
    pub(super) fn select_replica(&mut self, now: Nanos, state: &RequestState) -> Option<Selection> {
        if self.replicas.ready().is_empty() || !self.may_send_by_list(now) {
            return None;
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let session_slot = self.add_preferred_candidates(now, &state.request, &mut candidates);
        self.add_random_candidates(&state.request, &mut candidates);
        self.add_warming_candidates(now, &state.request, &mut candidates);
        let context = self.context(now, &state.request, session_slot);
        let selection = self.best_candidate(&candidates, &context, state);
        self.candidates = candidates;
        selection
    }

    /// Adds random replicas: first from the own zone, then from all zones.
    fn add_random_candidates(&mut self, request: &Request, candidates: &mut Vec<Candidate>) {
        let prefill_tokens = self.prefill_if_not_preferred(request);
        for index in 0..RANDOM_CANDIDATES * 2 {
            let (own_zone, ready) = (self.replicas.ready_in_own_zone(), self.replicas.ready());
            let pool = if index < RANDOM_CANDIDATES && !own_zone.is_empty() { own_zone } else { ready };
            let slot = pool[self.rng.usize(..pool.len())];
            if !candidates.iter().any(|candidate| candidate.slot == slot) {
                candidates.push(Candidate { slot, prefill_tokens });
            }
        }
    }

    /// Adds the replicas that are warming up. Random sampling would rarely find one while it has credit, and
    /// with many routers each has little credit: so all with credit are considered.
    fn add_warming_candidates(&mut self, now: Nanos, request: &Request, candidates: &mut Vec<Candidate>) {
        let prefill_tokens = self.prefill_if_not_preferred(request);
        let warming_up = self.replicas.warming_up();
        let first = if warming_up.is_empty() { 0 } else { self.rng.usize(..warming_up.len()) };
        let rotated = warming_up[first..].iter().chain(&warming_up[..first]);
        for &slot in rotated.take(MAX_WARMING_CANDIDATES) {
            // A replica that is warm by now competes like the others: as a candidate for every attempt it
            // would be overloaded.
            let is_warming_up = self.is_warming_up(now, &self.replicas[slot]);
            if is_warming_up && !candidates.iter().any(|candidate| candidate.slot == slot) {
                candidates.push(Candidate { slot, prefill_tokens });
            }
        }
    }

    /// Returns the prompt tokens that a replica outside the prefix's preferred ones would have to prefill.
    fn prefill_if_not_preferred(&self, request: &Request) -> f64 {
        let (prompt, prefix) = (f64::from(request.prompt_tokens), f64::from(request.prefix_tokens));
        prompt - prefix * self.statistics.cached_elsewhere
    }

    fn context(&self, now: Nanos, request: &Request, session_slot: Option<usize>) -> RankingContext {
        let (ready, warming_up) = (self.replicas.ready().len(), self.replicas.warming_up().len());
        RankingContext {
            now,
            objective: self.latency_objective(request),
            prompt_tokens: f64::from(request.prompt_tokens),
            ns_per_token: self.statistics.prefill_ns_per_token(),
            session_slot,
            warming_discount: (1.0 - warming_up as f64 / ready as f64).powi(WARMING_DISCOUNT_EXPONENT),
            is_large_fleet: ready > MAX_SCANNED_REPLICAS,
        }
    }

    /// Returns the eligible candidate with the lowest rank. Ejected replicas rank last but stay candidates:
    /// if all are ejected, the cause may be at this router.
    fn best_candidate(
        &mut self,
        candidates: &[Candidate],
        context: &RankingContext,
        state: &RequestState,
    ) -> Option<Selection> {
        let mut best: Option<((bool, f64), Selection)> = None;
        for candidate in candidates {
            let slot = candidate.slot;
            if !self.is_eligible(context.now, slot, state) {
                continue;
            }
            let prefill_tokens = self.prefill_at(candidate, context);
            let replica = &self.replicas[slot];
            let Prediction { rank, wait } = self.predict(replica, prefill_tokens, context);
            let is_ejected = replica.is_ejected(context.now);
            let rank = rank * (1.0 + TIE_BREAK_SHARE * self.rng.f64());
            if best.as_ref().is_none_or(|(lowest, _)| (is_ejected, rank) < *lowest) {
                let selection = Selection { slot, prefill_tokens, predicted_wait: wait };
                best = Some(((is_ejected, rank), selection));
            }
        }
        best.map(|(_, selection)| selection)
    }

    /// Returns whether an attempt of this request may go to a replica now.
    fn is_eligible(&self, now: Nanos, slot: usize, state: &RequestState) -> bool {
        let replica = &self.replicas[slot];
        let was_tried = state.attempts.iter().any(|attempt| attempt.entry.replica == replica.entry.replica);
        let effect = self.settings.classes[state.request.class.0 as usize].effect;
        // Rule 2 restricts repeats; rule 4 limits requests to warming replicas.
        let may_repeat = state.may_repeat(now, effect, &replica.entry, self.settings.concurrent_attempts);
        let has_credit = || !self.is_warming_up(now, replica) || self.slow_start_credit(now, replica) >= 1.0;
        !was_tried && may_repeat && has_credit()
    }

    /// Returns the prompt tokens that a candidate is expected to prefill. A replica that has just started has
    /// little cached, preferred or not, except for a session that it is known to hold.
    fn prefill_at(&self, candidate: &Candidate, context: &RankingContext) -> f64 {
        match self.replicas[candidate.slot].warming_up_since {
            Some(since) if context.session_slot != Some(candidate.slot) => {
                let age = context.now.saturating_sub(since);
                prefix_cache::uncached_tokens_after_start(
                    candidate.prefill_tokens,
                    context.prompt_tokens,
                    age,
                )
            }
            _ => candidate.prefill_tokens,
        }
    }

    fn predict(&self, replica: &Replica, prefill_tokens: f64, context: &RankingContext) -> Prediction {
        let &RankingContext { now, objective, ns_per_token, .. } = context;
        let is_sampled = replica.wait_sampled_at > 0;
        let concurrency = if is_sampled { replica.concurrency } else { self.statistics.concurrency };
        let smoothed = self.statistics.smoothed_wait(now, replica) / concurrency.max(1.0);
        let queue_wait = smoothed * f64::from(1 + replica.in_flight);
        let speed = self.statistics.speed_of_kind(replica.entry.kind);
        let prefill = (prefill_tokens + replica.backlog_at(now)) * ns_per_token / speed;
        // Load moves to the warm replicas while others are warming, and that shows only once they queue. So
        // the prefill at a warming replica counts for less, if its first token still meets the objective.
        let is_discounted = self.is_warming_up(now, replica)
            && queue_wait + prefill / self.capacity_share(now, replica) < objective;
        let ranked_prefill = if is_discounted { prefill * context.warming_discount } else { prefill };
        let rank = first_token_wait::ranking_wait(smoothed, objective, replica.in_flight)
            + ranked_prefill
            + self.cross_zone_wait(replica, objective)
            + first_token_wait::queueing_wait(self.predicted_queueing(now, replica, smoothed), objective)
            + self.connect_wait(replica, context);
        // Without a sample only the prefill is known. The longest wait of an attempt without a first token is
        // a lower bound for the next one.
        let wait = if is_sampled { queue_wait + prefill } else { prefill };
        Prediction { rank, wait: wait.max(replica.longest_wait(now)) }
    }

    /// Returns the predicted queueing at a replica, ns: the lower of the fleet's wait and its own, scaled by
    /// its capacity share, because a warming replica is sent less. A replica without a recent sample differs
    /// from the fleet by as much as its kind does.
    fn predicted_queueing(&self, now: Nanos, replica: &Replica, smoothed: f64) -> f64 {
        let all = self.statistics.first_token_wait;
        let kind_excess = (self.statistics.smoothed_wait_of_kind(now, replica.entry.kind) - all)
            * (1.0 - sample_freshness(now, replica.wait_sampled_at));
        (all.min(smoothed) + kind_excess).max(0.0) * self.capacity_share(now, replica)
    }

    /// Returns the penalty for crossing zones, ns.
    fn cross_zone_wait(&self, replica: &Replica, objective: f64) -> f64 {
        if replica.entry.zone == self.settings.zone {
            return 0.0;
        }
        CROSS_ZONE_OBJECTIVES * self.settings.cross_zone_cost * objective
    }

    /// Returns the penalty for opening a connection, ns.
    fn connect_wait(&self, replica: &Replica, context: &RankingContext) -> f64 {
        let is_connected =
            !context.is_large_fleet || replica.is_connected(context.now, self.settings.idle_timeout);
        if is_connected {
            return 0.0;
        }
        CONNECT_OBJECTIVE_SHARE * context.objective
    }
}
