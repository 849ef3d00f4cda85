//! Errors of system calls by which this machine or process says that something is short for a moment. They say nothing of
//! the peer at the other end.

use std::io;

/// Too many open files on the machine (Linux error number).
const ENFILE: i32 = 23;
/// Too many open files of the process.
const EMFILE: i32 = 24;
/// No buffer space left.
const ENOBUFS: i32 = 105;

/// Whether descriptors, memory or buffers were short.
pub fn is_resource_shortage(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::OutOfMemory || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}
