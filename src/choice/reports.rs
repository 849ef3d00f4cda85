//! The report period: what this gateway has served is told to its peers; what they tell drains the buckets.

use std::cmp::Reverse;

use super::{Balancer, RATE_WEIGHT, SILENT_PERIODS, TICK};
use crate::api::{Action, Nanos, PeerId, SECOND};
use crate::served_report;

impl Balancer {
    pub(super) fn on_tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::WakeAt { at: now + self.period, token: TICK });
        let dt = now.saturating_sub(self.last_tick).max(1) as f64 / SECOND as f64;
        self.last_tick = now;
        self.fleet.note_flow(dt);
        self.fleet.note_nodes(dt, self.members.ready.all().len(), self.set.warm_up_time);
        let mut counts = Vec::new();
        let silent = SILENT_PERIODS * self.period as f64;
        for t in 0..self.buckets.len() {
            self.refill(now, t);
            let b = &mut self.buckets[t];
            b.own_rate += RATE_WEIGHT * (f64::from(b.served) / dt - b.own_rate);
            for p in &mut b.peers {
                if now.saturating_sub(p.at) as f64 > silent && p.rate > 0.0 {
                    p.rate = if p.rate < 1e-3 { 0.0 } else { p.rate / 2.0 };
                }
            }
            b.peer_rate = b.peers.iter().map(|p| p.rate).sum();
            if b.served > 0 {
                counts.push((b.served, t as u32));
                b.served = 0;
            }
        }
        // The highest smoothed wait is where replicas without a sample start.
        self.fleet.peak = 0.0;
        for &i in self.members.ready.all() {
            let r = &self.replicas[i];
            if r.ejected_until <= now && r.sampled_at > 0 {
                self.fleet.peak = self.fleet.peak.max(self.smoothed(now, r));
            }
        }
        if self.set.has_peers && self.set.router_count > 1 && !self.set.tenants.is_empty() {
            counts.sort_unstable_by_key(|&(c, t)| (Reverse(c), t));
            for bytes in served_report::encode(self.set.digest, (dt * 1000.0) as u64, &counts) {
                out.push(Action::Gossip(bytes));
            }
        }
    }

    pub(super) fn on_report(&mut self, now: Nanos, from: PeerId, bytes: &[u8]) {
        let peer = from.0 as usize;
        if from == self.set.own_index || from.0 >= self.set.router_count || self.set.tenants.is_empty() {
            return;
        }
        let Ok(report) = served_report::decode(self.set.digest, bytes) else { return };
        let span = (report.span_ms.max(1) as f64 / 1000.0).max(0.01);
        for (tenant, count) in report.served {
            if tenant as usize >= self.buckets.len() {
                continue;
            }
            self.refill(now, tenant as usize);
            let b = &mut self.buckets[tenant as usize];
            let count = f64::from(count);
            let p = &mut b.peers[peer];
            let forecast = p.rate * (b.scale_sum - p.scale_then);
            p.scale_then = b.scale_sum;
            p.at = now;
            p.rate += RATE_WEIGHT * (count / span - p.rate);
            // The outside hits beyond the forecast, each gateway taking its share of them: N gateways
            // that each took all would be charged, and then reopen, N times over.
            let (_, share) = b.split(f64::from(self.set.router_count));
            b.level -= share * (count - forecast);
            b.peer_rate = b.peers.iter().map(|p| p.rate).sum();
        }
    }
}
