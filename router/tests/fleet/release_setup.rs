//! Sets up a fleet with a configuration to release.

use tallypin_test_support::mock_services::MockEndpointList;

use crate::fleet_processes::{config, FleetProcesses};

/// Puts the file to be released in each router's store under its digest and writes the release plan. Returns the command
/// that starts the release, and the digest.
pub fn prepare_release(
    fleet: &FleetProcesses,
    artifact: &str,
    change: impl Fn(usize, &str) -> String,
    plan_lines: &str,
) -> (String, String) {
    // Settings differ by router and would need one file and digest per router. The configuration is the same for all routers.
    let file = if artifact == "settings" { "t.conf" } else { "config.json" };
    let text = std::fs::read_to_string(fleet.routers[0].dir.join(file)).unwrap();
    let new = change(0, &text);
    let digest = blake3::hash(new.as_bytes()).to_hex().to_string();
    for router in &fleet.routers {
        std::fs::write(router.dir.join("store").join(&digest), &new).unwrap();
    }
    let plan = fleet.routers[0].dir.join("plan");
    let text = format!("release {{\n what {artifact}\n digest {digest}\n{plan_lines}\n}}\n");
    std::fs::write(&plan, text).unwrap();
    (format!("release {}", plan.display()), digest)
}

/// Returns the phase of the release, as the router `queried` reports it.
pub fn release_phase(fleet: &FleetProcesses, queried: usize) -> String {
    fleet.run_command(queried, "status")["release"]["phase"].as_str().unwrap_or("").into()
}

/// Returns the digest of the configuration that a router would start with.
pub fn installed_digest(fleet: &FleetProcesses, r: usize) -> String {
    let bytes = std::fs::read(fleet.routers[r].dir.join("config.json")).unwrap();
    blake3::hash(&bytes).to_hex().to_string()
}

/// Returns how often each router was started.
pub fn start_counts(fleet: &FleetProcesses) -> Vec<usize> {
    fleet.routers.iter().map(|r| r.starts.load(std::sync::atomic::Ordering::SeqCst)).collect()
}

/// Starts a fleet of five routers with a council of three. Routers that end are restarted.
pub fn supervised_fleet(test: &str, net: u8, list: &MockEndpointList) -> FleetProcesses {
    let fleet =
        FleetProcesses::resumed_with_config(test, net, 5, 3, " out-most 2\n out-zone 1", &config(list));
    fleet.supervised.store(true, std::sync::atomic::Ordering::SeqCst);
    fleet
}

/// Plan of a release to r3, then to all other routers, with no minimum number of answers to compare.
pub const TWO_WAVES: &str = " wave r3\n wave rest\n watch 300ms\n ready 20s\n enough 0";
/// Changes only the seed of a configuration, so that it works as before but has another digest.
pub fn with_other_seed(_: usize, text: &str) -> String {
    text.replace("8c1f30d27a5be964", "8c1f30d27a5be965")
}
