//! Runs the program and masks the parts of its output that differ between runs.

use std::path::Path;
use std::process::Command;

use crate::fleet_processes::FleetProcesses;

/// Masks directories, random ids, digests, times and counters, which differ between runs.
pub fn mask_varying_parts(fleet: &FleetProcesses, text: &str) -> String {
    let mut text = text.to_string();
    for router in &fleet.routers {
        text = text.replace(router.dir.to_str().unwrap(), &format!("DIR-{}", router.name));
    }
    let mut parts = text.split('"').map(str::to_string).collect::<Vec<_>>();
    for at in 0..parts.len() {
        let part = parts[at].clone();
        let has_router_prefix = |id: &str| id.len() > 3 && id.starts_with('r') && id.as_bytes()[2] == b'-';
        if has_router_prefix(&part) && part[3..].bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = format!("{}-ID", &part[..2]);
        } else if part.len() == 64 && part.bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = "DIGEST".into();
        } else if at > 0 && ["since_ms", "until_ms"].contains(&parts[at - 1].as_str()) {
            let digits: String = part.chars().filter(char::is_ascii_digit).collect();
            parts[at] = part.replace(&digits, if digits.is_empty() { "" } else { "TIME" });
        }
    }
    let masked = parts.join("\"");
    // These two depend on timing: the number of rejected messages, which includes those of an incarnation that is not known
    // yet, and the number of routers per running release, which heartbeats report.
    let masked = replace_between(&masked, "\"spoilt\":", ",", "COUNT");
    let masked = replace_between(&masked, "\"runs\":{", "}", "RUNS");
    // Members that answered the last heartbeat in time, which depends on load. Callers wait for all members before.
    replace_between(&masked, "\"council\":[", "]", "REACHED")
}

/// Replaces the text between `start` and the next `end`. Returns the text unchanged if `start` is missing.
fn replace_between(text: &str, start: &str, end: &str, replacement: &str) -> String {
    let Some((before, after)) = text.split_once(start) else { return text.into() };
    let after = &after[after.find(end).unwrap()..];
    format!("{before}{start}{replacement}{after}")
}

/// Runs `tallypin fleet` at a router and returns its exit code and output.
pub fn fleet_command(fleet: &FleetProcesses, r: usize, command: &str) -> (i32, String) {
    let mut arguments = vec!["fleet", "--socket"];
    let socket = fleet.routers[r].dir.join("ctl");
    arguments.push(socket.to_str().unwrap());
    arguments.extend(command.split(' '));
    tallypin(&arguments, &fleet.routers[r].dir)
}

/// Runs the program in a directory and returns its exit code and output, standard output first.
pub fn tallypin(arguments: &[&str], dir: &Path) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    let output = command
        .env_clear()
        .env("PROXY_CONFIG", "config.json")
        .args(arguments)
        .current_dir(dir)
        .output()
        .unwrap();
    let (out, err) = (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    (output.status.code().unwrap(), [out, err].concat())
}
