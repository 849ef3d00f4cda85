//! Periodic reload of the key file, so that keys can be changed without a restart.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::disk::{self, DiskError};
use super::wire::{KeyFileError, Keys};

/// Interval between reads of the key file. A key rotation waits for a few reloads, and reading two lines is cheap.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Why the key file could not be reloaded.
#[derive(Debug, thiserror::Error)]
pub enum KeyReloadError {
    /// The file can't be read.
    #[error("{0}")]
    Disk(#[from] DiskError<io::Error>),
    /// The content of the file is invalid.
    #[error("{0}")]
    Content(#[from] KeyFileError),
}

/// Replaces the keys when the content of the file changes. A file that is unreadable or invalid leaves the keys unchanged;
/// the error is logged once. Never returns.
pub async fn run(path: PathBuf, fleet: String, keys: Rc<RefCell<Keys>>) {
    let mut logged_error = String::new();
    loop {
        sleep(RELOAD_INTERVAL).await;
        match read_keys(path.clone(), &fleet).await {
            Ok(new) if new != *keys.borrow() => {
                tracing::info!(target: "fleet", keys = ?new, "fleet keys replaced");
                keys.replace(new);
                logged_error.clear();
            }
            Ok(_) => {}
            Err(error) => {
                let error = error.to_string();
                if error != logged_error {
                    tracing::warn!(target: "fleet", error, "fleet key file can't be used; keeping the current keys");
                    logged_error = error;
                }
            }
        }
    }
}

async fn read_keys(path: PathBuf, fleet: &str) -> Result<Keys, KeyReloadError> {
    let text = disk::run(move || std::fs::read_to_string(path)).await?;
    Ok(Keys::read(fleet, &text)?)
}
