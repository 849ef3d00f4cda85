use std::io;

use super::is_local_error;

/// Guards against ejecting a replica because of a temporary resource shortage on the router's machine.
#[test]
fn local_resource_shortages_do_not_count_against_a_replica() {
    // The Linux error numbers of EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL and ENOBUFS.
    for code in [4, 11, 12, 23, 24, 99, 105] {
        assert!(is_local_error(&io::Error::from_raw_os_error(code)), "{code}");
    }
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED and EHOSTUNREACH.
    for code in [101, 104, 110, 111, 113] {
        assert!(!is_local_error(&io::Error::from_raw_os_error(code)), "{code}");
    }
}
