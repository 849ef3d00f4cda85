//! The acceptor, the proposer and the read functions of the register, with a number as state.

use std::fmt::Write;

use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember,
    MemberReport, Proposal, Proposer, RegisterValue, RoundStep,
};

use crate::record::{compare, json, parse, read, round_trip};

fn ballot(number: u64, proposer: u16, incarnation: u64) -> Ballot {
    Ballot { number, proposer, incarnation }
}

/// An acceptor that starts uninitialized handles the recorded requests.
#[test]
fn an_acceptor_replies_as_recorded() {
    let mut transcript = String::new();
    for stored in [None, Some(5)] {
        let mut acceptor: Acceptor<u64> = Acceptor::new(7).with_stored(stored);
        writeln!(transcript, "blank, stored {}", json(&stored)).expect("writes to a string");
        for line in read("asks.txt").lines() {
            if let Some(chosen) = line.strip_prefix("join ") {
                acceptor.join(parse::<Proposal<u64>>(chosen));
                writeln!(transcript, "{line}").expect("writes to a string");
            } else {
                let request: AcceptorRequest<u64> = parse(line);
                let request_json = round_trip(&request);
                writeln!(transcript, "{request_json}\n= {}", round_trip(&acceptor.handle(request)))
                    .expect("writes to a string");
            }
            let (joined, accepted) = (acceptor.joined(), json(&acceptor.accepted()));
            writeln!(transcript, "  joined {joined}, taken {accepted}").expect("writes to a string");
        }
    }
    compare("member-answers.txt", &transcript);
}

fn describe(step: RoundStep<u64>) -> String {
    match step {
        RoundStep::Wait => "wait".into(),
        RoundStep::Propose(state) => format!("change {state}"),
        RoundStep::Chosen(value) => format!("agreed {}", json(&value)),
        RoundStep::Superseded(ballot) => format!("lost {}", json(&ballot)),
    }
}

/// Rounds that receive the recorded replies; each round increments the state that it reads.
#[test]
fn rounds_proceed_as_recorded() {
    let mut transcript = String::new();
    let mut round: Proposer<u64> = Proposer::new(ballot(5, 9, 1), 3);
    let mut prepare = round.request();
    for line in read("rounds.txt").lines() {
        if let Some(joining) = line.strip_prefix("round ") {
            let joining: Vec<CouncilMember> = parse(joining);
            round = match joining.is_empty() {
                true => Proposer::new(ballot(5, 9, 1), 3),
                false => Proposer::with_joining_members(ballot(5, 9, 1), 3, joining),
            };
            prepare = round.request();
            writeln!(transcript, "{line}\n  asks {}", round_trip(&round.request()))
                .expect("writes to a string");
            continue;
        }
        let (delayed, line) = line.strip_prefix("late ").map_or((false, line), |line| (true, line));
        let (from, reply): (u8, AcceptorReply<u64>) = parse(line);
        let request = if delayed { prepare.clone() } else { round.request() };
        let step = round.handle_reply(from, &request, reply);
        if let RoundStep::Propose(state) = &step {
            prepare = round.request();
            round.propose(state + 1);
        }
        let (step, request) = (describe(step), round_trip(&round.request()));
        writeln!(transcript, "{line}\n= {step}\n  asks {request}").expect("writes to a string");
    }
    compare("rounds-played.txt", &transcript);
}

/// All combinations of reports of three members, with two values and two incarnations each.
#[test]
fn chosen_and_bootstrap_values_are_as_recorded() {
    let proposal = |ballot, incarnations: &[u64], state: u64| {
        Some(Proposal { ballot, value: RegisterValue { incarnations: incarnations.to_vec(), state } })
    };
    let proposals =
        [None, proposal(ballot(2, 0, 0), &[1, 2, 3], 10), proposal(ballot(4, 1, 0), &[11, 2, 3], 20)];
    let report = |member: u64, case: usize| match case {
        0 => None,
        case => Some(MemberReport {
            incarnation: if case < 4 { member + 1 } else { member + 11 },
            accepted: proposals[(case - 1) % 3].clone(),
        }),
    };
    let mut transcript = String::new();
    for k in 0..7 * 7 * 7 {
        let reports: Vec<_> = (0..).zip([k / 49, k / 7 % 7, k % 7]).map(|(m, k)| report(m, k)).collect();
        let chosen = chosen_value(&reports).map(|chosen| (chosen.ballot.number, chosen.value.state));
        let bootstrap = bootstrap_value(&reports, |known| known.map_or(0, |state| state + 1));
        writeln!(transcript, "{} {} {}", reports.len(), json(&chosen), json(&bootstrap))
            .expect("writes to a string");
    }
    let above = ballot(0, 3, 9).above(ballot(7, 8, 1));
    let last = ballot(u64::MAX, 3, 9).above(ballot(7, 8, 1));
    writeln!(transcript, "{} {}", json(&above), json(&last)).expect("writes to a string");
    compare("register-look-ups.txt", &transcript);
}
