//! The fronts: what clients speak, turned into core requests, and outcomes turned back. Here stands what
//! they share: accepting, reading a request, refusing what is not one.

pub mod messages;
pub mod platform;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
pub use messages::MessagesFront;
use tallypin::api::Nanos;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, timeout_at};

use crate::clients::{Client, IdleGuard};
use crate::core::FinalAnswer;
use crate::health;
use crate::host::{HeldBody, Host, Piece, Ticket};
use crate::http::{reason, Bad, Body, Framing, Head, Part, Start, Wire};
use crate::keep_alive::{KeepAlive, Rest, Then};
use crate::outward::{Door, Origin};
use crate::shutdown::Stage;

/// A front.
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The messages API.
    Messages(Box<MessagesFront>),
}

/// A request as it was read.
pub struct Incoming {
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The head.
    pub head: Head,
    /// The body.
    pub body: HeldBody,
    /// When its first byte was seen.
    pub since: Nanos,
    /// Where its client is, where a balancer says so.
    pub client: Option<SocketAddr>,
}

impl Incoming {
    /// The path without the query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|b| *b == b'?').next().unwrap_or_default()
    }

    /// The client's idempotency key, if it sent one.
    pub fn idempotency_key(&self) -> Result<Option<Bytes>, Bad> {
        Ok(self.head.one("idempotency-key")?.cloned())
    }

    /// What is left at `now` of a wait that began when the client sent.
    pub fn left(&self, now: Nanos, wait: Nanos) -> Nanos {
        wait.saturating_sub(now.saturating_sub(self.since))
    }
}

/// Why a request gets no further than its front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It is no request that could be taken.
    Bad(Bad),
    /// There is no such thing here.
    NotFound,
    /// Not with this method.
    Method,
    /// The router holds as much as it can.
    Full,
    /// It did not come whole in time.
    Slow,
    /// It bears the name of another one.
    Twice,
}

impl Rejection {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Bad(Bad::Malformed) => 400,
            Rejection::Bad(Bad::LargeBody) => 413,
            Rejection::Bad(Bad::LargeHead) => 431,
            Rejection::Bad(Bad::Coding) => 501,
            Rejection::NotFound => 404,
            Rejection::Method => 405,
            Rejection::Full => 503,
            Rejection::Slow => 408,
            Rejection::Twice => 409,
        }
    }
}

impl From<Bad> for Rejection {
    fn from(bad: Bad) -> Self {
        Rejection::Bad(bad)
    }
}

/// Takes connections until the router closes.
pub async fn serve(host: Rc<Host>, listener: TcpListener, front: Front) {
    let front = Rc::new(front);
    tokio::select! {
        biased;
        // First, as a crowd that connects again and again would else keep the listener open to the end.
        () = parted(&host, Stage::Closing) => {}
        () = accept(&host, &listener, &front) => {}
    }
    // Whoever the machine has accepted already is not to be reset when the listener goes, as far as there is room.
    let most = host.limits.clients + host.limits.clients_refused;
    while host.clients.open() < most {
        match accepted_already(&listener).await {
            Some(stream) => begin(&host, stream, &front),
            None => return,
        }
    }
}

/// Takes connections. Ends never.
async fn accept(host: &Rc<Host>, listener: &TcpListener, front: &Rc<Front>) {
    let most = host.limits.clients + host.limits.clients_refused;
    loop {
        // Beyond this, connections wait where the machine holds them, and cost no descriptor.
        while host.clients.open() >= most {
            if !host.clients.room_is_coming() {
                host.clients.make_room();
            }
            host.clients.one_closed().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => begin(host, stream, front),
            // Out of descriptors, or the client was gone already: neither ends the service, nor holds up its end.
            Err(e) => {
                tracing::debug!(target: "front", why = %e, "a connection could not be taken");
                tokio::time::sleep(host.limits.accept_again).await;
            }
        }
    }
}

/// A connection that the machine has accepted and that waits here, if there is one.
async fn accepted_already(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = std::future::ready(()) => None,
    }
}

/// Begins to serve a connection.
fn begin(host: &Rc<Host>, stream: TcpStream, front: &Rc<Front>) {
    let (client, idle) = host.clients.enter();
    tokio::task::spawn_local(connection(host.clone(), client, idle, stream, front.clone()));
}

/// Waits until a connection that carries nothing is to close with the router, and long enough for what is under way to be
/// seen.
async fn parted(host: &Host, until: Stage) {
    host.drain.reached(until).await;
    tokio::time::sleep(host.limits.last_look).await;
}

/// Why a client connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    /// It did not say, as it had to, where its client is.
    NoOrigin,
    /// Its client ended it, between two requests.
    Ended,
    /// It rested for too long.
    Idle,
    /// Its room was wanted for others.
    RoomWanted,
    /// The router ends.
    Shutdown,
    /// Reading from it failed, or it ended within a request.
    ReadFailed(io::ErrorKind),
    /// Writing an answer failed.
    WriteFailed(io::ErrorKind),
    /// Its last answer said, or its client or the router wanted, that it is the last.
    Answered(Then),
}

async fn connection(host: Rc<Host>, client: Client, idle: IdleGuard, stream: TcpStream, front: Rc<Front>) {
    // Held until the connection has closed: one whose room is wanted counts as leaving until then, and nobody else is
    // closed for the room that it gives.
    let mut idle = Some(idle);
    let mut wire = Wire::new(stream);
    let cause = serve_requests(&host, &client, &mut idle, &mut wire, &front).await;
    tracing::debug!(target: "front", ?cause, stage = ?host.drain.stage(), "connection closes");
    match cause {
        CloseCause::NoOrigin | CloseCause::ReadFailed(_) | CloseCause::WriteFailed(_) => {}
        CloseCause::RoomWanted => linger(wire, host.limits.last_look).await,
        CloseCause::Ended | CloseCause::Idle | CloseCause::Shutdown | CloseCause::Answered(_) => {
            linger(wire, host.limits.linger).await
        }
    }
}

/// Serves one request after the other, until the connection is to be closed.
async fn serve_requests(
    host: &Rc<Host>,
    client: &Client,
    idle: &mut Option<IdleGuard>,
    wire: &mut Wire,
    front: &Front,
) -> CloseCause {
    let crowded = client.crowded;
    let origin = tokio::select! {
        biased;
        origin = host.outward.origin(front.door(), wire) => origin,
        () = room_wanted(idle) => return CloseCause::RoomWanted,
    };
    let Some(Origin { client: from }) = origin else { return CloseCause::NoOrigin };
    let mut keep_alive = KeepAlive::new(Instant::now(), crowded);
    loop {
        let rest = keep_alive.rest(&host.limits);
        if let Err(cause) = wait_for_request(host, idle, wire, rest).await {
            return cause;
        }
        *idle = None;
        let since = host.clock.at(wire.first_read());
        let begun = keep_alive.begins(Instant::now(), &host.limits);
        if let Some(pause) = begun.pause {
            tokio::time::sleep(pause).await;
        }
        let read = timeout_at(begun.whole_by.into(), read_request(host, wire, since));
        let request = read.await.unwrap_or(Ok(Err(Rejection::Slow)));
        wire.message_taken();
        let request = match request {
            Ok(request) => request.map(|r| Incoming { client: from, ..r }),
            Err(e) => return CloseCause::ReadFailed(e.kind()),
        };
        if let Err(rejection) = &request {
            tracing::debug!(target: "front", client = ?from, why = ?rejection, "no request that could be taken");
        }
        let refused = crowded || host.drain.stage() >= Stage::Refusing;
        let (keeps, then) = match request {
            Ok(r) if refused && !front.asks_health(&r) => {
                (false, front.reject(host, wire, Rejection::Full).await)
            }
            Ok(request) => (request.head.keeps(), front.answer(host, wire, request).await),
            Err(rejection) => (false, front.reject(host, wire, rejection).await),
        };
        let then = match then {
            Ok(then) => then,
            Err(e) => return CloseCause::WriteFailed(e.kind()),
        };
        if !keep_alive.answered(Instant::now(), then, keeps, host.drain.stage()) {
            return CloseCause::Answered(then);
        }
        *idle = Some(client.idle());
    }
}

/// Waits until the room of a connection that carries nothing is wanted for others.
async fn room_wanted(idle: &mut Option<IdleGuard>) {
    match idle {
        Some(idle) => idle.room_wanted().await,
        None => std::future::pending().await,
    }
}

/// Waits until a request begins; or else why the connection is to be closed instead.
async fn wait_for_request(
    host: &Host,
    idle: &mut Option<IdleGuard>,
    wire: &mut Wire,
    rest: Rest,
) -> Result<(), CloseCause> {
    if !wire.buf.is_empty() {
        // One request in a turn, however many a client sends ahead: the others' events would else wait.
        tokio::task::yield_now().await;
        return Ok(());
    }
    wire.rest();
    let read = tokio::select! {
        biased;
        read = wire.more() => read,
        () = parted(host, rest.until) => return Err(CloseCause::Shutdown),
        // A request may have arrived since the event loop last looked at the sockets.
        () = room_wanted(idle) => match wire.arrived().await {
            Some(read) => read,
            None => return Err(CloseCause::RoomWanted),
        },
        () = tokio::time::sleep(rest.limit) => return Err(CloseCause::Idle),
    };
    match read {
        Ok(true) => Ok(()),
        _ => Err(CloseCause::Ended),
    }
}

async fn read_request(host: &Host, wire: &mut Wire, since: Nanos) -> io::Result<Result<Incoming, Rejection>> {
    let limits = &host.limits;
    let head = loop {
        match Head::request(&mut wire.buf, limits) {
            Ok(Some(head)) => break head,
            Ok(None) => {
                if !wire.more().await? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Err(bad) => return Ok(Err(bad.into())),
        }
    };
    let Start::Request(method, target) = head.start.clone() else { return Ok(Err(Bad::Malformed.into())) };
    let framing = match head.framing() {
        Ok(framing) => framing,
        Err(bad) => return Ok(Err(bad.into())),
    };
    if head.current && !matches!(head.one("host"), Ok(Some(_))) {
        return Ok(Err(Bad::Malformed.into()));
    }
    let expected = match framing {
        Framing::Length(n) if n > limits.body as u64 => return Ok(Err(Bad::LargeBody.into())),
        Framing::Length(n) => n as usize,
        Framing::Chunked => limits.body,
        Framing::Unstated => 0,
    };
    // What has come is counted as it comes: many slow bodies at once would else be more than the memory
    // holds, and what was only announced would leave no room for those that send.
    let Some(mut reserved) = host.reserve(0) else { return Ok(Err(Rejection::Full)) };
    if head.expects() && wire.buf.is_empty() {
        wire.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
    }
    let bytes = if framing == Framing::Chunked {
        let (mut body, mut all) = (Body::new(framing, limits.body as u64), Vec::new());
        loop {
            match body.next(&mut wire.buf) {
                Ok(Some(Part::Bytes(data))) if all.len() + data.len() > limits.body => {
                    return Ok(Err(Bad::LargeBody.into()))
                }
                Ok(Some(Part::Bytes(data))) if reserved.grow(all.len() + data.len()) => {
                    all.extend_from_slice(&data);
                }
                Ok(Some(Part::Bytes(_))) => return Ok(Err(Rejection::Full)),
                Ok(Some(Part::End)) => break Bytes::from(all),
                Ok(None) if wire.more().await? => {}
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(bad) => return Ok(Err(bad.into())),
            }
        }
    } else {
        while reserved.grow(wire.buf.len().min(expected)) && wire.buf.len() < expected {
            if !wire.more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        if wire.buf.len() < expected || !reserved.grow(expected) {
            return Ok(Err(Rejection::Full));
        }
        wire.buf.split_to(expected).freeze()
    };
    Ok(Ok(Incoming { method, target, head, body: HeldBody { bytes, reserved }, since, client: None }))
}

/// Closes a connection so that what was written last still arrives, a part of a stream that broke included: what the
/// client goes on sending is read for a while and dropped, as an outright close would reset the connection under the
/// answer.
pub async fn linger(mut wire: Wire, limit: Duration) {
    use tokio::io::AsyncWriteExt;
    let _ = wire.stream.shutdown().await;
    let rest = async {
        for _ in 0..64 {
            wire.buf.clear();
            if !matches!(wire.more().await, Ok(true)) {
                break;
            }
        }
    };
    let _ = timeout(limit, rest).await;
}

/// What a waiting client's front has to deal with next.
pub enum Next {
    /// Something of the answer.
    Piece(Piece),
    /// The client has left.
    Left,
}

/// Waits for the next piece of an answer, and notices when the client leaves.
pub async fn next(host: &Host, wire: &mut Wire, ticket: &mut Ticket) -> Next {
    loop {
        // A client that sends on before it has its answer is read only so far; its end is seen all the same.
        let room = wire.buf.len() < host.limits.head;
        let sends_on = async {
            match room {
                true => matches!(wire.more().await, Ok(true)),
                false => {
                    wire.ended(host.limits.end_look).await;
                    false
                }
            }
        };
        tokio::select! {
            biased;
            // A stream that was ended here leaves no word.
            piece = ticket.next() => {
                return Next::Piece(piece.unwrap_or(Piece::Answer(FinalAnswer::Broken)))
            }
            sends_on = sends_on => if !sends_on {
                return Next::Left;
            },
        }
    }
}

/// Writes part of an answer; a client that takes nothing for too long counts as gone.
pub async fn write(host: &Host, wire: &mut Wire, parts: impl Buf) -> io::Result<()> {
    timeout(host.limits.write, wire.write(parts)).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// Writes one chunk in the same way.
pub async fn write_chunk(host: &Host, wire: &mut Wire, head: Bytes, data: Bytes) -> io::Result<()> {
    let size = Bytes::from(format!("{:x}\r\n", data.len()));
    write(host, wire, head.chain(size).chain(data).chain(&b"\r\n"[..])).await
}

/// Writes a whole short answer.
pub async fn write_whole(
    host: &Host,
    wire: &mut Wire,
    status: u16,
    fields: &str,
    body: Bytes,
) -> io::Result<()> {
    let carried = carried(host);
    let (why, length) = (reason(status), body.len());
    let head = format!("HTTP/1.1 {status} {why}\r\n{fields}{carried}Content-Length: {length}\r\n\r\n");
    write(host, wire, Bytes::from(head).chain(body)).await
}

/// The fields that any answer carries now: what balancers are told with it, and whether it is the last on its
/// connection. On the platform there are none before the end.
fn carried(host: &Host) -> String {
    let told = host.outward.fields();
    let last = if host.drain.stage() >= Stage::Parting { "Connection: close\r\n" } else { "" };
    if told.is_empty() {
        return last.into();
    }
    format!("{told}{last}")
}

/// The head of a stream, the first time; nothing after that. `head` ends with its blank line.
pub fn opening(host: &Host, unsaid: &mut bool, head: &'static [u8], fields: &str) -> Bytes {
    if !std::mem::take(unsaid) {
        return Bytes::new();
    }
    let carried = carried(host);
    if carried.is_empty() && fields.is_empty() {
        return Bytes::from_static(head);
    }
    let before = &head[..head.len() - 2];
    [before, fields.as_bytes(), carried.as_bytes(), b"\r\n"].concat().into()
}

/// How long to stay away, as a field of a refusal: the module's advice, in seconds.
pub fn retry_after(host: &Host, advice: Nanos) -> f64 {
    advice.max(host.limits.come_back.as_nanos() as Nanos) as f64 / 1e9
}

impl Front {
    fn door(&self) -> Door {
        match self {
            Front::Platform => Door::Platform,
            Front::Messages(_) => Door::Messages,
        }
    }

    /// Whether a request asks for the router's state.
    fn asks_health(&self, request: &Incoming) -> bool {
        let here = match self {
            Front::Platform => request.path() == b"/up",
            Front::Messages(_) => matches!(request.path(), b"/up" | b"/healthz"),
        };
        here && matches!(&request.method[..], b"GET" | b"HEAD")
    }

    async fn answer(&self, host: &Rc<Host>, wire: &mut Wire, request: Incoming) -> io::Result<Then> {
        if self.asks_health(&request) {
            let bodiless = &request.method[..] == b"HEAD";
            return health::answer(host, wire, bodiless).await.map(|()| Then::Next);
        }
        match self {
            Front::Platform => platform::answer(host, wire, request).await,
            Front::Messages(front) => front.answer(host, wire, request).await,
        }
    }

    async fn reject(&self, host: &Host, wire: &mut Wire, why: Rejection) -> io::Result<Then> {
        match self {
            Front::Platform => platform::reject(host, wire, why).await,
            Front::Messages(_) => messages::reject(host, wire, why).await,
        }
    }
}
