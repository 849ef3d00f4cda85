//! A fleet with a configuration to release.

use tallypin_test_support::park::List;

use crate::fleet_rig::{config, FleetProcesses};

/// Puts a file that is to be released in the store of each router, under its digest, and writes the plan.
pub fn prepare_release(
    fleet: &FleetProcesses,
    what: &str,
    change: impl Fn(usize, &str) -> String,
    more: &str,
) -> (String, String) {
    // Settings differ by router, so a release of them names one file for each by its own digest: a configuration is
    // the same for all here.
    let file = if what == "settings" { "t.conf" } else { "config.json" };
    let text = std::fs::read_to_string(fleet.routers[0].dir.join(file)).unwrap();
    let new = change(0, &text);
    let digest = blake3::hash(new.as_bytes()).to_hex().to_string();
    for router in &fleet.routers {
        std::fs::write(router.dir.join("store").join(&digest), &new).unwrap();
    }
    let plan = fleet.routers[0].dir.join("plan");
    let text = format!("release {{\n what {what}\n digest {digest}\n{more}\n}}\n");
    std::fs::write(&plan, text).unwrap();
    (format!("release {}", plan.display()), digest)
}

pub fn phase(fleet: &FleetProcesses, at: usize) -> String {
    fleet.order(at, "status")["release"]["phase"].as_str().unwrap_or("").into()
}

/// The configuration that a router would start with.
pub fn installed(fleet: &FleetProcesses, r: usize) -> String {
    let bytes = std::fs::read(fleet.routers[r].dir.join("config.json")).unwrap();
    blake3::hash(&bytes).to_hex().to_string()
}

pub fn starts(fleet: &FleetProcesses) -> Vec<usize> {
    fleet.routers.iter().map(|r| r.starts.load(std::sync::atomic::Ordering::SeqCst)).collect()
}

pub fn released(test: &str, net: u8, list: &List) -> FleetProcesses {
    let fleet = FleetProcesses::with(test, net, 5, 3, " out-most 2\n out-zone 1", &config(list));
    fleet.supervised.store(true, std::sync::atomic::Ordering::SeqCst);
    fleet
}

pub const WAVES: &str = " wave r3\n wave rest\n watch 300ms\n ready 20s\n enough 0";
/// Another seed: a configuration like the one before.
pub fn reseeded(_: usize, text: &str) -> String {
    text.replace("8c1f30d27a5be964", "8c1f30d27a5be965")
}
