//! A TCP relay between two processes that forwards bytes, holds them back, or cuts the connections, in both
//! directions or one. It simulates a link that stalls, is cut, or works in one direction only, and data that arrives long
//! after the process that sent it has ended. It runs on blocking threads, like the other mocks that serve router processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a thread checks whether the link has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The state of the simulated link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// The link forwards everything.
    Open,
    /// The link accepts connections and forwards nothing; what was sent arrives once it forwards again.
    Stalled,
    /// The link forwards bytes from the client to the server only.
    OneWay,
    /// The link closes its connections, and every new one at once.
    Cut,
}

/// State that the threads of a relay share.
#[derive(Default)]
struct Shared {
    link: AtomicU8,
    stopped: AtomicBool,
    /// Number of connections accepted so far, which numbers them from 0.
    accepted: AtomicUsize,
    /// What clients send on connections with a number below this is held back.
    held_below: AtomicUsize,
    /// Number of held connections on which the client has sent something.
    held_with_data: AtomicUsize,
    /// Number of pieces of data that the server has sent.
    replies: AtomicUsize,
}

impl Shared {
    fn link(&self) -> Link {
        [Link::Open, Link::Stalled, Link::OneWay, Link::Cut]
            [usize::from(self.link.load(Ordering::SeqCst)) % 4]
    }

    fn is_held(&self, connection: usize) -> bool {
        connection < self.held_below.load(Ordering::SeqCst)
    }

    /// Whether the relay has stopped or cuts its connections.
    fn is_cut(&self) -> bool {
        self.stopped.load(Ordering::SeqCst) || self.link() == Link::Cut
    }
}

/// A relay that stops when this is dropped.
pub struct Relay {
    /// The address of the relay.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to `to` on an address that the system picks on this IP.
    pub fn start(ip: &str, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Relay { addr: listener.local_addr()?, shared: Arc::default() };
        let shared = relay.shared.clone();
        thread::spawn(move || {
            for from in listener.incoming().map_while(Result::ok) {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let connection = shared.accepted.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                thread::spawn(move || relay_connection(from, to, connection, &shared));
            }
        });
        Ok(relay)
    }

    /// Sets the state of the link, also for open connections.
    pub fn set_link(&self, link: Link) {
        self.shared.link.store(link as u8, Ordering::SeqCst);
    }

    /// Holds back what clients send from now on over the connections open now, also after the clients have ended. Later
    /// connections are not held.
    pub fn hold_open_connections(&self) {
        self.shared.held_with_data.store(0, Ordering::SeqCst);
        self.shared.held_below.store(self.shared.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Returns the number of held connections on which the client has sent something since they are held.
    pub fn held_connections_with_data(&self) -> usize {
        self.shared.held_with_data.load(Ordering::SeqCst)
    }

    /// Returns the number of replies of the server so far, on all connections; one that arrives in pieces counts for each.
    pub fn reply_count(&self) -> usize {
        self.shared.replies.load(Ordering::SeqCst)
    }

    /// Forwards what was held back.
    pub fn release_held_connections(&self) {
        self.shared.held_below.store(0, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr); // Wakes the accepting thread, which then ends.
    }
}

fn relay_connection(from: TcpStream, to: SocketAddr, connection: usize, shared: &Shared) {
    if shared.link() == Link::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else { return };
    let (Ok(back), Ok(out)) = (server.try_clone(), from.try_clone()) else { return };
    thread::scope(|scope| {
        scope.spawn(|| {
            forward(back, out, shared, &[Link::Open], || {
                shared.replies.fetch_add(1, Ordering::SeqCst);
            });
        });
        let wait = || wait_while_held(connection, shared);
        forward(from, server, shared, &[Link::Open, Link::OneWay], wait);
    });
}

/// Waits with what a client has sent while its connection is held.
fn wait_while_held(connection: usize, shared: &Shared) {
    if shared.is_held(connection) {
        shared.held_with_data.fetch_add(1, Ordering::SeqCst);
    }
    while shared.is_held(connection) && !shared.is_cut() {
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Forwards bytes in one direction; `before_write` is called when some have been read, before they are written.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &Shared,
    forwarding: &[Link],
    before_write: impl Fn(),
) {
    let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
    let mut bytes = [0; 16 << 10];
    while !shared.is_cut() {
        if !forwarding.contains(&shared.link()) {
            thread::sleep(CHECK_INTERVAL);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => {
                before_write();
                if to.write_all(&bytes[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
