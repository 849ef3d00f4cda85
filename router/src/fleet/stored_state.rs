//! What a member of the council stores of what was agreed on, where its settings name a file: a hint for the case that all
//! members forget at once. Nothing counts by it. A disk that lies makes the fleet begin on an older document, or on none,
//! halted either way.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use tallypin_consensus::fleet_state::FleetState;

use super::release_files;

/// The form of the file.
const VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
struct Stored {
    v: u8,
    fleet: String,
    document: FleetState,
}

/// The bytes of the file: a digest, a line end, JSON.
fn encode(fleet: &str, document: &FleetState) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(&Stored { v: VERSION, fleet: fleet.into(), document: document.clone() })?;
    Ok([release_files::digest(&body).as_bytes(), b"\n", &body].concat())
}

fn decode(fleet: &str, bytes: &[u8]) -> Result<FleetState, String> {
    let at = bytes.iter().position(|b| *b == b'\n').ok_or("torn")?;
    let (digest, body) = (&bytes[..at], &bytes[at + 1..]);
    if release_files::digest(body).as_bytes() != digest {
        return Err("its digest is another's".into());
    }
    let stored: Stored = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    match (stored.v, stored.fleet == fleet) {
        (VERSION, true) => Ok(stored.document),
        (VERSION, false) => Err(format!("of another fleet, `{}`", stored.fleet)),
        (v, _) => Err(format!("of version {v}")),
    }
}

/// Writes the file whole, or leaves the one before.
pub fn write(path: &Path, fleet: &str, document: &FleetState) -> io::Result<()> {
    release_files::write(path, &encode(fleet, document)?)
}

/// What is stored; `None`: nothing yet.
pub fn read(path: &Path, fleet: &str) -> Result<Option<FleetState>, String> {
    match release_files::read(path) {
        Ok(bytes) => decode(fleet, &bytes).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

#[cfg(test)]
mod tests;
