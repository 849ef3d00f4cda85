//! A TCP relay between two processes that forwards bytes, holds them back, or cuts the connections, in both
//! directions or one. It simulates a link that stalls, is cut, or works in one direction only. It runs on blocking
//! threads, like the other mocks that serve router processes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
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

/// A relay that stops when this is dropped.
pub struct Relay {
    /// The address of the relay.
    pub addr: SocketAddr,
    link: Arc<AtomicU8>,
    stopped: Arc<AtomicBool>,
}

fn decode_link(code: &AtomicU8) -> Link {
    [Link::Open, Link::Stalled, Link::OneWay, Link::Cut][usize::from(code.load(Ordering::SeqCst)) % 4]
}

impl Relay {
    /// Starts a relay to `to` on an address that the system picks on this IP.
    pub fn start(ip: &str, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Relay { addr: listener.local_addr()?, link: Arc::default(), stopped: Arc::default() };
        let (link, stopped) = (relay.link.clone(), relay.stopped.clone());
        thread::spawn(move || {
            for from in listener.incoming().map_while(Result::ok) {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (link, stopped) = (link.clone(), stopped.clone());
                thread::spawn(move || relay_connection(from, to, link, stopped));
            }
        });
        Ok(relay)
    }

    /// Sets the state of the link, also for open connections.
    pub fn set_link(&self, link: Link) {
        self.link.store(link as u8, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr); // Wakes the accepting thread, which then ends.
    }
}

fn relay_connection(from: TcpStream, to: SocketAddr, link: Arc<AtomicU8>, stopped: Arc<AtomicBool>) {
    if decode_link(&link) == Link::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else { return };
    let (Ok(back), Ok(out)) = (server.try_clone(), from.try_clone()) else { return };
    let (link_back, stopped_back) = (link.clone(), stopped.clone());
    let back_forwarder = thread::spawn(move || forward(back, out, link_back, stopped_back, &[Link::Open]));
    forward(from, server, link, stopped, &[Link::Open, Link::OneWay]);
    let _ = back_forwarder.join();
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    link: Arc<AtomicU8>,
    stopped: Arc<AtomicBool>,
    forwarding: &[Link],
) {
    let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
    let mut bytes = [0; 16 << 10];
    while !stopped.load(Ordering::SeqCst) && decode_link(&link) != Link::Cut {
        if !forwarding.contains(&decode_link(&link)) {
            thread::sleep(CHECK_INTERVAL);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
