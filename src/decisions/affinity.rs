//! Decides which replicas are candidates because they are likely to have a prompt's tokens cached: the
//! preferred replicas of its prefix, which all routers compute alike without exchanging messages, and the
//! replica that last answered its session.

use super::candidate::Candidate;
use super::Balancer;
use crate::api::{Nanos, Request};
use crate::prefix_cache::SessionReplica;
use crate::ready_replicas::MAX_PREFERRED_REPLICAS;
use crate::rendezvous_hash::{exponential_variate, mix};

/// Minimum number of preferred replicas of a prefix, so that one slow replica does not delay the whole
/// prefix.
const MIN_PREFERRED: f64 = 2.0;
/// Number of preferred replicas per replica's worth of traffic that a prefix has.
const PREFERRED_PER_SHARE: f64 = 5.0;
/// Weight of the prior in a prefix's share of the traffic, in requests: after this many requests the prior
/// and the measured share weigh the same. 150 requests measure a share of 1/20 (five replicas' worth in a
/// fleet of 100) to within a third.
const PREFIX_SHARE_PRIOR_REQUESTS: f64 = 150.0;
impl Balancer {
    /// Adds the preferred replicas of a request and the replica that last answered its session. Returns the
    /// slot of the latter if it still has the session's prompt cached.
    pub(super) fn add_preferred_candidates(
        &mut self,
        now: Nanos,
        request: &Request,
        candidates: &mut Vec<Candidate>,
    ) -> Option<usize> {
        let key = request.prefix.map(|prefix| prefix.0).or(request.session.map(|session| session.0))?;
        let session = request.session.map_or(0, |session| session.0);
        let (key, sharing_replicas) = self.partitioned_key(key, session, request);
        let (zone, weight) = (self.settings.zone, self.affinity.other_zone_weight);
        let preferred = self.replicas.preferred(key, zone, weight);
        let first_choice = self.rank_preferred(&preferred, sharing_replicas, session, request, candidates);
        request.session?;
        // The session's first choice has the session cached, unless another replica gave the last answer at
        // this router: then that replica has it.
        let cached_replica = self.cached_session_replica(now, session);
        match cached_replica.filter(|&(slot, _)| slot != preferred[first_choice]) {
            None => candidates[first_choice].prefill_tokens = 0.0,
            Some((slot, found)) => {
                let prompt_tokens = f64::from(request.prompt_tokens);
                let prefill_tokens = (prompt_tokens - f64::from(found.tokens)).max(0.0);
                match candidates.iter_mut().find(|candidate| candidate.slot == slot) {
                    Some(existing) => existing.prefill_tokens = existing.prefill_tokens.min(prefill_tokens),
                    None => candidates.push(Candidate { slot, prefill_tokens }),
                }
            }
        }
        cached_replica.map(|(slot, _)| slot)
    }

    /// Returns the key to look up and the number of replicas that share its traffic.
    ///
    /// The share of a prefix with few requests is uncertain and differs between routers. It is shrunk to a
    /// prior that spreads such a prefix over all replicas, on which routers agree; so the turns of a session
    /// reach one replica, whichever router receives them. A prefix that needs more replicas than the ranking
    /// examines is split into a power of two of parts, chosen by session, on which routers agree too.
    fn partitioned_key(&self, key: u64, session: u64, request: &Request) -> (u64, f64) {
        let own_zone = self.replicas.ready_in_own_zone().len() as f64;
        let ready = self.replicas.ready().len() as f64;
        let weighted_replicas = own_zone + (ready - own_zone) * self.affinity.other_zone_weight;
        let traffic = &self.affinity.prefix_traffic;
        let share = traffic.share(request.prefix, 1.0 / PREFERRED_PER_SHARE, PREFIX_SHARE_PRIOR_REQUESTS);
        let sharing_replicas = share * weighted_replicas * PREFERRED_PER_SHARE;
        let parts = (sharing_replicas / MAX_PREFERRED_REPLICAS as f64).max(1.0).log2().ceil().exp2();
        let key = if parts > 1.0 { mix(key, mix(session, 0) % parts as u64) } else { key };
        (key, (sharing_replicas / parts).clamp(MIN_PREFERRED, MAX_PREFERRED_REPLICAS as f64))
    }

    /// Adds the preferred replicas with the tokens that each would have to prefill. Returns the rank of the
    /// session's first choice among them, selected by weighted rendezvous hashing: routers whose estimates of
    /// the prefix's share differ a little still agree for most sessions.
    fn rank_preferred(
        &self,
        preferred: &[usize],
        sharing_replicas: f64,
        session: u64,
        request: &Request,
        candidates: &mut Vec<Candidate>,
    ) -> usize {
        let (prompt, prefix) = (f64::from(request.prompt_tokens), f64::from(request.prefix_tokens));
        let mut first_choice = (f64::MAX, 0);
        for (rank, &slot) in preferred.iter().enumerate() {
            let weight = (-(rank as f64) / sharing_replicas).exp();
            let entry = &self.replicas[slot].entry;
            let speed = self.statistics.speed_of_kind(entry.kind);
            let variate = exponential_variate(mix(session, entry.replica.0)) / (weight * speed);
            if variate < first_choice.0 {
                first_choice = (variate, rank);
            }
            let cached_share = weight.max(self.statistics.cached_elsewhere);
            candidates.push(Candidate { slot, prefill_tokens: prompt - prefix * cached_share });
        }
        first_choice.1
    }

    /// Returns the slot of the replica that last answered a session, and the record of that answer with the
    /// number of prompt tokens that the replica has read; `None` if that replica takes no work or no longer
    /// has the session's prompt cached.
    fn cached_session_replica(&self, now: Nanos, session: u64) -> Option<(usize, SessionReplica)> {
        let found = self.affinity.sessions.last_replica(now, session)?;
        let slot = self.replicas.slot_of(found.replica)?;
        self.replicas[slot].has_session_cached(&found).then_some((slot, found))
    }
}
