//! The optional file in which a council member stores the fleet state, for the case that all members restart at once.
//!
//! The file is only a hint for the bootstrap of the fleet. If a disk loses writes, the fleet starts from an older state or
//! from an empty one; in both cases it starts halted. The file consists of a digest, a newline, and JSON.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::FleetState;

use super::release_files::{self, FileError};

/// Version of the file format.
const VERSION: u8 = 1;

/// Why a stored state can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoredStateError {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] FileError),
    /// The file ends before the end of its digest.
    #[error("the stored state is truncated")]
    Truncated,
    /// The body of the file does not match its digest.
    #[error("the stored state does not match its digest")]
    WrongDigest,
    /// The body of the file does not have the form of a stored state.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The file was written by a router of another fleet.
    #[error("the stored state is of another fleet, `{0}`")]
    OtherFleet(String),
    /// The file has an unknown format version.
    #[error("the stored state has unknown version {0}")]
    UnknownVersion(u8),
}

#[derive(Serialize, Deserialize)]
struct StoredState {
    #[serde(rename = "v")]
    version: u8,
    fleet: String,
    #[serde(rename = "document")]
    state: FleetState,
}

fn encode(fleet: &str, state: &FleetState) -> Result<Vec<u8>, FileError> {
    let body =
        serde_json::to_vec(&StoredState { version: VERSION, fleet: fleet.into(), state: state.clone() })?;
    Ok([release_files::digest(&body).as_bytes(), b"\n", &body].concat())
}

fn decode(fleet: &str, bytes: &[u8]) -> Result<FleetState, StoredStateError> {
    let end = bytes.iter().position(|b| *b == b'\n').ok_or(StoredStateError::Truncated)?;
    let (digest, body) = (&bytes[..end], &bytes[end + 1..]);
    if release_files::digest(body).as_bytes() != digest {
        return Err(StoredStateError::WrongDigest);
    }
    let stored: StoredState = serde_json::from_slice(body)?;
    if stored.version != VERSION {
        return Err(StoredStateError::UnknownVersion(stored.version));
    }
    match stored.fleet == fleet {
        true => Ok(stored.state),
        false => Err(StoredStateError::OtherFleet(stored.fleet)),
    }
}

/// Replaces the file atomically with one that holds this state.
///
/// # Errors
///
/// The file can't be written.
pub fn write(path: &Path, fleet: &str, state: &FleetState) -> Result<(), FileError> {
    release_files::write(path, &encode(fleet, state)?)
}

/// Reads the stored state; `None` if there is no file yet.
///
/// # Errors
///
/// The file can't be read, or does not hold a valid state of this fleet.
pub fn read(path: &Path, fleet: &str) -> Result<Option<FleetState>, StoredStateError> {
    match release_files::read(path) {
        Ok(bytes) => decode(fleet, &bytes).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.into()),
    }
}

#[cfg(test)]
mod tests;
