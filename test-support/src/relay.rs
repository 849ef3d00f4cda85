//! A relay between two processes: passes bytes on, holds them, or cuts the connections, either way for itself. It stands
//! for a link that stalls, is cut, or carries one way only. Threads, as the processes beside it are.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a thread looks whether the link has changed.
const LOOK: Duration = Duration::from_millis(5);

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Passes all on.
    Whole,
    /// Accepts, and carries nothing; what was sent arrives once it is whole again.
    Stalled,
    /// Carries what goes out, and nothing back.
    OneWay,
    /// Ends what is open, and every new connection at once.
    Cut,
}

/// A relay, gone with this.
pub struct Relay {
    /// Where it listens.
    pub at: SocketAddr,
    link: Arc<AtomicU8>,
    over: Arc<AtomicBool>,
}

fn link_of(code: &AtomicU8) -> Link {
    [Link::Whole, Link::Stalled, Link::OneWay, Link::Cut][usize::from(code.load(Ordering::SeqCst)) % 4]
}

impl Relay {
    /// From an address that the system picks on this IP to another.
    pub fn start(ip: &str, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Relay { at: listener.local_addr()?, link: Arc::default(), over: Arc::default() };
        let (link, over) = (relay.link.clone(), relay.over.clone());
        thread::spawn(move || {
            for from in listener.incoming().map_while(Result::ok) {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let (link, over) = (link.clone(), over.clone());
                thread::spawn(move || carry(from, to, link, over));
            }
        });
        Ok(relay)
    }

    /// Changes the link, for what is open too.
    pub fn set(&self, link: Link) {
        self.link.store(link as u8, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.at); // Ends the accepting.
    }
}

fn carry(from: TcpStream, to: SocketAddr, link: Arc<AtomicU8>, over: Arc<AtomicBool>) {
    if link_of(&link) == Link::Cut {
        return;
    }
    let Ok(onward) = TcpStream::connect(to) else { return };
    let (Ok(back), Ok(out)) = (onward.try_clone(), from.try_clone()) else { return };
    let (link_back, over_back) = (link.clone(), over.clone());
    let returns = thread::spawn(move || pass(back, out, link_back, over_back, &[Link::Whole]));
    pass(from, onward, link, over, &[Link::Whole, Link::OneWay]);
    let _ = returns.join();
}

fn pass(mut from: TcpStream, mut to: TcpStream, link: Arc<AtomicU8>, over: Arc<AtomicBool>, open: &[Link]) {
    let _ = from.set_read_timeout(Some(LOOK));
    let mut bytes = [0; 16 << 10];
    while !over.load(Ordering::SeqCst) && link_of(&link) != Link::Cut {
        if !open.contains(&link_of(&link)) {
            thread::sleep(LOOK);
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
