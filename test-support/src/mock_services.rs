//! Mock endpoint list services and replicas for routers that run as separate processes. They run on blocking
//! threads that end when their handles are dropped.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use tokio::net::TcpSocket;

/// Interval of heartbeats on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// An address that the system chose and gives to no other process while this lives. The socket is bound and never
/// listens, so a process can still listen there. Reserving with a listener that is then closed would not be
/// reliable: a child process that another thread is just starting keeps the listener open until it runs its
/// program.
pub struct ReservedAddress {
    /// The reserved address.
    pub addr: SocketAddr,
    _bound: TcpSocket,
}

impl ReservedAddress {
    /// Reserves an address on the given IP.
    pub fn on(ip: &str) -> std::io::Result<ReservedAddress> {
        let bound = TcpSocket::new_v4()?;
        bound.set_reuseaddr(true)?;
        bound.bind(SocketAddr::new(ip.parse().map_err(std::io::Error::other)?, 0))?;
        Ok(ReservedAddress { addr: bound.local_addr()?, _bound: bound })
    }
}

/// How a replica handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// The replica responds at once.
    RespondAtOnce,
    /// The replica responds after this time.
    RespondAfter(Duration),
    /// The replica responds with status 500.
    RespondWith500,
    /// The replica starts its response and finishes it once it has another behaviour.
    PauseMidStream,
}

struct ReplicaState {
    behaviour: Mutex<ReplicaBehaviour>,
    changed: Condvar,
    served: AtomicUsize,
    stopped: AtomicBool,
}

/// A mock replica.
pub struct MockReplica {
    /// The address of the replica.
    pub addr: SocketAddr,
    shared: Arc<ReplicaState>,
}

fn listen(
    ip: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
    stopped: impl Fn() -> bool + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("the system has a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if stopped() {
                return;
            }
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Reads a request and returns its head; the body is discarded.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
        head += &line;
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(head)
}

impl MockReplica {
    /// Starts a replica that responds at once.
    pub fn start(ip: &str) -> MockReplica {
        let shared = Arc::new(ReplicaState {
            behaviour: Mutex::new(ReplicaBehaviour::RespondAtOnce),
            changed: Condvar::new(),
            served: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let (for_connections, for_listener) = (shared.clone(), shared.clone());
        let serve = move |stream| drop(serve_replica(stream, &for_connections));
        MockReplica { addr: listen(ip, serve, move || for_listener.stopped.load(Ordering::SeqCst)), shared }
    }

    /// Sets the behaviour of the replica.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        *self.shared.behaviour.lock().expect("no thread panics while it holds the lock") = behaviour;
        self.shared.changed.notify_all();
    }

    /// Returns the number of requests received so far.
    pub fn requests_received(&self) -> usize {
        self.shared.served.load(Ordering::SeqCst)
    }
}

impl Drop for MockReplica {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.set_behaviour(ReplicaBehaviour::RespondAtOnce);
        let _ = TcpStream::connect(self.addr);
    }
}

fn serve_replica(mut stream: TcpStream, shared: &ReplicaState) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while read_request(&mut reader).is_some() {
        shared.served.fetch_add(1, Ordering::SeqCst);
        let behaviour = *shared.behaviour.lock().expect("no thread panics while it holds the lock");
        match behaviour {
            ReplicaBehaviour::RespondWith500 => {
                stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            ReplicaBehaviour::RespondAfter(time) => thread::sleep(time),
            ReplicaBehaviour::RespondAtOnce | ReplicaBehaviour::PauseMidStream => {}
        }
        let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let first = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Grüß Gott\"},\"finish_reason\":null}]}\n\n";
        stream.write_all((head.to_string() + &event(first)).as_bytes())?;
        let unfinished = shared.behaviour.lock().expect("no thread panics while it holds the lock");
        drop(shared.changed.wait_while(unfinished, |d| *d == ReplicaBehaviour::PauseMidStream));
        let last = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        stream.write_all((event(last) + "0\r\n\r\n").as_bytes())?;
    }
    Ok(())
}

struct ListState {
    version_and_text: Mutex<(u64, String)>,
    changed: Condvar,
    /// Whether the service sends nothing, neither on open watches nor on new calls.
    silent: AtomicBool,
    stopped: AtomicBool,
}

impl ListState {
    fn wait_while_silent(&self) {
        let list = self.version_and_text.lock().expect("no thread panics while it holds the lock");
        let silent = |_: &mut (u64, String)| {
            self.silent.load(Ordering::SeqCst) && !self.stopped.load(Ordering::SeqCst)
        };
        drop(self.changed.wait_while(list, silent).expect("no thread panics while it holds the lock"));
    }
}

/// A mock endpoint list service.
pub struct MockEndpointList {
    /// The address of the service.
    pub addr: SocketAddr,
    shared: Arc<ListState>,
}

impl MockEndpointList {
    /// Starts a service with these rows, each one a JSON object.
    pub fn start(ip: &str, rows: &[String]) -> MockEndpointList {
        let shared = Arc::new(ListState {
            version_and_text: Mutex::default(),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let (for_connections, for_listener) = (shared.clone(), shared.clone());
        let serve = move |stream| drop(serve_list(stream, &for_connections));
        let list = MockEndpointList {
            addr: listen(ip, serve, move || for_listener.stopped.load(Ordering::SeqCst)),
            shared,
        };
        list.publish(rows);
        list
    }

    /// Replaces the rows of the list and sends the new list on all watches.
    pub fn publish(&self, rows: &[String]) {
        let mut list = self.shared.version_and_text.lock().expect("no thread panics while it holds the lock");
        let version = list.0 + 1;
        *list =
            (version, format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", rows.join(",")));
        self.shared.changed.notify_all();
    }

    /// Sets whether the service stays silent, whatever happens to its list.
    pub fn set_silent(&self, silent: bool) {
        // The lock keeps a watch from missing the notification between its check and its wait.
        let _guard = self.shared.version_and_text.lock().expect("no thread panics while it holds the lock");
        self.shared.silent.store(silent, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }
}

impl Drop for MockEndpointList {
    fn drop(&mut self) {
        {
            let _guard =
                self.shared.version_and_text.lock().expect("no thread panics while it holds the lock");
            self.shared.stopped.store(true, Ordering::SeqCst);
            self.shared.changed.notify_all();
        }
        let _ = TcpStream::connect(self.addr);
    }
}

fn serve_list(mut stream: TcpStream, shared: &ListState) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    if read_request(&mut reader).is_none() {
        return Ok(());
    }
    shared.wait_while_silent();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut sent_version = 0;
    while !shared.stopped.load(Ordering::SeqCst) {
        shared.wait_while_silent();
        let list = shared.version_and_text.lock().expect("no thread panics while it holds the lock");
        let (list, _) = shared
            .changed
            .wait_timeout_while(list, HEARTBEAT_INTERVAL, |p| p.0 == sent_version)
            .expect("no thread panics while it holds the lock");
        let line = if list.0 == sent_version { "\n".to_string() } else { list.1.clone() };
        sent_version = list.0;
        drop(list);
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
    }
    Ok(())
}
