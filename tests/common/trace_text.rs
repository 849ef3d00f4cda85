//! The text of a trace. It is written here, word for word, so that names in the program may change while the recorded
//! traces stay.

use std::collections::BTreeMap;
use std::fmt::Write;

use tallypin::api::*;
use tallypin::replica_snapshot::ReplicaSnapshot;

/// Lines kept in clear, so that a difference can be read.
const CLEAR: usize = 300;
/// Events between two digests.
const DIGEST_EVERY: u64 = 100;

/// What the traces count: every kind of action, and every reason of a rejection.
pub const COUNTED: [&str; 8] =
    ["send", "refuse share", "refuse room", "fail", "cancel", "watch", "tell", "wake"];

pub struct Trace {
    text: String,
    lines: usize,
    digests: String,
    counts: BTreeMap<&'static str, u64>,
    /// FNV-1a over all lines.
    hash: u64,
}

impl Trace {
    pub fn new(name: &str) -> Trace {
        let (digests, counts) = (String::new(), BTreeMap::new());
        Trace { text: format!("deployment {name}\n"), lines: 0, digests, counts, hash: 0xcbf2_9ce4_8422_2325 }
    }

    /// One action of a router at a time since the beginning, ns.
    pub fn action(&mut self, at: Nanos, me: u32, action: &Action) {
        let (kind, rest) = match action {
            Action::Send { request, replica, timeout: limit } => {
                ("send", format!("{} to {} limit {limit}", request.0, replica.0))
            }
            Action::Reject { request, retry_after, reason: RejectReason::QuotaExceeded } => {
                ("refuse share", format!("{} after {retry_after}", request.0))
            }
            Action::Reject { request, retry_after, reason: RejectReason::NoCapacity } => {
                ("refuse room", format!("{} after {retry_after}", request.0))
            }
            Action::Fail(request) => ("fail", request.0.to_string()),
            Action::Cancel { request, attempt } => ("cancel", format!("{} attempt {attempt}", request.0)),
            Action::Probe(replica) => ("probe", replica.0.to_string()),
            Action::WatchEndpoints => ("watch", String::new()),
            Action::Gossip(bytes) => ("tell", bytes.iter().map(|b| format!("{b:02x}")).collect()),
            Action::SendToPeer { peer, bytes } => {
                let text: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
                ("tell one", format!("{} {text}", peer.0))
            }
            Action::WakeAt { at: when, token } => ("wake", format!("{when} token {token}")),
        };
        *self.counts.entry(kind).or_default() += 1;
        self.line(&format!("{at} gateway {me}: {kind} {rest}"));
    }

    /// What the module holds of its replicas; fractions as their bits.
    pub fn view(&mut self, seen: &[ReplicaSnapshot]) {
        for s in seen {
            let line = format!(
                "seen {} open {} waiting {} wait {} sampled {:?} excluded {} cold {} warmth {:016x} times {:016x} unsure {:016x}",
                s.replica.0,
                s.in_flight,
                s.awaiting_first_token,
                s.first_token_wait,
                s.wait_sample_age,
                s.ejected_for,
                s.is_warming_up,
                s.capacity_share.to_bits(),
                s.decode_rate.factor.to_bits(),
                s.decode_rate.log_std_dev.to_bits(),
            );
            self.line(&line);
        }
    }

    /// So many events have been handed in.
    pub fn event(&mut self, events: u64) {
        if events % DIGEST_EVERY == 0 {
            writeln!(self.digests, "after {events} events {:016x}", self.hash).expect("text");
        }
    }

    fn line(&mut self, line: &str) {
        for byte in line.bytes().chain([b'\n']) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        if self.lines < CLEAR {
            self.text += line;
            self.text.push('\n');
        }
        self.lines += 1;
    }

    pub fn text(self) -> String {
        let mut text = self.text + &self.digests;
        writeln!(text, "lines {}", self.lines).expect("text");
        for (kind, count) in self.counts {
            writeln!(text, "count {kind}: {count}").expect("text");
        }
        text
    }
}
