//! Every course that three members and their proposers can take, to a stated depth: each message may come late, twice, in
//! any order or never, and a member may start anew and remember nothing.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tallypin_consensus::register::{
    bootstrap_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, Defect, Proposer, RegisterValue,
    RoundStep,
};

const MEMBERS: usize = 3;
/// What is agreed on: the marks of all changes, in their order.
type History = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ProposerProcess {
    life: u64,
    round: Option<Proposer<History>>,
    rounds: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Acceptor<History>>,
    lives: Vec<u64>,
    proposers: Vec<ProposerProcess>,
    /// Questions that were sent, by who asked: each may come whenever, as often as it likes.
    asked: Vec<(usize, AcceptorRequest<History>)>,
    /// Answers that were given, likewise: by member, to whom, to what.
    answered: Vec<(usize, usize, AcceptorRequest<History>, AcceptorReply<History>)>,
    agreed: Vec<History>,
    restarts: u8,
    /// Two that were told different things.
    apart: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Begin(usize),
    Ask(usize, usize),
    Answer(usize),
    Restart(usize),
}

struct Register {
    proposers: usize,
    rounds: u8,
    restarts: u8,
    defect: Option<Defect>,
}

impl State {
    fn send(&mut self, p: usize) {
        let Some(round) = &self.proposers[p].round else { return };
        let message = (p, round.request());
        if !self.asked.contains(&message) {
            self.asked.push(message);
            self.asked.sort_by_key(|m| format!("{m:?}"));
        }
    }

    fn step(&mut self, p: usize, step: RoundStep<History>) {
        match step {
            RoundStep::Wait => {}
            RoundStep::Superseded(_) => self.proposers[p].round = None,
            RoundStep::Propose(mut history) => {
                // A mark of its own for each round.
                history.push(p as u8 * 10 + self.proposers[p].rounds);
                self.proposers[p].round.as_mut().expect("it has one").propose(history);
                self.send(p);
            }
            RoundStep::Chosen(value) => {
                let round = self.proposers[p].round.take().expect("it has one");
                // The member that proposes takes part again, if this is still its life.
                if p < MEMBERS && self.lives[p] == self.proposers[p].life {
                    self.members[p].join(round.ballot(), value.clone());
                }
                let new = value.state;
                let follows = |old: &History| old.starts_with(&new) || new.starts_with(old);
                self.apart |= !self.agreed.iter().all(follows);
                if !self.agreed.contains(&new) {
                    self.agreed.push(new);
                    self.agreed.sort();
                }
            }
        }
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let lives: Vec<u64> = (1..=MEMBERS as u64).collect();
        let blank: Vec<_> = lives.iter().map(|l| Some((*l, None))).collect();
        let value: RegisterValue<History> = bootstrap_value(&blank, |_| vec![]).expect("all are blank");
        let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
        let members = lives.iter().map(|&life| {
            let mut m = Acceptor::new(life);
            m.handle(AcceptorRequest::Prepare(ballot));
            m.handle(AcceptorRequest::Bootstrap(ballot, value.clone()));
            m.with_defect(self.defect)
        });
        let members = members.collect();
        // Members come first: they propose to take part again.
        let proposers = (0..MEMBERS + self.proposers).map(|p| {
            let life = lives.get(p).copied().unwrap_or(100 + p as u64);
            ProposerProcess { life, round: None, rounds: 0 }
        });
        let proposers = proposers.collect();
        let (asked, answered, agreed) = (vec![], vec![], vec![]);
        vec![State { members, lives, proposers, asked, answered, agreed, restarts: 0, apart: false }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        for (p, proposer) in s.proposers.iter().enumerate() {
            // A member proposes only to take part again.
            let may = p >= MEMBERS || !s.members[p].joined();
            if proposer.round.is_none() && proposer.rounds < self.rounds && may {
                actions.push(Action::Begin(p));
            }
        }
        for (i, (from, ask)) in s.asked.iter().enumerate() {
            for to in 0..MEMBERS {
                let done = s.answered.iter().any(|(m, p, a, _)| m == &to && p == from && a == ask);
                // Once is enough where nothing has changed since; a second time may answer otherwise.
                if !done || s.members[to].clone().handle(ask.clone()) != last(s, to, *from, ask) {
                    actions.push(Action::Ask(i, to));
                }
            }
        }
        actions.extend((0..s.answered.len()).map(Action::Answer));
        if s.restarts < self.restarts {
            actions.extend((0..MEMBERS).map(Action::Restart));
        }
    }

    fn next_state(&self, s: &State, action: Action) -> Option<State> {
        let mut s = s.clone();
        match action {
            Action::Begin(p) => {
                let proposer = &mut s.proposers[p];
                proposer.rounds += 1;
                // Numbers that overtake each other by turns.
                let number = 1 + u64::from(proposer.rounds);
                let ballot = Ballot { number, proposer: p as u16, incarnation: proposer.life };
                let joins = if p < MEMBERS { vec![(p as u8, proposer.life)] } else { vec![] };
                proposer.round = Some(Proposer::joining(ballot, MEMBERS, joins).with_defect(self.defect));
                s.send(p);
            }
            Action::Ask(i, to) => {
                let (from, ask) = s.asked[i].clone();
                let answer = s.members[to].handle(ask.clone());
                let message = (to, from, ask, answer);
                if !s.answered.contains(&message) {
                    s.answered.push(message);
                    s.answered.sort_by_key(|m| format!("{m:?}"));
                }
            }
            Action::Answer(i) => {
                let (from, to, ask, answer) = s.answered[i].clone();
                let step = s.proposers[to].round.as_mut()?.handle_reply(from as u8, &ask, answer);
                s.step(to, step);
            }
            Action::Restart(m) => {
                s.restarts += 1;
                let life = 10 * u64::from(s.restarts) + m as u64;
                s.lives[m] = life;
                s.members[m] = Acceptor::new(life).with_defect(self.defect);
                s.proposers[m] = ProposerProcess { life, round: None, rounds: s.proposers[m].rounds };
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("all that is agreed on follows on what was", |_, s: &State| !s.apart),
            // Guards against a model in which nothing happens.
            Property::sometimes("two changes are agreed on", |_, s: &State| {
                s.agreed.iter().any(|h| h.len() > 1)
            }),
        ]
    }
}

fn last(s: &State, to: usize, from: usize, ask: &AcceptorRequest<History>) -> AcceptorReply<History> {
    let mut all = s.answered.iter().filter(|(m, p, a, _)| *m == to && *p == from && a == ask);
    all.next_back().map(|(.., answer)| answer.clone()).expect("it has answered")
}

fn check(model: Register, depth: usize) -> (usize, BTreeMap<&'static str, usize>) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let checked = model.checker().threads(threads).target_max_depth(depth).spawn_bfs().join();
    let found = checked.discoveries().into_iter().map(|(name, path)| (name, path.into_actions().len()));
    (checked.unique_state_count(), found.collect())
}

fn holds(plays: &[(u8, usize)]) {
    for &(restarts, depth) in plays {
        let (states, found) = check(Register { proposers: 2, rounds: 1, restarts, defect: None }, depth);
        println!("{restarts} restarts, to depth {depth}: {states} states, {found:?}");
        assert!(!found.contains_key("all that is agreed on follows on what was"), "{found:?}");
    }
}

fn finds(plays: &[(Defect, u8, usize)]) {
    for &(defect, restarts, depth) in plays {
        let (states, found) =
            check(Register { proposers: 2, rounds: 1, restarts, defect: Some(defect) }, depth);
        println!("{defect:?}: {states} states, {found:?}");
        assert!(found.contains_key("all that is agreed on follows on what was"), "{defect:?} is not found");
    }
}

/// As deep as seconds allow; the deep check below is run by hand, with `--release -- --ignored`.
#[test]
fn two_proposers_and_a_member_that_forgets_never_agree_on_two_things() {
    holds(&[(0, 12), (1, 8)]);
    finds(&[(Defect::OneShort, 0, 12)]);
}

#[test]
#[ignore = "minutes"]
fn the_same_deep_enough_for_two_changes_and_for_deliberate_mistakes() {
    holds(&[(0, 20), (1, 14)]);
    finds(&[
        (Defect::CountsTwice, 0, 16),
        (Defect::ForgetsPromise, 0, 20),
        (Defect::TakesOlder, 0, 20),
        (Defect::FirstHeard, 0, 20),
    ]);
}
