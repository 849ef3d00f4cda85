//! The messages API in front of model nodes of both dialects: the same fault script against each, and the
//! final tallies must be equal.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin_router::dialect::Dialect;

const BODY: &str = r#"{"model":"refund-chat","max_tokens":64,"stream":true,"system":"You help travellers.",
"messages":[{"role":"user","content":[{"type":"text","text":"Where is my refund?"}]}]}"#;

fn ask(fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/messages HTTP/1.1\r\nHost: m\r\nx-partner: haendlerbund\r\n{fields}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

async fn answer(router: &Router, fields: &str, body: &str) -> (u16, String, String, bool) {
    let mut client = Client::to(router.messages).await;
    client.send(&ask(fields, body)).await;
    client.answer().await
}

/// The names of a stream's events, in their order.
fn named(body: &str) -> Vec<&str> {
    body.lines().filter_map(|l| l.strip_prefix("event: ")).collect()
}

/// Runs the fault script; gives the final tallies and what clients saw of each case.
async fn script(dialect: Dialect) -> (String, Vec<String>) {
    // Either node may be picked first: both go by one plan.
    let plan = Script::default();
    let nodes = [Node::sharing(dialect, &plan).await, Node::sharing(dialect, &plan).await];
    let router = Router::new(dialect, &[], |l| l.silence = std::time::Duration::from_millis(60)).await;
    let dead = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut seen = Vec::new();
    let late = "x-deadline-ms: 80\r\n";
    for (name, faults, fields) in [
        ("whole", &[Fault::None][..], ""),
        ("unknown event", &[Fault::UnknownEvent], ""),
        ("break", &[Fault::Break], ""),
        ("silence", &[Fault::Silence], ""),
        ("decline", &[Fault::Decline, Fault::None], ""),
        ("error", &[Fault::Error, Fault::None], ""),
        ("reset", &[Fault::Reset, Fault::None], ""),
        ("slow", &[Fault::Slow], ""),
        ("refused", &[], ""),
        ("deadline", &[Fault::Mute, Fault::Mute, Fault::Mute, Fault::Mute], late),
    ] {
        // New names each time: what the module learnt of a node in one case shall not touch the next.
        let rows = nodes.iter().enumerate().map(|(i, n)| row(&format!("{name}-{i}"), n.addr, "active"));
        match name {
            "refused" => router.list([row("dead", dead, "active")]),
            _ => router.list(rows),
        }
        plan.borrow_mut().clear();
        plan.borrow_mut().extend(faults);
        let (status, head, body, whole) = answer(&router, fields, BODY).await;
        let again = field(&head, "retry-after").unwrap_or("-");
        seen.push(format!("{name}: {status} whole {whole} retry-after {again} {:?}", named(&body)));
    }
    // The client leaves while it waits.
    let rows = nodes.iter().enumerate().map(|(i, n)| row(&format!("left-{i}"), n.addr, "active"));
    router.list(rows);
    *plan.borrow_mut() = [Fault::Mute; 2].into();
    let mut client = Client::to(router.messages).await;
    client.send(&ask("", BODY)).await;
    until(|| plan.borrow().len() < 2).await;
    drop(client);
    until(|| router.open() == 0).await;
    (format!("{:?}, unknown events {}", router.tallies(), router.host.unknown_events.get()), seen)
}

#[test]
fn the_same_faults_in_both_dialects_come_to_the_same_tallies() {
    run(async {
        let (chat, seen_chat) = script(Dialect::Chat).await;
        let (messages, _) = script(Dialect::Messages).await;
        assert_eq!(chat, messages);
        insta::assert_snapshot!(chat);
        insta::assert_snapshot!(seen_chat.join("\n"));
    });
}
