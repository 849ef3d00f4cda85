//! A promise outlives the member that gave it: the member restarts, forgets, joins again below that round and helps to
//! choose something; then the round goes on with the old promise. Too rare a course for the random network to come upon.

use tallypin_consensus::register::{Acceptor, Ballot, CouncilMember, Defect, Proposal, Proposer, RoundStep};

use crate::{History, Network};

/// Plays a round before the members of `reach`, by what they are asked now.
fn finish(
    round: &mut Proposer<History>,
    members: &mut [Acceptor<History>],
    reach: &[usize],
    mark: u32,
) -> RoundStep<History> {
    loop {
        let request = round.request();
        let replies: Vec<_> =
            reach.iter().map(|&member| (member as u8, members[member].handle(request.clone()))).collect();
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

fn late_round(defect: Option<Defect>) -> RoundStep<History> {
    let mut members = Network::new(1, 3, defect).members;
    let ballot = |number, proposer, incarnation| Ballot { number, proposer, incarnation };
    let mut late = Proposer::new(ballot(10, 3, 0), 3).with_defect(defect);
    let request = late.request();
    let promise = members[0].handle(request.clone());
    members[0] = Acceptor::new(100).with_defect(defect);
    let joining = vec![CouncilMember { member: 0, incarnation: 100 }];
    let mut joins = Proposer::joining(ballot(3, 0, 100), 3, joining).with_defect(defect);
    let RoundStep::Chosen(value) = finish(&mut joins, &mut members, &[1, 2], 1) else { panic!("joins") };
    members[0].join(Proposal { ballot: ballot(3, 0, 100), value });
    let mut other = Proposer::new(ballot(4, 4, 0), 3).with_defect(defect);
    let RoundStep::Chosen(other) = finish(&mut other, &mut members, &[0, 2], 2) else { panic!("agrees") };
    assert_eq!(other.state, vec![1, 2]);
    assert_eq!(late.handle_reply(0, &request, promise), RoundStep::Wait);
    finish(&mut late, &mut members, &[1], 3);
    finish(&mut late, &mut members, &[1, 2], 3)
}

#[test]
fn a_promise_of_an_earlier_incarnation_is_void() {
    match late_round(Some(Defect::AnyIncarnation)) {
        RoundStep::Chosen(value) => {
            assert_eq!(value.state, vec![1, 3], "the defect loses what was chosen");
        }
        other => panic!("{other:?}"),
    }
    match late_round(None) {
        RoundStep::Chosen(value) => assert_eq!(value.state, vec![1, 2, 3]),
        other => panic!("{other:?}"),
    }
}
