use super::*;

fn event(line: &str) -> Result<Option<Event>, MalformedLine> {
    parse_event(&Fields::new(line), &mut ReplicaNames::default())
}

#[test]
fn a_demand_is_parsed_with_and_without_its_optional_fields() {
    let full =
        "DEMAND Who=gateway-3 Ref=2554927284654532 PrefixId=p:x Kind=1 ExpectedNs=12 LeftNs=240000000 \
                    NPrompt=1800 NPrefix=1200 UserGroup=2 Resource=conv:y Returned=1 NMax=256 Novel=7";
    let Ok(Some(Event::Request(request))) = event(full) else { panic!("not a request") };
    assert_eq!(
        (request.id, request.class, request.tenant),
        (RequestId(2554927284654532), ClassId(1), TenantId(2))
    );
    assert_eq!((request.time_left, request.prompt_tokens, request.prefix_tokens), (240_000_000, 1800, 1200));
    assert!(request.resumes_stream && request.session.is_some() && request.prefix.is_some());
    let Ok(Some(Event::Request(request))) = event("DEMAND Who=gateway-3 Ref=7 Kind=0 LeftNs=5") else {
        panic!()
    };
    assert_eq!(
        (request.tenant, request.prompt_tokens, request.session, request.prefix),
        (TenantId(0), 0, None, None)
    );
}

#[test]
fn a_completed_attempt_without_a_note_had_no_cached_tokens() {
    let line = "FINISHED Who=gateway-3 Ref=2 N=0 Replica=10.1.1.1:5 How=done DurationNs=1 DoneFlag=1";
    let Ok(Some(Event::AttemptEnded(ended))) = event(line) else { panic!() };
    assert_eq!((ended.cached_tokens, ended.request_over, ended.load), (Some(0), true, vec![]));
    let line = "FINISHED Who=gateway-3 Ref=2 N=0 Replica=a:5 How=busy DurationNs=1 Telemetry=0.5,3,1.25";
    let Ok(Some(Event::AttemptEnded(ended))) = event(line) else { panic!() };
    assert_eq!(
        (ended.cached_tokens, ended.outcome, ended.load),
        (None, Outcome::Rejected, vec![0.5, 3.0, 1.25])
    );
}

#[test]
fn the_error_for_a_malformed_line_names_its_field() {
    for (line, field) in [
        ("DEMAND Who=gateway-3 Ref=x Kind=0 LeftNs=5", "Ref"),
        ("DEMAND Who=gateway-3 Ref=1 LeftNs=5", "Kind"),
        ("DEMAND Who=gateway-3 Ref=1 Kind=0 LeftNs=-5", "LeftNs"),
        ("DEMAND Who=gateway-3 Ref=1 Kind=0 LeftNs=5 NPrompt=nan", "NPrompt"),
        ("FINISHED Who=gateway-3 Ref=1 N=0 How=fine", "How"),
        ("FINISHED Who=gateway-3 Ref=1 N=0 How=done Telemetry=1,b", "Telemetry"),
        ("PEER Who=gateway-3 From=1 Content=6x", "Content"),
        ("PEER Who=gateway-3 From=1 Content=686", "Content"),
    ] {
        let error = event(line).expect_err(line);
        assert_eq!((error.field.as_str(), error.router), (field, Some(3)), "{line}");
    }
    assert_eq!(Fields::new("DEMAND Ref=1").router().expect_err("the line names no router").router, None);
    assert!(Fields::new("DEMAND Who=door-1 Ref=1").router().is_err());
}

#[test]
fn unknown_messages_and_timers_are_skipped() {
    assert_eq!(event("NOVELTY Who=gateway-3 A=1"), Ok(None));
    assert_eq!(event("WAKEUP Who=gateway-3 KeyBack=sweep"), Ok(None));
}

#[test]
fn actions_name_replicas_as_the_list_did() {
    let mut names = ReplicaNames::default();
    let line = "M Status=1 Replica=10.18.74.7:5003 LastStartNs=6 FailureDomain=2 ClassOfHost=1 Stripe=4";
    let row = parse_row(line, &mut names).unwrap();
    assert_eq!((row.state, row.zone, row.kind, row.cell), (EndpointState::Ready, ZoneId(2), 1, 4));
    let mut text = String::new();
    let request = RequestId(9);
    let send = Action::Send { request, replica: row.replica, timeout: 80 };
    for action in [
        send,
        Action::Reject { request, retry_after: 5, reason: RejectReason::QuotaExceeded },
        Action::Gossip(vec![0x68, 0x0a]),
        Action::SendToPeer { peer: PeerId(7), bytes: vec![0x01] },
    ] {
        write_action(3, &action, &names, &mut text);
    }
    let expected = "ISSUE Who=gateway-3 Ref=9 Replica=10.18.74.7:5003 LimitNs=80\n\
                      REJECT Who=gateway-3 Ref=9 ComeBackNs=5\n\
                      TELL Who=gateway-3 To=* Content=680a\n\
                      TELL Who=gateway-3 To=7 Content=01\n";
    assert_eq!(text, expected);
}

#[test]
fn unknown_settings_are_ignored_and_missing_ones_get_safe_defaults() {
    let parse = |data: &str| {
        let line = format!("BORN Who=gateway-0 Nonce64=5 ProfileData={data}");
        parse_born(&Fields::new(&line))
    };
    let profile = r#"{"GoalTimeNs": 1000, "Effect": "token", "Group": "zone", "WindowNs": 7}"#;
    let data =
        format!(r#"{{"Profiles": [{profile}, {{"GoalTimeNs": 5}}], "ReplicasOfMe": 2, "Novel": [1]}}"#);
    let (seed, settings) = parse(&data).unwrap();
    assert_eq!((seed, settings.classes.len(), settings.tenants.len()), (5, 2, 0));
    assert_eq!(
        settings.classes[0].effect,
        Effect::IdempotentByKey { scope: DeduplicationScope::Zone, window: 7 }
    );
    assert_eq!(settings.classes[1].effect, Effect::NotIdempotent, "a class is not idempotent by default");
    assert!(
        !settings.has_peers
            && !settings.can_probe
            && !settings.can_cancel
            && !settings.concurrent_attempts
            && settings.list_mode == EndpointListMode::Pushed
    );
    assert_eq!(parse("{oops").unwrap_err().field, "ProfileData");
}
