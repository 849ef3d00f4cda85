//! The rules, checked on what clients and replicas saw.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::client::{Ending, Try};
use super::pauses::{Pause, Pauses};
use super::plan::{Effect, Group, Plan};
use super::process::Exit;
use super::replica::{Received, ReplicaEnd};

/// An attempt may go to a replica so long after the list said that it leaves, and word of it takes a moment.
const DRAIN_GRACE: Duration = Duration::from_millis(600);
/// Where the connection to the list may break, a change counts as told so late at the latest.
const TOLD_AT_LATEST: Duration = Duration::from_secs(6);
/// Every time limit is so much longer than the settings say.
const SLACK: Duration = Duration::from_millis(50);
/// An answer may come so long after its time; later it is lost.
pub(super) const LATE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// A repeat leaves so much of its window to the time between a look at the clock and the write.
const LEFT_FOR_WRITES: Duration = Duration::from_millis(150);
/// What is told to a replica may be so much more than what is left to the client.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// What SIGKILL finds unanswered is lost if it came later than this after SIGTERM.
pub(super) const OWED_AFTER: Duration = Duration::from_millis(700);

/// A rule that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that may have run was answered as refused.
    RefusedAfterRunning,
    /// A request that may have run was left without an answer, so that its client sends it again.
    HandedBack,
    /// A request ran twice where it must not.
    RunTwice,
    /// Two attempts were out at once where that is not allowed.
    TwoAtOnce,
    /// No final answer in time, or none at all.
    Lost,
    /// A stream was cut although its replica went on.
    Cut,
    /// An attempt began after its client had left.
    SentAfterLeaving,
    /// A replica was told a longer wait than is left.
    WaitTold,
    /// An attempt went to a replica long after the list had said that it leaves.
    SentToLeaving,
    /// The process ended otherwise than it was told to.
    Crash,
}

/// A broken rule, and the history of the request.
#[derive(Debug, Clone)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// What the request's client and replicas saw, and what the router's log has of it.
    pub history: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}\n{}", self.rule, self.history)
    }
}

/// What was seen in a trial.
pub(super) struct Seen<'a> {
    pub plan: &'a Plan,
    pub tries: &'a [Try],
    pub received: &'a [Received],
    pub told: Duration,
    pub killed: Option<Duration>,
    pub left: &'a BTreeMap<usize, Duration>,
    pub exit: Exit,
    pub pauses: Pauses,
    pub log: &'a str,
    pub on_time: bool,
}

/// One request: its tries, and the attempts that replicas received.
struct Request<'a> {
    id: &'a str,
    tries: Vec<&'a Try>,
    received: Vec<&'a Received>,
}

/// All broken rules.
pub(super) fn judge(seen: &Seen) -> Vec<Break> {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    for of in seen.tries {
        let fresh = || Request { id: &of.id, tries: Vec::new(), received: Vec::new() };
        requests.entry(&of.id).or_insert_with(fresh).tries.push(of);
    }
    for attempt in seen.received {
        if let Some(request) = requests.get_mut(&*attempt.id) {
            request.received.push(attempt);
        }
    }
    let mut breaks: Vec<Break> = requests.values().flat_map(|r| seen.broken_by(r)).collect();
    breaks.extend(seen.crash());
    breaks
}

impl Seen<'_> {
    fn crash(&self) -> Option<Break> {
        let well = match self.exit {
            Exit::Itself(status) => status.success(),
            Exit::Killed => true,
        };
        let panicked = self.log.lines().find(|l| l.contains("panicked"));
        let history = format!("{:?} {}", self.exit, panicked.unwrap_or_default());
        (!well || panicked.is_some()).then_some(Break { rule: Rule::Crash, history })
    }

    fn broken_by(&self, request: &Request) -> Vec<Break> {
        let mut rules: Vec<Rule> =
            request.tries.iter().filter_map(|t| self.broken_by_try(request, t)).collect();
        rules.extend(self.broken_by_attempts(request));
        rules.sort();
        rules.dedup();
        rules.into_iter().map(|rule| Break { rule, history: self.history(request) }).collect()
    }

    /// What its client saw of one try.
    fn broken_by_try(&self, request: &Request, of: &Try) -> Option<Rule> {
        let ended = of.ended.unwrap_or(Duration::MAX);
        let may_have_run = request.received.iter().any(|r| r.may_have_run() && r.whole_at < Some(ended));
        match of.ending {
            Ending::Answered(429 | 503) if may_have_run && !may_refuse(of.class.effect) => {
                Some(Rule::RefusedAfterRunning)
            }
            Ending::Closed if self.excused(of, ended) => None,
            Ending::Closed if may_have_run => Some(Rule::HandedBack),
            Ending::BrokenOff(_) if self.excused(of, ended) => None,
            Ending::BrokenOff(_) if !self.plan.resume && self.went_on(request, ended) => Some(Rule::Cut),
            // A client that stopped in the middle is owed its error in time, which a late harness cannot tell.
            Ending::Unanswered if of.sent.is_some() || self.on_time => Some(Rule::Lost),
            Ending::Open if of.sent.is_some() && !self.excused(of, Duration::MAX) && may_have_run => {
                Some(Rule::Lost)
            }
            Ending::Answered(_) if self.on_time && self.late(of) => Some(Rule::Lost),
            _ => None,
        }
    }

    /// Whether a try was ended by SIGKILL and came early enough to be owed nothing.
    fn excused(&self, of: &Try, ended: Duration) -> bool {
        let killed = self.killed.is_some_and(|at| ended + SLACK >= at);
        killed && of.sent.is_none_or(|sent| sent < self.told + OWED_AFTER)
    }

    /// Whether its answer came too late: after its time, and after its client had written the whole of it.
    fn late(&self, of: &Try) -> bool {
        let due = (of.begun + of.class.wait).max(of.sent.unwrap_or_default());
        of.first.is_some_and(|first| first > due + LATE)
    }

    /// Whether a replica went on with the stream of a request when its client's connection ended. Where system calls of the
    /// router fail, its connection to the replica may have broken, which the replica cannot tell.
    fn went_on(&self, request: &Request, ended: Duration) -> bool {
        if self.plan.shim.is_some() {
            return false;
        }
        let begun = request.received.iter().filter(|r| r.end == ReplicaEnd::GivenUp && r.begun_at.is_some());
        begun.filter_map(|r| r.ended_at).any(|at| at + SLACK >= ended)
    }

    /// What its replicas saw.
    fn broken_by_attempts(&self, request: &Request) -> Vec<Rule> {
        let mut rules = Vec::new();
        let Some(first) = request.tries.first() else { return rules };
        let ran: Vec<&&Received> = request.received.iter().filter(|r| r.may_have_run()).collect();
        for (n, later) in ran.iter().enumerate() {
            let earlier = &ran[..n];
            rules.extend(earlier.iter().any(|e| self.repeats(first, e, later)).then_some(Rule::RunTwice));
        }
        for (n, later) in request.received.iter().enumerate() {
            let overlaps = |e: &&Received| e.ended_at.is_none_or(|at| at > later.at + SLACK);
            let two = !self.plan.parallel && request.received[..n].iter().any(overlaps);
            rules.extend((two && self.on_time).then_some(Rule::TwoAtOnce));
            let left = request.tries.iter().find(|t| t.ending == Ending::Left).and_then(|t| t.ended);
            let after = left
                .is_some_and(|left| later.at > left + AFTER_LEAVING + self.pauses.unnoticed(left, later.at));
            rules.extend((after && self.on_time).then_some(Rule::SentAfterLeaving));
            rules.extend((self.on_time && self.told_too_much(request, later)).then_some(Rule::WaitTold));
            rules.extend((self.on_time && self.left_before(later)).then_some(Rule::SentToLeaving));
        }
        rules
    }

    /// Whether an attempt went to a replica long after the list had told that it leaves.
    fn left_before(&self, attempt: &Received) -> bool {
        let told = match (&self.plan.shim, self.plan.outage) {
            (None, None) => Duration::ZERO,
            (_, outage) => TOLD_AT_LATEST + outage.map_or(Duration::ZERO, |(_, length)| length),
        };
        let left = self.left.get(&attempt.replica);
        left.is_some_and(|at| attempt.at > *at + told + DRAIN_GRACE + SLACK)
    }

    fn repeats(&self, of: &Try, earlier: &Received, later: &Received) -> bool {
        match of.class.effect {
            Effect::Pure => false,
            Effect::SideEffect => true,
            Effect::Token(group, window) => {
                let (one, other) = (&self.plan.replicas[earlier.replica], &self.plan.replicas[later.replica]);
                let same = match group {
                    Group::All => true,
                    Group::Zone => one.zone == other.zone,
                    Group::Cell => one.cell == other.cell,
                };
                let paused = self.pauses.before_write(earlier.at, later.at).saturating_sub(LEFT_FOR_WRITES);
                !same || later.whole_at > Some(earlier.at + window + paused + SLACK)
            }
        }
    }

    fn told_too_much(&self, request: &Request, attempt: &Received) -> bool {
        let Some(told) = attempt.told_ms.map(Duration::from_millis) else { return false };
        let Some(of) = request.tries.iter().rfind(|t| t.begun <= attempt.at) else { return false };
        // Of what lay unread while the process was held up, it cannot know for how long it lay.
        let slack = TOLD_SLACK.max(self.pauses.unnoticed(of.begun, attempt.at)) + SLACK;
        attempt.at + told > of.begun + of.class.wait + slack
    }

    /// All that is known of a request; times from SIGTERM on.
    fn history(&self, request: &Request) -> String {
        let at = |time: Duration| format!("{:+.3}", time.as_secs_f64() - self.told.as_secs_f64());
        let maybe = |time: Option<Duration>| time.map_or("-".into(), at);
        let mut lines =
            vec![format!("seed {}, request {}, seconds after SIGTERM:", self.plan.seed, request.id)];
        for t in &request.tries {
            lines.push(format!(
                " client: {} {:?}, waits {:?}, begun {}, sent {}, first byte {}, ended {}: {:?}",
                t.class.name,
                t.class.effect,
                t.class.wait,
                at(t.begun),
                maybe(t.sent),
                maybe(t.first),
                maybe(t.ended),
                t.ending
            ));
        }
        for r in &request.received {
            lines.push(format!(
                " replica {}: head {}, whole {}, answer begun {}, ended {}: {:?}",
                r.replica,
                at(r.at),
                maybe(r.whole_at),
                maybe(r.begun_at),
                maybe(r.ended_at),
                r.end
            ));
        }
        lines.push(format!(" killed {}", maybe(self.killed)));
        let pause = |pause: &Pause| format!(" held up from {} to {}", at(pause.from), at(pause.to));
        lines.extend(self.pauses.iter().map(pause));
        lines.extend(self.log_of(request.id));
        // What it knew of the list may explain where it sent.
        let left =
            self.left.iter().map(|(replica, time)| format!(" replica {replica} leaves at {}", at(*time)));
        lines.extend(left);
        let of_list = self.log.lines().filter(|l| l.contains(" node_list: "));
        lines.extend(of_list.map(|l| format!(" log: {l}")));
        lines.join("\n")
    }

    /// The lines of the router's log that name a request, by its name or by the number that the router gave it.
    fn log_of(&self, id: &str) -> Vec<String> {
        let name = format!("name={id} ");
        let named = |l: &&str| l.contains(&name) || l.ends_with(name.trim_end());
        let numbers: Vec<String> = self.log.lines().filter(named).filter_map(number).collect();
        let of = |l: &&str| number(l).is_some_and(|n| numbers.contains(&n));
        self.log.lines().filter(of).map(|l| format!(" log: {l}")).collect()
    }
}

/// The request's number in a line of the log.
fn number(line: &str) -> Option<String> {
    let rest = line.split_once(" request=")?.1;
    Some(rest.split(' ').next()?.to_string())
}

/// Whether a request that may have run may be refused.
fn may_refuse(effect: Effect) -> bool {
    matches!(effect, Effect::Pure | Effect::Token(Group::All, _))
}
