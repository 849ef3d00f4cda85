//! How long a report period lasts, and when the last one ended.

use crate::api::{Nanos, SECOND};

/// Report period for each router, s: the load of reports grows with the square of the routers, so the period
/// grows too.
const PERIOD_PER_ROUTER_S: f64 = 0.05;
/// Shortest and longest report period, s.
const PERIOD_RANGE_S: (f64, f64) = (0.25, 16.0);

/// The report period.
pub(super) struct ReportPeriod {
    /// How long each lasts.
    pub(super) length: Nanos,
    /// When the last one ended.
    pub(super) last_end: Nanos,
}

impl ReportPeriod {
    /// The period of a deployment with so many routers.
    pub(super) fn new(router_count: u32) -> ReportPeriod {
        let length_s =
            (PERIOD_PER_ROUTER_S * f64::from(router_count)).clamp(PERIOD_RANGE_S.0, PERIOD_RANGE_S.1);
        ReportPeriod { length: (length_s * SECOND as f64) as Nanos, last_end: 0 }
    }
}
