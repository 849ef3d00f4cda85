//! The report period: what this gateway has served is told to its peers; what they tell drains the buckets.

use std::cmp::Reverse;

use super::{Balancer, PEER_SILENCE_PERIODS, RATE_SAMPLE_WEIGHT, REPORT_TIMER};
use crate::api::{Action, Nanos, PeerId, SECOND};
use crate::served_report;

impl Balancer {
    pub(super) fn end_report_period(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::WakeAt { at: now + self.report_period, token: REPORT_TIMER });
        let dt = now.saturating_sub(self.last_report_at).max(1) as f64 / SECOND as f64;
        self.last_report_at = now;
        self.statistics.end_period(dt);
        self.statistics.record_ready_replicas(
            dt,
            self.membership.ready.all().len(),
            self.settings.warm_up_time,
        );
        let mut counts = Vec::new();
        let silent = PEER_SILENCE_PERIODS * self.report_period as f64;
        for t in 0..self.buckets.len() {
            self.refill_bucket(now, t);
            let b = &mut self.buckets[t];
            b.own_served_per_s +=
                RATE_SAMPLE_WEIGHT * (f64::from(b.served_since_report) / dt - b.own_served_per_s);
            for p in &mut b.peers {
                if now.saturating_sub(p.updated_at) as f64 > silent && p.served_per_s > 0.0 {
                    p.served_per_s = if p.served_per_s < 1e-3 { 0.0 } else { p.served_per_s / 2.0 };
                }
            }
            b.peers_served_per_s = b.peers.iter().map(|p| p.served_per_s).sum();
            if b.served_since_report > 0 {
                counts.push((b.served_since_report, t as u32));
                b.served_since_report = 0;
            }
        }
        // The highest smoothed wait is where replicas without a sample start.
        self.statistics.highest_wait = 0.0;
        for &i in self.membership.ready.all() {
            let r = &self.replicas[i];
            if r.ejected_until <= now && r.wait_sampled_at > 0 {
                self.statistics.highest_wait = self.statistics.highest_wait.max(self.smoothed_wait(now, r));
            }
        }
        if self.settings.has_peers && self.settings.router_count > 1 && !self.settings.tenants.is_empty() {
            counts.sort_unstable_by_key(|&(c, t)| (Reverse(c), t));
            for bytes in served_report::encode(self.settings.digest, (dt * 1000.0) as u64, &counts) {
                out.push(Action::Gossip(bytes));
            }
        }
    }

    pub(super) fn apply_peer_report(&mut self, now: Nanos, from: PeerId, bytes: &[u8]) {
        let peer = from.0 as usize;
        if from == self.settings.own_index
            || from.0 >= self.settings.router_count
            || self.settings.tenants.is_empty()
        {
            return;
        }
        let Ok(report) = served_report::decode(self.settings.digest, bytes) else { return };
        let span = (report.span_ms.max(1) as f64 / 1000.0).max(0.01);
        for (tenant, count) in report.served {
            if tenant as usize >= self.buckets.len() {
                continue;
            }
            self.refill_bucket(now, tenant as usize);
            let b = &mut self.buckets[tenant as usize];
            let count = f64::from(count);
            let p = &mut b.peers[peer];
            let forecast = p.served_per_s * (b.drain_integral - p.drain_integral);
            p.drain_integral = b.drain_integral;
            p.updated_at = now;
            p.served_per_s += RATE_SAMPLE_WEIGHT * (count / span - p.served_per_s);
            // The outside hits beyond the forecast, each gateway taking its share of them: N gateways
            // that each took all would be charged, and then reopen, N times over.
            let (_, share) = b.drain_share(f64::from(self.settings.router_count));
            b.tokens -= share * (count - forecast);
            b.peers_served_per_s = b.peers.iter().map(|p| p.served_per_s).sum();
        }
    }
}
