//! Sockets that the program wants at its start: an error of a moment does not end it.

use std::io;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::shortage::is_resource_shortage;

/// What fails for a moment is tried again for so long.
const LIMIT: Duration = Duration::from_secs(3);
/// And after this.
const PAUSE: Duration = Duration::from_millis(10);

/// Whether an error may be gone in a moment: descriptors, memory or buffers are short, or a signal cut the call short. An
/// address that another has is none: whoever supervises the program has to hear of it at once.
fn is_momentary(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::Interrupted || is_resource_shortage(e)
}

/// Binds, again and again while that fails for a moment.
pub async fn bind_with_retry<T>(bind: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + LIMIT;
    let mut failed = false;
    loop {
        match bind().await {
            Err(e) if is_momentary(&e) && Instant::now() < until => {
                if !std::mem::replace(&mut failed, true) {
                    tracing::warn!(target: "router", why = %e, "a socket cannot be had yet: tries again");
                }
                sleep(PAUSE).await;
            }
            bound => return bound,
        }
    }
}
