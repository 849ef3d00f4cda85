use super::*;

type Members = Vec<Acceptor<u64>>;

fn founded(n: usize) -> Members {
    let mut all: Members = (0..n as u64).map(Acceptor::new).collect();
    let blank: Vec<_> = (0..n as u64).map(|life| Some((life, None))).collect();
    let value = bootstrap_value(&blank, |_| 0).expect("all are blank");
    let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
    for m in &mut all {
        assert!(matches!(m.handle(AcceptorRequest::Prepare(ballot)), AcceptorReply::Uninitialized { .. }));
        assert_eq!(
            m.handle(AcceptorRequest::Bootstrap(ballot, value.clone())),
            AcceptorReply::Accepted { incarnation: m.incarnation }
        );
    }
    all
}

/// Plays a round before those members that `reach` says; what it ends with.
fn play(all: &mut Members, mut round: Proposer<u64>, reach: &[usize]) -> RoundStep<u64> {
    loop {
        let ask = round.request();
        let mut last = RoundStep::Wait;
        for &m in reach {
            let answer = all[m].handle(ask.clone());
            match round.handle_reply(m as MemberIndex, &ask, answer) {
                RoundStep::Wait => {}
                step => {
                    last = step;
                    break;
                }
            }
        }
        match last {
            RoundStep::Propose(n) => round.propose(n + 1),
            other => return other,
        }
    }
}

fn ballot(number: u64, by: u16) -> Ballot {
    Ballot { number, proposer: by, incarnation: 0 }
}

#[test]
fn a_majority_changes_it_and_a_minority_does_not() {
    let mut all = founded(5);
    let agreed =
        |step| matches!(step, RoundStep::Chosen(RegisterValue { state: document, .. }) if document > 0);
    assert!(agreed(play(&mut all, Proposer::new(ballot(2, 0), 5), &[0, 1, 2])));
    let step = play(&mut all, Proposer::new(ballot(3, 1), 5), &[2, 3, 4]);
    assert!(matches!(&step, RoundStep::Chosen(v) if v.state == 2), "built on the first: {step:?}");
    assert_eq!(play(&mut all, Proposer::new(ballot(4, 2), 5), &[0, 1]), RoundStep::Wait);
    let late = play(&mut all, Proposer::new(ballot(2, 3), 5), &[2, 3, 4]);
    assert_eq!(late, RoundStep::Superseded(ballot(3, 1)), "an older round is told of the newer");
}

#[test]
fn a_member_that_has_restarted_takes_part_only_after_a_majority_without_it_has_named_its_life() {
    let mut all = founded(3);
    play(&mut all, Proposer::new(ballot(2, 0), 3), &[0, 1]);
    all[0] = Acceptor::new(100);
    assert_eq!(play(&mut all, Proposer::new(ballot(3, 1), 3), &[0, 2]), RoundStep::Wait, "blank, and one");
    let alone = Proposer::joining(ballot(4, 0), 3, vec![(0, 100)]);
    assert_eq!(play(&mut all, alone, &[0, 1]), RoundStep::Wait, "itself does not count");
    let joined = play(&mut all, Proposer::joining(ballot(5, 0), 3, vec![(0, 100)]), &[1, 2]);
    let RoundStep::Chosen(value) = joined else { panic!("{joined:?}") };
    assert_eq!((value.incarnations[0], value.state), (100, 2), "what was agreed on before is kept");
    all[0].join(ballot(5, 0), value);
    assert!(
        matches!(play(&mut all, Proposer::new(ballot(6, 2), 3), &[0, 2]), RoundStep::Chosen(v) if v.state == 3)
    );
}

#[test]
fn the_first_value_wants_all_members_and_no_majority_that_remembers() {
    assert_eq!(
        bootstrap_value(&[Some((1, None)), None, Some((3, None))], |_| 0),
        None::<RegisterValue<u64>>,
        "one has not answered"
    );
    let mut all = founded(3);
    let told = |all: &[Acceptor<u64>]| -> Vec<Option<MemberReport<u64>>> {
        all.iter().map(|m| Some((m.incarnation, m.accepted.clone()))).collect()
    };
    assert!(matches!(play(&mut all, Proposer::new(ballot(2, 1), 3), &[1, 2, 0]), RoundStep::Chosen(_)));
    all[0] = Acceptor::new(8);
    assert_eq!(bootstrap_value(&told(&all), |_| 0), None, "two of three remember");
    // Two have forgotten: the third's word is kept, and nothing is agreed on but by all.
    all[1] = Acceptor::new(9);
    assert_eq!(play(&mut all, Proposer::new(ballot(5, 2), 3), &[0, 1, 2]), RoundStep::Wait);
    let value = bootstrap_value(&told(&all), |held| held.copied().unwrap_or(0) + 100)
        .expect("one of three remembers");
    assert_eq!(value, RegisterValue { incarnations: vec![8, 9, 2], state: 101 });
    let unasked = AcceptorRequest::Bootstrap(ballot(6, 0), value.clone());
    assert!(
        all.iter_mut().all(|m| m.handle(unasked.clone()) == AcceptorReply::Superseded(ballot(5, 2))),
        "none was asked"
    );
    all.iter_mut().for_each(|m| drop(m.handle(AcceptorRequest::Prepare(ballot(6, 0)))));
    // One hears another since: it does not take what was decided before, and the others have taken it in vain.
    all[2].handle(AcceptorRequest::Prepare(ballot(7, 1)));
    let found = |n: u64, value: &RegisterValue<u64>| AcceptorRequest::Bootstrap(ballot(n, 0), value.clone());
    assert_eq!(all[2].handle(found(6, &value)), AcceptorReply::Superseded(ballot(7, 1)));
    all.iter_mut().for_each(|m| drop(m.handle(AcceptorRequest::Prepare(ballot(8, 0)))));
    assert!(all.iter_mut().all(|m| matches!(m.handle(found(8, &value)), AcceptorReply::Accepted { .. })));
    let RoundStep::Chosen(now) = play(&mut all, Proposer::new(ballot(9, 1), 3), &[1, 2]) else { panic!() };
    assert_eq!(now.state, 102);
    let late = RegisterValue { incarnations: vec![0, 9, 2], state: 77 };
    let late = all[1].handle(found(99, &late));
    assert_eq!(
        (late, all[1].accepted().map(|v| v.state)),
        (AcceptorReply::Superseded(ballot(9, 1)), Some(102))
    );
}
