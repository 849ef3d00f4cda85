//! Whether a harness is on time: what it sees late it cannot judge.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// How often the lateness is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// Notes how late this thread is at the most, again and again. Never ends.
pub(crate) async fn note_lateness(lateness: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + LOOK;
        sleep_until(due).await;
        lateness.set(lateness.get().max(Instant::now() - due));
    }
}
