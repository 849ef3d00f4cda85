//! Clients that ask routers, and replicas that answer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::plan::CLIENT_DEADLINE;
use super::{Trial, TAIL};
use crate::wire::Wire;

/// The pause between two requests of a router's client.
const PAUSE: Duration = Duration::from_millis(80);

/// Asks one router again and again.
pub(super) async fn run_client(trial: Rc<Trial>, router: usize, front: SocketAddr) {
    let mut wire = None;
    for number in 0u64.. {
        sleep(PAUSE).await;
        let connection = match wire.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(front).await {
                Ok(stream) => Wire::new(stream),
                Err(_) => continue,
            },
        };
        wire = ask(connection, router, number).await;
        if trial.began.elapsed() > trial.plan.all_notified_at() + 2 * TAIL {
            return;
        }
    }
}

/// Sends a request; gives the connection back if it can be used again.
async fn ask(mut wire: Wire, router: usize, number: u64) -> Option<Wire> {
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {router}-{number}\r\nReq-Kind: chat\r\n\
         Req-Owner: t\r\nReq-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        CLIENT_DEADLINE.as_millis()
    );
    let exchange = async {
        wire.write(message.as_bytes()).await?;
        let head = wire.head().await?;
        wire.body(&head).await
    };
    let answered = matches!(timeout(CLIENT_DEADLINE, exchange).await, Ok(Ok(_)));
    answered.then_some(wire)
}

pub(super) async fn run_replica(trial: Rc<Trial>, number: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(trial.clone(), number, Wire::new(stream)));
    }
}

/// Serves on as a draining replica does: what it gets is noted and answered.
async fn serve(trial: Rc<Trial>, replica: usize, mut wire: Wire) -> io::Result<()> {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    let last =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{head}{}{}0\r\n\r\n", chunk(event), chunk(last));
    loop {
        let head = wire.head().await?;
        let at = trial.began.elapsed();
        wire.body(&head).await?;
        let router = head.field("req-id").and_then(|id| id.split('-').next()?.parse().ok());
        trial.received.borrow_mut().push((replica, router.unwrap_or(usize::MAX), at));
        wire.write(answer.as_bytes()).await?;
    }
}
