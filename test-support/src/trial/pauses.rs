//! Times in which the router process was held up and noticed nothing.

use std::time::Duration;

/// The library that holds the process up tells so on its standard error, by the monotonic clock.
const HELD_UP: &str = "faults: held up from ";
/// Pauses that are closer together than this are one: between them, what came need not have been read.
const NEAR: Duration = Duration::from_millis(5);

/// A pause of the process, counted from the start of the trial.
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

/// All pauses of the process in their order, none near another.
#[derive(Debug, Default)]
pub(super) struct Pauses(Vec<Pause>);

impl Pauses {
    /// Those that the trial made itself, and those that the log tells of. The trial began at `began` of the monotonic clock.
    pub fn of(made: &[Pause], log: &str, began: Duration) -> Pauses {
        let mut all = made.to_vec();
        all.extend(log.lines().filter_map(|line| held_up(line, began)));
        all.sort_by_key(|pause| pause.from);
        let mut merged: Vec<Pause> = Vec::new();
        for pause in all {
            match merged.last_mut() {
                Some(last) if pause.from < last.to + NEAR => last.to = last.to.max(pause.to),
                _ => merged.push(pause),
            }
        }
        Pauses(merged)
    }

    /// For how long the process could not notice what came at `came`, before it wrote at `written`: the rest of a pause in
    /// which it came, and a pause just before the write.
    pub fn unnoticed(&self, came: Duration, written: Duration) -> Duration {
        let at_its_coming = |pause: &&Pause| pause.from <= came + NEAR && came < pause.to;
        let rest = |pause: &Pause| pause.to.min(written).saturating_sub(came);
        let unread = self.0.iter().find(at_its_coming).map(rest);
        unread.unwrap_or_default() + self.before_write(came, written)
    }

    /// How long the pause was, begun after `came`, between a look of the process at its clock and a write at `written`.
    pub fn before_write(&self, came: Duration, written: Duration) -> Duration {
        let before =
            |pause: &&Pause| pause.from > came + NEAR && pause.from < written && written < pause.to + NEAR;
        self.0.iter().find(before).map(|pause| pause.to.min(written) - pause.from).unwrap_or_default()
    }

    /// The pauses, for the history of a broken rule.
    pub fn iter(&self) -> impl Iterator<Item = &Pause> {
        self.0.iter()
    }
}

/// The pause that a line of the log tells of.
fn held_up(line: &str, began: Duration) -> Option<Pause> {
    let (from, to) = line.strip_prefix(HELD_UP)?.split_once(" to ")?;
    let since_began = |nanos: &str| Some(Duration::from_nanos(nanos.parse().ok()?).saturating_sub(began));
    Some(Pause { from: since_began(from)?, to: since_began(to)? })
}
