//! File operations off the thread that serves requests, with a timeout: a disk that hangs holds nothing up.

use std::time::Duration;

/// A disk that has not answered for so long is taken to hang: far above any pause of a healthy one.
const DISK_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an operation on files gave no result.
#[derive(Debug, thiserror::Error)]
pub enum DiskError<E: std::error::Error> {
    /// It failed by itself.
    #[error("{0}")]
    Failed(#[source] E),
    /// It panicked.
    #[error("{0}")]
    Panicked(#[source] tokio::task::JoinError),
    /// It has not ended in time. It may still end, unseen.
    #[error("the disk does not answer")]
    TimedOut,
}

/// Runs an operation on a thread of its own.
///
/// # Errors
///
/// Its own error, or that it has not ended within `DISK_TIMEOUT`.
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
