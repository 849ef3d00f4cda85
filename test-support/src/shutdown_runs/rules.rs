//! Checks the rules on what clients and replicas observed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::client::{Exchange, Outcome};
use super::pauses::{Pause, Pauses};
use super::process::Exit;
use super::replica::{ReplicaAttempt, ReplicaOutcome};
use super::scenario::{Effect, Group, Scenario};

/// Time after a drain appears in the endpoint list during which attempts may still go to the replica. Includes the
/// time to notify the router.
const DRAIN_GRACE: Duration = Duration::from_millis(600);
/// Latest notification of a list change where the router's connection to the list service may break.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// Tolerance added to every time limit.
const TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// Largest delay of a response after its deadline.
pub(super) const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Time after a client disconnects within which an attempt of its request may still begin.
const MAX_SEND_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// Part of the deduplication window that a router reserves for the time between its reading of the clock and its
/// write.
const REPEAT_WINDOW_MARGIN: Duration = Duration::from_millis(150);
/// Amount by which the deadline sent to a replica may exceed the client's remaining time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);
/// Time before an attempt from which the history of a request names second responses of its replica.
const SECOND_RESPONSE_HISTORY: Duration = Duration::from_millis(50);
/// Requests sent later than this after SIGTERM have to be answered before SIGKILL.
pub(super) const ANSWER_REQUIRED_AFTER: Duration = Duration::from_millis(700);

/// A rule that a router can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that may have run was rejected as if it had not.
    RefusedAfterRunning,
    /// The connection of a request that may have run ended without a response, so that its client sends it again.
    UnansweredAfterRunning,
    /// A request ran twice although its class forbids that.
    RunTwice,
    /// Two attempts of a request were in flight at once although the settings forbid that.
    ConcurrentAttempts,
    /// The response was late or missing.
    ResponseLateOrMissing,
    /// A stream was cut while its replica was still sending.
    StreamCut,
    /// An attempt began after its client had disconnected.
    SentAfterDisconnect,
    /// A replica was given a longer deadline than the client had left.
    DeadlineTooLong,
    /// An attempt went to a replica long after the endpoint list showed it as draining.
    SentToDraining,
    /// The process panicked or exited with an error status.
    Crash,
}

/// A violated rule, and the history of the request.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// What the client and the replicas observed of the request, and what the router logged about it.
    pub history: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}\n{}", self.rule, self.history)
    }
}

/// What was observed in a run.
pub(super) struct Observations<'a> {
    pub scenario: &'a Scenario,
    pub exchanges: &'a [Exchange],
    pub attempts: &'a [ReplicaAttempt],
    pub sigterm_at: Duration,
    pub killed_at: Option<Duration>,
    pub draining_since: &'a BTreeMap<usize, Duration>,
    pub exit: Exit,
    pub pauses: Pauses,
    pub log: &'a str,
    pub timing_checked: bool,
}

/// One request: its exchanges with the client, and the attempts that replicas received.
struct Request<'a> {
    id: &'a str,
    exchanges: Vec<&'a Exchange>,
    attempts: Vec<&'a ReplicaAttempt>,
}

/// Returns all violations.
pub(super) fn find_violations(observations: &Observations) -> Vec<Violation> {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    for exchange in observations.exchanges {
        let new_request = || Request { id: &exchange.id, exchanges: Vec::new(), attempts: Vec::new() };
        requests.entry(&exchange.id).or_insert_with(new_request).exchanges.push(exchange);
    }
    for attempt in observations.attempts {
        if let Some(request) = requests.get_mut(&*attempt.id) {
            request.attempts.push(attempt);
        }
    }
    let mut violations: Vec<Violation> =
        requests.values().flat_map(|r| observations.violations_of(r)).collect();
    violations.extend(observations.crash());
    violations
}

impl Observations<'_> {
    fn crash(&self) -> Option<Violation> {
        let exited_cleanly = match self.exit {
            Exit::Exited(status) => status.success(),
            Exit::Killed => true,
        };
        let panicked = self.log.lines().find(|l| l.contains("panicked"));
        let history = format!("{:?} {}", self.exit, panicked.unwrap_or_default());
        (!exited_cleanly || panicked.is_some()).then_some(Violation { rule: Rule::Crash, history })
    }

    fn violations_of(&self, request: &Request) -> Vec<Violation> {
        let mut rules: Vec<Rule> =
            request.exchanges.iter().filter_map(|t| self.rule_violated_by_exchange(request, t)).collect();
        rules.extend(self.rules_violated_by_attempts(request));
        rules.sort();
        rules.dedup();
        rules.into_iter().map(|rule| Violation { rule, history: self.history(request) }).collect()
    }

    /// Returns the rule that one exchange with the client violates.
    fn rule_violated_by_exchange(&self, request: &Request, exchange: &Exchange) -> Option<Rule> {
        let ended_at = exchange.ended_at.unwrap_or(Duration::MAX);
        let may_have_run =
            request.attempts.iter().any(|r| r.may_have_run() && r.complete_at < Some(ended_at));
        match exchange.outcome {
            Outcome::Answered(429 | 503)
                if may_have_run && !may_reject_after_running(exchange.class.effect) =>
            {
                Some(Rule::RefusedAfterRunning)
            }
            Outcome::Closed if self.excused_by_kill(exchange, ended_at) => None,
            Outcome::Closed if may_have_run => Some(Rule::UnansweredAfterRunning),
            Outcome::Truncated(_) if self.excused_by_kill(exchange, ended_at) => None,
            Outcome::Truncated(_) if !self.scenario.resume && self.was_still_streaming(request, ended_at) => {
                Some(Rule::StreamCut)
            }
            // Whether an incomplete request was answered in time cannot be judged when the harness itself was
            // late.
            Outcome::TimedOut if exchange.sent_at.is_some() || self.timing_checked => {
                Some(Rule::ResponseLateOrMissing)
            }
            Outcome::Open
                if exchange.sent_at.is_some()
                    && !self.excused_by_kill(exchange, Duration::MAX)
                    && may_have_run =>
            {
                Some(Rule::ResponseLateOrMissing)
            }
            Outcome::Answered(_) if self.timing_checked && self.is_late(exchange) => {
                Some(Rule::ResponseLateOrMissing)
            }
            _ => None,
        }
    }

    /// Whether SIGKILL ended the exchange and the request was sent too early to require a response.
    fn excused_by_kill(&self, exchange: &Exchange, ended_at: Duration) -> bool {
        let ended_by_kill = self.killed_at.is_some_and(|at| ended_at + TIME_TOLERANCE >= at);
        ended_by_kill
            && exchange.sent_at.is_none_or(|sent_at| sent_at < self.sigterm_at + ANSWER_REQUIRED_AFTER)
    }

    /// Whether the response began too late: after the deadline, and after the client had sent the whole request.
    fn is_late(&self, exchange: &Exchange) -> bool {
        let due = (exchange.start + exchange.class.deadline).max(exchange.sent_at.unwrap_or_default());
        exchange.first_byte_at.is_some_and(|first_byte_at| first_byte_at > due + MAX_RESPONSE_DELAY)
    }

    /// Whether a replica was still streaming the response when the client's connection ended. Always false with
    /// socket faults: the router's connection to the replica may have broken, which the replica cannot see.
    fn was_still_streaming(&self, request: &Request, ended_at: Duration) -> bool {
        if self.scenario.socket_faults.is_some() {
            return false;
        }
        let streaming = request
            .attempts
            .iter()
            .filter(|r| r.outcome == ReplicaOutcome::ClosedByRouter && r.response_begun_at.is_some());
        streaming.filter_map(|r| r.ended_at).any(|at| at + TIME_TOLERANCE >= ended_at)
    }

    /// Returns the rules that the attempts at replicas violate.
    fn rules_violated_by_attempts(&self, request: &Request) -> Vec<Rule> {
        let mut rules = Vec::new();
        let Some(first) = request.exchanges.first() else { return rules };
        let ran: Vec<&&ReplicaAttempt> = request.attempts.iter().filter(|r| r.may_have_run()).collect();
        for (n, later) in ran.iter().enumerate() {
            let earlier = &ran[..n];
            rules.extend(
                earlier.iter().any(|e| self.is_forbidden_repeat(first, e, later)).then_some(Rule::RunTwice),
            );
        }
        for (n, later) in request.attempts.iter().enumerate() {
            let overlaps =
                |e: &&ReplicaAttempt| e.ended_at.is_none_or(|at| at > later.head_at + TIME_TOLERANCE);
            let concurrent = !self.scenario.parallel_attempts && request.attempts[..n].iter().any(overlaps);
            rules.extend((concurrent && self.timing_checked).then_some(Rule::ConcurrentAttempts));
            let disconnected_at = request
                .exchanges
                .iter()
                .find(|t| t.outcome == Outcome::Disconnected)
                .and_then(|t| t.ended_at);
            let after_disconnect = disconnected_at.is_some_and(|disconnected_at| {
                later.head_at
                    > disconnected_at
                        + MAX_SEND_AFTER_DISCONNECT
                        + self.pauses.reaction_delay(disconnected_at, later.head_at)
            });
            rules.extend((after_disconnect && self.timing_checked).then_some(Rule::SentAfterDisconnect));
            rules.extend(
                (self.timing_checked && self.deadline_too_long(request, later))
                    .then_some(Rule::DeadlineTooLong),
            );
            rules.extend(
                (self.timing_checked && self.sent_to_draining(later)).then_some(Rule::SentToDraining),
            );
        }
        rules
    }

    /// Whether an attempt went to a replica long after the endpoint list showed it as draining.
    fn sent_to_draining(&self, attempt: &ReplicaAttempt) -> bool {
        let notification_delay = match (&self.scenario.socket_faults, self.scenario.list_outage) {
            (None, None) => Duration::ZERO,
            (_, list_outage) => {
                MAX_NOTIFICATION_DELAY + list_outage.map_or(Duration::ZERO, |(_, length)| length)
            }
        };
        let draining_since = self.draining_since.get(&attempt.replica);
        draining_since
            .is_some_and(|at| attempt.head_at > *at + notification_delay + DRAIN_GRACE + TIME_TOLERANCE)
    }

    fn is_forbidden_repeat(
        &self,
        exchange: &Exchange,
        earlier: &ReplicaAttempt,
        later: &ReplicaAttempt,
    ) -> bool {
        match exchange.class.effect {
            Effect::Pure => false,
            Effect::SideEffect => true,
            Effect::Token(group, window) => {
                let (earlier_replica, later_replica) =
                    (&self.scenario.replicas[earlier.replica], &self.scenario.replicas[later.replica]);
                let same_group = match group {
                    Group::All => true,
                    Group::Zone => earlier_replica.zone == later_replica.zone,
                    Group::Cell => earlier_replica.cell == later_replica.cell,
                };
                let pause = self
                    .pauses
                    .pause_before_write(earlier.head_at, later.head_at)
                    .saturating_sub(REPEAT_WINDOW_MARGIN);
                !same_group || later.complete_at > Some(earlier.head_at + window + pause + TIME_TOLERANCE)
            }
        }
    }

    fn deadline_too_long(&self, request: &Request, attempt: &ReplicaAttempt) -> bool {
        let Some(sent_deadline) = attempt.deadline_ms.map(Duration::from_millis) else { return false };
        let Some(last) = request.exchanges.iter().rfind(|t| t.start <= attempt.head_at) else { return false };
        // The router cannot know how long a request stayed unread while the process was paused.
        let tolerance =
            DEADLINE_TOLERANCE.max(self.pauses.reaction_delay(last.start, attempt.head_at)) + TIME_TOLERANCE;
        attempt.head_at + sent_deadline > last.start + last.class.deadline + tolerance
    }

    /// Describes all that is known of a request; times are relative to SIGTERM.
    fn history(&self, request: &Request) -> String {
        let at = |time: Duration| format!("{:+.3}", time.as_secs_f64() - self.sigterm_at.as_secs_f64());
        let at_or_dash = |time: Option<Duration>| time.map_or("-".into(), at);
        let mut lines =
            vec![format!("seed {}, request {}, seconds after SIGTERM:", self.scenario.seed, request.id)];
        for t in &request.exchanges {
            lines.push(format!(
                " client: {} {:?}, deadline {:?}, started {}, sent {}, first byte {}, ended {}: {:?}",
                t.class.name,
                t.class.effect,
                t.class.deadline,
                at(t.start),
                at_or_dash(t.sent_at),
                at_or_dash(t.first_byte_at),
                at_or_dash(t.ended_at),
                t.outcome
            ));
        }
        for r in &request.attempts {
            lines.push(format!(
                " replica {}: head {}, complete {}, response begun {}, ended {}: {:?}",
                r.replica,
                at(r.head_at),
                at_or_dash(r.complete_at),
                at_or_dash(r.response_begun_at),
                at_or_dash(r.ended_at),
                r.outcome
            ));
        }
        // A late one may have been taken for the response to an attempt of this request.
        for r in self.second_responses_before(request) {
            let (ended_at, second_at) = (at_or_dash(r.ended_at), at_or_dash(r.second_response_at));
            lines.push(format!(
                " replica {}: second response to {} at {second_at}, {ended_at} the first",
                r.replica, r.id
            ));
        }
        lines.push(format!(" killed {}", at_or_dash(self.killed_at)));
        let pause = |pause: &Pause| format!(" paused from {} to {}", at(pause.from), at(pause.to));
        lines.extend(self.pauses.iter().map(pause));
        lines.extend(self.log_lines_about(request.id));
        // The router's knowledge of the endpoint list may explain where it sent attempts.
        let draining = self
            .draining_since
            .iter()
            .map(|(replica, time)| format!(" replica {replica} draining since {}", at(*time)));
        lines.extend(draining);
        let list_lines = self.log.lines().filter(|l| l.contains(" node_list: "));
        lines.extend(list_lines.map(|l| format!(" log: {l}")));
        lines.join("\n")
    }

    /// Returns the attempts whose second response their replica wrote shortly before an attempt of a request, or during it.
    fn second_responses_before<'b>(
        &'b self,
        request: &'b Request,
    ) -> impl Iterator<Item = &'b ReplicaAttempt> {
        let precedes = |second_at: Duration, attempt: &ReplicaAttempt| {
            let ended_at = attempt.ended_at.unwrap_or(Duration::MAX);
            (attempt.head_at.saturating_sub(SECOND_RESPONSE_HISTORY)..=ended_at).contains(&second_at)
        };
        self.attempts.iter().filter(move |r| {
            let mut of_same_replica = request.attempts.iter().filter(|attempt| attempt.replica == r.replica);
            r.second_response_at.is_some_and(|at| of_same_replica.any(|attempt| precedes(at, attempt)))
        })
    }

    /// Returns the lines of the router's log about a request, found by its id or by the number that the router
    /// gave it.
    fn log_lines_about(&self, id: &str) -> Vec<String> {
        let id_field = format!("name={id} ");
        let has_id = |l: &&str| l.contains(&id_field) || l.ends_with(id_field.trim_end());
        let numbers: Vec<String> = self.log.lines().filter(has_id).filter_map(request_number).collect();
        let about_request = |l: &&str| request_number(l).is_some_and(|n| numbers.contains(&n));
        self.log.lines().filter(about_request).map(|l| format!(" log: {l}")).collect()
    }
}

/// Parses the router's request number in a log line.
fn request_number(line: &str) -> Option<String> {
    let rest = line.split_once(" request=")?.1;
    Some(rest.split(' ').next()?.to_string())
}

/// Whether a request of this class may be rejected after it may have run.
fn may_reject_after_running(effect: Effect) -> bool {
    matches!(effect, Effect::Pure | Effect::Token(Group::All, _))
}
