//! Errors of system calls by which this machine or process says that something is short for a moment. They tell nothing of
//! whoever is at the other end.

use std::io;

/// Whether descriptors, memory or buffers were short.
pub fn is_resource_shortage(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    e.kind() == io::ErrorKind::OutOfMemory || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}
