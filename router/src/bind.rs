//! Sockets that the program wants at its start: a fault of a moment does not end it.

use std::io;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::shortage::is_resource_shortage;

/// A bind that fails for a moment is retried for so long: a supervisor is to hear of anything longer.
const RETRY_LIMIT: Duration = Duration::from_secs(3);
/// The pause before each retry.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Whether an error may be gone in a moment: descriptors, memory or buffers are short, or a signal cut the call short. An
/// address that another process has is none: whoever supervises the program has to hear of it at once.
fn is_momentary(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::Interrupted || is_resource_shortage(e)
}

/// Binds, again and again while that fails for a moment.
///
/// # Errors
/// What `bind` failed with last: at once if it is no fault of a moment, else after 3 s.
pub async fn bind_with_retry<T>(bind: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + RETRY_LIMIT;
    let mut failed = false;
    loop {
        match bind().await {
            Err(e) if is_momentary(&e) && Instant::now() < until => {
                if !std::mem::replace(&mut failed, true) {
                    tracing::warn!(target: "router", error = %e, "socket not available yet, retrying");
                }
                sleep(RETRY_PAUSE).await;
            }
            bound => return bound,
        }
    }
}
