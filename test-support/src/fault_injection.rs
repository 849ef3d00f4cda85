//! Libraries that are preloaded into a process under test to inject faults into its system calls. Tests compile
//! them on demand with the C compiler `cc`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Header that the sources of all libraries include, and its name.
const HEADER: (&str, &str) = ("real_functions.h", include_str!("../shim/real_functions.h"));

/// A fault injection library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Library {
    /// Calls on sockets fail transiently or transfer only a part of their bytes.
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

    /// Compiles the library in the folder `dir` and returns its path.
    pub fn compile(self, dir: &Path) -> io::Result<PathBuf> {
        let (source, library) =
            (dir.join(format!("{}.c", self.name())), dir.join(format!("{}.so", self.name())));
        std::fs::write(dir.join(HEADER.0), HEADER.1)?;
        std::fs::write(&source, self.source())?;
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).arg("-ldl");
        match compiler.status()?.success() {
            true => Ok(library),
            false => Err(io::Error::other(format!("cc could not compile the library {}", self.name()))),
        }
    }
}

/// Fault injection for the socket calls of a process: kinds and frequencies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SocketFaults {
    /// Path of the compiled [`Library::Sockets`].
    pub library: PathBuf,
    /// Calls per thousand that fail transiently.
    pub failures: u32,
    /// Reads and writes per thousand that transfer only a part of their bytes.
    pub partial: u32,
    /// Maximum number of bytes of a partial transfer.
    pub max_partial_bytes: u32,
    /// Number of sockets that cannot be opened at first.
    pub failing_sockets: u32,
    /// Writes to replicas per thousand before which the process is paused for 0.15 s.
    pub pauses: u32,
    /// Step of the wall clock in seconds, and its time after the start.
    pub clock_step: (i64, Duration),
}

/// Possible steps of the wall clock, in seconds.
const CLOCK_STEPS: [i64; 5] = [-3600, -7, 0, 7, 3600];

impl SocketFaults {
    /// Returns the faults of a seed: transient failures, partial transfers, no sockets at first, and a step of the
    /// wall clock within `step_within`, with some seeds before the program has read its clock.
    pub fn for_seed(library: &Path, seed: u64, step_within: Duration) -> SocketFaults {
        let step = CLOCK_STEPS[seed as usize % CLOCK_STEPS.len()];
        let step_at = Duration::from_millis(seed * 397 % step_within.as_millis() as u64);
        let none = SocketFaults::none(library);
        SocketFaults { failures: 20, partial: 100, failing_sockets: 3, clock_step: (step, step_at), ..none }
    }

    /// Returns no faults.
    pub fn none(library: &Path) -> SocketFaults {
        let clock_step = (0, Duration::ZERO);
        SocketFaults {
            library: library.into(),
            failures: 0,
            partial: 0,
            max_partial_bytes: 64,
            failing_sockets: 0,
            pauses: 0,
            clock_step,
        }
    }

    /// Sets up `command` so that its process starts with these faults, chosen by `seed`.
    pub fn preload(&self, command: &mut Command, seed: u64) {
        let (step_s, step_at) = self.clock_step;
        command.env("LD_PRELOAD", &self.library);
        command.env("FAULT_SEED", seed.to_string());
        command.env("FAULT_FAILURES", self.failures.to_string());
        command.env("FAULT_SHORT", self.partial.to_string());
        command.env("FAULT_SHORT_MOST", self.max_partial_bytes.to_string());
        command.env("FAULT_FIRST", self.failing_sockets.to_string());
        command.env("FAULT_HOLDS", self.pauses.to_string());
        command.env("FAULT_STEP_S", step_s.to_string());
        command.env("FAULT_STEP_AT_MS", step_at.as_millis().to_string());
    }
}
