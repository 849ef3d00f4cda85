//! Pauses of the router process, during which it noticed nothing.

use std::time::Duration;

/// Start of the lines in which the fault library logs its pauses, by the monotonic clock.
const PAUSE_LOG_PREFIX: &str = "faults: held up from ";
/// Pauses closer together than this count as one, because the process need not have read any input between them.
const MERGE_GAP: Duration = Duration::from_millis(5);

/// A pause of the process; times count from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pause {
    pub from: Duration,
    pub to: Duration,
}

impl Pause {
    pub fn length(&self) -> Duration {
        self.to - self.from
    }
}

/// All pauses of the process in order, none closer to the next than `MERGE_GAP`.
#[derive(Debug, Default)]
pub(super) struct Pauses(Vec<Pause>);

impl Pauses {
    /// Merges the pauses that the run caused by signals with those that the log records. The run started at
    /// `run_started` of the monotonic clock.
    pub fn collect(signal_pauses: &[Pause], log: &str, run_started: Duration) -> Pauses {
        let mut pauses = signal_pauses.to_vec();
        pauses.extend(log.lines().filter_map(|line| parse_pause(line, run_started)));
        pauses.sort_by_key(|pause| pause.from);
        let mut merged: Vec<Pause> = Vec::new();
        for pause in pauses {
            match merged.last_mut() {
                Some(last) if pause.from < last.to + MERGE_GAP => last.to = last.to.max(pause.to),
                _ => merged.push(pause),
            }
        }
        Pauses(merged)
    }

    /// Returns how long the process could not react to input that arrived at `arrived_at` before it wrote at
    /// `written_at`: the rest of the pause in which the input arrived, and a pause just before the write.
    pub fn reaction_delay(&self, arrived_at: Duration, written_at: Duration) -> Duration {
        let covers_arrival = |pause: &&Pause| pause.from <= arrived_at + MERGE_GAP && arrived_at < pause.to;
        let rest = |pause: &Pause| pause.to.min(written_at).saturating_sub(arrived_at);
        let remaining = self.0.iter().find(covers_arrival).map(rest);
        remaining.unwrap_or_default() + self.pause_before_write(arrived_at, written_at)
    }

    /// Returns the length of a pause that began after `arrived_at`, between a reading of the clock by the process
    /// and its write at `written_at`.
    pub fn pause_before_write(&self, arrived_at: Duration, written_at: Duration) -> Duration {
        let spans_write = |pause: &&Pause| {
            pause.from > arrived_at + MERGE_GAP
                && pause.from < written_at
                && written_at < pause.to + MERGE_GAP
        };
        self.0.iter().find(spans_write).map(|pause| pause.to.min(written_at) - pause.from).unwrap_or_default()
    }

    /// The pauses, for the history of a violation.
    pub fn iter(&self) -> impl Iterator<Item = &Pause> {
        self.0.iter()
    }
}

/// Parses the pause that a log line records.
fn parse_pause(line: &str, run_started: Duration) -> Option<Pause> {
    let (from, to) = line.strip_prefix(PAUSE_LOG_PREFIX)?.split_once(" to ")?;
    let since_start =
        |nanos: &str| Some(Duration::from_nanos(nanos.parse().ok()?).saturating_sub(run_started));
    Some(Pause { from: since_start(from)?, to: since_start(to)? })
}
