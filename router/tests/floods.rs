//! One quiet stream beside others that take all they can get.
#![allow(missing_docs)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use tokio::io::AsyncReadExt;

/// What runs on other threads, as those who flood a router run elsewhere: it ends with the test, or by itself.
#[derive(Clone)]
struct Floods {
    over: Arc<AtomicBool>,
    until: Instant,
    bytes: Arc<AtomicUsize>,
}

impl Drop for Floods {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

impl Floods {
    fn new() -> Floods {
        let until = Instant::now() + Duration::from_secs(15);
        Floods { over: Arc::default(), until, bytes: Arc::default() }
    }

    /// Does something again and again, until it fails.
    fn run(&self, mut once: impl FnMut(&AtomicUsize) -> std::io::Result<()> + Send + 'static) {
        let (over, until, bytes) = (self.over.clone(), self.until, self.bytes.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) && Instant::now() < until && once(&bytes).is_ok() {}
        });
    }

    /// Reads and drops what comes, and counts it.
    fn swallow(&self, mut stream: TcpStream) {
        let mut buf = vec![0; 64 << 10];
        self.run(move |bytes| match stream.read(&mut buf)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                bytes.fetch_add(n, Ordering::SeqCst);
                Ok(())
            }
        });
    }

    /// Writes this without end, and swallows what comes.
    fn pour(&self, mut stream: TcpStream, text: String) {
        self.swallow(stream.try_clone().unwrap());
        self.run(move |_| stream.write_all(text.as_bytes()));
    }
}

/// Connections that ask for nothing that could be taken, one after the other.
fn nonsense(at: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at)?;
    stream.write_all(b"NONSENSE\r\n\r\n")?;
    stream.read_to_end(&mut Vec::new()).map(|_| ())
}

/// Guards against turns that go to whoever has most to say: an event of a quiet stream would come late, and late is lost.
/// What the floods got through between its writing and its arrival is the measure, as the machine may stand still.
#[test]
fn an_event_passes_beside_floods_of_answers_and_of_commands() {
    /// What a router passes on in some 20 ms of a whole processor.
    const MOST: usize = 1 << 20;
    run(async {
        let floods = Floods::new();
        let (router, listener) = by_hand(|_| {}).await;
        let mut quiet = Client::to(router.addr).await;
        quiet.send(&platform("", "{}")).await;
        let mut node = asked(&listener).await;
        node.stream.set_nodelay(true).unwrap();
        node.send(&(HEAD.to_string() + &chunk(CHAT[0]))).await;
        for _ in 0..4 {
            let mut client = Client::to(router.addr).await;
            client.send(&platform("", "{}")).await;
            let mut flood = asked(&listener).await;
            flood.send(HEAD).await;
            floods.pour(into_blocking(flood), chunk(&CHAT[1].repeat(20)).repeat(20));
            floods.swallow(into_blocking(client));
            let commands = Client::to(router.addr).await;
            floods.pour(into_blocking(commands), "GET /up HTTP/1.1\r\nHost: b\r\n\r\n".repeat(200));
            let at = router.addr;
            floods.run(move |_| nonsense(at));
        }
        let (mut passed, mut worst, mut longest) = (0, 0, Duration::ZERO);
        for n in 0..120 {
            let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{n:04}\"}}}}]}}\n\n");
            let (before, begun) = (floods.bytes.load(Ordering::SeqCst), Instant::now());
            node.send(&chunk(&event)).await;
            while !quiet.buf.windows(event.len()).any(|w| w == event.as_bytes()) {
                assert!(quiet.stream.read_buf(&mut quiet.buf).await.unwrap() > 0, "cut");
            }
            quiet.buf.clear();
            let after = floods.bytes.load(Ordering::SeqCst);
            worst = worst.max(after - before);
            longest = longest.max(begun.elapsed());
            passed = after;
        }
        println!("{passed} bytes of floods; in one event's time {worst} at the most, {longest:?}");
        assert!(passed > 8 * MOST, "no flood: {passed}");
        assert!(worst < MOST, "an event waited while {worst} bytes of floods passed");
    });
}
