//! Stores the fleet state of a member of the council, for the case that all members restart at once.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tallypin_consensus::fleet_state::FleetState;
use tokio::time::sleep;

use super::disk;
use super::known_state::KnownState;
use super::stored_state;

/// How often a changed state is stored: changes come in bursts, and a file that is this old is only a hint.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// What an earlier incarnation has stored; `None`: nothing that can be used.
pub async fn read_stored(path: PathBuf, fleet: String) -> Option<FleetState> {
    let read = disk::run(move || stored_state::read(&path, &fleet)).await;
    read.unwrap_or_else(|error| {
        tracing::warn!(target: "fleet", %error, "stored fleet state can't be used");
        None
    })
}

/// Stores the newest known state, again and again. A disk that hangs or fails is logged once, and delays nothing. Never
/// returns.
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
