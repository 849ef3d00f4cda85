//! Libraries that are preloaded into a process under test and have its system calls fail. They are compiled when a test
//! wants them, by the C compiler `cc`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Such a library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Library {
    /// Calls on sockets fail for a moment or carry a part only.
    Sockets,
    /// Calls that change files fail, or the process is killed at one of them.
    Files,
}

impl Library {
    fn name(self) -> &'static str {
        match self {
            Library::Sockets => "faults",
            Library::Files => "files",
        }
    }

    fn source(self) -> &'static str {
        match self {
            Library::Sockets => include_str!("../shim/faults.c"),
            Library::Files => include_str!("../shim/files.c"),
        }
    }

    /// Compiles it into this folder; where it is.
    pub fn compile(self, dir: &Path) -> io::Result<PathBuf> {
        let (source, library) =
            (dir.join(format!("{}.c", self.name())), dir.join(format!("{}.so", self.name())));
        std::fs::write(&source, self.source())?;
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).arg("-ldl");
        match compiler.status()?.success() {
            true => Ok(library),
            false => Err(io::Error::other(format!("cc does not compile the library {}", self.name()))),
        }
    }
}

/// Faults of the calls on sockets of a process, and how often each comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SocketFaults {
    /// The compiled [`Library::Sockets`].
    pub library: PathBuf,
    /// How many calls in a thousand fail for a moment.
    pub failures: u32,
    /// How many reads and writes in a thousand carry a part only.
    pub short: u32,
    /// The most bytes that these carry.
    pub short_most: u32,
    /// How many sockets cannot be had at first.
    pub first: u32,
    /// How many writes to replicas in a thousand find the process held up for 0.15 s just before.
    pub holds: u32,
    /// The wall clock is stepped by so many seconds, so long after the start.
    pub step: (i64, Duration),
}

/// The wall clock is stepped by one of these, in seconds.
const CLOCK_STEPS: [i64; 5] = [-3600, -7, 0, 7, 3600];

impl SocketFaults {
    /// Calls that fail for a moment or carry a part only, no sockets at first, and a step of the wall clock within this
    /// time, some before the program has looked at its clock.
    pub fn drawn(library: &Path, seed: u64, step_within: Duration) -> SocketFaults {
        let step = CLOCK_STEPS[seed as usize % CLOCK_STEPS.len()];
        let step_at = Duration::from_millis(seed * 397 % step_within.as_millis() as u64);
        let none = SocketFaults::none(library);
        SocketFaults { failures: 20, short: 100, first: 3, step: (step, step_at), ..none }
    }

    /// No faults.
    pub fn none(library: &Path) -> SocketFaults {
        let step = (0, Duration::ZERO);
        SocketFaults {
            library: library.into(),
            failures: 0,
            short: 0,
            short_most: 64,
            first: 0,
            holds: 0,
            step,
        }
    }

    /// Has the process that is about to start meet these faults, drawn by a seed.
    pub fn preload(&self, command: &mut Command, seed: u64) {
        let (step_s, step_at) = self.step;
        command.env("LD_PRELOAD", &self.library);
        command.env("FAULT_SEED", seed.to_string());
        command.env("FAULT_FAILURES", self.failures.to_string());
        command.env("FAULT_SHORT", self.short.to_string());
        command.env("FAULT_SHORT_MOST", self.short_most.to_string());
        command.env("FAULT_FIRST", self.first.to_string());
        command.env("FAULT_HOLDS", self.holds.to_string());
        command.env("FAULT_STEP_S", step_s.to_string());
        command.env("FAULT_STEP_AT_MS", step_at.as_millis().to_string());
    }
}
