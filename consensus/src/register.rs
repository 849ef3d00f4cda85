//! A register that a majority of a council agrees on, changed by compare-and-set.
//!
//! A change is a round: a majority promises not to take anything older and tells what it took last; the newest of that
//! is changed; a majority takes the result. Members of the council may forget everything when they restart. So the
//! value carries the life of each member that counts (`lives`), and a promise counts only if its life is the one in the
//! newest value seen: what an earlier life promised is void. A member that has restarted takes part again once a round
//! that a majority *without it* has taken names its new life.
//!
//! The very first value is taken by all members, each blank, or not at all.

use serde::{Deserialize, Serialize};

/// A member of the council, by its place among them.
pub type MemberIndex = u8;

/// The most members of a council.
pub const MAX_MEMBERS: usize = 7;

/// A round's number. Rounds are ordered; no two have the same, as a router numbers its own upwards within a life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Above all that its proposer has heard of.
    pub number: u64,
    /// The proposer's place in the fleet.
    #[serde(rename = "by")]
    pub proposer: u16,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Ballot {
    /// One above this and `seen`. At the end of the numbers it stays there, and nothing more is agreed on.
    pub fn above(self, seen: Ballot) -> Ballot {
        Ballot { number: self.number.max(seen.number).saturating_add(1), ..self }
    }
}

/// The value: what is agreed on, and the lives of the members that count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue<D> {
    /// By member.
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    /// What the routers agree on.
    #[serde(rename = "document")]
    pub state: D,
}

/// What a member is asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcceptorRequest<D> {
    /// What it took last; nothing is promised.
    #[serde(rename = "look")]
    Read,
    /// To promise.
    Prepare(Ballot),
    /// To take a value.
    #[serde(rename = "take")]
    Accept(Ballot, RegisterValue<D>),
    /// To take the first of all values, if nothing was heard since it was asked with this number.
    #[serde(rename = "found")]
    Bootstrap(Ballot, RegisterValue<D>),
}

/// What it answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcceptorReply<D> {
    /// What it took last.
    #[serde(rename = "has")]
    Current {
        /// The life that tells it.
        #[serde(rename = "life")]
        incarnation: u64,
        /// What it took last.
        #[serde(rename = "taken")]
        accepted: Option<(Ballot, RegisterValue<D>)>,
    },
    /// Promised; what it took last.
    Promised {
        /// The life that promises.
        #[serde(rename = "life")]
        incarnation: u64,
        /// What it took last.
        #[serde(rename = "taken")]
        accepted: Option<(Ballot, RegisterValue<D>)>,
    },
    /// Taken.
    #[serde(rename = "taken")]
    Accepted {
        /// The life that has taken it.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// It has promised something newer.
    #[serde(rename = "newer")]
    Superseded(Ballot),
    /// It has started and takes no part yet.
    #[serde(rename = "blank")]
    Uninitialized {
        /// Its life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// What it had stored of what was agreed on, in an earlier life: perhaps old, and never counted.
        #[serde(default = "none", skip_serializing_if = "Option::is_none")]
        stored: Option<D>,
    },
}

fn none<D>() -> Option<D> {
    None
}

/// Deliberate mistakes, one at a time. The tests have to find each.
#[cfg(feature = "defects")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// A promise counts whatever life gave it.
    AnyLife,
    /// One member less than a majority is enough.
    OneShort,
    /// A member forgets what it has promised.
    ForgetsPromise,
    /// The first value heard is changed, not the newest.
    FirstHeard,
    /// A member that has restarted takes part at once, and counts.
    NotBlank,
    /// Older values are taken after newer ones.
    TakesOlder,
    /// An answer that comes twice counts twice.
    CountsTwice,
}

/// Without the feature there are none, and what asks for one is compiled away.
#[cfg(not(feature = "defects"))]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Defect {}

macro_rules! defect {
    ($self:ident, $name:ident) => {{
        #[cfg(feature = "defects")]
        let with = $self.defect == Some(Defect::$name);
        #[cfg(not(feature = "defects"))]
        let with = $self.defect.is_some();
        with
    }};
}

/// What a member of the council keeps.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptor<D> {
    incarnation: u64,
    joined: bool,
    promised: Ballot,
    accepted: Option<(Ballot, RegisterValue<D>)>,
    stored: Option<D>,
    defect: Option<Defect>,
}

impl<D: Clone + PartialEq> Acceptor<D> {
    /// A member that has just started and knows nothing.
    pub fn new(life: u64) -> Acceptor<D> {
        Acceptor {
            incarnation: life,
            joined: false,
            promised: Ballot::default(),
            accepted: None,
            stored: None,
            defect: None,
        }
    }

    /// The same, with what it finds stored: it tells of it while it is blank.
    pub fn with_stored(self, stored: Option<D>) -> Acceptor<D> {
        Acceptor { stored, ..self }
    }

    /// The same with a mistake.
    #[cfg(feature = "defects")]
    pub fn with_defect(self, defect: Option<Defect>) -> Acceptor<D> {
        let joined = self.joined || defect == Some(Defect::NotBlank);
        Acceptor { defect, joined, ..self }
    }

    /// Whether it takes part.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// What it took last: at times newer than what is agreed on, at times older. A hint to look.
    pub fn accepted(&self) -> Option<&RegisterValue<D>> {
        self.accepted.as_ref().map(|(_, value)| value)
    }

    /// Answers.
    pub fn handle(&mut self, ask: AcceptorRequest<D>) -> AcceptorReply<D> {
        match ask {
            AcceptorRequest::Bootstrap(ballot, value) => {
                // It was decided by what all said when they were asked with this number: whoever has heard anything since,
                // or is another life by now, does not take it.
                if ballot == self.promised && value.incarnations.contains(&self.incarnation) {
                    (self.joined, self.accepted) = (true, Some((ballot, value)));
                }
                match self.accepted.as_ref().is_some_and(|(b, _)| *b == ballot) {
                    true => AcceptorReply::Accepted { incarnation: self.incarnation },
                    false => AcceptorReply::Superseded(self.promised),
                }
            }
            // It promises as well, though that counts for nothing but `Found`.
            AcceptorRequest::Prepare(ballot) if !self.joined && ballot >= self.promised => {
                self.promised = ballot;
                AcceptorReply::Uninitialized { incarnation: self.incarnation, stored: self.stored.clone() }
            }
            AcceptorRequest::Prepare(_) if !self.joined => AcceptorReply::Superseded(self.promised),
            _ if !self.joined => AcceptorReply::Uninitialized { incarnation: self.incarnation, stored: None },
            AcceptorRequest::Read => {
                AcceptorReply::Current { incarnation: self.incarnation, accepted: self.accepted.clone() }
            }
            AcceptorRequest::Prepare(ballot) => {
                if ballot < self.promised {
                    return AcceptorReply::Superseded(self.promised);
                }
                if !defect!(self, ForgetsPromise) {
                    self.promised = ballot;
                }
                AcceptorReply::Promised { incarnation: self.incarnation, accepted: self.accepted.clone() }
            }
            AcceptorRequest::Accept(ballot, value) => {
                if ballot < self.promised && !defect!(self, TakesOlder) {
                    return AcceptorReply::Superseded(self.promised);
                }
                (self.promised, self.accepted) = (self.promised.max(ballot), Some((ballot, value)));
                AcceptorReply::Accepted { incarnation: self.incarnation }
            }
        }
    }

    /// A round that named this life has been agreed on without it: from now on it takes part.
    pub fn join(&mut self, ballot: Ballot, value: RegisterValue<D>) {
        if !self.joined && value.incarnations.contains(&self.incarnation) {
            (self.joined, self.promised, self.accepted) =
                (true, self.promised.max(ballot), Some((ballot, value)));
        }
    }
}

/// What a round wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoundStep<D> {
    /// More answers.
    Wait,
    /// To change this value: `propose` goes on with the result.
    Propose(D),
    /// This has been agreed on.
    Chosen(RegisterValue<D>),
    /// It can't be agreed on any more; the newest round heard of.
    Superseded(Ballot),
}

/// One round, at its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer<D> {
    ballot: Ballot,
    members: usize,
    /// The members that join by this round, and their new lives. They are blank, so they have no say in it.
    joins: Vec<(MemberIndex, u64)>,
    answers: Vec<Option<MemberReport<D>>>,
    value: Option<RegisterValue<D>>,
    extra: usize,
    defect: Option<Defect>,
}

/// What a member tells: the life that tells it, what it took last.
pub type MemberReport<D> = (u64, Option<(Ballot, RegisterValue<D>)>);

impl<D: Clone + PartialEq> Proposer<D> {
    /// A round of this number before so many members.
    pub fn new(ballot: Ballot, members: usize) -> Proposer<D> {
        let answers = vec![None; members];
        Proposer { ballot, members, joins: vec![], answers, value: None, extra: 0, defect: None }
    }

    /// One by which members that have restarted join, in these lives.
    pub fn joining(ballot: Ballot, members: usize, joins: Vec<(MemberIndex, u64)>) -> Proposer<D> {
        Proposer { joins, ..Proposer::new(ballot, members) }
    }

    /// The same with a mistake.
    #[cfg(feature = "defects")]
    pub fn with_defect(self, defect: Option<Defect>) -> Proposer<D> {
        Proposer { defect, ..self }
    }

    /// Its number.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// What to ask of all members now.
    pub fn request(&self) -> AcceptorRequest<D> {
        match &self.value {
            None => AcceptorRequest::Prepare(self.ballot),
            Some(value) => AcceptorRequest::Accept(self.ballot, value.clone()),
        }
    }

    fn majority(&self, of: usize) -> bool {
        let of = of + self.extra;
        of * 2 > self.members || (defect!(self, OneShort) && (of + 1) * 2 > self.members)
    }

    /// The newest value that any member has told, valid or not: what is there was taken by someone.
    fn newest(&self) -> Option<&(Ballot, RegisterValue<D>)> {
        let told = self.answers.iter().flatten().filter_map(|(_, taken)| taken.as_ref());
        match defect!(self, FirstHeard) {
            true => told.min_by_key(|(ballot, _)| *ballot),
            false => told.max_by_key(|(ballot, _)| *ballot),
        }
    }

    /// An answer to `ask`, of a member. Answers to an earlier question of this round, and doubled ones, do no harm.
    pub fn handle_reply(
        &mut self,
        from: MemberIndex,
        to: &AcceptorRequest<D>,
        answer: AcceptorReply<D>,
    ) -> RoundStep<D> {
        let from = usize::from(from);
        if from >= self.members {
            return RoundStep::Wait;
        }
        let doubled = self.answers[from].is_some() && defect!(self, CountsTwice);
        match (to, answer) {
            (_, AcceptorReply::Superseded(seen)) if seen > self.ballot => RoundStep::Superseded(seen),
            (AcceptorRequest::Prepare(b), AcceptorReply::Promised { incarnation: life, accepted: taken })
                if *b == self.ballot && self.value.is_none() =>
            {
                self.extra += usize::from(doubled);
                self.answers[from] = Some((life, taken));
                self.promised()
            }
            (AcceptorRequest::Accept(b, value), AcceptorReply::Accepted { incarnation: life })
                if *b == self.ballot && self.value.as_ref() == Some(value) =>
            {
                self.extra += usize::from(doubled);
                self.answers[from] = Some((life, None));
                self.taken()
            }
            _ => RoundStep::Wait,
        }
    }

    /// Whether a majority has answered, in the lives that count. What a member promised in one that no longer counts, it
    /// may have forgotten.
    fn enough(&self, lives: &[u64]) -> bool {
        let valid = |(i, said): &(usize, &Option<MemberReport<D>>)| {
            said.as_ref().is_some_and(|(life, _)| {
                lives.get(*i) == Some(life) || defect!(self, AnyLife) || defect!(self, NotBlank)
            })
        };
        self.majority(self.answers.iter().enumerate().filter(valid).count())
    }

    fn promised(&self) -> RoundStep<D> {
        match self.newest() {
            Some((_, newest)) if self.enough(&newest.incarnations) => {
                RoundStep::Propose(newest.state.clone())
            }
            _ => RoundStep::Wait,
        }
    }

    fn taken(&self) -> RoundStep<D> {
        match &self.value {
            Some(value) if self.enough(&value.incarnations) => RoundStep::Chosen(value.clone()),
            _ => RoundStep::Wait,
        }
    }

    /// The changed document, after `RoundStep::Propose`: from now on members are asked to take it.
    pub fn propose(&mut self, document: D) {
        let Some((_, newest)) = self.newest() else { return };
        let mut lives = newest.incarnations.clone();
        for (member, life) in &self.joins {
            // What was asked for in an earlier life, and comes late, undoes no later one.
            lives.get_mut(usize::from(*member)).into_iter().for_each(|of| *of = (*of).max(*life));
        }
        self.value = Some(RegisterValue { incarnations: lives, state: document });
        (self.answers, self.extra) = (vec![None; self.members], 0);
    }
}

/// What members have told that they took last, by member; `None`: not answered.
pub type MemberReports<D> = [Option<MemberReport<D>>];

/// What is agreed on by what members have told: what a majority, in the lives that count, took last. Whatever was agreed
/// on before they were asked, one of them would have told. It promises nothing and so stops no round: guards against many
/// that look, again and again, and let nobody change anything. `None`: not to be told by this, a round can tell.
pub fn chosen_value<D: Clone>(told: &MemberReports<D>) -> Option<(Ballot, RegisterValue<D>)> {
    told.iter().flatten().filter_map(|(_, taken)| taken.as_ref()).find_map(|(ballot, value)| {
        let same = |(member, said): &(usize, &Option<MemberReport<D>>)| {
            said.as_ref().is_some_and(|(life, taken)| {
                value.incarnations.get(*member) == Some(life)
                    && taken.as_ref().is_some_and(|(b, _)| b == ballot)
            })
        };
        (told.iter().enumerate().filter(same).count() * 2 > told.len()).then(|| (*ballot, value.clone()))
    })
}

/// What the first member of the council has all members take when too few of them remember to agree on anything ever
/// again: `told` by member is its life, and what it took last if it is not blank. `None` while a majority remembers, or
/// one has not answered. What is kept is the newest that any of them has: it may be older than what was agreed on last,
/// so whoever calls this makes it one by which nothing begins.
pub fn bootstrap_value<D: Clone>(
    told: &MemberReports<D>,
    document: impl FnOnce(Option<&D>) -> D,
) -> Option<RegisterValue<D>> {
    let told: Option<Vec<&MemberReport<D>>> = told.iter().map(Option::as_ref).collect();
    let told = told?;
    let newest = told.iter().filter_map(|(_, taken)| taken.as_ref()).max_by_key(|(ballot, _)| *ballot);
    let remember =
        |lives: &[u64]| told.iter().zip(lives).filter(|((life, t), of)| life == *of && t.is_some()).count();
    if newest.is_some_and(|(_, value)| remember(&value.incarnations) * 2 > told.len()) {
        return None;
    }
    let lives = told.iter().map(|(life, _)| *life).collect();
    Some(RegisterValue { incarnations: lives, state: document(newest.map(|(_, value)| &value.state)) })
}

#[cfg(test)]
mod tests;
