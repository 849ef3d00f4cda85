//! The report period: what this gateway has served is told to its peers; what they tell drains the buckets.

use std::cmp::Reverse;

use super::{Balancer, PEER_SILENCE_PERIODS, RATE_SAMPLE_WEIGHT, REPORT_TIMER};
use crate::api::{Action, Nanos, PeerId, SECOND};
use crate::served_report;

impl Balancer {
    pub(super) fn end_report_period(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::WakeAt { at: now + self.report_period, token: REPORT_TIMER });
        let elapsed_s = now.saturating_sub(self.last_report_at).max(1) as f64 / SECOND as f64;
        self.last_report_at = now;
        self.statistics.end_period(elapsed_s);
        self.statistics.record_ready_replicas(
            elapsed_s,
            self.membership.ready.all().len(),
            self.settings.warm_up_time,
        );
        let mut counts = Vec::new();
        let silence_limit = PEER_SILENCE_PERIODS * self.report_period as f64;
        for tenant in 0..self.buckets.len() {
            self.refill_bucket(now, tenant);
            let bucket = &mut self.buckets[tenant];
            bucket.own_served_per_s += RATE_SAMPLE_WEIGHT
                * (f64::from(bucket.served_since_report) / elapsed_s - bucket.own_served_per_s);
            for peer in &mut bucket.peers {
                if now.saturating_sub(peer.updated_at) as f64 > silence_limit && peer.served_per_s > 0.0 {
                    peer.served_per_s = if peer.served_per_s < 1e-3 { 0.0 } else { peer.served_per_s / 2.0 };
                }
            }
            bucket.peers_served_per_s = bucket.peers.iter().map(|peer| peer.served_per_s).sum();
            if bucket.served_since_report > 0 {
                counts.push((bucket.served_since_report, tenant as u32));
                bucket.served_since_report = 0;
            }
        }
        // The highest smoothed wait is where replicas without a sample start.
        self.statistics.highest_wait = 0.0;
        for &slot in self.membership.ready.all() {
            let replica = &self.replicas[slot];
            if replica.ejected_until <= now && replica.wait_sampled_at > 0 {
                self.statistics.highest_wait =
                    self.statistics.highest_wait.max(self.smoothed_wait(now, replica));
            }
        }
        if self.settings.has_peers && self.settings.router_count > 1 && !self.settings.tenants.is_empty() {
            counts.sort_unstable_by_key(|&(count, tenant)| (Reverse(count), tenant));
            for bytes in served_report::encode(self.settings.digest, (elapsed_s * 1000.0) as u64, &counts) {
                out.push(Action::Gossip(bytes));
            }
        }
    }

    pub(super) fn apply_peer_report(&mut self, now: Nanos, from: PeerId, bytes: &[u8]) {
        let sender = from.0 as usize;
        if from == self.settings.own_index
            || from.0 >= self.settings.router_count
            || self.settings.tenants.is_empty()
        {
            return;
        }
        let Ok(report) = served_report::decode(self.settings.digest, bytes) else { return };
        let span_s = (report.span_ms.max(1) as f64 / 1000.0).max(0.01);
        for (tenant, count) in report.served {
            if tenant as usize >= self.buckets.len() {
                continue;
            }
            self.refill_bucket(now, tenant as usize);
            let bucket = &mut self.buckets[tenant as usize];
            let count = f64::from(count);
            let peer = &mut bucket.peers[sender];
            let forecast = peer.served_per_s * (bucket.drain_integral - peer.drain_integral);
            peer.drain_integral = bucket.drain_integral;
            peer.updated_at = now;
            peer.served_per_s += RATE_SAMPLE_WEIGHT * (count / span_s - peer.served_per_s);
            // The outside hits beyond the forecast, each gateway taking its share of them: N gateways
            // that each took all would be charged, and then reopen, N times over.
            let (_, own_share) = bucket.drain_share(f64::from(self.settings.router_count));
            bucket.tokens -= own_share * (count - forecast);
            bucket.peers_served_per_s = bucket.peers.iter().map(|peer| peer.served_per_s).sum();
        }
    }
}
