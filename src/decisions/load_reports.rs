//! Applies load reports: those of replicas, which arrive with answers, and those of peers on the requests
//! that each has served per tenant. At the end of each report period the router sends its own report to its
//! peers.

use std::cmp::Reverse;

use super::{Balancer, REPORT_TIMER};
use crate::api::{Action, LoadField, Nanos, PeerId, TenantId, SECOND};
use crate::served_report::{self, ServedCount};

/// Report periods without a report from a peer after which its forecast is halved in each period.
const PEER_SILENCE_PERIODS: f64 = 3.0;
/// Minimum time that a report is taken to cover, s, so that no rate is implausibly high.
const MIN_REPORT_SPAN_S: f64 = 0.01;

impl Balancer {
    /// Starts the first report period. Routers are staggered, so that peers' reports do not arrive together.
    pub(super) fn start_report_period(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let length = self.report_period.length;
        let phase = length * u64::from(self.settings.own_index.0) / u64::from(self.settings.router_count);
        self.report_period.last_end = now;
        out.push(Action::WakeAt { at: now + length / 2 + phase, token: REPORT_TIMER });
    }

    /// Ends a report period: updates the smoothed rates and sends the report to peers.
    pub(super) fn end_report_period(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let length = self.report_period.length;
        out.push(Action::WakeAt { at: now + length, token: REPORT_TIMER });
        let period_s = now.saturating_sub(self.report_period.last_end).max(1) as f64 / SECOND as f64;
        self.report_period.last_end = now;
        let (ready, warm_up_time) = (self.replicas.ready().len(), self.settings.warm_up_time);
        self.statistics.end_period(period_s);
        self.statistics.record_ready_replicas(period_s, ready, warm_up_time);
        let mut served = Vec::new();
        let silence_limit = PEER_SILENCE_PERIODS * length as f64;
        for (tenant, bucket) in self.buckets.iter_mut().enumerate() {
            bucket.refill(now, self.statistics.load_level);
            let requests = bucket.end_report_period(now, period_s, silence_limit);
            if requests > 0 {
                served.push(ServedCount { tenant: TenantId(tenant as u32), requests });
            }
        }
        self.update_highest_wait(now);
        if self.settings.has_peers && self.settings.router_count > 1 && !self.settings.tenants.is_empty() {
            served.sort_unstable_by_key(|count| (Reverse(count.requests), count.tenant));
            let period_ms = (period_s * 1000.0) as u64;
            out.extend(
                served_report::encode(self.settings.tenants_digest, period_ms, &served)
                    .into_iter()
                    .map(Action::Gossip),
            );
        }
    }

    /// Updates the highest smoothed wait, which is the initial value for replicas without a sample.
    fn update_highest_wait(&mut self, now: Nanos) {
        self.statistics.highest_wait = 0.0;
        for &slot in self.replicas.ready() {
            let replica = &self.replicas[slot];
            if replica.ejected_until <= now && replica.wait_sampled_at > 0 {
                let wait = self.statistics.smoothed_wait(now, replica);
                self.statistics.highest_wait = self.statistics.highest_wait.max(wait);
            }
        }
    }

    /// Applies a report from a peer. Reports with other tenants, or malformed ones, are ignored.
    pub(super) fn apply_peer_report(&mut self, now: Nanos, from: PeerId, bytes: &[u8]) {
        if self.settings.tenants.is_empty() {
            return;
        }
        let Ok(report) = served_report::decode(self.settings.tenants_digest, bytes) else { return };
        let span_s = (report.span_ms.max(1) as f64 / 1000.0).max(MIN_REPORT_SPAN_S);
        for ServedCount { tenant, requests } in report.served {
            if let Some(bucket) = self.buckets.get_mut(tenant.0 as usize) {
                bucket.refill(now, self.statistics.load_level);
                bucket.apply_peer_report(now, from.0 as usize, f64::from(requests), span_s);
            }
        }
    }

    /// Records a replica's load report. Values that are negative or not finite are ignored.
    pub(super) fn record_load_report(&mut self, now: Nanos, slot: usize, load: &[f64]) {
        let replica = &mut self.replicas[slot];
        for (field, &value) in self.settings.report_fields.iter().zip(load) {
            if *field == LoadField::PrefillBacklogThousands && value.is_finite() && value >= 0.0 {
                replica.prefill_backlog = value * 1000.0;
                replica.backlog_reported_at = now;
            }
        }
    }
}
