//! Libraries that are preloaded into a process under test and have its system calls fail. They are compiled when a test
//! wants them, by the C compiler `cc`.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

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
