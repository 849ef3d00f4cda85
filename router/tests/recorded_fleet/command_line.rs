//! Runs the program, and masks what differs between two runs.

use std::path::Path;
use std::process::Command;

use crate::fleet_rig::FleetProcesses;

/// Digits of the same number, of any length, and what differs between two plays.
pub fn masked(fleet: &FleetProcesses, text: &str) -> String {
    let mut text = text.to_string();
    for router in &fleet.routers {
        text = text.replace(router.dir.to_str().unwrap(), &format!("DIR-{}", router.name));
    }
    let mut parts = text.split('"').map(str::to_string).collect::<Vec<_>>();
    for at in 0..parts.len() {
        let part = parts[at].clone();
        let random = |id: &str| id.len() > 3 && id.starts_with('r') && id.as_bytes()[2] == b'-';
        if random(&part) && part[3..].bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = format!("{}-ID", &part[..2]);
        } else if part.len() == 64 && part.bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = "DIGEST".into();
        } else if at > 0 && ["since_ms", "until_ms"].contains(&parts[at - 1].as_str()) {
            let digits: String = part.chars().filter(char::is_ascii_digit).collect();
            parts[at] = part.replace(&digits, if digits.is_empty() { "" } else { "TIME" });
        }
    }
    let masked = parts.join("\"");
    // Messages of a life that another router has not heard of yet, and what beats have told so far.
    let masked = between(&masked, "\"spoilt\":", ",", "COUNT");
    let masked = between(&masked, "\"runs\":{", "}", "RUNS");
    // Who answered the last heartbeat in time, which a busy machine decides: all are waited for before.
    between(&masked, "\"council\":[", "]", "REACHED")
}

/// With another text from behind `start` to the next `end`, if it has them.
fn between(text: &str, start: &str, end: &str, instead: &str) -> String {
    let Some((before, behind)) = text.split_once(start) else { return text.into() };
    let behind = &behind[behind.find(end).unwrap()..];
    format!("{before}{start}{instead}{behind}")
}

/// What `tallypin fleet` at a router prints, and its exit code.
pub fn order(fleet: &FleetProcesses, r: usize, words: &str) -> (i32, String) {
    let mut all = vec!["fleet", "--socket"];
    let socket = fleet.routers[r].dir.join("ctl");
    all.push(socket.to_str().unwrap());
    all.extend(words.split(' '));
    tallypin(&all, &fleet.routers[r].dir)
}

pub fn tallypin(words: &[&str], at: &Path) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    let said =
        command.env_clear().env("PROXY_CONFIG", "config.json").args(words).current_dir(at).output().unwrap();
    let (out, err) = (String::from_utf8(said.stdout).unwrap(), String::from_utf8(said.stderr).unwrap());
    (said.status.code().unwrap(), [out, err].concat())
}
