//! Versions of the fleet's state that do not depend on the number of rounds of its bootstrap.
//!
//! That number depends on the members' timing. If one member has accepted the first state when the two others promise a higher
//! ballot, the bootstrap continues with that ballot and skips versions once more: the state then has a version of 2,000,042
//! where one round gives 1,000,042.

use std::fmt::Write as _;

use crate::fleet_processes::FleetProcesses;

/// Number of versions that each round of the bootstrap skips.
const VERSIONS_PER_ROUND: u64 = 1_000_000;

/// Returns the number of versions that further rounds have skipped. `first_version` is the current version if one round
/// bootstraps the fleet. Fails if the version differs from it by anything but whole rounds.
pub fn skipped_versions(fleet: &FleetProcesses, first_version: u64) -> u64 {
    let version = fleet.run_command(0, "status")["version"].as_u64().expect("the status has a version");
    let skipped = version.checked_sub(first_version);
    let is_whole = skipped.is_some_and(|skipped| skipped % VERSIONS_PER_ROUND == 0);
    assert!(is_whole, "version {version}, expected {first_version} or whole rounds more");
    skipped.unwrap_or_default()
}

/// Renumbers the versions in `text` as if one round had bootstrapped the fleet.
pub fn as_bootstrapped_in_one_round(text: &str, skipped_versions: u64) -> String {
    let mut parts = text.split("\"version\":");
    let mut renumbered = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let digits = part.bytes().take_while(u8::is_ascii_digit).count();
        let version: u64 = part[..digits].parse().unwrap();
        write!(renumbered, "\"version\":{}{}", version - skipped_versions, &part[digits..]).unwrap();
    }
    renumbered
}
