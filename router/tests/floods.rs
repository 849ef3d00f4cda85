//! Tests that floods on other connections do not delay a stream with little traffic.
#![allow(missing_docs)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use tokio::io::AsyncReadExt;

/// Load from separate threads, in place of flooding clients and replicas on other machines. It stops when dropped, or after
/// 15 s.
#[derive(Clone)]
struct Floods {
    stop: Arc<AtomicBool>,
    deadline: Instant,
    read_bytes: Arc<AtomicUsize>,
}

impl Drop for Floods {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Floods {
    fn new() -> Floods {
        let deadline = Instant::now() + Duration::from_secs(15);
        Floods { stop: Arc::default(), deadline, read_bytes: Arc::default() }
    }

    /// Repeats an operation on a new thread until it fails or the floods stop.
    fn repeat_operation(
        &self,
        mut operation: impl FnMut(&AtomicUsize) -> std::io::Result<()> + Send + 'static,
    ) {
        let (stop, deadline, read_bytes) = (self.stop.clone(), self.deadline, self.read_bytes.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && Instant::now() < deadline && operation(&read_bytes).is_ok()
            {
            }
        });
    }

    /// Reads and discards input on a new thread, and counts its bytes.
    fn discard_input(&self, mut stream: TcpStream) {
        let mut buf = vec![0; 64 << 10];
        self.repeat_operation(move |read_bytes| match stream.read(&mut buf)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                read_bytes.fetch_add(n, Ordering::SeqCst);
                Ok(())
            }
        });
    }

    /// Writes `text` repeatedly and discards input, each on a new thread.
    fn write_repeatedly(&self, mut stream: TcpStream, text: String) {
        self.discard_input(stream.try_clone().unwrap());
        self.repeat_operation(move |_| stream.write_all(text.as_bytes()));
    }
}

/// Opens a connection, sends a malformed request and reads the answer to its end.
fn send_malformed_request(addr: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(b"NONSENSE\r\n\r\n")?;
    stream.read_to_end(&mut Vec::new()).map(|_| ())
}

/// Guards against scheduling that favours the busiest connections: the events of a quiet stream would arrive too late.
/// The delay is measured in flood bytes that pass between sending and receipt of an event, as the test machine may stall.
#[test]
fn an_event_is_not_delayed_by_floods_of_answers_and_requests() {
    /// Maximum bytes of the flooding connections that may pass between the sending of an event (one piece of the quiet
    /// stream) and its receipt by the client. A router passes on about as many in 20 ms of one processor's time.
    const MAX_BYTES_PER_EVENT: usize = 1 << 20;
    run_test(async {
        let floods = Floods::new();
        let (router, listener) = router_with_manual_replica(|_| {}).await;
        let mut quiet_client = Client::connect(router.addr).await;
        quiet_client.send(&platform_request("", "{}")).await;
        let mut replica = accept_request(&listener).await;
        replica.stream.set_nodelay(true).unwrap();
        replica.send(&(STREAM_HEAD.to_string() + &chunk(CHAT[0]))).await;
        for _ in 0..4 {
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request("", "{}")).await;
            let mut flooding_replica = accept_request(&listener).await;
            flooding_replica.send(STREAM_HEAD).await;
            floods.write_repeatedly(into_blocking(flooding_replica), chunk(&CHAT[1].repeat(20)).repeat(20));
            floods.discard_input(into_blocking(client));
            let flooding_client = Client::connect(router.addr).await;
            floods.write_repeatedly(
                into_blocking(flooding_client),
                "GET /up HTTP/1.1\r\nHost: b\r\n\r\n".repeat(200),
            );
            let addr = router.addr;
            floods.repeat_operation(move |_| send_malformed_request(addr));
        }
        let (mut total_bytes, mut max_bytes, mut max_delay) = (0, 0, Duration::ZERO);
        for n in 0..120 {
            let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{n:04}\"}}}}]}}\n\n");
            let (bytes_before, sent_at) = (floods.read_bytes.load(Ordering::SeqCst), Instant::now());
            replica.send(&chunk(&event)).await;
            while !quiet_client.buf.windows(event.len()).any(|window| window == event.as_bytes()) {
                assert!(
                    quiet_client.stream.read_buf(&mut quiet_client.buf).await.unwrap() > 0,
                    "connection closed in the stream"
                );
            }
            quiet_client.buf.clear();
            let bytes_after = floods.read_bytes.load(Ordering::SeqCst);
            max_bytes = max_bytes.max(bytes_after - bytes_before);
            max_delay = max_delay.max(sent_at.elapsed());
            total_bytes = bytes_after;
        }
        println!("{total_bytes} flood bytes; at most {max_bytes} and {max_delay:?} for one event");
        assert!(total_bytes > 8 * MAX_BYTES_PER_EVENT, "only {total_bytes} flood bytes passed");
        assert!(max_bytes < MAX_BYTES_PER_EVENT, "{max_bytes} flood bytes passed before an event arrived");
    });
}
