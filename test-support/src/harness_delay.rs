//! Measures the delay of the harness's own thread: times observed by a late thread cannot be used to judge a
//! router.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// Interval between two measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(5);

/// Records the largest delay of this thread so far. Never returns.
pub(crate) async fn record_max_delay(max_delay: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + MEASUREMENT_INTERVAL;
        sleep_until(due).await;
        max_delay.set(max_delay.get().max(Instant::now() - due));
    }
}
