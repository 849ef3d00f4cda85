//! Stand-ins of clients, replicas and discovery for the cases under `review/`, and the router's process. Standard library
//! only. They follow the operators' protocol page; whatever the page leaves open is done as a sound peer would do it.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case: the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case: it could not be run.
pub const COULD_NOT_RUN: i32 = 2;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this case has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` has no memory effects; the process id is that of an unreaped child.
    unsafe { kill(pid as i32, signal) };
}

/// Whether the disruption is to happen: it is left out with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds as a duration.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The record of a case: what was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| could_not_run(&format!("{}: {e}", path.display())));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:9.3} {text}\n", self.at(at));
        let _ = self.file.lock().expect("no thread panics with the lock").write_all(line.as_bytes());
    }
}

/// The routers that run, by process id, and the temporary folders that exist: what has to go when a case ends early.
static RUNNING_ROUTERS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static TEMPORARY_FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the case with the exit code for one that could not run. Routers that the case has started are killed.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    if let Ok(routers) = RUNNING_ROUTERS.lock() {
        routers.iter().for_each(|pid| send_signal(*pid, SIGKILL));
    }
    if let Ok(folders) = TEMPORARY_FOLDERS.lock() {
        folders.iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    }
    std::process::exit(COULD_NOT_RUN);
}

/// An address on the loopback interface that no other process uses now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
    listener.local_addr().unwrap_or_else(|e| could_not_run(&e.to_string()))
}

// ---- HTTP ----

/// A request as a replica received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When the first and the last byte were read.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.field("req-id")
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut first_byte = (!buffer.is_empty()).then(Instant::now);
    let mut more = |buffer: &mut Vec<u8>| -> Option<()> {
        let mut part = [0u8; 65536];
        let read = stream.read(&mut part).ok().filter(|read| *read > 0)?;
        first_byte.get_or_insert_with(Instant::now);
        buffer.extend_from_slice(&part[..read]);
        Some(())
    };
    let head_end = loop {
        match buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            Some(at) => break at + 4,
            None => more(buffer)?,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_string();
    let fields: HashMap<String, String> = lines
        .filter_map(|field| field.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length: usize = fields.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        more(buffer)?;
    }
    let body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    let last_byte = Instant::now();
    Some(Request { line, fields, body, first_byte: first_byte.unwrap_or(last_byte), last_byte })
}

fn write_chunk(stream: &mut TcpStream, data: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())
}

// ---- Replicas ----

/// How a replica answers one request.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub first_token_after: Duration,
    pub tokens: u32,
    pub per_token: Duration,
}

/// Number of tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 4;

/// One request as it was run by a replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub replica: String,
    pub id: String,
    pub first_byte: Instant,
    pub last_byte: Instant,
    pub deadline_ms: u64,
}

/// A replica, which runs in threads of this process.
pub struct Replica {
    pub name: String,
    pub addr: SocketAddr,
}

/// The runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a replica that answers each request as `plan` says.
pub fn start_replica(
    name: &str,
    record: &Arc<Record>,
    runs: &Runs,
    plan: impl Fn(&Request) -> Plan + Send + Sync + 'static,
) -> Replica {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
    let addr = listener.local_addr().unwrap_or_else(|e| could_not_run(&e.to_string()));
    let (name_of_thread, record, runs, plan) =
        (name.to_string(), record.clone(), runs.clone(), Arc::new(plan));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (name, record, runs, plan) =
                (name_of_thread.clone(), record.clone(), runs.clone(), plan.clone());
            thread::spawn(move || serve_replica(stream, &name, &record, &runs, &*plan));
        }
    });
    Replica { name: name.to_string(), addr }
}

fn serve_replica(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    runs: &Runs,
    plan: &(dyn Fn(&Request) -> Plan + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let id = request.id().to_string();
        if id.is_empty() {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let deadline_ms = request.field("req-deadline-ms").parse().unwrap_or(0);
        record.line_at(request.last_byte, &format!("replica {name}: begins {id}, told {deadline_ms} ms"));
        let run = Run {
            replica: name.to_string(),
            id: id.clone(),
            first_byte: request.first_byte,
            last_byte: request.last_byte,
            deadline_ms,
        };
        runs.lock().expect("no thread panics with the lock").push(run);
        match stream_answer(&mut stream, plan(&request)) {
            Ok(()) => record.line(&format!("replica {name}: finished {id}")),
            Err(error) => {
                record.line(&format!("replica {name}: connection of {id} broke: {error}"));
                return;
            }
        }
    }
}

fn stream_answer(stream: &mut TcpStream, plan: Plan) -> io::Result<()> {
    thread::sleep(plan.first_token_after);
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let mut written = 0;
    loop {
        let tokens = TOKENS_PER_EVENT.min(plan.tokens - written);
        written += tokens;
        let last = written == plan.tokens;
        let reason = if last { "\"stop\"" } else { "null" };
        let text = "word".repeat(tokens as usize);
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{reason}}}]}}\n\n"
        );
        write_chunk(stream, &event)?;
        if last {
            break;
        }
        thread::sleep(plan.per_token * TOKENS_PER_EVENT);
    }
    write_chunk(
        stream,
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":40,\
         \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n",
    )?;
    stream.write_all(b"0\r\n\r\n")
}

// ---- Discovery ----

/// Serves a list of ready replicas that does not change, as a whole list and as a watch. `zones` are given in turn.
pub fn start_discovery(
    record: &Arc<Record>,
    replicas: &[Replica],
    zones: &[&str],
    kinds: &[&str],
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
    let addr = listener.local_addr().unwrap_or_else(|e| could_not_run(&e.to_string()));
    let entries: Vec<String> = replicas
        .iter()
        .enumerate()
        .map(|(i, replica)| {
            format!(
                "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":{},\"state\":\"active\",\
                 \"weight\":1.0,\"started_ms\":0}}",
                replica.name,
                replica.addr,
                zones[i % zones.len()],
                kinds[i % kinds.len()],
                i / 4
            )
        })
        .collect();
    let list = format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}", entries.join(","));
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (list, record) = (list.clone(), record.clone());
            thread::spawn(move || serve_discovery(stream, &list, &record));
        }
    });
    addr
}

fn serve_discovery(mut stream: TcpStream, list: &str, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if !request.line.contains("follow=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        record.line("discovery: watch opened");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        write_chunk(&mut stream, &format!("{list}\n")).ok()?;
        loop {
            thread::sleep(ms(2000));
            write_chunk(&mut stream, "\n").ok()?;
        }
    }
    None
}

// ---- The router's process ----

/// A folder for temporary files, removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> TemporaryFolder {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| could_not_run(&e.to_string()));
        TEMPORARY_FOLDERS.lock().expect("no thread panics with the lock").push(path.clone());
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A router that was started with the deploy file's command. It is killed when this is dropped.
pub struct Router {
    pub name: String,
    pub addr: SocketAddr,
    pub child: Child,
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| could_not_run(&format!("deploy file: {e}")));
    let line = text.lines().find(|line| line.starts_with("run"));
    let quoted = line.and_then(|line| line.split_once('"')).and_then(|(_, rest)| rest.rsplit_once('"'));
    quoted.unwrap_or_else(|| could_not_run("the deploy file has no run command")).0.to_string()
}

/// Starts a router from the repository's root and waits until `GET /up` answers 200.
pub fn start_router(
    root: &Path,
    folder: &TemporaryFolder,
    name: &str,
    addr: SocketAddr,
    discovery: SocketAddr,
    config: &str,
    record: &Record,
) -> Router {
    let (config_path, log_path) =
        (folder.0.join(format!("{name}.json")), folder.0.join(format!("{name}.log")));
    std::fs::write(&config_path, config).unwrap_or_else(|e| could_not_run(&e.to_string()));
    let log = File::create(&log_path).unwrap_or_else(|e| could_not_run(&e.to_string()));
    let child = Command::new("/bin/sh")
        .args(["-c", &run_command(root)])
        .current_dir(root)
        .env("PROXY_NAME", name)
        .env("PROXY_LISTEN", addr.to_string())
        .env("PROXY_DISCOVERY", discovery.to_string())
        .env("PROXY_CONFIG", &config_path)
        .env("TMPDIR", &folder.0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| could_not_run(&format!("the router does not start: {e}")));
    RUNNING_ROUTERS.lock().expect("no thread panics with the lock").push(child.id());
    let router = Router { name: name.to_string(), addr, child };
    let until = Instant::now() + ms(20_000);
    while !is_up(addr) {
        if Instant::now() > until {
            let log = std::fs::read_to_string(&log_path).unwrap_or_default();
            could_not_run(&format!("the router is not ready: {log}"));
        }
        thread::sleep(ms(50));
    }
    record.line(&format!("router {name}: ready"));
    router
}

fn is_up(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(500)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    let mut answer = [0u8; 16];
    stream.read(&mut answer).is_ok_and(|read| answer[..read].starts_with(b"HTTP/1.1 200"))
}

impl Drop for Router {
    fn drop(&mut self) {
        RUNNING_ROUTERS.lock().expect("no thread panics with the lock").retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Clients ----

/// A request of a client.
pub struct ClientRequest<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub deadline_ms: u64,
    pub prompt_tokens: usize,
}

impl ClientRequest<'_> {
    pub fn to_bytes(&self) -> Vec<u8> {
        // One token is four characters.
        let prompt = "text".repeat(self.prompt_tokens);
        let body = format!(
            "{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":400,\"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}",
            self.class
        );
        let mut head = String::new();
        let _ = write!(
            head,
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
             Req-Key: key-{}\r\nReq-Deadline-Ms: {}\r\nReq-Extra: prompt_len={},max_out=400\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.class,
            self.tenant,
            self.id,
            self.deadline_ms,
            self.prompt_tokens,
            body.len()
        );
        [head.as_bytes(), body.as_bytes()].concat()
    }
}

/// What a client has received on its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// 200 and a stream to its last chunk.
    Served,
    /// 200 and a stream that ended without its last chunk, with the number of bytes received.
    Broken(usize),
    /// A complete answer with another status.
    Status(u16),
    /// The connection ended before a byte of an answer.
    Closed,
    /// No end of the answer within the time.
    Nothing(usize),
}

/// Time that a client waits for the end of an answer that has begun: a stream that has begun has no deadline.
const PATIENCE_ONCE_BEGUN: Duration = Duration::from_secs(15);

/// Reads one answer until it is complete or the connection ends. Gives up if nothing has come by `until`, or if what has begun
/// does not end. Returns the answer, and when its first byte came.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> (Answer, Option<Instant>) {
    let (mut received, mut first_byte_at) = (Vec::new(), None);
    loop {
        if let Some(answer) = complete_answer(&received) {
            return (answer, first_byte_at);
        }
        let until = first_byte_at.map_or(until, |at| at + PATIENCE_ONCE_BEGUN);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (Answer::Nothing(received.len()), first_byte_at);
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut part = [0u8; 16384];
        match stream.read(&mut part) {
            Ok(read) if read > 0 => {
                first_byte_at.get_or_insert_with(Instant::now);
                received.extend_from_slice(&part[..read]);
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            _ if received.is_empty() => return (Answer::Closed, None),
            _ => return (Answer::Broken(received.len()), first_byte_at),
        }
    }
}

fn complete_answer(received: &[u8]) -> Option<Answer> {
    let head_end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_end]).to_ascii_lowercase();
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")).map(str::trim);
    match length {
        Some(length) if received.len() >= head_end + length.parse::<usize>().ok()? => {
            Some(Answer::Status(status))
        }
        Some(_) => None,
        None if received.ends_with(b"\r\n0\r\n\r\n") => Some(Answer::Served),
        None => None,
    }
}

/// Sends a request on a new connection and reads its answer; `patience` is for its first byte, from the first byte sent.
pub fn ask(addr: SocketAddr, request: &ClientRequest, patience: Duration) -> (Answer, Option<Instant>) {
    let begun = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, patience) else { return (Answer::Closed, None) };
    let _ = stream.set_nodelay(true);
    if stream.write_all(&request.to_bytes()).is_err() {
        return (Answer::Closed, None);
    }
    read_answer(&mut stream, begun + patience)
}
