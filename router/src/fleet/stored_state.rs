//! The file in which a member of the council stores the fleet state, where its settings name one: for the case that all
//! members restart at once.
//!
//! It is a hint and decides nothing. A disk that lies makes the fleet begin on an older state, or on none, halted either
//! way. The file is a digest, a line end, and JSON.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::FleetState;

use super::release_files::{self, FileError};

/// The form of the file.
const VERSION: u8 = 1;

/// Why a stored state can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoredStateError {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] FileError),
    /// It ends before its digest does.
    #[error("torn")]
    Torn,
    /// Its body is not what was written.
    #[error("its digest is another's")]
    WrongDigest,
    /// Its body is no stored state.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// It was written by a router of another fleet.
    #[error("of another fleet, `{0}`")]
    OtherFleet(String),
    /// It has another form.
    #[error("of version {0}")]
    UnknownVersion(u8),
}

#[derive(Serialize, Deserialize)]
struct Stored {
    #[serde(rename = "v")]
    version: u8,
    fleet: String,
    #[serde(rename = "document")]
    state: FleetState,
}

fn encode(fleet: &str, state: &FleetState) -> Result<Vec<u8>, FileError> {
    let body = serde_json::to_vec(&Stored { version: VERSION, fleet: fleet.into(), state: state.clone() })?;
    Ok([release_files::digest(&body).as_bytes(), b"\n", &body].concat())
}

fn decode(fleet: &str, bytes: &[u8]) -> Result<FleetState, StoredStateError> {
    let end = bytes.iter().position(|b| *b == b'\n').ok_or(StoredStateError::Torn)?;
    let (digest, body) = (&bytes[..end], &bytes[end + 1..]);
    if release_files::digest(body).as_bytes() != digest {
        return Err(StoredStateError::WrongDigest);
    }
    let stored: Stored = serde_json::from_slice(body)?;
    if stored.version != VERSION {
        return Err(StoredStateError::UnknownVersion(stored.version));
    }
    match stored.fleet == fleet {
        true => Ok(stored.state),
        false => Err(StoredStateError::OtherFleet(stored.fleet)),
    }
}

/// Replaces the file with one of this state, or leaves the one before.
///
/// # Errors
///
/// It can't be written.
pub fn write(path: &Path, fleet: &str, state: &FleetState) -> Result<(), FileError> {
    release_files::write(path, &encode(fleet, state)?)
}

/// What is stored; `None`: there is no file yet.
///
/// # Errors
///
/// The file can't be read, or holds something else than a state of this fleet.
pub fn read(path: &Path, fleet: &str) -> Result<Option<FleetState>, StoredStateError> {
    match release_files::read(path) {
        Ok(bytes) => decode(fleet, &bytes).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.into()),
    }
}

#[cfg(test)]
mod tests;
