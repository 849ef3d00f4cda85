//! Council members, proposers and the messages between them.

use fastrand::Rng;
use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember, Defect,
    MemberReport, Proposal, Proposer, RegisterValue, RoundStep,
};

/// State of the register: the marks of all changes, oldest first.
pub type History = Vec<u32>;

/// A message in flight. `read` is the number of the read that the message belongs to, or 0 if it belongs to a round.
#[derive(Clone)]
enum Message {
    Request {
        from: usize,
        to: usize,
        request: AcceptorRequest<History>,
        read: u32,
    },
    Reply {
        from: usize,
        to: usize,
        request: AcceptorRequest<History>,
        reply: AcceptorReply<History>,
        read: u32,
    },
}

/// A read without a round: its number, the members' reports, and the length of the chosen history when the read began.
struct Read {
    number: u32,
    reports: Vec<Option<MemberReport<History>>>,
    min_length: usize,
}

struct ProposerProcess {
    incarnation: u64,
    highest_ballot: Ballot,
    round: Option<Proposer<History>>,
    read: Option<Read>,
    /// The member that joins the council with this round.
    joining_member: Option<usize>,
}

impl ProposerProcess {
    fn new(incarnation: u64, highest_ballot: Ballot) -> ProposerProcess {
        ProposerProcess { incarnation, highest_ballot, round: None, read: None, joining_member: None }
    }
}

pub struct Network {
    rng: Rng,
    defect: Option<Defect>,
    pub members: Vec<Acceptor<History>>,
    incarnations: Vec<u64>,
    proposers: Vec<ProposerProcess>,
    in_flight: Vec<Message>,
    /// Longest history that any process has learnt as chosen.
    chosen: History,
    pub agreements: usize,
    mark_count: u32,
    read_count: u32,
}

impl Network {
    pub fn new(seed: u64, members: usize, defect: Option<Defect>) -> Network {
        let incarnations: Vec<u64> = (0..members as u64).collect();
        let uninitialized = |&incarnation: &u64| Some(MemberReport { incarnation, accepted: None });
        let uninitialized: Vec<_> = incarnations.iter().map(uninitialized).collect();
        let value =
            bootstrap_value(&uninitialized, |_| History::new()).expect("all members are uninitialized");
        let mut all: Vec<Acceptor<History>> = incarnations.iter().map(|&of| Acceptor::new(of)).collect();
        let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
        for member in &mut all {
            member.handle(AcceptorRequest::Prepare(ballot));
            member.handle(AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() }));
            *member = member.clone().with_defect(defect);
        }
        // The first proposers are the members, which propose as well and join again after a restart.
        let proposer = |p: usize| ProposerProcess::new(p as u64, ballot);
        Network {
            rng: Rng::with_seed(seed),
            defect,
            members: all,
            incarnations,
            proposers: (0..members + 2).map(proposer).collect(),
            in_flight: Vec::new(),
            chosen: History::new(),
            agreements: 0,
            mark_count: 0,
            read_count: 0,
        }
    }

    /// Handles one random event. Fails if two processes learn diverging values or a read returns an outdated one.
    pub fn step(&mut self) -> Result<(), String> {
        match self.rng.u32(..100) {
            0..=3 => {
                let proposer = self.rng.usize(..self.proposers.len());
                self.begin_round(proposer);
            }
            4 if self.rng.u32(..4) == 0 => {
                let member = self.rng.usize(..self.members.len());
                self.restart(member);
            }
            4 => {
                let proposer = self.rng.usize(..self.proposers.len());
                self.begin_read(proposer);
            }
            // A message is lost.
            5..=9 if !self.in_flight.is_empty() => {
                let message = self.rng.usize(..self.in_flight.len());
                self.in_flight.swap_remove(message);
            }
            // A message is delivered and stays in flight as a duplicate.
            10..=14 if !self.in_flight.is_empty() => {
                let message = self.rng.usize(..self.in_flight.len());
                let message = self.in_flight[message].clone();
                self.deliver(message)?;
            }
            _ if !self.in_flight.is_empty() => {
                let message = self.rng.usize(..self.in_flight.len());
                let message = self.in_flight.swap_remove(message);
                self.deliver(message)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn send_all(&mut self, from: usize, request: &AcceptorRequest<History>, read: u32) {
        let to_all = 0..self.members.len();
        let message = |to| Message::Request { from, to, request: request.clone(), read };
        self.in_flight.extend(to_all.map(message));
    }

    fn send_round(&mut self, proposer: usize) {
        if let Some(request) = self.proposers[proposer].round.as_ref().map(Proposer::request) {
            self.send_all(proposer, &request, 0);
        }
    }

    fn begin_round(&mut self, p: usize) {
        let members = self.members.len();
        let proposer = &mut self.proposers[p];
        let incarnation = proposer.incarnation;
        let ballot = Ballot { number: 0, proposer: p as u16, incarnation }.above(proposer.highest_ballot);
        proposer.highest_ballot = ballot;
        proposer.joining_member = (p < members && !self.members[p].joined()).then_some(p);
        let joining = proposer.joining_member.map(|m| CouncilMember { member: m as u8, incarnation });
        let round = Proposer::with_joining_members(ballot, members, joining.into_iter().collect());
        proposer.round = Some(round.with_defect(self.defect));
        self.send_round(p);
    }

    fn begin_read(&mut self, p: usize) {
        self.read_count += 1;
        let reports = vec![None; self.members.len()];
        self.proposers[p].read =
            Some(Read { number: self.read_count, reports, min_length: self.chosen.len() });
        self.send_all(p, &AcceptorRequest::Read, self.read_count);
    }

    /// Restarts a member without its state and drops its round.
    fn restart(&mut self, member: usize) {
        let others_joined =
            (0..self.members.len()).filter(|&o| o != member && self.members[o].joined()).count();
        if others_joined == 0 {
            return; // Without any member that keeps its state, the council would have to be initialized again.
        }
        let incarnation = self.incarnations.iter().max().expect("there are members") + 100;
        self.incarnations[member] = incarnation;
        self.members[member] = Acceptor::new(incarnation).with_defect(self.defect);
        self.proposers[member] = ProposerProcess::new(incarnation, Ballot::default());
    }

    fn deliver(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Request { from, to, request, read } => {
                let reply = self.members[to].handle(request.clone());
                self.in_flight.push(Message::Reply { from: to, to: from, request, reply, read });
                Ok(())
            }
            Message::Reply { from, to, request, reply, read } => {
                let proposer = &mut self.proposers[to];
                if let AcceptorReply::Superseded(seen) = &reply {
                    proposer.highest_ballot = proposer.highest_ballot.max(*seen);
                }
                match reply {
                    AcceptorReply::Current { incarnation, accepted } => {
                        self.handle_read_reply(from, to, read, MemberReport { incarnation, accepted })
                    }
                    reply => self.handle_round_reply(from, to, &request, reply),
                }
            }
        }
    }

    fn handle_read_reply(
        &mut self,
        from: usize,
        to: usize,
        number: u32,
        report: MemberReport<History>,
    ) -> Result<(), String> {
        let proposer = &mut self.proposers[to];
        // A reply to an earlier read may be outdated, so it is ignored.
        let Some(read) = proposer.read.as_mut().filter(|read| read.number == number) else {
            return Ok(());
        };
        read.reports[from] = Some(report);
        let Some(chosen) = chosen_value(&read.reports) else { return Ok(()) };
        let (history, min_length) = (chosen.value.state, read.min_length);
        proposer.read = None;
        match history.len() < min_length {
            true => Err(format!(
                "read returned {history:?}, but {min_length} changes were chosen before it began"
            )),
            false => self.record_chosen(history),
        }
    }

    fn handle_round_reply(
        &mut self,
        from: usize,
        to: usize,
        request: &AcceptorRequest<History>,
        reply: AcceptorReply<History>,
    ) -> Result<(), String> {
        let Some(round) = &mut self.proposers[to].round else { return Ok(()) };
        match round.handle_reply(from as u8, request, reply) {
            RoundStep::Wait => Ok(()),
            RoundStep::Superseded(_) => {
                self.proposers[to].round = None;
                Ok(())
            }
            RoundStep::Propose(mut history) => {
                self.mark_count += 1;
                history.push(self.mark_count);
                round.propose(history);
                self.send_round(to);
                Ok(())
            }
            RoundStep::Chosen(value) => {
                let ballot = round.ballot();
                self.end_round(to, Proposal { ballot, value })
            }
        }
    }

    fn end_round(&mut self, p: usize, chosen: Proposal<History>) -> Result<(), String> {
        let proposer = &mut self.proposers[p];
        proposer.round = None;
        let incarnation = proposer.incarnation;
        if let Some(member) = proposer.joining_member.filter(|&m| self.incarnations[m] == incarnation) {
            self.members[member].join(chosen.clone());
        }
        let RegisterValue { state, .. } = chosen.value;
        self.record_chosen(state)
    }

    /// Records that a process has learnt this history as chosen.
    fn record_chosen(&mut self, history: History) -> Result<(), String> {
        let (short, long) = match history.len() < self.chosen.len() {
            true => (&history, &self.chosen),
            false => (&self.chosen, &history),
        };
        if !long.starts_with(short) {
            return Err(format!("diverging histories {:?} and {history:?} were both chosen", self.chosen));
        }
        self.agreements += 1;
        self.chosen = long.clone();
        Ok(())
    }
}
