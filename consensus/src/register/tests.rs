use super::*;

type Members = Vec<Acceptor<u64>>;

/// A council of which all members have accepted the first value, 0.
fn bootstrapped(n: usize) -> Members {
    let mut members: Members = (0..n as u64).map(Acceptor::new).collect();
    let uninitialized: Vec<_> =
        (0..n as u64).map(|incarnation| Some(MemberReport { incarnation, accepted: None })).collect();
    let value = bootstrap_value(&uninitialized, |_| 0).expect("all are uninitialized");
    let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
    for (incarnation, member) in (0..).zip(&mut members) {
        let prepared = member.handle(AcceptorRequest::Prepare(ballot));
        assert!(matches!(prepared, AcceptorReply::Uninitialized { .. }));
        let bootstrap = AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() });
        assert_eq!(member.handle(bootstrap), AcceptorReply::Accepted { incarnation });
    }
    members
}

/// Plays a round, which adds one, before those members that `reach` says; what it ends with.
fn play(members: &mut Members, mut round: Proposer<u64>, reach: &[usize]) -> RoundStep<u64> {
    loop {
        let request = round.request();
        let mut last = RoundStep::Wait;
        for &member in reach {
            let reply = members[member].handle(request.clone());
            match round.handle_reply(member as MemberIndex, &request, reply) {
                RoundStep::Wait => {}
                step => {
                    last = step;
                    break;
                }
            }
        }
        match last {
            RoundStep::Propose(state) => round.propose(state + 1),
            other => return other,
        }
    }
}

/// What each member reports of itself.
fn reports(members: &Members) -> Vec<Option<MemberReport<u64>>> {
    let report = |member: &Acceptor<u64>| match member.clone().handle(AcceptorRequest::Read) {
        AcceptorReply::Current { incarnation, accepted } => Some(MemberReport { incarnation, accepted }),
        AcceptorReply::Uninitialized { incarnation, .. } => {
            Some(MemberReport { incarnation, accepted: None })
        }
        other => panic!("{other:?}"),
    };
    members.iter().map(report).collect()
}

fn ballot(number: u64, proposer: u16) -> Ballot {
    Ballot { number, proposer, incarnation: 0 }
}

fn prepare_all(members: &mut Members, ballot: Ballot) {
    members.iter_mut().for_each(|member| drop(member.handle(AcceptorRequest::Prepare(ballot))));
}

fn bootstrap(number: u64, value: &RegisterValue<u64>) -> AcceptorRequest<u64> {
    AcceptorRequest::Bootstrap(Proposal { ballot: ballot(number, 0), value: value.clone() })
}

#[test]
fn a_majority_changes_it_and_a_minority_does_not() {
    let mut members = bootstrapped(5);
    let step = play(&mut members, Proposer::new(ballot(2, 0), 5), &[0, 1, 2]);
    assert!(matches!(step, RoundStep::Chosen(value) if value.state > 0));
    let step = play(&mut members, Proposer::new(ballot(3, 1), 5), &[2, 3, 4]);
    assert!(matches!(&step, RoundStep::Chosen(value) if value.state == 2), "built on the first: {step:?}");
    assert_eq!(play(&mut members, Proposer::new(ballot(4, 2), 5), &[0, 1]), RoundStep::Wait);
    let late = play(&mut members, Proposer::new(ballot(2, 3), 5), &[2, 3, 4]);
    assert_eq!(late, RoundStep::Superseded(ballot(3, 1)), "an older round learns of the newer");
}

#[test]
fn a_restarted_member_takes_part_only_after_a_majority_without_it_has_named_its_incarnation() {
    let mut members = bootstrapped(3);
    play(&mut members, Proposer::new(ballot(2, 0), 3), &[0, 1]);
    members[0] = Acceptor::new(100);
    let step = play(&mut members, Proposer::new(ballot(3, 1), 3), &[0, 2]);
    assert_eq!(step, RoundStep::Wait, "one, and one that is uninitialized");
    let joining = vec![CouncilMember { member: 0, incarnation: 100 }];
    let alone = Proposer::joining(ballot(4, 0), 3, joining.clone());
    assert_eq!(play(&mut members, alone, &[0, 1]), RoundStep::Wait, "itself does not count");
    let joined = play(&mut members, Proposer::joining(ballot(5, 0), 3, joining), &[1, 2]);
    let RoundStep::Chosen(value) = joined else { panic!("{joined:?}") };
    assert_eq!((value.incarnations[0], value.state), (100, 2), "what was agreed on before is kept");
    members[0].join(Proposal { ballot: ballot(5, 0), value });
    let step = play(&mut members, Proposer::new(ballot(6, 2), 3), &[0, 2]);
    assert!(matches!(step, RoundStep::Chosen(value) if value.state == 3));
}

#[test]
fn the_first_value_wants_a_report_of_each_member() {
    let uninitialized = |incarnation| Some(MemberReport { incarnation, accepted: None });
    let value = bootstrap_value(&[uninitialized(1), None, uninitialized(3)], |_| 0);
    assert_eq!(value, None::<RegisterValue<u64>>, "one has not answered");
}

/// A council of three in which two have restarted since, and the first value that it begins anew with.
fn with_lost_memory() -> (Members, RegisterValue<u64>) {
    let mut members = bootstrapped(3);
    let step = play(&mut members, Proposer::new(ballot(2, 1), 3), &[1, 2, 0]);
    assert!(matches!(step, RoundStep::Chosen(_)));
    members[0] = Acceptor::new(8);
    assert_eq!(bootstrap_value(&reports(&members), |_| 0), None, "two of three remember");
    // Two have forgotten: the value of the third is kept, and nothing is agreed on but by all.
    members[1] = Acceptor::new(9);
    assert_eq!(play(&mut members, Proposer::new(ballot(5, 2), 3), &[0, 1, 2]), RoundStep::Wait);
    let value = bootstrap_value(&reports(&members), |held| held.copied().unwrap_or(0) + 100)
        .expect("one of three remembers");
    assert_eq!(value, RegisterValue { incarnations: vec![8, 9, 2], state: 101 });
    (members, value)
}

#[test]
fn the_first_value_is_accepted_only_where_nothing_was_promised_since_it_was_prepared() {
    let (mut members, value) = with_lost_memory();
    let superseded = AcceptorReply::Superseded(ballot(5, 2));
    assert!(
        members.iter_mut().all(|member| member.handle(bootstrap(6, &value)) == superseded),
        "none was asked"
    );
    prepare_all(&mut members, ballot(6, 0));
    // One hears another since: it does not accept what was decided before, and the others accept it in vain.
    members[2].handle(AcceptorRequest::Prepare(ballot(7, 1)));
    assert_eq!(members[2].handle(bootstrap(6, &value)), AcceptorReply::Superseded(ballot(7, 1)));
}

#[test]
fn a_council_goes_on_from_the_first_value_that_all_members_accept() {
    let (mut members, value) = with_lost_memory();
    prepare_all(&mut members, ballot(8, 0));
    let accepted = |reply| matches!(reply, AcceptorReply::Accepted { .. });
    assert!(members.iter_mut().all(|member| accepted(member.handle(bootstrap(8, &value)))));
    let RoundStep::Chosen(now) = play(&mut members, Proposer::new(ballot(9, 1), 3), &[1, 2]) else {
        panic!()
    };
    assert_eq!(now.state, 102);
    let late = RegisterValue { incarnations: vec![0, 9, 2], state: 77 };
    let late = members[1].handle(bootstrap(99, &late));
    assert_eq!(
        (late, members[1].accepted().map(|value| value.state)),
        (AcceptorReply::Superseded(ballot(9, 1)), Some(102))
    );
}
