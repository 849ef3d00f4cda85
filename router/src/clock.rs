//! The router's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tallypin::api::Nanos;

/// Maximum distance of a time from the start of the clock, in nanoseconds. One year is effectively never, and avoids an
/// overflow of [`Instant`].
const MAX_AHEAD_NS: Nanos = 365 * 24 * 3600 * 1_000_000_000;

/// A monotonic clock that is set to Unix time once, when it is created. It can be compared with the start times of replicas,
/// which are in Unix time, and is not affected by steps of the system clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix_start: Nanos,
    start: Instant,
}

impl Clock {
    /// Creates a clock set to the current Unix time.
    pub fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_time.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The current time, in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// Converts an instant to a time. An instant before the start of the clock gives the start time.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.unix_start + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// Converts a time to an instant. A time before the start of the clock gives the start instant.
    pub fn instant(&self, at: Nanos) -> Instant {
        let ahead_ns = at.saturating_sub(self.unix_start).min(MAX_AHEAD_NS);
        self.start + Duration::from_nanos(ahead_ns)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
