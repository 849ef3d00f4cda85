//! Stand-ins of discovery, workers and clients, a router process, and the record of a run. Standard library only; every
//! address is a loopback address. The forms are those of `../given/docs/PROTOCOL-tallypin.md`.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of the empty lines on a watch without changes (PROTOCOL, Discovery).
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a call to a crowded discovery fails; the accounts of the sites have 1 s and 2 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a router has to be ready (STANDING, Pass or fail).
const READY_LIMIT: Duration = Duration::from_secs(30);

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the run has the disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case and exits with its verdict. The case must have ended its processes when it returns.
pub fn run_case(case: impl FnOnce(&Record) -> io::Result<bool>) -> ! {
    let folder = std::env::args().nth(1).expect("the first argument is the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("the record can be written");
    let code = match case(&record) {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            COULD_NOT_RUN
        }
    };
    record.line(&format!("exit {code}"));
    println!("exit {code}, see {folder}/record.txt");
    std::process::exit(code)
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    fn create(path: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0 .0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.0 .1.elapsed().as_secs_f64());
    }

    pub fn seconds(&self) -> f64 {
        self.0 .1.elapsed().as_secs_f64()
    }
}

fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// An address for the router of this number, on a loopback address that nothing else of the case uses: no connection can
/// take the port before the router listens there.
fn router_address(number: u64) -> io::Result<SocketAddr> {
    TcpListener::bind(format!("127.0.1.{}:0", number + 1))?.local_addr()
}

/// Head and body of an HTTP message.
pub struct Message {
    pub start: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_string())
}

/// Reads a head; its field names are in lower case.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = read_line(reader)?;
    let mut fields = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { start, fields, body: Vec::new() });
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
}

/// Reads the next chunk of a body; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(|_| io::Error::other("chunk size"))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads a whole message. A chunked body that ends without its last chunk is an error.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.field("transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else {
        message.body = vec![0; message.field("content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

// ---- Discovery ----

/// One worker in the list.
#[derive(Clone)]
pub struct Row {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: String,
    pub started_ms: u64,
}

impl Row {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"m1\",\"cell\":{},\"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}}}",
            self.id, self.address, self.zone, self.cell, self.state, self.started_ms
        )
    }
}

struct ListState {
    rows: Mutex<Vec<(u64, Row)>>,
    version: AtomicU64,
    changed: Condvar,
    /// Number of times that all open watches were ended.
    resets: AtomicU64,
    /// The calls that wait for their turn; `None` if calls are answered at once.
    queue: Mutex<Option<VecDeque<Call>>>,
    /// Number of calls that got 503.
    refused: AtomicU64,
}

/// A call that waits for its turn.
struct Call {
    since: Instant,
    /// Set when the call is served.
    served: Flag,
}

/// Discovery: the whole list at first, then changes, and an empty line every 2 s without one.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<ListState>,
}

impl Discovery {
    pub fn start(rows: Vec<Row>) -> io::Result<Discovery> {
        let (listener, address) = listen()?;
        let rows = rows.into_iter().map(|row| (1, row)).collect();
        let state = Arc::new(ListState {
            rows: Mutex::new(rows),
            version: AtomicU64::new(1),
            changed: Condvar::new(),
            resets: AtomicU64::new(0),
            queue: Mutex::new(None),
            refused: AtomicU64::new(0),
        });
        let for_calls = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = for_calls.clone();
                thread::spawn(move || drop(serve_list(stream, &state)));
            }
        });
        Ok(Discovery { address, state })
    }

    /// Ends all watches. For `duration` from then on, calls are served in turn, one each `turn`; a call that waits for
    /// `CALL_TIMEOUT` fails.
    pub fn end_watches_and_serve_in_turn(&self, turn: Duration, duration: Duration) {
        // The lock keeps a watch from missing the notification between its check and its wait.
        let _rows = self.state.rows.lock().unwrap();
        *self.state.queue.lock().unwrap() = Some(VecDeque::new());
        self.state.resets.fetch_add(1, Ordering::SeqCst);
        self.state.changed.notify_all();
        let state = self.state.clone();
        thread::spawn(move || serve_in_turn(&state, turn, duration));
    }

    /// Number of calls that got 503.
    pub fn refused_calls(&self) -> u64 {
        self.state.refused.load(Ordering::SeqCst)
    }

    /// Replaces or adds a row; watches get it as a change.
    pub fn set(&self, row: Row) {
        let mut rows = self.state.rows.lock().unwrap();
        let version = self.state.version.fetch_add(1, Ordering::SeqCst) + 1;
        rows.retain(|(_, known)| known.id != row.id);
        rows.push((version, row));
        self.state.changed.notify_all();
    }
}

fn serve_in_turn(state: &ListState, turn: Duration, duration: Duration) {
    let until = Instant::now() + duration;
    let mut next_turn = Instant::now();
    while Instant::now() < until {
        if let Some(calls) = state.queue.lock().unwrap().as_mut() {
            calls.retain(|call| call.since.elapsed() < CALL_TIMEOUT);
            if next_turn <= Instant::now() {
                if let Some(call) = calls.pop_front() {
                    call.served.set();
                    next_turn = Instant::now() + turn;
                }
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    *state.queue.lock().unwrap() = None;
}

/// Waits for the turn of a router's call; false if it waited too long.
fn wait_for_turn(state: &ListState) -> bool {
    let served = Flag::default();
    match state.queue.lock().unwrap().as_mut() {
        Some(calls) => calls.push_back(Call { since: Instant::now(), served: served.clone() }),
        None => return true,
    }
    let called_at = Instant::now();
    while !served.is_set() && called_at.elapsed() < CALL_TIMEOUT {
        if state.queue.lock().unwrap().is_none() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    served.is_set()
}

fn serve_list(mut stream: TcpStream, state: &ListState) -> io::Result<()> {
    read_head(&mut BufReader::new(stream.try_clone()?))?;
    stream.set_nodelay(true)?;
    if !wait_for_turn(state) {
        state.refused.fetch_add(1, Ordering::SeqCst);
        return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    let resets = state.resets.load(Ordering::SeqCst);
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let mut sent = 0;
    loop {
        let rows = state.rows.lock().unwrap();
        let unchanged = |_: &mut Vec<(u64, Row)>| {
            state.version.load(Ordering::SeqCst) == sent && state.resets.load(Ordering::SeqCst) == resets
        };
        let (rows, _) = state.changed.wait_timeout_while(rows, KEEP_ALIVE_INTERVAL, unchanged).unwrap();
        if state.resets.load(Ordering::SeqCst) != resets {
            return Ok(());
        }
        let version = state.version.load(Ordering::SeqCst);
        let line = if version == sent {
            "\n".to_string()
        } else {
            let is_new = |(at, row): &&(u64, Row)| *at > sent && (sent > 0 || row.state != "left");
            let new: Vec<String> = rows.iter().filter(is_new).map(|(_, row)| row.json()).collect();
            format!("{{\"version\":{version},\"full\":{},\"servers\":[{}]}}\n", sent == 0, new.join(","))
        };
        drop(rows);
        sent = version;
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
    }
}

// ---- Workers ----

/// What a worker does with a request that has arrived completely. An error closes the connection.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A worker. It serves one request at a time on each connection, and any number of connections.
pub struct Worker {
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(handler: Arc<Handler>) -> io::Result<Worker> {
        let (listener, address) = listen()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = handler.clone();
                thread::spawn(move || drop(serve_worker(stream, &*handler)));
            }
        });
        Ok(Worker { address })
    }
}

fn serve_worker(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let request = read_message(&mut reader)?;
        handler(&request, &mut stream)?;
    }
}

/// Writes one event of a stream as a chunk.
pub fn write_event(stream: &mut TcpStream, data: &str) -> io::Result<()> {
    let event = format!("data: {data}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Writes the head of a stream.
pub fn write_stream_head(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    )
}

/// Writes a whole stream: `events` events with text, `interval` apart, and the last events of the protocol.
pub fn write_stream(stream: &mut TcpStream, events: usize, interval: Duration) -> io::Result<()> {
    write_stream_head(stream)?;
    for _ in 0..events {
        write_event(
            stream,
            "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}",
        )?;
        thread::sleep(interval);
    }
    write_event(
        stream,
        "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}",
    )?;
    let usage = format!(
        "{{\"choices\":[],\"usage\":{{\"prompt_tokens\":100,\"completion_tokens\":{events},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}"
    );
    write_event(stream, &usage)?;
    write_event(stream, "[DONE]")?;
    stream.write_all(b"0\r\n\r\n")
}

// ---- Settings and the router ----

/// What a case varies in the settings; the rest is as in the example of the WIRE page.
#[derive(Clone)]
pub struct Settings {
    /// `Effect` and `Group` of the class `chat`.
    pub effect: &'static str,
    pub group: &'static str,
    pub zones: &'static [&'static str],
    pub resume: bool,
    pub parallel_tries: bool,
    pub drain_grace_ms: usize,
    pub routers: usize,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            effect: "pure",
            group: "all",
            zones: &["rz-garching"],
            resume: true,
            parallel_tries: true,
            drain_grace_ms: 500,
            routers: 1,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

impl Settings {
    fn json(&self, number: u64, listen: SocketAddr, discovery: SocketAddr, seed: u64) -> String {
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let Settings {
            effect,
            group,
            resume,
            parallel_tries,
            drain_grace_ms,
            routers,
            memory_mb,
            sockets,
            ..
        } = self;
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"peers":[],
"settings":{{"Clients":{{"MarksRetry":true}},"Discovery":"on_request","Family":"llm",
"FamilyInfo":{{"AimUsPer1000PromptTokens":[60000.0,30000.0],"Resume":{resume},"TokenAimNs":[80000000,80000000]}},
"Kinds":["m1"],
"Limits":{{"Cancel":true,"ConnectTimeoutNs":150000000,"IdleCloseNs":5000000000,"MaxRetryAfterNs":2000000000,"MostHeld":32393,
"ParallelTries":{parallel_tries},"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":4}},
"Me":{number},"MyZone":0,"OverShareWorth":0.2,
"Profiles":[{{"DeadlineNs":4000000000,"Effect":"{effect}","GoalTimeNs":1200000000,"Group":"{group}","LateShare":0.2,"Name":"chat","Stream":true,"WindowNs":5000000000,"Worth":2.0}},
{{"DeadlineNs":6000000000,"Effect":"pure","GoalTimeNs":1500000000,"Group":"all","LateShare":0.3,"Name":"belege","Stream":true,"WindowNs":5000000000,"Worth":5.0}}],
"ReplicasOfMe":{routers},"Report":{{"Fields":["fail_rate","lat_ms","q"],"Via":"answers"}},
"Rules":{{"AnswerSlackNs":16000000,"ColdNs":23000000000,"ColdShare":0.15,"DrainGraceNs":{drain_grace_ms}000000,"FallMultiple":2.5,"FallNs":2000000000,"MustAskInNs":10000000000}},
"Tenants":[{{"Fraction":0.62,"Name":"haendlerbund","QuotaPerS":190.0}},{{"Fraction":0.38,"Name":"grenzstellen","QuotaPerS":50.0}}],
"Tier":0,"Tiers":["sprachmodell"],"Weights":"none","WorthBy":"work","Zones":[{}]}}}}"#,
            zones.join(",")
        )
    }
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.map(str::to_string).ok_or_else(|| io::Error::other("the deploy file has no run command"))
}

static LAST_ROUTER: AtomicU64 = AtomicU64::new(0);

/// A router process. It is killed, and its folder removed, when this is dropped.
pub struct Router {
    pub address: SocketAddr,
    process: Mutex<Child>,
    pid: u32,
    folder: PathBuf,
}

impl Router {
    /// Starts a router as the platform does and waits until `GET /up` answers 200. The current folder has to be the root
    /// of the repository.
    pub fn start(settings: &Settings, discovery: SocketAddr) -> io::Result<Router> {
        let root = std::env::current_dir()?;
        let number = LAST_ROUTER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("tallypin-review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let address = router_address(number)?;
        let seed = std::time::UNIX_EPOCH.elapsed().map_err(io::Error::other)?.as_nanos() as u64;
        std::fs::write(folder.join("config.json"), settings.json(number, address, discovery, seed))?;
        let log = File::create(folder.join("log"))?;
        let process = Command::new("/bin/sh")
            .args(["-c", &run_command(&root)?])
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("PROXY_NAME", format!("n{number}"))
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let router = Router { address, pid: process.id(), process: Mutex::new(process), folder };
        let started = Instant::now();
        while !router.is_up() {
            if started.elapsed() > READY_LIMIT || router.has_exited() {
                let log = std::fs::read_to_string(router.folder.join("log")).unwrap_or_default();
                return Err(io::Error::other(format!("the router is not ready: {log}")));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(router)
    }

    /// Starts several routers at once and waits until all are ready.
    pub fn start_all(count: usize, settings: &Settings, discovery: SocketAddr) -> io::Result<Vec<Router>> {
        let starting: Vec<_> = (0..count)
            .map(|_| {
                let settings = settings.clone();
                thread::spawn(move || Router::start(&settings, discovery))
            })
            .collect();
        let failed = || io::Error::other("a router could not be started");
        starting.into_iter().map(|router| router.join().map_err(|_| failed())?).collect()
    }

    fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        sent.and_then(|()| read_message(&mut BufReader::new(stream)))
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn has_exited(&self) -> bool {
        !matches!(self.process.lock().unwrap().try_wait(), Ok(None))
    }

    /// Sends a signal by its name, to this process alone.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid)]).status().map(drop)
    }

    /// Kills the process, as the platform does.
    pub fn kill(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }

    /// The memory that the process holds now, in KiB; `None` once it has ended.
    pub fn memory_kib(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---- Clients ----

static LAST_REQUEST: AtomicU64 = AtomicU64::new(0);

/// A request in the platform's form, with a new id.
pub struct Request {
    pub id: String,
    pub bytes: Vec<u8>,
}

/// Makes a request of the class `chat` with a body of about `body_size` bytes, for at most 200 tokens.
pub fn chat_request(body_size: usize, deadline: Duration) -> Request {
    chat_request_for(body_size, deadline, 200)
}

/// Makes a request of the class `chat` with a body of about `body_size` bytes, for at most `max_tokens` tokens.
pub fn chat_request_for(body_size: usize, deadline: Duration, max_tokens: usize) -> Request {
    let number = LAST_REQUEST.fetch_add(1, Ordering::SeqCst) + 1;
    let id = format!("{number:016x}");
    let text = "x".repeat(body_size.saturating_sub(100));
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{max_tokens},\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Owner: haendlerbund\r\nReq-Key: {number:08x}\r\nReq-Deadline-Ms: {}\r\nReq-Extra: prompt_len={},max_out={max_tokens}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len() / 4,
        body.len()
    );
    Request { id, bytes: [head.into_bytes(), body.into_bytes()].concat() }
}

/// Sends a request on a new connection and waits for its answer.
pub fn ask(router: SocketAddr, request: &Request, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect(router)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&request.bytes)?;
    read_message(&mut BufReader::new(stream))
}

/// A flag that threads of a case share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
