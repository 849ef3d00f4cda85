//! The router's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tallypin::api::Nanos;

/// How far ahead a time is looked at, in nanoseconds: a year is as good as never, and keeps clear of what an
/// [`Instant`] can hold.
const FARTHEST_AHEAD: Nanos = 365 * 24 * 3600 * 1_000_000_000;

/// A monotonic clock that is set to Unix time once, at the start. The start times of replicas, which are Unix time, can
/// be compared with it, and no step of the system's clock reaches it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The time, in nanoseconds since 1970.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// The time of an instant; that of the start, if it was before it.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.unix + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The instant of a time; the start, if it was before it.
    pub fn instant(&self, at: Nanos) -> Instant {
        let ahead = at.saturating_sub(self.unix).min(FARTHEST_AHEAD);
        self.start + Duration::from_nanos(ahead)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
