//! Decides which replicas are candidates because they are likely to have a prompt's tokens cached: the
//! preferred replicas of its prefix, which routers agree on without a word, and the one where its session's
//! last answer began.

use super::candidate::Candidate;
use super::Balancer;
use crate::api::{Nanos, Request};
use crate::prefix_cache::SessionReplica;
use crate::ready_replicas::MAX_PREFERRED_REPLICAS;
use crate::rendezvous_hash::{mix, unit_race};

/// The fewest preferred replicas of a prefix, so that one that is slow does not hold it up.
const MIN_PREFERRED: f64 = 2.0;
/// Preferred replicas for each replica's worth of a prefix's traffic.
const PREFERRED_PER_SHARE: f64 = 5.0;
/// A prefix's share of the traffic is believed for a half after so many requests: enough to tell one of a
/// twentieth, a replica's worth times five in a hundred, to within a third of itself.
const PREFIX_SHARE_DOUBT: f64 = 150.0;
impl Balancer {
    /// Adds the preferred replicas of a request, and the one that its session was last answered by. The slot
    /// of the latter, if it still has what it read.
    pub(super) fn add_preferred(
        &mut self,
        now: Nanos,
        request: &Request,
        candidates: &mut Vec<Candidate>,
    ) -> Option<usize> {
        let key = request.prefix.map(|prefix| prefix.0).or(request.session.map(|session| session.0))?;
        let session = request.session.map_or(0, |session| session.0);
        let (key, spread) = self.prefix_part(key, session, request);
        let (zone, weight) = (self.settings.zone, self.affinity.other_zone_weight);
        let preferred = self.replicas.preferred(key, zone, weight);
        let first_choice = self.rank_preferred(&preferred, spread, session, request, candidates);
        request.session?;
        // The session's first choice, unless its last answer here began elsewhere: then the rest was read
        // there.
        let held = self.session_holder(now, session);
        match held.filter(|&(slot, _)| slot != preferred[first_choice]) {
            None => candidates[first_choice].prefill_tokens = 0.0,
            Some((slot, holder)) => {
                let prompt_tokens = f64::from(request.prompt_tokens);
                let prefill_tokens = (prompt_tokens - f64::from(holder.tokens)).max(0.0);
                match candidates.iter_mut().find(|candidate| candidate.slot == slot) {
                    Some(known) => known.prefill_tokens = known.prefill_tokens.min(prefill_tokens),
                    None => candidates.push(Candidate { slot, prefill_tokens }),
                }
            }
        }
        held.map(|(slot, _)| slot)
    }

    /// The key to look up, and how many replicas share its traffic.
    ///
    /// Told by few requests a prefix's share is a guess, another one at each router. As far as it is, all
    /// replicas are preferred, which routers agree on: a session's turns meet at one, whichever router gets
    /// them. Where more replicas are worth it than a ranking looks at, the prefix is split by powers of two;
    /// routers agree on a session's part.
    fn prefix_part(&self, key: u64, session: u64, request: &Request) -> (u64, f64) {
        let own_zone = self.replicas.ready_in_own_zone().len() as f64;
        let ready = self.replicas.ready().len() as f64;
        let reach = own_zone + (ready - own_zone) * self.affinity.other_zone_weight;
        let traffic = &self.affinity.prefix_traffic;
        let share = traffic.share(request.prefix, 1.0 / PREFERRED_PER_SHARE, PREFIX_SHARE_DOUBT);
        let spread = share * reach * PREFERRED_PER_SHARE;
        let parts = (spread / MAX_PREFERRED_REPLICAS as f64).max(1.0).log2().ceil().exp2();
        let key = if parts > 1.0 { mix(key, mix(session, 0) % parts as u64) } else { key };
        (key, (spread / parts).clamp(MIN_PREFERRED, MAX_PREFERRED_REPLICAS as f64))
    }

    /// Adds the preferred replicas with the tokens that each would have to read. The rank of the session's
    /// first choice among them, drawn by weighted rendezvous: routers whose views of the prefix's share
    /// differ a little still agree for most sessions.
    fn rank_preferred(
        &self,
        preferred: &[usize],
        spread: f64,
        session: u64,
        request: &Request,
        candidates: &mut Vec<Candidate>,
    ) -> usize {
        let (prompt, prefix) = (f64::from(request.prompt_tokens), f64::from(request.prefix_tokens));
        let mut first_choice = (f64::MAX, 0);
        for (rank, &slot) in preferred.iter().enumerate() {
            let weight = (-(rank as f64) / spread).exp();
            let entry = &self.replicas[slot].entry;
            let speed = self.statistics.speed_of_kind(entry.kind);
            let draw = unit_race(mix(session, entry.replica.0)) / (weight * speed);
            if draw < first_choice.0 {
                first_choice = (draw, rank);
            }
            let cached_share = weight.max(self.statistics.cached_elsewhere);
            candidates.push(Candidate { slot, prefill_tokens: prompt - prefix * cached_share });
        }
        first_choice.1
    }

    /// Where a session's last answer began, if that replica still has what it read, and what it read.
    fn session_holder(&self, now: Nanos, session: u64) -> Option<(usize, SessionReplica)> {
        let holder = self.affinity.sessions.last_replica(now, session)?;
        let slot = self.replicas.slot_of(holder.replica)?;
        self.replicas[slot].holds_session(&holder).then_some((slot, holder))
    }
}
