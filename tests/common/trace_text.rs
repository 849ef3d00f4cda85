//! The text of a trace. Its words are spelled out here, so that recorded traces stay valid when names in the program change.

use std::collections::BTreeMap;
use std::fmt::Write;

use tallypin::api::*;
use tallypin::replica_snapshot::ReplicaSnapshot;

/// Number of lines that are recorded in full, to make a difference readable; the digests cover all lines.
const FULL_LINES: usize = 300;
/// Number of events between two digests.
const EVENTS_PER_DIGEST: u64 = 100;

/// Kinds of action that are counted, with a kind for each reason of a rejection.
pub const COUNTED_KINDS: [&str; 8] =
    ["send", "refuse share", "refuse room", "fail", "cancel", "watch", "tell", "wake"];

/// The trace of a simulated deployment.
pub struct Trace {
    text: String,
    lines: usize,
    digests: String,
    counts: BTreeMap<&'static str, u64>,
    /// FNV-1a hash of all lines.
    hash: u64,
}

impl Trace {
    pub fn new(name: &str) -> Trace {
        let (digests, counts) = (String::new(), BTreeMap::new());
        Trace { text: format!("deployment {name}\n"), lines: 0, digests, counts, hash: 0xcbf2_9ce4_8422_2325 }
    }

    /// Records an action of a router; `at` is the time since the start in ns.
    pub fn action(&mut self, at: Nanos, own_index: u32, action: &Action) {
        let (kind, details) = match action {
            Action::Send { request, replica, timeout } => {
                ("send", format!("{} to {} limit {timeout}", request.0, replica.0))
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
            Action::WakeAt { at: due_at, token } => ("wake", format!("{due_at} token {token}")),
        };
        *self.counts.entry(kind).or_default() += 1;
        self.line(&format!("{at} gateway {own_index}: {kind} {details}"));
    }

    /// Records the balancer's snapshots of its replicas; fractions are written as their bits.
    pub fn snapshots(&mut self, snapshots: &[ReplicaSnapshot]) {
        for snapshot in snapshots {
            let line = format!(
                "seen {} open {} waiting {} wait {} sampled {:?} excluded {} cold {} warmth {:016x} times {:016x} unsure {:016x}",
                snapshot.replica.0,
                snapshot.in_flight,
                snapshot.awaiting_first_token,
                snapshot.first_token_wait,
                snapshot.wait_sample_age,
                snapshot.ejected_for,
                snapshot.is_warming_up,
                snapshot.capacity_share.to_bits(),
                snapshot.decode_rate.factor.to_bits(),
                snapshot.decode_rate.log_std_dev.to_bits(),
            );
            self.line(&line);
        }
    }

    /// Records a digest if the number of delivered events is a multiple of the interval.
    pub fn event(&mut self, events: u64) {
        if events % EVENTS_PER_DIGEST == 0 {
            writeln!(self.digests, "after {events} events {:016x}", self.hash).expect("text");
        }
    }

    fn line(&mut self, line: &str) {
        for byte in line.bytes().chain([b'\n']) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        if self.lines < FULL_LINES {
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
