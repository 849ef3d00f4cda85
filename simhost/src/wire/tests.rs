use super::*;

fn event(line: &str) -> Result<Option<Event>, MalformedLine> {
    parse_event(&Fields::new(line), &mut ReplicaNames::default())
}

#[test]
fn a_demand_is_read_with_and_without_its_optional_fields() {
    let full =
        "DEMAND Who=gateway-3 Ref=2554927284654532 PrefixId=p:x Kind=1 ExpectedNs=12 LeftNs=240000000 \
                    NPrompt=1800 NPrefix=1200 UserGroup=2 Resource=conv:y Returned=1 NMax=256 Novel=7";
    let Ok(Some(Event::Request(r))) = event(full) else { panic!("not a request") };
    assert_eq!((r.id, r.class, r.tenant), (RequestId(2554927284654532), ClassId(1), TenantId(2)));
    assert_eq!((r.time_left, r.prompt_tokens, r.prefix_tokens), (240_000_000, 1800, 1200));
    assert!(r.resumes_stream && r.session.is_some() && r.prefix.is_some());
    let Ok(Some(Event::Request(r))) = event("DEMAND Who=gateway-3 Ref=7 Kind=0 LeftNs=5") else { panic!() };
    assert_eq!((r.tenant, r.prompt_tokens, r.session, r.prefix), (TenantId(0), 0, None, None));
}

#[test]
fn an_outcome_without_a_note_found_nothing_kept() {
    let line = "FINISHED Who=gateway-3 Ref=2 N=0 Replica=10.1.1.1:5 How=done DurationNs=1 DoneFlag=1";
    let Ok(Some(Event::AttemptEnded(e))) = event(line) else { panic!() };
    assert_eq!((e.cached_tokens, e.request_over, e.load), (Some(0), true, vec![]));
    let line = "FINISHED Who=gateway-3 Ref=2 N=0 Replica=a:5 How=busy DurationNs=1 Telemetry=0.5,3,1.25";
    let Ok(Some(Event::AttemptEnded(e))) = event(line) else { panic!() };
    assert_eq!((e.cached_tokens, e.outcome, e.load), (None, Outcome::Rejected, vec![0.5, 3.0, 1.25]));
}

#[test]
fn what_is_malformed_is_named() {
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
        let e = event(line).expect_err(line);
        assert_eq!((e.field.as_str(), e.router), (field, Some(3)), "{line}");
    }
    assert_eq!(Fields::new("DEMAND Ref=1").router().expect_err("no instance").router, None);
    assert!(Fields::new("DEMAND Who=door-1 Ref=1").router().is_err());
}

#[test]
fn unknown_messages_and_foreign_timers_are_skipped() {
    assert_eq!(event("NOVELTY Who=gateway-3 A=1"), Ok(None));
    assert_eq!(event("WAKEUP Who=gateway-3 KeyBack=sweep"), Ok(None));
}

#[test]
fn actions_go_back_under_the_names_they_came_with() {
    let mut names = ReplicaNames::default();
    let line = "M Status=1 Replica=10.18.74.7:5003 LastStartNs=6 FailureDomain=2 ClassOfHost=1 Stripe=4";
    let row = parse_row(line, &mut names).unwrap();
    assert_eq!((row.state, row.zone, row.kind, row.cell), (EndpointState::Ready, ZoneId(2), 1, 4));
    let mut text = String::new();
    let request = RequestId(9);
    let send = Action::Send { request, replica: row.replica, timeout: 80 };
    for a in [
        send,
        Action::Reject { request, retry_after: 5, reason: RejectReason::QuotaExceeded },
        Action::Gossip(vec![0x68, 0x0a]),
        Action::SendToPeer { peer: PeerId(7), bytes: vec![0x01] },
    ] {
        write_action(3, &a, &names, &mut text);
    }
    let wanted = "ISSUE Who=gateway-3 Ref=9 Replica=10.18.74.7:5003 LimitNs=80\n\
                      REJECT Who=gateway-3 Ref=9 ComeBackNs=5\n\
                      TELL Who=gateway-3 To=* Content=680a\n\
                      TELL Who=gateway-3 To=7 Content=01\n";
    assert_eq!(text, wanted);
}

#[test]
fn settings_of_other_sites_are_read_with_safe_defaults() {
    let born = |data: &str| {
        let line = format!("BORN Who=gateway-0 Nonce64=5 ProfileData={data}");
        parse_born(&Fields::new(&line))
    };
    let profile = r#"{"GoalTimeNs": 1000, "Effect": "token", "Group": "zone", "WindowNs": 7}"#;
    let data =
        format!(r#"{{"Profiles": [{profile}, {{"GoalTimeNs": 5}}], "ReplicasOfMe": 2, "Novel": [1]}}"#);
    let (seed, s) = born(&data).unwrap();
    assert_eq!((seed, s.classes.len(), s.tenants.len()), (5, 2, 0));
    assert_eq!(s.classes[0].effect, Effect::IdempotentByKey { scope: DeduplicationScope::Zone, window: 7 });
    assert_eq!(s.classes[1].effect, Effect::NotIdempotent, "what is not said to be repeatable is not");
    assert!(
        !s.has_peers
            && !s.can_probe
            && !s.can_cancel
            && !s.concurrent_attempts
            && s.list_mode == EndpointListMode::Pushed
    );
    assert_eq!(born("{oops").unwrap_err().field, "ProfileData");
}
