//! A node list service and model nodes for routers that run as processes of their own: blocking threads, gone with their
//! handles.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use tokio::net::TcpSocket;

/// A watch that has nothing to tell gives a sign of life so often.
const SIGN: Duration = Duration::from_millis(300);

/// An address that the system picks and gives nobody else while this lives. It is bound and never listens, so a process
/// can still listen there; a listener that was closed in time could not be told from one: a child that another thread is
/// just starting holds it open until it runs its program.
pub struct Reserved {
    /// Where.
    pub at: SocketAddr,
    _bound: TcpSocket,
}

impl Reserved {
    /// On this IP.
    pub fn on(ip: &str) -> std::io::Result<Reserved> {
        let bound = TcpSocket::new_v4()?;
        bound.set_reuseaddr(true)?;
        bound.bind(SocketAddr::new(ip.parse().map_err(std::io::Error::other)?, 0))?;
        Ok(Reserved { at: bound.local_addr()?, _bound: bound })
    }
}

/// What a model node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Does {
    /// Answers at once.
    Answers,
    /// Answers after so long.
    Waits(Duration),
    /// Answers 500.
    Fails,
    /// Begins its answer and goes on once it is told to do something else.
    Holds,
}

struct Shared {
    does: Mutex<Does>,
    news: Condvar,
    served: AtomicUsize,
    over: AtomicBool,
}

/// A model node.
pub struct Node {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

fn listen(
    ip: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
    over: impl Fn() -> bool + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    let at = listener.local_addr().expect("it is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if over() {
                return;
            }
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    at
}

/// The head of a request, its body read and left.
fn request(from: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
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
    from.read_exact(&mut vec![0; length]).ok()?;
    Some(head)
}

impl Node {
    /// One that answers at once.
    pub fn start(ip: &str) -> Node {
        let shared = Arc::new(Shared {
            does: Mutex::new(Does::Answers),
            news: Condvar::new(),
            served: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let (for_all, ends) = (shared.clone(), shared.clone());
        let serve = move |stream| drop(node(stream, &for_all));
        Node { at: listen(ip, serve, move || ends.over.load(Ordering::SeqCst)), shared }
    }

    /// From now on it does this.
    pub fn does(&self, does: Does) {
        *self.shared.does.lock().expect("nobody panics with it") = does;
        self.shared.news.notify_all();
    }

    /// Requests that have come so far.
    pub fn served(&self) -> usize {
        self.shared.served.load(Ordering::SeqCst)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.does(Does::Answers);
        let _ = TcpStream::connect(self.at);
    }
}

fn node(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream.try_clone()?);
    while request(&mut from).is_some() {
        shared.served.fetch_add(1, Ordering::SeqCst);
        let does = *shared.does.lock().expect("nobody panics with it");
        match does {
            Does::Fails => {
                stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            Does::Waits(time) => thread::sleep(time),
            Does::Answers | Does::Holds => {}
        }
        let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let first = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Grüß Gott\"},\"finish_reason\":null}]}\n\n";
        stream.write_all((head.to_string() + &event(first)).as_bytes())?;
        let held = shared.does.lock().expect("nobody panics with it");
        drop(shared.news.wait_while(held, |d| *d == Does::Holds));
        let last = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
        stream.write_all((event(last) + "0\r\n\r\n").as_bytes())?;
    }
    Ok(())
}

struct Told {
    page: Mutex<(u64, String)>,
    news: Condvar,
    /// Nothing is said, to whoever watches and whoever calls.
    silent: AtomicBool,
    over: AtomicBool,
}

impl Told {
    fn wait_while_silent(&self) {
        let page = self.page.lock().expect("nobody panics with it");
        let silent =
            |_: &mut (u64, String)| self.silent.load(Ordering::SeqCst) && !self.over.load(Ordering::SeqCst);
        drop(self.news.wait_while(page, silent).expect("nobody panics with it"));
    }
}

/// A node list service.
pub struct List {
    /// Where it listens.
    pub at: SocketAddr,
    told: Arc<Told>,
}

impl List {
    /// With these rows, JSON each.
    pub fn start(ip: &str, rows: &[String]) -> List {
        let told = Arc::new(Told {
            page: Mutex::default(),
            news: Condvar::new(),
            silent: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let (for_all, ends) = (told.clone(), told.clone());
        let serve = move |stream| drop(tell(stream, &for_all));
        let list = List { at: listen(ip, serve, move || ends.over.load(Ordering::SeqCst)), told };
        list.set(rows);
        list
    }

    /// The list is this from now on, and all that watch it are told.
    pub fn set(&self, rows: &[String]) {
        let mut page = self.told.page.lock().expect("nobody panics with it");
        let version = page.0 + 1;
        *page =
            (version, format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", rows.join(",")));
        self.told.news.notify_all();
    }

    /// Says nothing from now on, whatever it is set to, or speaks again.
    pub fn silence(&self, silent: bool) {
        // Under the lock, so that nobody misses the word between a look and a wait.
        let _page = self.told.page.lock().expect("nobody panics with it");
        self.told.silent.store(silent, Ordering::SeqCst);
        self.told.news.notify_all();
    }
}

impl Drop for List {
    fn drop(&mut self) {
        {
            let _page = self.told.page.lock().expect("nobody panics with it");
            self.told.over.store(true, Ordering::SeqCst);
            self.told.news.notify_all();
        }
        let _ = TcpStream::connect(self.at);
    }
}

fn tell(mut stream: TcpStream, told: &Told) -> std::io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    if request(&mut from).is_none() {
        return Ok(());
    }
    told.wait_while_silent();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut last = 0;
    while !told.over.load(Ordering::SeqCst) {
        told.wait_while_silent();
        let page = told.page.lock().expect("nobody panics with it");
        let (page, _) =
            told.news.wait_timeout_while(page, SIGN, |p| p.0 == last).expect("nobody panics with it");
        let line = if page.0 == last { "\n".to_string() } else { page.1.clone() };
        last = page.0;
        drop(page);
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
    }
    Ok(())
}
