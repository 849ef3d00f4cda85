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

/// Runs a round that adds one to the value, with the members that `reach` lists; returns its last step.
fn run_round(members: &mut Members, mut round: Proposer<u64>, reach: &[usize]) -> RoundStep<u64> {
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

/// The report of each member.
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
fn a_majority_changes_the_value_and_a_minority_does_not() {
    let mut members = bootstrapped(5);
    let step = run_round(&mut members, Proposer::new(ballot(2, 0), 5), &[0, 1, 2]);
    assert!(matches!(step, RoundStep::Chosen(value) if value.state > 0));
    let step = run_round(&mut members, Proposer::new(ballot(3, 1), 5), &[2, 3, 4]);
    assert!(matches!(&step, RoundStep::Chosen(value) if value.state == 2), "built on the first: {step:?}");
    assert_eq!(run_round(&mut members, Proposer::new(ballot(4, 2), 5), &[0, 1]), RoundStep::Wait);
    let late = run_round(&mut members, Proposer::new(ballot(2, 3), 5), &[2, 3, 4]);
    assert_eq!(late, RoundStep::Superseded(ballot(3, 1)), "an older round is superseded by the newer one");
}

#[test]
fn a_restarted_member_takes_part_only_after_a_majority_without_it_has_named_its_incarnation() {
    let mut members = bootstrapped(3);
    run_round(&mut members, Proposer::new(ballot(2, 0), 3), &[0, 1]);
    members[0] = Acceptor::new(100);
    let step = run_round(&mut members, Proposer::new(ballot(3, 1), 3), &[0, 2]);
    assert_eq!(step, RoundStep::Wait, "one of the two is uninitialized");
    let joining = vec![CouncilMember { member: 0, incarnation: 100 }];
    let alone = Proposer::with_joining_members(ballot(4, 0), 3, joining.clone());
    assert_eq!(run_round(&mut members, alone, &[0, 1]), RoundStep::Wait, "the joining member does not count");
    let joined = run_round(&mut members, Proposer::with_joining_members(ballot(5, 0), 3, joining), &[1, 2]);
    let RoundStep::Chosen(value) = joined else { panic!("{joined:?}") };
    assert_eq!((value.incarnations[0], value.state), (100, 2), "the chosen state is kept");
    members[0].join(Proposal { ballot: ballot(5, 0), value });
    let step = run_round(&mut members, Proposer::new(ballot(6, 2), 3), &[0, 2]);
    assert!(matches!(step, RoundStep::Chosen(value) if value.state == 3));
}

#[test]
fn the_first_value_requires_a_report_of_each_member() {
    let uninitialized = |incarnation| Some(MemberReport { incarnation, accepted: None });
    let value = bootstrap_value(&[uninitialized(1), None, uninitialized(3)], |_| 0);
    assert_eq!(value, None::<RegisterValue<u64>>, "one member has not replied");
}

/// A council of three of which two have restarted, and the value with which it starts again.
fn with_lost_memory() -> (Members, RegisterValue<u64>) {
    let mut members = bootstrapped(3);
    let step = run_round(&mut members, Proposer::new(ballot(2, 1), 3), &[1, 2, 0]);
    assert!(matches!(step, RoundStep::Chosen(_)));
    members[0] = Acceptor::new(8);
    assert_eq!(bootstrap_value(&reports(&members), |_| 0), None, "two of three remember");
    // Two members have lost their memory: the value of the third is kept, and only all three can accept a first value.
    members[1] = Acceptor::new(9);
    assert_eq!(run_round(&mut members, Proposer::new(ballot(5, 2), 3), &[0, 1, 2]), RoundStep::Wait);
    let value = bootstrap_value(&reports(&members), |known| known.copied().unwrap_or(0) + 100)
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
        "no member has promised this ballot"
    );
    prepare_all(&mut members, ballot(6, 0));
    // One member has promised another ballot since and does not accept the value, so the others' acceptance has no effect.
    members[2].handle(AcceptorRequest::Prepare(ballot(7, 1)));
    assert_eq!(members[2].handle(bootstrap(6, &value)), AcceptorReply::Superseded(ballot(7, 1)));
}

#[test]
fn a_council_continues_from_the_first_value_that_all_members_accept() {
    let (mut members, value) = with_lost_memory();
    prepare_all(&mut members, ballot(8, 0));
    let accepted = |reply| matches!(reply, AcceptorReply::Accepted { .. });
    assert!(members.iter_mut().all(|member| accepted(member.handle(bootstrap(8, &value)))));
    let RoundStep::Chosen(now) = run_round(&mut members, Proposer::new(ballot(9, 1), 3), &[1, 2]) else {
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
