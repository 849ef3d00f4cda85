//! The log: `tracing` events as text or JSON on standard error, written by a separate thread. If the writer falls behind,
//! lines are dropped and counted, so that the thread that serves requests never waits for the log.
//!
//! Field names are the same in all parts: `request`, `attempt`, `node` (a replica), `tenant`, `class`,
//! `client`, `peer`, `why` (a reason or error). The target is the part that logs (see [`TARGETS`]).

use std::cell::Cell;
use std::io;

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, reload, Layer, Registry};

/// The log targets, one for each part of the router that logs.
pub const TARGETS: [&str; 12] = [
    "router",
    "request",
    "node",
    "node_list",
    "peers",
    "front",
    "fleet",
    "checks",
    "drain",
    "control",
    "reload",
    "status",
];

/// The log levels, least verbose first.
pub const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// The settings of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The level of targets that have no level in `targets`.
    pub level: LevelFilter,
    /// The levels of single targets.
    pub targets: Vec<(String, LevelFilter)>,
    /// Whether lines are JSON instead of text.
    pub json: bool,
    /// Maximum number of lines queued for the writer; further lines are dropped and counted.
    pub queue: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: LevelFilter::INFO, targets: Vec::new(), json: false, queue: 1024 }
    }
}

impl LogSettings {
    fn filter(&self) -> Targets {
        Targets::new().with_default(self.level).with_targets(self.targets.iter().cloned())
    }
}

/// The running log. Dropping it writes the queued lines and ends the writer.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    reported: Cell<usize>,
    _writer: WorkerGuard,
}

impl Log {
    /// Starts the log of the process. If the process already has a log, as in tests that run several routers, this one
    /// writes nothing.
    pub fn start(settings: &LogSettings) -> Log {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(settings.queue);
        let (writer, guard) = builder.thread_name("log").finish(io::stderr());
        let dropped = writer.error_counter();
        let (filter, handle) = reload::Layer::new(settings.filter());
        let lines = fmt::layer().with_writer(writer);
        let lines = if settings.json {
            lines.json().flatten_event(true).boxed()
        } else {
            lines.with_ansi(false).boxed()
        };
        // Fails only if the process already has a log.
        let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
        Log { filter: handle, dropped, reported: Cell::new(0), _writer: guard }
    }

    /// Changes the levels while the program runs; `json` and `queue` stay as at the start.
    pub fn change_levels(&self, settings: &LogSettings) {
        let _ = self.filter.reload(settings.filter());
    }

    /// The number of lines dropped since the last call.
    pub fn newly_dropped(&self) -> usize {
        let total = self.dropped.dropped_lines();
        total - self.reported.replace(total)
    }
}

/// Parses a name of [`LEVELS`]; `None` for any other name.
pub fn parse_level(name: &str) -> Option<LevelFilter> {
    LEVELS.contains(&name).then(|| name.parse().ok()).flatten()
}
