//! Reads the key file again and again, so that keys change without a restart.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::disk::{self, DiskError};
use super::wire::{KeyFileError, Keys};

/// How often the file is read: a change of keys waits for a few of these, and a file of two lines costs nothing.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Why the key file gave no keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyReloadError {
    /// It can't be read.
    #[error("{0}")]
    Disk(#[from] DiskError<io::Error>),
    /// Its text holds no keys.
    #[error("{0}")]
    Content(#[from] KeyFileError),
}

/// Replaces the keys when the file has others. One that can't be read, or holds none, changes nothing and is logged once.
/// Never returns.
pub async fn run(path: PathBuf, fleet: String, keys: Rc<RefCell<Keys>>) {
    let mut logged_error = String::new();
    loop {
        sleep(RELOAD_INTERVAL).await;
        match read(path.clone(), &fleet).await {
            Ok(new) if new != *keys.borrow() => {
                tracing::info!(target: "fleet", keys = ?new, "fleet keys replaced");
                keys.replace(new);
                logged_error.clear();
            }
            Ok(_) => {}
            Err(error) => {
                let error = error.to_string();
                if error != logged_error {
                    tracing::warn!(target: "fleet", error, "fleet key file can't be used, the keys stay");
                    logged_error = error;
                }
            }
        }
    }
}

async fn read(path: PathBuf, fleet: &str) -> Result<Keys, KeyReloadError> {
    let text = disk::run(move || std::fs::read_to_string(path)).await?;
    Ok(Keys::read(fleet, &text)?)
}
