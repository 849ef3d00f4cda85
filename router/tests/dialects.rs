//! The messages API in front of model nodes of both dialects: the same fault script against each, and the
//! final tallies must be equal.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin_router::dialect::Dialect;

async fn answer(router: &Router, fields: &str, body: &str) -> (u16, String, String, bool) {
    let mut client = Client::to(router.messages).await;
    client.send(&messages(fields, body)).await;
    client.answer().await
}

/// The names of a stream's events, in their order; without what says nothing to the client.
fn named(body: &str) -> Vec<&str> {
    let names = body.lines().filter_map(|l| l.strip_prefix("event: "));
    names.filter(|n| *n != "ping" && *n != "novelty").collect()
}

/// Runs the fault script; gives the final tallies and what clients saw of each case.
async fn script(dialect: Dialect) -> (String, Vec<String>) {
    // Either node may be picked first: both go by one plan.
    let plan = Script::default();
    let nodes = [Node::sharing(dialect, &plan).await, Node::sharing(dialect, &plan).await];
    let router =
        Router::new(dialect, &[], |l| l.stream_silence_timeout = std::time::Duration::from_millis(60)).await;
    let dead = ReservedPort::new();
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
        // Both nodes are silent: the first is given up on for the second, which there is no other for, at the deadline.
        ("silent nodes", &[Fault::Mute, Fault::Mute], late),
    ] {
        // New names each time: what the module learnt of a node in one case shall not touch the next.
        let rows = nodes.iter().enumerate().map(|(i, n)| row(&format!("{name}-{i}"), n.addr, "active"));
        match name {
            "refused" => router.list([row("dead", dead.addr(), "active")]),
            _ => router.list(rows),
        }
        plan.borrow_mut().clear();
        plan.borrow_mut().extend(faults);
        let (status, head, body, whole) = answer(&router, fields, MESSAGE).await;
        let again = field(&head, "retry-after").unwrap_or("-");
        seen.push(format!("{name}: {status} whole {whole} retry-after {again} {:?}", named(&body)));
    }
    // The deadline comes: the node has begun another answer since, so it is worth waiting for.
    router.list([row("deadline", nodes[0].addr, "active")]);
    plan.borrow_mut().extend([Fault::Mute, Fault::None]);
    let other = async {
        until(|| plan.borrow().len() == 1).await;
        answer(&router, "", MESSAGE).await
    };
    let ((status, head, body, _), (served, ..)) = tokio::join!(answer(&router, late, MESSAGE), other);
    assert!(body.contains("timeout_error"), "{body}");
    seen.push(format!("deadline: {status} retry-after {:?}, other {served}", field(&head, "retry-after")));
    // The rest of a broken stream is asked for.
    router.list([row("rest", nodes[0].addr, "active")]);
    let body = MESSAGE.replace("}]}]}", "}]},{\"role\":\"assistant\",\"content\":\"Your\"}]}");
    seen.push(format!("rest: {}", answer(&router, "x-resume-of: msg_1\r\n", &body).await.0));
    // The client leaves while it waits.
    let rows = nodes.iter().enumerate().map(|(i, n)| row(&format!("left-{i}"), n.addr, "active"));
    router.list(rows);
    *plan.borrow_mut() = [Fault::Mute; 2].into();
    let mut client = Client::to(router.messages).await;
    client.send(&messages("", MESSAGE)).await;
    until(|| plan.borrow().len() < 2).await;
    drop(client);
    until(|| router.open() == 0).await;
    (
        format!(
            "{:?}, unknown events {}",
            router.tallies(),
            router.components.replica_context.unknown_events.get()
        ),
        seen,
    )
}

#[test]
fn the_same_faults_in_both_dialects_come_to_the_same_tallies() {
    run(async {
        let (chat, seen_chat) = script(Dialect::Chat).await;
        let (messages, seen_messages) = script(Dialect::Messages).await;
        assert_eq!((&chat, &seen_chat), (&messages, &seen_messages));
        insta::assert_snapshot!(chat);
        insta::assert_snapshot!(seen_chat.join("\n"));
    });
}

#[test]
fn an_answer_wanted_whole_is_one_object() {
    run(async {
        for dialect in [Dialect::Chat, Dialect::Messages] {
            let node = Node::new(dialect).await;
            node.plan(&[Fault::UnknownEvent, Fault::Break]);
            let router = Router::new(dialect, &[&node], |_| {}).await;
            let body = MESSAGE.replace("\"stream\":true,", "");
            let (status, head, text, _) = answer(&router, "", &body).await;
            let mut message: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!((status, message["id"].as_str()), (200, field(&head, "request-id")));
            message["id"] = "msg".into();
            insta::assert_snapshot!("whole", message.to_string());
            let (_, sent) = node.next_request().await;
            assert!(serde_json::from_slice::<serde_json::Value>(&sent).unwrap()["stream"] == true);
            let (status, _, text, _) = answer(&router, "", &body).await;
            assert!(status == 500 && text.contains("api_error"), "{text}");
        }
    });
}

#[test]
fn a_chat_client_is_served_by_nodes_of_the_messages_dialect() {
    run(async {
        let node = Node::new(Dialect::Messages).await;
        node.plan(&[Fault::UnknownEvent, Fault::Break]);
        let router = Router::new(Dialect::Messages, &[&node], |_| {}).await;
        let body = r#"{"model":"m","stream":true,"messages":[{"role":"system","content":"Be kind."},
            {"role":"user","content":"Hi"}]}"#;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", body)).await;
        let (status, _, text, whole) = client.answer().await;
        assert_eq!((status, whole), (200, true));
        insta::assert_snapshot!(text);
        let (head, sent) = node.next_request().await;
        assert!(head.starts_with("POST /v1/messages HTTP/1.1\r\n"), "{head}");
        insta::assert_snapshot!(String::from_utf8(sent).unwrap());
        client.send(&platform("", body)).await;
        let (_, _, text, whole) = client.answer().await;
        assert!(text.contains("Grüß") && !text.contains("[DONE]") && !whole, "{text}");
        client = Client::to(router.addr).await;
        client.send(&platform("", "no JSON")).await;
        assert_eq!(client.answer().await.0, 400);
    });
}

#[test]
fn errors_have_the_shape_of_the_api() {
    run(async {
        let router = Router::new(Dialect::Chat, &[], |l| l.max_body_size = 4096).await;
        let long = MESSAGE.replace("travellers", &"x".repeat(5000));
        let mut said = Vec::new();
        for (what, text) in [
            ("no JSON", messages("", "{")),
            ("no bound", messages("", &MESSAGE.replace("\"max_tokens\":64,", ""))),
            ("a picture", messages("", &MESSAGE.replace("\"type\":\"text\"", "\"type\":\"image\""))),
            ("nobody", messages("", MESSAGE).replace("haendlerbund", "nobody")),
            ("no partner", messages("", MESSAGE).replace("x-partner", "x-other")),
            ("a bad wait", messages("x-deadline-ms: soon\r\n", MESSAGE)),
            ("another model", messages("", &MESSAGE.replace("refund-chat", "poet"))),
            ("another path", messages("", MESSAGE).replace("/messages", "/massages")),
            ("another method", messages("", MESSAGE).replace("POST", "PUT")),
            ("too long", messages("", &long)),
            ("no node", messages("", MESSAGE)),
        ] {
            let mut client = Client::to(router.messages).await;
            client.send(&text).await;
            let (status, head, body, _) = client.answer().await;
            said.push(format!("{what}: {status} {:?} {body}", field(&head, "retry-after")));
        }
        let mut client = Client::to(router.messages).await;
        let mut statuses = Vec::new();
        while statuses.len() < 10 && !statuses.contains(&429) {
            client.send(&messages("", MESSAGE).replace("haendlerbund", "grenzstellen")).await;
            statuses.push(client.answer().await.0);
        }
        assert!(statuses.contains(&429), "{statuses:?}");
        insta::assert_snapshot!(said.join("\n"));
    });
}
