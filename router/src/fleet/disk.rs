//! File operations on a blocking thread, with a timeout, so that a hung disk does not delay the thread that serves requests.

use std::time::Duration;

/// Time after which a file operation is given up. Pauses of a healthy disk are far shorter.
const DISK_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a file operation gave no result.
#[derive(Debug, thiserror::Error)]
pub enum DiskError<E: std::error::Error> {
    /// The operation returned an error.
    #[error("{0}")]
    Failed(#[source] E),
    /// The operation panicked.
    #[error("{0}")]
    Panicked(#[source] tokio::task::JoinError),
    /// The operation exceeded `DISK_TIMEOUT`. It may still complete later; its result is then discarded.
    #[error("the disk operation timed out")]
    TimedOut,
}

/// Runs a file operation on a blocking thread.
///
/// # Errors
///
/// The operation failed, panicked or exceeded `DISK_TIMEOUT`.
pub async fn run<T, E>(operation: impl FnOnce() -> Result<T, E> + Send + 'static) -> Result<T, DiskError<E>>
where
    T: Send + 'static,
    E: std::error::Error + Send + 'static,
{
    match tokio::time::timeout(DISK_TIMEOUT, tokio::task::spawn_blocking(operation)).await {
        Ok(Ok(result)) => result.map_err(DiskError::Failed),
        Ok(Err(panic)) => Err(DiskError::Panicked(panic)),
        Err(_) => Err(DiskError::TimedOut),
    }
}
