//! Model check of the register with three members and their proposers, to a bounded depth. Each message may be delayed,
//! duplicated, reordered or lost, and a member may restart without its state.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tallypin_consensus::register::{
    bootstrap_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember, Defect, MemberReport,
    Proposal, Proposer, RegisterValue, RoundStep,
};

const MEMBERS: usize = 3;
const SAFETY: &str = "each chosen value extends the values chosen before";

/// State of the register: the marks of all changes, oldest first.
type History = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ProposerProcess {
    incarnation: u64,
    round: Option<Proposer<History>>,
    rounds: u8,
}

/// A request that was sent. It may arrive at any time and any number of times.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentRequest {
    from: usize,
    request: AcceptorRequest<History>,
}

/// A reply that was sent. It may arrive at any time and any number of times.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentReply {
    member: usize,
    to: usize,
    request: AcceptorRequest<History>,
    reply: AcceptorReply<History>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Acceptor<History>>,
    incarnations: Vec<u64>,
    proposers: Vec<ProposerProcess>,
    requests: Vec<SentRequest>,
    replies: Vec<SentReply>,
    chosen: Vec<History>,
    restarts: u8,
    /// Whether two values were chosen of which neither extends the other.
    diverged: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    BeginRound(usize),
    DeliverRequest { request: usize, member: usize },
    DeliverReply(usize),
    Restart(usize),
}

struct RegisterModel {
    proposers: usize,
    rounds: u8,
    restarts: u8,
    defect: Option<Defect>,
}

impl State {
    fn send(&mut self, from: usize) {
        let Some(round) = &self.proposers[from].round else { return };
        let message = SentRequest { from, request: round.request() };
        if !self.requests.contains(&message) {
            self.requests.push(message);
            self.requests.sort_by_key(|message| format!("{message:?}"));
        }
    }

    fn apply_step(&mut self, proposer: usize, step: RoundStep<History>) {
        match step {
            RoundStep::Wait => {}
            RoundStep::Superseded(_) => self.proposers[proposer].round = None,
            RoundStep::Propose(mut history) => {
                // Each round adds a mark that no other round adds.
                history.push(proposer as u8 * 10 + self.proposers[proposer].rounds);
                self.proposers[proposer].round.as_mut().expect("the proposer has a round").propose(history);
                self.send(proposer);
            }
            RoundStep::Chosen(value) => self.choose(proposer, value),
        }
    }

    fn choose(&mut self, proposer: usize, value: RegisterValue<History>) {
        let round = self.proposers[proposer].round.take().expect("the proposer has a round");
        // A member that proposed in its current incarnation joins the council again.
        if proposer < MEMBERS && self.incarnations[proposer] == self.proposers[proposer].incarnation {
            self.members[proposer].join(Proposal { ballot: round.ballot(), value: value.clone() });
        }
        let new = value.state;
        let compatible = |old: &History| old.starts_with(&new) || new.starts_with(old);
        self.diverged |= !self.chosen.iter().all(compatible);
        if !self.chosen.contains(&new) {
            self.chosen.push(new);
            self.chosen.sort();
        }
    }

    /// Returns the member's last reply to a request.
    fn last_reply(&self, member: usize, sent_request: &SentRequest) -> Option<&AcceptorReply<History>> {
        let mut replies = self.replies.iter().filter(|sent| {
            sent.member == member && sent.to == sent_request.from && sent.request == sent_request.request
        });
        replies.next_back().map(|sent| &sent.reply)
    }
}

impl Model for RegisterModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let incarnations: Vec<u64> = (1..=MEMBERS as u64).collect();
        let uninitialized = |&incarnation: &u64| Some(MemberReport { incarnation, accepted: None });
        let uninitialized: Vec<_> = incarnations.iter().map(uninitialized).collect();
        let value: RegisterValue<History> =
            bootstrap_value(&uninitialized, |_| vec![]).expect("all members are uninitialized");
        let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
        let members = incarnations.iter().map(|&incarnation| {
            let mut member = Acceptor::new(incarnation);
            member.handle(AcceptorRequest::Prepare(ballot));
            member.handle(AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() }));
            member.with_defect(self.defect)
        });
        let members = members.collect();
        // The first proposers are the members, which propose only to join again.
        let proposers = (0..MEMBERS + self.proposers).map(|p| {
            let incarnation = incarnations.get(p).copied().unwrap_or(100 + p as u64);
            ProposerProcess { incarnation, round: None, rounds: 0 }
        });
        let proposers = proposers.collect();
        let (requests, replies, chosen) = (vec![], vec![], vec![]);
        vec![State {
            members,
            incarnations,
            proposers,
            requests,
            replies,
            chosen,
            restarts: 0,
            diverged: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (p, proposer) in state.proposers.iter().enumerate() {
            // A member proposes only to join the council again.
            let may_propose = p >= MEMBERS || !state.members[p].joined();
            if proposer.round.is_none() && proposer.rounds < self.rounds && may_propose {
                actions.push(Action::BeginRound(p));
            }
        }
        for (request, sent) in state.requests.iter().enumerate() {
            for member in 0..MEMBERS {
                // A request is delivered again only if the member would now reply differently; this bounds the search.
                let reply = || state.members[member].clone().handle(sent.request.clone());
                let last = state.last_reply(member, sent);
                if last.is_none_or(|last| reply() != *last) {
                    actions.push(Action::DeliverRequest { request, member });
                }
            }
        }
        actions.extend((0..state.replies.len()).map(Action::DeliverReply));
        if state.restarts < self.restarts {
            actions.extend((0..MEMBERS).map(Action::Restart));
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::BeginRound(p) => self.begin_round(&mut state, p),
            Action::DeliverRequest { request, member } => {
                let SentRequest { from, request } = state.requests[request].clone();
                let reply = state.members[member].handle(request.clone());
                let message = SentReply { member, to: from, request, reply };
                if !state.replies.contains(&message) {
                    state.replies.push(message);
                    state.replies.sort_by_key(|message| format!("{message:?}"));
                }
            }
            Action::DeliverReply(reply) => {
                let SentReply { member, to, request, reply } = state.replies[reply].clone();
                let round = state.proposers[to].round.as_mut()?;
                let step = round.handle_reply(member as u8, &request, reply);
                state.apply_step(to, step);
            }
            Action::Restart(member) => {
                state.restarts += 1;
                let incarnation = 10 * u64::from(state.restarts) + member as u64;
                state.incarnations[member] = incarnation;
                state.members[member] = Acceptor::new(incarnation).with_defect(self.defect);
                let rounds = state.proposers[member].rounds;
                state.proposers[member] = ProposerProcess { incarnation, round: None, rounds };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFETY, |_, state: &State| !state.diverged),
            // Guards against a model that chooses nothing.
            Property::sometimes("a value with two changes is chosen", |_, state: &State| {
                state.chosen.iter().any(|history| history.len() > 1)
            }),
        ]
    }
}

impl RegisterModel {
    fn begin_round(&self, state: &mut State, p: usize) {
        let proposer = &mut state.proposers[p];
        proposer.rounds += 1;
        let incarnation = proposer.incarnation;
        // The ballots of different proposers overtake each other in turn.
        let number = 1 + u64::from(proposer.rounds);
        let ballot = Ballot { number, proposer: p as u16, incarnation };
        let joining = (p < MEMBERS).then_some(CouncilMember { member: p as u8, incarnation });
        let round = Proposer::with_joining_members(ballot, MEMBERS, joining.into_iter().collect());
        proposer.round = Some(round.with_defect(self.defect));
        state.send(p);
    }
}

fn explore(model: RegisterModel, depth: usize) -> (usize, BTreeMap<&'static str, usize>) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let checked = model.checker().threads(threads).target_max_depth(depth).spawn_bfs().join();
    let found = checked.discoveries().into_iter().map(|(name, path)| (name, path.into_actions().len()));
    (checked.unique_state_count(), found.collect())
}

fn check_safety(limits: &[(u8, usize)]) {
    for &(restarts, depth) in limits {
        let (states, found) =
            explore(RegisterModel { proposers: 2, rounds: 1, restarts, defect: None }, depth);
        println!("{restarts} restarts, to depth {depth}: {states} states, {found:?}");
        assert!(!found.contains_key(SAFETY), "{found:?}");
    }
}

fn check_defects_are_detected(cases: &[(Defect, u8, usize)]) {
    for &(defect, restarts, depth) in cases {
        let (states, found) =
            explore(RegisterModel { proposers: 2, rounds: 1, restarts, defect: Some(defect) }, depth);
        println!("{defect:?}: {states} states, {found:?}");
        assert!(found.contains_key(SAFETY), "{defect:?} is not detected");
    }
}

/// A shallow search that takes seconds. The deep search below is run by hand with `--release -- --ignored`.
#[test]
fn two_proposers_and_a_member_that_loses_its_state_never_choose_diverging_values() {
    check_safety(&[(0, 12), (1, 8)]);
    check_defects_are_detected(&[(Defect::OneShortOfMajority, 0, 12)]);
}

#[test]
#[ignore = "takes minutes"]
fn deep_search_is_safe_and_detects_each_deliberate_defect() {
    check_safety(&[(0, 20), (1, 14)]);
    check_defects_are_detected(&[
        (Defect::CountsDuplicates, 0, 16),
        (Defect::ForgetsPromise, 0, 20),
        (Defect::AcceptsOlder, 0, 20),
        (Defect::BuildsOnOldest, 0, 20),
    ]);
}
