//! Tests of the messages API in front of replicas of both dialects. The same fault script runs against each, and the final
//! request counts have to be equal.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin_router::dialect::Dialect;

async fn ask_messages_api(router: &Router, header_fields: &str, body: &str) -> (u16, String, String, bool) {
    let mut client = Client::to(router.messages).await;
    client.send(&messages(header_fields, body)).await;
    client.answer().await
}

/// Names of a stream's events in order, without keep-alive and unknown events.
fn event_names(body: &str) -> Vec<&str> {
    let all_names = body.lines().filter_map(|line| line.strip_prefix("event: "));
    all_names.filter(|name| *name != "ping" && *name != "novelty").collect()
}

/// Runs the fault script. Returns the final request counts and the outcome of each case as its client saw it.
async fn run_fault_script(dialect: Dialect) -> (String, Vec<String>) {
    // Either replica may be picked first, so both share one script.
    let fault_script = Script::default();
    let nodes = [Node::sharing(dialect, &fault_script).await, Node::sharing(dialect, &fault_script).await];
    let router = Router::new(dialect, &[], |limits| {
        limits.stream_silence_timeout = std::time::Duration::from_millis(60)
    })
    .await;
    let closed_port = ReservedPort::new();
    let mut outcomes = Vec::new();
    let short_deadline = "x-deadline-ms: 80\r\n";
    for (name, faults, header_fields) in [
        ("whole", &[Fault::None][..], ""),
        ("unknown event", &[Fault::UnknownEvent], ""),
        ("break", &[Fault::Break], ""),
        ("silence", &[Fault::Silence], ""),
        ("decline", &[Fault::Decline, Fault::None], ""),
        ("error", &[Fault::Error, Fault::None], ""),
        ("reset", &[Fault::Reset, Fault::None], ""),
        ("slow", &[Fault::Slow], ""),
        ("refused", &[], ""),
        // Neither replica answers: the router tries the second after the first, and gives up at the deadline.
        ("silent nodes", &[Fault::Mute, Fault::Mute], short_deadline),
    ] {
        // Each case has replica names of its own, so that records of a replica from one case do not affect the next.
        let rows = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| row(&format!("{name}-{index}"), node.addr, "active"));
        match name {
            "refused" => router.list([row("dead", closed_port.addr(), "active")]),
            _ => router.list(rows),
        }
        fault_script.borrow_mut().clear();
        fault_script.borrow_mut().extend(faults);
        let (status, head, body, complete) = ask_messages_api(&router, header_fields, MESSAGE).await;
        let retry_after = field(&head, "retry-after").unwrap_or("-");
        outcomes.push(format!(
            "{name}: {status} whole {complete} retry-after {retry_after} {:?}",
            event_names(&body)
        ));
    }
    // The replica starts another answer before the deadline, so the client is advised to retry.
    router.list([row("deadline", nodes[0].addr, "active")]);
    fault_script.borrow_mut().extend([Fault::Mute, Fault::None]);
    let other = async {
        until(|| fault_script.borrow().len() == 1).await;
        ask_messages_api(&router, "", MESSAGE).await
    };
    let ((status, head, body, _), (other_status, ..)) =
        tokio::join!(ask_messages_api(&router, short_deadline, MESSAGE), other);
    assert!(body.contains("timeout_error"), "{body}");
    outcomes.push(format!(
        "deadline: {status} retry-after {:?}, other {other_status}",
        field(&head, "retry-after")
    ));
    // A client requests the rest of an interrupted stream.
    router.list([row("rest", nodes[0].addr, "active")]);
    let body = MESSAGE.replace("}]}]}", "}]},{\"role\":\"assistant\",\"content\":\"Your\"}]}");
    outcomes.push(format!("rest: {}", ask_messages_api(&router, "x-resume-of: msg_1\r\n", &body).await.0));
    // The client disconnects while it waits for an answer.
    let rows =
        nodes.iter().enumerate().map(|(index, node)| row(&format!("left-{index}"), node.addr, "active"));
    router.list(rows);
    *fault_script.borrow_mut() = [Fault::Mute; 2].into();
    let mut client = Client::to(router.messages).await;
    client.send(&messages("", MESSAGE)).await;
    until(|| fault_script.borrow().len() < 2).await;
    drop(client);
    until(|| router.open() == 0).await;
    (
        format!(
            "{:?}, unknown events {}",
            router.tallies(),
            router.components.replica_context.unknown_events.get()
        ),
        outcomes,
    )
}

#[test]
fn the_same_faults_give_the_same_counts_in_both_dialects() {
    run(async {
        let (chat_counts, chat_outcomes) = run_fault_script(Dialect::Chat).await;
        let (messages_counts, messages_outcomes) = run_fault_script(Dialect::Messages).await;
        assert_eq!((&chat_counts, &chat_outcomes), (&messages_counts, &messages_outcomes));
        insta::assert_snapshot!(chat_counts);
        insta::assert_snapshot!(chat_outcomes.join("\n"));
    });
}

#[test]
fn an_answer_without_streaming_is_one_json_object() {
    run(async {
        for dialect in [Dialect::Chat, Dialect::Messages] {
            let node = Node::new(dialect).await;
            node.plan(&[Fault::UnknownEvent, Fault::Break]);
            let router = Router::new(dialect, &[&node], |_| {}).await;
            let body = MESSAGE.replace("\"stream\":true,", "");
            let (status, head, text, _) = ask_messages_api(&router, "", &body).await;
            let mut message: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!((status, message["id"].as_str()), (200, field(&head, "request-id")));
            message["id"] = "msg".into();
            insta::assert_snapshot!("whole", message.to_string());
            let (_, sent) = node.next_request().await;
            assert!(serde_json::from_slice::<serde_json::Value>(&sent).unwrap()["stream"] == true);
            let (status, _, text, _) = ask_messages_api(&router, "", &body).await;
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
        let (status, _, text, complete) = client.answer().await;
        assert_eq!((status, complete), (200, true));
        insta::assert_snapshot!(text);
        let (head, sent) = node.next_request().await;
        assert!(head.starts_with("POST /v1/messages HTTP/1.1\r\n"), "{head}");
        insta::assert_snapshot!(String::from_utf8(sent).unwrap());
        client.send(&platform("", body)).await;
        let (_, _, text, complete) = client.answer().await;
        assert!(text.contains("Grüß") && !text.contains("[DONE]") && !complete, "{text}");
        client = Client::to(router.addr).await;
        client.send(&platform("", "no JSON")).await;
        assert_eq!(client.answer().await.0, 400);
    });
}

#[test]
fn errors_have_the_format_of_the_messages_api() {
    run(async {
        let router = Router::new(Dialect::Chat, &[], |limits| limits.max_body_size = 4096).await;
        let long_body = MESSAGE.replace("travellers", &"x".repeat(5000));
        let mut answers = Vec::new();
        for (title, text) in [
            ("no JSON", messages("", "{")),
            ("no bound", messages("", &MESSAGE.replace("\"max_tokens\":64,", ""))),
            ("a picture", messages("", &MESSAGE.replace("\"type\":\"text\"", "\"type\":\"image\""))),
            ("nobody", messages("", MESSAGE).replace("haendlerbund", "nobody")),
            ("no partner", messages("", MESSAGE).replace("x-partner", "x-other")),
            ("a bad wait", messages("x-deadline-ms: soon\r\n", MESSAGE)),
            ("another model", messages("", &MESSAGE.replace("refund-chat", "poet"))),
            ("another path", messages("", MESSAGE).replace("/messages", "/massages")),
            ("another method", messages("", MESSAGE).replace("POST", "PUT")),
            ("too long", messages("", &long_body)),
            ("no node", messages("", MESSAGE)),
        ] {
            let mut client = Client::to(router.messages).await;
            client.send(&text).await;
            let (status, head, body, _) = client.answer().await;
            answers.push(format!("{title}: {status} {:?} {body}", field(&head, "retry-after")));
        }
        let mut client = Client::to(router.messages).await;
        let mut statuses = Vec::new();
        while statuses.len() < 10 && !statuses.contains(&429) {
            client.send(&messages("", MESSAGE).replace("haendlerbund", "grenzstellen")).await;
            statuses.push(client.answer().await.0);
        }
        assert!(statuses.contains(&429), "{statuses:?}");
        insta::assert_snapshot!(answers.join("\n"));
    });
}
