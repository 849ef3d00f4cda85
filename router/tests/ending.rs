//! The last steps of the router's end: what waits is answered, what is still read is refused unsent, and nobody keeps the
//! listener open.
#![allow(missing_docs)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use tallypin::api::{Effect, RequestId};
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tallypin_router::shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const MS: Duration = Duration::from_millis(1);

/// Guards against a request that is read whole after the last answers were given, and sent on: the kill would find it.
#[test]
fn what_is_read_after_the_last_answers_is_refused_unsent() {
    run(async {
        for (front, status) in [(0, 503), (1, 529)] {
            let node = Node::new(Chat).await;
            let router = Router::new(Chat, &[&node], |l| {
                (l.shutdown_grace, l.forwarding_end_after_stop) = (5 * MS, 60 * MS)
            })
            .await;
            let (addr, request) = fronts(&router)[front];
            let request = request();
            let (head, rest) = request.split_at(request.len() / 2);
            let mut client = Client::to(addr).await;
            client.send(head).await;
            let components = router.components.clone();
            let end = spawn_local(async move { shutdown::drain(&components).await });
            router.components.lifecycle.wait_for(Stage::Rejecting).await;
            client.send(rest).await;
            assert_eq!(client.answer().await.0, status, "front {front}");
            assert_eq!(node.so_far(), (0, 0), "front {front}: nothing was sent on");
            drop(client);
            end.await.unwrap();
        }
    });
}

/// Guards against a listener that stays open for as long as a crowd connects: requests would be taken up to the kill.
#[test]
fn a_crowd_that_connects_on_and_on_does_not_keep_the_listener_open() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| {
            (l.max_clients, l.max_rejected_clients) = (20, 4);
            (l.shutdown_grace, l.close_linger) = (50 * MS, 20 * MS);
        })
        .await;
        let (addr, over) = (router.addr, Arc::new(AtomicBool::new(false)));
        let (stops, connects) = (over.clone(), Arc::new(AtomicBool::new(false)));
        let began = connects.clone();
        let crowd = std::thread::spawn(move || {
            let mut idle = std::collections::VecDeque::new();
            while !stops.load(Ordering::SeqCst) {
                idle.extend(std::net::TcpStream::connect(addr).ok());
                if idle.len() > 60 {
                    began.store(true, Ordering::SeqCst);
                    idle.pop_front();
                }
            }
        });
        until(|| connects.load(Ordering::SeqCst)).await;
        let components = router.components.clone();
        let end = spawn_local(async move { shutdown::drain(&components).await });
        router.components.lifecycle.wait_for(Stage::Closing).await;
        let closing = Instant::now();
        // The crowd goes on; the system refuses who connects once the listener is gone.
        while TcpStream::connect(addr).await.is_ok() {
            assert!(closing.elapsed() < 2000 * MS, "the listener is open");
            tokio::time::sleep(MS).await;
        }
        over.store(true, Ordering::SeqCst);
        crowd.join().unwrap();
        end.await.unwrap();
    });
}

/// Guards against a stream that is cut where its client does not ask for the rest: the kill may come after its end.
#[test]
fn a_late_stream_goes_on_past_the_last_answers_where_clients_do_not_ask_for_the_rest() {
    run(async {
        for resume in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut config = config();
            config.deployment.resumes_streams = resume;
            let l = &mut config.limits;
            (
                l.shutdown_grace,
                l.lone_router_shutdown_grace,
                l.late_arrival_after_stop,
                l.forwarding_end_after_stop,
            ) = (100 * MS, 100 * MS, Duration::ZERO, 150 * MS);
            let router = Router::by(config, Chat, &[], None).await;
            router.list([row("s-1", listener.local_addr().unwrap(), "active")]);
            let mut client = Client::to(router.addr).await;
            let components = router.components.clone();
            let end = spawn_local(async move { shutdown::drain(&components).await });
            router.components.lifecycle.wait_for(Stage::Grace).await;
            tokio::time::sleep(MS).await;
            client.send(&platform("", "{}")).await;
            let mut node = asked(&listener).await;
            node.send(&(HEAD.to_string() + &chunk(CHAT[0]))).await;
            router.components.lifecycle.wait_for(Stage::Rejecting).await;
            tokio::time::sleep(5 * MS).await;
            let rest: String = CHAT[1..].iter().map(|event| chunk(event)).collect();
            let _ = node.stream.write_all((rest + "0\r\n\r\n").as_bytes()).await;
            let mut read = Vec::new();
            client.stream.read_to_end(&mut read).await.unwrap();
            assert_eq!(read.ends_with(b"0\r\n\r\n"), !resume, "asked for again: {resume}");
            drop(client);
            end.await.unwrap();
        }
    });
}

/// Guards against advice on when to come back, given for what may have run.
#[test]
fn what_may_have_run_and_is_late_fails_without_advice_to_come_back() {
    run(async {
        for (front, wait) in [(0, "Req-Deadline-Ms: 40\r\n"), (1, "x-deadline-ms: 40\r\n")] {
            let node = Node::new(Chat).await;
            node.plan(&[Fault::Mute]);
            let mut config = config();
            config.deployment.decisions.classes.iter_mut().for_each(|c| c.effect = Effect::NotIdempotent);
            let router = Router::by(config, Chat, &[&node], None).await;
            let mut client = Client::to(fronts(&router)[front].0).await;
            let request = if front == 0 { platform(wait, "{}") } else { messages(wait, MESSAGE) };
            client.send(&request).await;
            let (status, head, ..) = client.answer().await;
            assert_eq!((status, field(&head, "retry-after")), (504, None), "front {front}: {head}");
        }
    });
}

/// Guards against a connection that closes without a word under a request that has been sent on: its client would take it
/// for unread, and send it again.
#[test]
fn a_stream_that_is_cut_before_anything_of_it_was_passed_on_is_an_error() {
    run(async {
        for (front, status) in [(0, 500), (1, 200)] {
            let node = Node::new(Chat).await;
            node.plan(&[Fault::Mute]);
            let router = Router::new(Chat, &[&node], |_| {}).await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::to(addr).await;
            client.send(&request()).await;
            node.next_request().await;
            // The attempt has told the core of its first event, and not yet its client's front.
            router.components.with(|core, now| assert!(core.first_event(now, RequestId(1), 0)));
            router.components.with(|core, now| core.answer_for_shutdown(now, Some(0)));
            let (got, _, body, _) = client.answer().await;
            assert_eq!(got, status, "front {front}");
            assert!(front == 0 || body.contains("event: error"), "front {front}: {body}");
        }
    });
}
