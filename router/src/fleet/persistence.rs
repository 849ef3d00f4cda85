//! Stores the fleet state of a council member on disk, for the case that all members restart at once.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tallypin_consensus::fleet_state::FleetState;
use tokio::time::sleep;

use super::disk;
use super::known_state::KnownState;
use super::stored_state;

/// Minimum interval between writes of a changed state. Changes come in bursts, and the file is only a hint, so it may lag.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the state that an earlier incarnation stored; `None` if there is none or it is unusable.
pub async fn read_stored(path: PathBuf, fleet: String) -> Option<FleetState> {
    let read = disk::run(move || stored_state::read(&path, &fleet)).await;
    read.unwrap_or_else(|error| {
        tracing::warn!(target: "fleet", %error, "stored fleet state can't be used");
        None
    })
}

/// Writes the newest known state to disk whenever its version has changed. The first failure is logged; a hung or failing
/// disk delays nothing else. Never returns.
pub async fn store(path: PathBuf, fleet: String, state: Rc<KnownState>) {
    let (mut stored_version, mut failure_logged) = (None, false);
    loop {
        sleep(STORE_INTERVAL).await;
        if state.version() == stored_version {
            continue;
        }
        let Some(current) = state.current() else { continue };
        let (path, fleet, version) = (path.clone(), fleet.clone(), current.version);
        match disk::run(move || stored_state::write(&path, &fleet, &current)).await {
            Ok(()) => (stored_version, failure_logged) = (Some(version), false),
            Err(error) => {
                if !failure_logged {
                    tracing::warn!(target: "fleet", %error, "fleet state can't be stored");
                }
                failure_logged = true;
            }
        }
    }
}
