//! Clients that send requests to the routers, and replicas that respond.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::scenario::CLIENT_DEADLINE;
use super::{Run, EXTRA_RUN_TIME};
use crate::http_connection::HttpConnection;

/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(80);

/// Sends one router request after request.
pub(super) async fn run_client(run: Rc<Run>, router: usize, front: SocketAddr) {
    let mut idle = None;
    for number in 0u64.. {
        sleep(REQUEST_PAUSE).await;
        let connection = match idle.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(front).await {
                Ok(stream) => HttpConnection::new(stream),
                Err(_) => continue,
            },
        };
        idle = exchange(connection, router, number).await;
        if run.started.elapsed() > run.scenario.all_notified_at() + 2 * EXTRA_RUN_TIME {
            return;
        }
    }
}

/// Sends a request; returns the connection if it can be reused.
async fn exchange(mut connection: HttpConnection, router: usize, number: u64) -> Option<HttpConnection> {
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {router}-{number}\r\nReq-Kind: chat\r\n\
         Req-Owner: t\r\nReq-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        CLIENT_DEADLINE.as_millis()
    );
    let request = async {
        connection.write(message.as_bytes()).await?;
        let head = connection.read_head().await?;
        connection.skip_body(&head).await
    };
    let completed = matches!(timeout(CLIENT_DEADLINE, request).await, Ok(Ok(_)));
    completed.then_some(connection)
}

pub(super) async fn run_replica(run: Rc<Run>, number: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(run.clone(), number, HttpConnection::new(stream)));
    }
}

/// Serves requests even while draining, and records each.
async fn serve(run: Rc<Run>, replica: usize, mut connection: HttpConnection) -> io::Result<()> {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    let last =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{head}{}{}0\r\n\r\n", chunk(event), chunk(last));
    loop {
        let head = connection.read_head().await?;
        let at = run.started.elapsed();
        connection.skip_body(&head).await?;
        let router = head.field("req-id").and_then(|id| id.split('-').next()?.parse().ok());
        run.received.borrow_mut().push((replica, router.unwrap_or(usize::MAX), at));
        connection.write(answer.as_bytes()).await?;
    }
}
