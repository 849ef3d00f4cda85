//! Tests of the messages API in front of replicas of both dialects. The same fault script runs against each, and the final
//! request counts have to be equal.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin_router::dialect::Dialect;

async fn ask_messages_api(
    router: &TestRouter,
    header_fields: &str,
    body: &str,
) -> (u16, String, String, bool) {
    let mut client = Client::connect(router.messages_addr).await;
    client.send(&messages_request(header_fields, body)).await;
    client.read_answer().await
}

/// Names of a stream's events in order, without keep-alive and unknown events.
fn event_names(body: &str) -> Vec<&str> {
    let all_names = body.lines().filter_map(|line| line.strip_prefix("event: "));
    all_names.filter(|name| *name != "ping" && *name != "novelty").collect()
}

/// Runs the fault script. Returns the final request counts and the outcome of each case as its client saw it.
async fn run_fault_script(dialect: Dialect) -> (String, Vec<String>) {
    // Either replica may be picked first, so both share one script.
    let fault_script = FaultScript::default();
    let replicas = [
        MockReplica::with_script(dialect, &fault_script).await,
        MockReplica::with_script(dialect, &fault_script).await,
    ];
    let router = TestRouter::new(dialect, &[], |limits| {
        limits.stream_silence_timeout = std::time::Duration::from_millis(60)
    })
    .await;
    let closed_port = ReservedPort::new();
    let mut outcomes = Vec::new();
    let short_deadline = "x-deadline-ms: 80\r\n";
    for (name, faults, header_fields) in [
        ("whole", &[ReplicaFault::None][..], ""),
        ("unknown event", &[ReplicaFault::UnknownEvent], ""),
        ("break", &[ReplicaFault::CloseAfterFirstText], ""),
        ("silence", &[ReplicaFault::SilentAfterFirstText], ""),
        ("decline", &[ReplicaFault::Decline, ReplicaFault::None], ""),
        ("error", &[ReplicaFault::Error, ReplicaFault::None], ""),
        ("reset", &[ReplicaFault::CloseBeforeAnswer, ReplicaFault::None], ""),
        ("slow", &[ReplicaFault::SlowFirstEvent], ""),
        ("refused", &[], ""),
        // Neither replica answers: the router tries the second after the first, and gives up at the deadline.
        ("silent nodes", &[ReplicaFault::NoAnswer, ReplicaFault::NoAnswer], short_deadline),
    ] {
        // Each case has replica names of its own, so that records of a replica from one case do not affect the next.
        let rows = replicas
            .iter()
            .enumerate()
            .map(|(index, replica)| endpoint_record(&format!("{name}-{index}"), replica.addr, "active"));
        match name {
            "refused" => router.set_endpoint_list([endpoint_record("dead", closed_port.addr(), "active")]),
            _ => router.set_endpoint_list(rows),
        }
        fault_script.borrow_mut().clear();
        fault_script.borrow_mut().extend(faults);
        let (status, head, body, complete) = ask_messages_api(&router, header_fields, MESSAGES_BODY).await;
        let retry_after = header_value(&head, "retry-after").unwrap_or("-");
        outcomes.push(format!(
            "{name}: {status} whole {complete} retry-after {retry_after} {:?}",
            event_names(&body)
        ));
    }
    // The replica starts another answer before the deadline, so the client is advised to retry.
    router.set_endpoint_list([endpoint_record("deadline", replicas[0].addr, "active")]);
    fault_script.borrow_mut().extend([ReplicaFault::NoAnswer, ReplicaFault::None]);
    let other = async {
        wait_until(|| fault_script.borrow().len() == 1).await;
        ask_messages_api(&router, "", MESSAGES_BODY).await
    };
    let ((status, head, body, _), (other_status, ..)) =
        tokio::join!(ask_messages_api(&router, short_deadline, MESSAGES_BODY), other);
    assert!(body.contains("timeout_error"), "{body}");
    outcomes.push(format!(
        "deadline: {status} retry-after {:?}, other {other_status}",
        header_value(&head, "retry-after")
    ));
    // A client requests the rest of an interrupted stream.
    router.set_endpoint_list([endpoint_record("rest", replicas[0].addr, "active")]);
    let body = MESSAGES_BODY.replace("}]}]}", "}]},{\"role\":\"assistant\",\"content\":\"Your\"}]}");
    outcomes.push(format!("rest: {}", ask_messages_api(&router, "x-resume-of: msg_1\r\n", &body).await.0));
    // The client disconnects while it waits for an answer.
    let rows = replicas
        .iter()
        .enumerate()
        .map(|(index, replica)| endpoint_record(&format!("left-{index}"), replica.addr, "active"));
    router.set_endpoint_list(rows);
    *fault_script.borrow_mut() = [ReplicaFault::NoAnswer; 2].into();
    let mut client = Client::connect(router.messages_addr).await;
    client.send(&messages_request("", MESSAGES_BODY)).await;
    wait_until(|| fault_script.borrow().len() < 2).await;
    drop(client);
    wait_until(|| router.open_requests() == 0).await;
    (
        format!(
            "{:?}, unknown events {}",
            router.request_counts(),
            router.components.replica_context.unknown_events.get()
        ),
        outcomes,
    )
}

#[test]
fn the_same_faults_give_the_same_counts_in_both_dialects() {
    run_test(async {
        let (chat_counts, chat_outcomes) = run_fault_script(Dialect::Chat).await;
        let (messages_counts, messages_outcomes) = run_fault_script(Dialect::Messages).await;
        assert_eq!((&chat_counts, &chat_outcomes), (&messages_counts, &messages_outcomes));
        insta::assert_snapshot!(chat_counts);
        insta::assert_snapshot!(chat_outcomes.join("\n"));
    });
}

#[test]
fn an_answer_without_streaming_is_one_json_object() {
    run_test(async {
        for dialect in [Dialect::Chat, Dialect::Messages] {
            let replica = MockReplica::new(dialect).await;
            replica.add_faults(&[ReplicaFault::UnknownEvent, ReplicaFault::CloseAfterFirstText]);
            let router = TestRouter::new(dialect, &[&replica], |_| {}).await;
            let body = MESSAGES_BODY.replace("\"stream\":true,", "");
            let (status, head, text, _) = ask_messages_api(&router, "", &body).await;
            let mut message: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!((status, message["id"].as_str()), (200, header_value(&head, "request-id")));
            message["id"] = "msg".into();
            insta::assert_snapshot!("whole", message.to_string());
            let (_, sent) = replica.next_request().await;
            assert!(serde_json::from_slice::<serde_json::Value>(&sent).unwrap()["stream"] == true);
            let (status, _, text, _) = ask_messages_api(&router, "", &body).await;
            assert!(status == 500 && text.contains("api_error"), "{text}");
        }
    });
}

#[test]
fn a_chat_client_is_served_by_nodes_of_the_messages_dialect() {
    run_test(async {
        let replica = MockReplica::new(Dialect::Messages).await;
        replica.add_faults(&[ReplicaFault::UnknownEvent, ReplicaFault::CloseAfterFirstText]);
        let router = TestRouter::new(Dialect::Messages, &[&replica], |_| {}).await;
        let body = r#"{"model":"m","stream":true,"messages":[{"role":"system","content":"Be kind."},
            {"role":"user","content":"Hi"}]}"#;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", body)).await;
        let (status, _, text, complete) = client.read_answer().await;
        assert_eq!((status, complete), (200, true));
        insta::assert_snapshot!(text);
        let (head, sent) = replica.next_request().await;
        assert!(head.starts_with("POST /v1/messages HTTP/1.1\r\n"), "{head}");
        insta::assert_snapshot!(String::from_utf8(sent).unwrap());
        client.send(&platform_request("", body)).await;
        let (_, _, text, complete) = client.read_answer().await;
        assert!(text.contains("Grüß") && !text.contains("[DONE]") && !complete, "{text}");
        client = Client::connect(router.addr).await;
        client.send(&platform_request("", "no JSON")).await;
        assert_eq!(client.read_answer().await.0, 400);
    });
}

#[test]
fn errors_have_the_format_of_the_messages_api() {
    run_test(async {
        let router = TestRouter::new(Dialect::Chat, &[], |limits| limits.max_body_size = 4096).await;
        let long_body = MESSAGES_BODY.replace("travellers", &"x".repeat(5000));
        let mut answers = Vec::new();
        for (title, text) in [
            ("no JSON", messages_request("", "{")),
            ("no bound", messages_request("", &MESSAGES_BODY.replace("\"max_tokens\":64,", ""))),
            (
                "a picture",
                messages_request("", &MESSAGES_BODY.replace("\"type\":\"text\"", "\"type\":\"image\"")),
            ),
            ("nobody", messages_request("", MESSAGES_BODY).replace("haendlerbund", "nobody")),
            ("no partner", messages_request("", MESSAGES_BODY).replace("x-partner", "x-other")),
            ("a bad wait", messages_request("x-deadline-ms: soon\r\n", MESSAGES_BODY)),
            ("another model", messages_request("", &MESSAGES_BODY.replace("refund-chat", "poet"))),
            ("another path", messages_request("", MESSAGES_BODY).replace("/messages", "/massages")),
            ("another method", messages_request("", MESSAGES_BODY).replace("POST", "PUT")),
            ("too long", messages_request("", &long_body)),
            ("no node", messages_request("", MESSAGES_BODY)),
        ] {
            let mut client = Client::connect(router.messages_addr).await;
            client.send(&text).await;
            let (status, head, body, _) = client.read_answer().await;
            answers.push(format!("{title}: {status} {:?} {body}", header_value(&head, "retry-after")));
        }
        let mut client = Client::connect(router.messages_addr).await;
        let mut statuses = Vec::new();
        while statuses.len() < 10 && !statuses.contains(&429) {
            client.send(&messages_request("", MESSAGES_BODY).replace("haendlerbund", "grenzstellen")).await;
            statuses.push(client.read_answer().await.0);
        }
        assert!(statuses.contains(&429), "{statuses:?}");
        insta::assert_snapshot!(answers.join("\n"));
    });
}
