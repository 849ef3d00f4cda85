//! Length of the report period, and the end of the last one.

use crate::api::{Nanos, SECOND};

/// Report period per router, s. The number of reports grows with the square of the number of routers, so the
/// period grows too.
const PERIOD_PER_ROUTER_S: f64 = 0.05;
/// Minimum and maximum report period, s.
const PERIOD_RANGE_S: (f64, f64) = (0.25, 16.0);

/// The report period.
pub(super) struct ReportPeriod {
    /// Length of each period.
    pub(super) length: Nanos,
    /// Time at which the last period ended.
    pub(super) last_end: Nanos,
}

impl ReportPeriod {
    /// Returns the report period of a deployment with `router_count` routers.
    pub(super) fn new(router_count: u32) -> ReportPeriod {
        let length_s =
            (PERIOD_PER_ROUTER_S * f64::from(router_count)).clamp(PERIOD_RANGE_S.0, PERIOD_RANGE_S.1);
        ReportPeriod { length: (length_s * SECOND as f64) as Nanos, last_end: 0 }
    }
}
