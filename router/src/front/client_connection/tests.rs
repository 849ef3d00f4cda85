//! Tests of reading ahead on a connection to a client.

use tokio::net::{TcpListener, TcpStream};

use super::*;

const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678";

/// Guards against taking a dropped request from the buffer, or counting one that is taken: an answer may arrive while a large
/// piece of input is being scanned.
#[test]
fn a_scan_that_an_answer_interrupts_is_finished_before_the_next_request() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let _client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let wire = BufferedConnection::new(listener.accept().await.unwrap().0);
        let settings = tallypin::deployment::parse(r#"{"ReplicasOfMe": 1}"#).unwrap();
        let limits = Limits { max_read_ahead: 30 << 10, ..Limits::new(64, 512, &settings) };
        let mut connection = ClientConnection::new(wire, Rc::new(limits), MemoryBudget::new(1 << 20));
        const REQUESTS: usize = 2000;
        connection.wire.read_buffer.extend_from_slice(&REQUEST.repeat(REQUESTS));
        connection.read_ahead.begin(0, 0);
        connection.read_ahead.record((REQUESTS * REQUEST.len()) as u64);
        // The scan yields after its first piece, and the answer is there.
        tokio::select! {
            biased;
            () = connection.scan_input() => panic!("the whole input was scanned at once"),
            () = std::future::ready(()) => {}
        }
        assert!(!connection.next_request_was_dropped().await);
        let kept = connection.wire.read_buffer.len() / REQUEST.len();
        assert_eq!(connection.wire.read_buffer, REQUEST.repeat(kept)[..]);
        assert!(kept > 0 && connection.wire.read_buffer.len() <= 30 << 10, "{kept} requests are kept");
        assert_eq!(kept + connection.dropped_requests(), REQUESTS);
        connection.wire.read_buffer.clear();
        assert!(connection.next_request_was_dropped().await);
    });
}
