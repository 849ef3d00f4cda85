//! Tests of the scanner for the ends of requests.

use super::*;

const SIZED: &str = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nGET / HTTP/1";
const CHUNKED: &str =
    "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\r\n\r\n0\r\n2;x=y\r\nab\r\n0\r\nT: v\r\n\r\n";
const WITHOUT_BODY: &str = "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";

fn limits() -> Limits {
    Limits::new(64, 512, &tallypin::deployment::parse(r#"{"ReplicasOfMe": 1}"#).unwrap())
}

/// Scans `input` in pieces of `size` bytes; returns the positions of the ends of requests in the input.
fn request_ends(scanner: &mut RequestScanner, input: &str, size: usize, limits: &Limits) -> Vec<usize> {
    let (mut ends, mut position) = (Vec::new(), 0);
    for piece in input.as_bytes().chunks(size) {
        position += piece.len();
        let scanned = scanner.scan(piece, limits);
        let last_end = position - scanned.bytes_after_last_end;
        ends.extend((0..scanned.request_ends).map(|_| last_end));
    }
    ends
}

#[test]
fn finds_the_ends_of_requests_in_pieces_of_any_size() {
    let limits = limits();
    let input = [SIZED, CHUNKED, WITHOUT_BODY, SIZED].concat();
    let mut expected: Vec<usize> = vec![SIZED.len(), SIZED.len() + CHUNKED.len()];
    expected.push(expected[1] + WITHOUT_BODY.len());
    expected.push(input.len());
    for size in 1..input.len() {
        let mut scanner = RequestScanner::default();
        let ends = request_ends(&mut scanner, &input, size, &limits);
        assert_eq!(ends.len(), expected.len(), "pieces of {size} bytes");
        assert_eq!(ends.last(), expected.last(), "pieces of {size} bytes");
        // A piece with several ends shows the last one.
        assert!(ends.iter().all(|end| expected.contains(end)), "pieces of {size} bytes: {ends:?}");
        assert!(scanner.is_at_request_end());
    }
    assert_eq!(request_ends(&mut RequestScanner::default(), &input, 1, &limits), expected);
}

#[test]
fn an_incomplete_request_has_no_end() {
    for request in [SIZED, CHUNKED, WITHOUT_BODY] {
        let mut scanner = RequestScanner::default();
        let scanned = scanner.scan(&request.as_bytes()[..request.len() - 1], &limits());
        assert_eq!(scanned, ScannedPiece { request_ends: 0, bytes_after_last_end: request.len() - 1 });
        assert!(!scanner.is_at_request_end() && !scanner.found_malformed_request());
    }
}

#[test]
fn input_after_a_malformed_request_is_skipped() {
    let (limits, endless_head) = (limits(), format!("GET / HTTP/1.1\r\na: {}", "b".repeat(64 << 10)));
    let malformed = [
        "NONSENSE\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        &endless_head,
    ];
    for request in malformed {
        let mut scanner = RequestScanner::default();
        let input = [SIZED, request, WITHOUT_BODY].concat();
        assert_eq!(request_ends(&mut scanner, &input, 100, &limits).len(), 1, "{:.50}", request);
        assert!(scanner.found_malformed_request() && !scanner.is_at_request_end(), "{:.50}", request);
    }
}

/// Guards against keeping input: a client could fill the memory with one long body.
#[test]
fn keeps_no_body() {
    let (limits, mut scanner) = (limits(), RequestScanner::default());
    scanner.scan(b"POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n", &limits);
    for _ in 0..100 {
        scanner.scan(&[b'x'; 8 << 10], &limits);
    }
    assert!(scanner.incomplete.is_empty() && scanner.incomplete.capacity() <= 64 << 10);
}
