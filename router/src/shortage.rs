//! Errors of system calls that report a temporary shortage of resources of this machine or process. They say nothing about
//! the remote end of a connection.

use std::io;

/// Too many open files on the machine (Linux error number).
const ENFILE: i32 = 23;
/// Too many open files of the process.
const EMFILE: i32 = 24;
/// No buffer space left.
const ENOBUFS: i32 = 105;

/// Whether an error reports a shortage of file descriptors, memory or buffers.
pub fn is_resource_shortage(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::OutOfMemory || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}
