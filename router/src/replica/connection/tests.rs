use std::io;

use super::is_local;

/// Guards against replicas that are ejected for what this machine lacks for a moment.
#[test]
fn a_shortage_of_this_machine_is_not_held_against_a_replica() {
    // As Linux numbers them: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS.
    for code in [4, 11, 12, 23, 24, 99, 105] {
        assert!(is_local(&io::Error::from_raw_os_error(code)), "{code}");
    }
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    for code in [101, 104, 110, 111, 113] {
        assert!(!is_local(&io::Error::from_raw_os_error(code)), "{code}");
    }
}
