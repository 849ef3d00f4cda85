//! Tests that clients cannot make a router process exceed its memory limit, whatever they send, and however slowly they write
//! and read.
//!
//! The memory is small for the number of descriptors: the more clients there may be, the less memory there is for each. The
//! smallest that the operators state is 32 MiB: `cargo test --release -p tallypin-router --test memory`.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use common::{platform_request, CONFIG, STREAM_HEAD};
use tallypin_test_support::mock_services::{MockEndpointList, ReservedAddress};
use tallypin_test_support::router_process::RouterProcess;
use tallypin_test_support::seeds;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// An unoptimized program takes more memory itself.
const MEMORY_MB: u64 = if cfg!(debug_assertions) { 48 } else { 32 };
const DESCRIPTORS: usize = 1024;
/// Clients that connect at once; more than the router serves.
const CLIENTS: usize = 900;
/// Clients whose answers are under way at once; at most as many as the router has connections to replicas.
const STREAMING_CLIENTS: usize = 370;
/// The maximum size of a request body, bytes.
const MAX_BODY_SIZE: usize = 256 << 10;
/// Time until a client that stops half way, or does not read, leaves.
const STAY: Duration = Duration::from_secs(4);
/// Time within which every sound client has its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after a crowd within which all ordinary clients are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// A request that a replica answers at full speed, with this number of events of this size.
fn request_for(events: usize, event_size: usize, id: usize, body_size: usize) -> String {
    let body = "x".repeat(body_size);
    platform_request(
        &format!("Req-Key: {id}\r\n"),
        &format!("{{\"events\":{events},\"size\":{event_size},\"text\":\"{body}\"}}"),
    )
}

/// The number that follows `name` in a request body of [`request_for`].
fn number_after(body: &str, name: &str) -> usize {
    let text = body.split(name).nth(1).unwrap_or("0");
    text.split([',', '}']).next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Answers requests on one connection.
async fn serve_replica(mut stream: TcpStream) -> std::io::Result<()> {
    let mut input = Vec::new();
    loop {
        let Some((head_end, length)) = complete_request(&input) else {
            if stream.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let body: Vec<u8> = input.drain(..head_end + length).skip(head_end).take(100).collect();
        let body = String::from_utf8_lossy(&body).into_owned();
        let (events, size) = (number_after(&body, "\"events\":"), number_after(&body, "\"size\":"));
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
            "y".repeat(size)
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(STREAM_HEAD.as_bytes()).await?;
        for _ in 0..events {
            stream.write_all(chunk.as_bytes()).await?;
        }
        stream.write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n").await?;
    }
}

/// The lengths of head and body of a request at the front of `input`; `None` if it is not complete.
fn complete_request(input: &[u8]) -> Option<(usize, usize)> {
    let head_end = input.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..head_end]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1)?.split('\r').next()?.parse().ok()?;
    (input.len() >= head_end + length).then_some((head_end, length))
}

async fn start_replica(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_replica(stream));
        }
    });
    address
}

/// A router process with little memory, in front of four replicas.
struct SmallRouter {
    process: RouterProcess,
    address: SocketAddr,
    _reserved: ReservedAddress,
    _list: MockEndpointList,
}

impl SmallRouter {
    async fn start(ip: &str, directory: &Path) -> SmallRouter {
        let mut rows = Vec::new();
        for number in 0..4 {
            let address = start_replica(ip).await;
            rows.push(format!(
                r#"{{"id":"n{number}","addr":"{address}","zone":"rz-garching","state":"active"}}"#
            ));
        }
        let list = MockEndpointList::start(ip, &rows);
        let reserved = ReservedAddress::on(ip).unwrap();
        let (config, log) = (directory.join("config.json"), directory.join("log"));
        let limits = format!("\"memory_mb\": {MEMORY_MB}, \"sockets\": {DESCRIPTORS}");
        std::fs::write(&config, CONFIG.replace("\"memory_mb\": 192, \"sockets\": 1024", &limits)).unwrap();
        let program = seeds::program(env!("CARGO_BIN_EXE_tallypin"));
        let mut process = RouterProcess::start(&program, &config, &log, reserved.addr, |command| {
            command.env("PROXY_LISTEN", reserved.addr.to_string());
            command.env("PROXY_DISCOVERY", list.addr.to_string());
        })
        .unwrap();
        process.wait_until_ready(Duration::from_secs(10)).await.unwrap();
        SmallRouter { process, address: reserved.addr, _reserved: reserved, _list: list }
    }

    fn assert_within_memory(&self, what: &str) {
        let peak = self.process.peak_memory();
        println!("{what}: peak memory {} KiB of {} KiB", peak >> 10, MEMORY_MB << 10);
        assert!(peak > 0, "{what}: the router has exited");
        assert!(peak <= MEMORY_MB << 20, "{what}: peak memory {} KiB of {} KiB", peak >> 10, MEMORY_MB << 10);
    }
}

/// How a client of a crowd ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Rejected,
    Closed,
    /// Neither an answer nor a close in time.
    Unanswered,
}

/// Runs a crowd of clients at once; returns how they ended.
async fn run_crowd<F: std::future::Future<Output = End> + 'static>(
    count: usize,
    client: impl Fn(usize) -> F,
) -> Vec<End> {
    let clients: Vec<JoinHandle<End>> = (0..count).map(|number| spawn_local(client(number))).collect();
    let mut ends = Vec::new();
    for client in clients {
        ends.push(client.await.unwrap());
    }
    ends
}

fn count(ends: &[End], end: End) -> usize {
    ends.iter().filter(|other| **other == end).count()
}

/// Connects with a small receive buffer, so that what the client does not read is not kept by its system.
async fn connect(router: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4 << 10)?;
    let stream = socket.connect(router).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes `text` in `pieces` pieces; false if the router closes the connection.
async fn write_slowly(stream: &mut TcpStream, text: &[u8], pieces: usize, pause: Duration) -> bool {
    for piece in text.chunks(text.len().div_ceil(pieces)) {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        sleep(pause).await;
    }
    true
}

/// Reads an answer to its end, in pieces of at most `piece` bytes with a pause after each.
async fn read_answer(stream: &mut TcpStream, piece: usize, pause: Duration) -> End {
    let (mut start, mut tail, mut buffer) = (Vec::<u8>::new(), Vec::<u8>::new(), vec![0; piece]);
    let mut read = async || loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) if start.is_empty() => return End::Closed,
            Ok(0) | Err(_) if start.starts_with(b"HTTP/1.1 200") => return End::Unanswered,
            Ok(0) | Err(_) => return End::Rejected,
            Ok(size) => {
                start.extend(&buffer[..size.min(16_usize.saturating_sub(start.len()))]);
                tail.extend(&buffer[..size]);
                tail.drain(..tail.len().saturating_sub(5));
            }
        }
        match start.starts_with(b"HTTP/1.1 200") {
            true if tail == b"0\r\n\r\n" => return End::Served,
            false if start.len() >= 12 => return End::Rejected,
            _ => {}
        }
        sleep(pause).await;
    };
    timeout(ANSWER_TIMEOUT, read()).await.unwrap_or(End::Unanswered)
}

/// Sends `text`, stops, and stays until the router ends the connection or `STAY` is over.
async fn stop_half_way(router: SocketAddr, text: Vec<u8>) -> End {
    let Ok(mut stream) = connect(router).await else { return End::Closed };
    write_slowly(&mut stream, &text, 8, Duration::from_millis(100)).await;
    match timeout(STAY, read_answer(&mut stream, 4096, Duration::ZERO)).await {
        Ok(end) => end,
        Err(_) => End::Unanswered,
    }
}

/// Sends a request and reads its answer slowly for some time.
async fn ask_and_read_slowly(router: SocketAddr, request: String) -> End {
    let Ok(mut stream) = connect(router).await else { return End::Closed };
    let _ = timeout(STAY, stream.write_all(request.as_bytes())).await;
    let read = read_answer(&mut stream, 512, Duration::from_millis(50));
    timeout(STAY, read).await.unwrap_or(End::Unanswered)
}

fn run_test<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against review/6: buffers that no budget counts, of clients that stop half way, took the process over its memory.
#[test]
fn clients_that_stop_half_way_in_a_large_request_leave_the_router_within_its_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.1", directory.path()).await;
        let whole = request_for(1, 10, 1, MAX_BODY_SIZE - 100);
        let (whole, address) = (whole.as_bytes(), router.address);
        run_crowd(CLIENTS, |_| stop_half_way(address, whole[..whole.len() / 2].to_vec())).await;
        router.assert_within_memory("half of a body of a declared length");
        let head_end = whole.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
        let head = String::from_utf8_lossy(&whole[..head_end]).replace("Content-Length", "X-Length");
        let chunks = format!("1000\r\n{}\r\n", "z".repeat(0x1000)).repeat(32);
        let chunked = format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        run_crowd(CLIENTS, |_| stop_half_way(address, chunked.clone().into_bytes())).await;
        router.assert_within_memory("half of a chunked body");
        assert_serves_again(address).await;
    });
}

/// An ordinary client.
async fn ask(router: SocketAddr, number: usize) -> End {
    let Ok(mut stream) = connect(router).await else { return End::Closed };
    if stream.write_all(request_for(3, 50, number, 400).as_bytes()).await.is_err() {
        return End::Closed;
    }
    read_answer(&mut stream, 4096, Duration::ZERO).await
}

/// Fails unless all of some ordinary clients are served, soon after a crowd. Right after it the router may still expect waits.
async fn assert_serves_again(router: SocketAddr) {
    const ORDINARY_CLIENTS: usize = 20;
    let started = Instant::now();
    loop {
        let ends = run_crowd(ORDINARY_CLIENTS, |number| ask(router, number)).await;
        if ends == [End::Served; ORDINARY_CLIENTS] {
            return;
        }
        assert!(started.elapsed() < RECOVERY_TIME, "{ends:?}");
    }
}

/// Guards against heads that no budget counts, complete or not.
#[test]
fn heads_of_many_short_fields_leave_the_router_within_its_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.2", directory.path()).await;
        let address = router.address;
        let short_fields: String = (0..55).map(|number| format!("a{number}: b\r\n")).collect();
        let long_field = format!("Long: {}\r\n", "v".repeat(14 << 10));
        // Complete heads whose bodies do not come, and heads that do not end; short fields, and as many bytes as permitted.
        for (what, fields) in [
            ("short fields", short_fields.clone()),
            ("a long field", long_field),
            ("fields without end", "a:b\r\n".repeat(3000)),
        ] {
            for end in ["\r\n", ""] {
                let head = platform_request(&fields, &"x".repeat(9000));
                let head = head.split("\r\n\r\n").next().unwrap().to_string() + "\r\n" + end;
                run_crowd(CLIENTS, |_| stop_half_way(address, head.clone().into_bytes())).await;
                router.assert_within_memory(what);
            }
        }
        assert_serves_again(address).await;
    });
}

/// Sound clients that write large requests slowly: each gets an answer, and those for which there is memory are served.
#[test]
fn slow_sound_clients_are_served_or_rejected_within_the_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.3", directory.path()).await;
        let address = router.address;
        let ask_slowly = |number: usize| async move {
            let Ok(mut stream) = connect(address).await else { return End::Closed };
            let request = request_for(3, 50, number, MAX_BODY_SIZE - 100);
            write_slowly(&mut stream, request.as_bytes(), 16, Duration::from_millis(100)).await;
            read_answer(&mut stream, 4096, Duration::ZERO).await
        };
        let ends = run_crowd(500, ask_slowly).await;
        router.assert_within_memory("large requests written slowly");
        println!(
            "{} served, {} rejected, {} closed",
            count(&ends, End::Served),
            count(&ends, End::Rejected),
            count(&ends, End::Closed)
        );
        assert_eq!(count(&ends, End::Unanswered), 0);
        // As many as the memory permits at once: a quarter of it is for requests.
        let ends = run_crowd(20, ask_slowly).await;
        assert_eq!(ends, [End::Served; 20], "there is memory for these");
    });
}

/// Guards against input that no budget counts, sent ahead while a request is answered.
#[test]
fn requests_sent_ahead_leave_the_router_within_its_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.4", directory.path()).await;
        let address = router.address;
        let send_ahead = |number: usize| async move {
            let Ok(mut stream) = connect(address).await else { return End::Closed };
            // The client does not read its first answer, so that the further requests wait.
            let first = request_for(3000, 2000, number, 100);
            let ahead: String = (0..100).map(|_| request_for(1, 10, number, 3000)).collect();
            let _ = timeout(STAY, stream.write_all((first + &ahead).as_bytes())).await;
            sleep(STAY).await;
            End::Closed
        };
        run_crowd(STREAMING_CLIENTS, send_ahead).await;
        router.assert_within_memory("requests sent ahead");
        assert_serves_again(address).await;
    });
}

/// Guards against answers that wait for their slow clients in memory that no limit bounds.
#[test]
fn clients_that_read_long_answers_slowly_leave_the_router_within_its_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.5", directory.path()).await;
        let address = router.address;
        for (what, events, size) in [
            ("events of 100 bytes", 60_000, 100),
            ("events of 4 KiB", 1500, 4 << 10),
            ("events of 16 KiB", 400, 16 << 10),
        ] {
            let read_slowly = |number| ask_and_read_slowly(address, request_for(events, size, number, 100));
            run_crowd(STREAMING_CLIENTS, read_slowly).await;
            router.assert_within_memory(what);
        }
        assert_serves_again(address).await;
    });
}

/// All of these crowds at once, beside sound clients.
#[test]
fn crowds_of_all_kinds_at_once_leave_the_router_within_its_memory() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.6", directory.path()).await;
        let address = router.address;
        let long_head = platform_request(&format!("Long: {}\r\n", "v".repeat(14 << 10)), "x");
        let half_body =
            request_for(1, 10, 1, MAX_BODY_SIZE / 2).replace("Content-Length: 1", "Content-Length: 2");
        let client = |number: usize| {
            let (long_head, half_body) = (long_head.clone(), half_body.clone());
            async move {
                match number % 5 {
                    0 => stop_half_way(address, half_body.into_bytes()).await,
                    1 => stop_half_way(address, long_head.into_bytes()[..10_000].to_vec()).await,
                    2 => ask_and_read_slowly(address, request_for(400, 16 << 10, number, 100)).await,
                    3 => ask_and_read_slowly(address, request_for(4000, 1000, number, 100).repeat(3)).await,
                    _ => {
                        sleep(Duration::from_millis(number as u64 * 2)).await;
                        ask(address, number).await
                    }
                }
            }
        };
        let ends = run_crowd(CLIENTS, client).await;
        router.assert_within_memory("crowds of all kinds");
        let sound: Vec<End> = ends.iter().copied().skip(4).step_by(5).collect();
        println!(
            "sound clients: {} served, {} rejected, {} closed",
            count(&sound, End::Served),
            count(&sound, End::Rejected),
            count(&sound, End::Closed)
        );
        assert_serves_again(address).await;
    });
}

/// Guards against a client that is disconnected for reading slowly although memory is not short.
#[test]
fn a_few_clients_that_read_slowly_get_their_whole_answers() {
    run_test(async {
        let directory = tempfile::tempdir().unwrap();
        let router = SmallRouter::start("127.2.20.7", directory.path()).await;
        let address = router.address;
        let read_slowly = |number: usize| async move {
            let mut stream = connect(address).await.unwrap();
            stream.write_all(request_for(200, 16 << 10, number, 100).as_bytes()).await.unwrap();
            sleep(Duration::from_secs(3)).await;
            read_answer(&mut stream, 64 << 10, Duration::from_millis(5)).await
        };
        assert_eq!(run_crowd(10, read_slowly).await, [End::Served; 10]);
    });
}
