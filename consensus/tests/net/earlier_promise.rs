//! A promise that reaches its proposer after the member has restarted. The member has lost its state, joined again with a
//! lower ballot and helped to choose a value; a round that then counts the old promise would lose that value. The sequence
//! is too rare for the random network to produce.

use tallypin_consensus::register::{Acceptor, Ballot, CouncilMember, Defect, Proposal, Proposer, RoundStep};

use crate::{History, Network};

/// Runs the rest of a round with the members of `reachable`.
fn finish(
    round: &mut Proposer<History>,
    members: &mut [Acceptor<History>],
    reachable: &[usize],
    mark: u32,
) -> RoundStep<History> {
    loop {
        let request = round.request();
        let replies: Vec<_> =
            reachable.iter().map(|&member| (member as u8, members[member].handle(request.clone()))).collect();
        let steps = replies.into_iter().map(|(member, reply)| round.handle_reply(member, &request, reply));
        let Some(step) = steps.into_iter().find(|step| *step != RoundStep::Wait) else {
            return RoundStep::Wait;
        };
        match step {
            RoundStep::Propose(mut history) => {
                history.push(mark);
                round.propose(history);
            }
            other => return other,
        }
    }
}

fn run_delayed_round(defect: Option<Defect>) -> RoundStep<History> {
    let mut members = Network::new(1, 3, defect).members;
    let ballot = |number, proposer, incarnation| Ballot { number, proposer, incarnation };
    let mut delayed = Proposer::new(ballot(10, 3, 0), 3).with_defect(defect);
    let request = delayed.request();
    let promise = members[0].handle(request.clone());
    members[0] = Acceptor::new(100).with_defect(defect);
    let joining = vec![CouncilMember { member: 0, incarnation: 100 }];
    let mut rejoin = Proposer::with_joining_members(ballot(3, 0, 100), 3, joining).with_defect(defect);
    let RoundStep::Chosen(value) = finish(&mut rejoin, &mut members, &[1, 2], 1) else {
        panic!("the member does not join")
    };
    members[0].join(Proposal { ballot: ballot(3, 0, 100), value });
    let mut other = Proposer::new(ballot(4, 4, 0), 3).with_defect(defect);
    let RoundStep::Chosen(other) = finish(&mut other, &mut members, &[0, 2], 2) else {
        panic!("the other round chooses no value")
    };
    assert_eq!(other.state, vec![1, 2]);
    assert_eq!(delayed.handle_reply(0, &request, promise), RoundStep::Wait);
    finish(&mut delayed, &mut members, &[1], 3);
    finish(&mut delayed, &mut members, &[1, 2], 3)
}

#[test]
fn a_promise_of_an_earlier_incarnation_does_not_count() {
    match run_delayed_round(Some(Defect::AnyIncarnation)) {
        RoundStep::Chosen(value) => {
            assert_eq!(value.state, vec![1, 3], "the defect loses the chosen value");
        }
        other => panic!("{other:?}"),
    }
    match run_delayed_round(None) {
        RoundStep::Chosen(value) => assert_eq!(value.state, vec![1, 2, 3]),
        other => panic!("{other:?}"),
    }
}
