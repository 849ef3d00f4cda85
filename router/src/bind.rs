//! Binds the sockets of the program, with retries on transient errors.

use std::io;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::shortage::is_resource_shortage;

/// Maximum time for which a transient error is retried. A longer failure is reported to the supervisor.
const RETRY_LIMIT: Duration = Duration::from_secs(3);
/// Delay before each retry.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether an error is transient: file descriptors, memory or buffers are short, or a signal interrupted the call. An address
/// in use by another process is not transient: it is reported to the supervisor immediately.
fn is_transient(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::Interrupted || is_resource_shortage(e)
}

/// Calls `bind`, and retries it while it fails with a transient error.
///
/// # Errors
/// Returns the last error of `bind`: immediately if it is not transient, otherwise after 3 s.
pub async fn bind_with_retry<T>(bind: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + RETRY_LIMIT;
    let mut failed = false;
    loop {
        match bind().await {
            Err(e) if is_transient(&e) && Instant::now() < until => {
                if !std::mem::replace(&mut failed, true) {
                    tracing::warn!(target: "router", error = %e, "socket not available yet, retrying");
                }
                sleep(RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
}
