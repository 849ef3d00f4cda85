//! Proposal rounds of a council member. Queued commands are proposed in batches, one batch per round.
//!
//! All routers submit to the same member, so that hundreds of proposers do not supersede each other's rounds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tallypin_consensus::fleet_state::{Command, CouncilView, FleetState, Rejection, RouterIncarnation};
use tallypin_consensus::register::{AcceptorReply, Ballot, Proposal, Proposer, RoundStep};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout_at};

use super::control::RouterControl;
use super::council::{Council, CouncilAnswer, MemberAnswer};
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::peer_table::PeerTable;
use super::settings::FleetSettings;
use super::unix_ms;
use super::wire::CommandOutcome;

/// Backoff after the first superseded round. It doubles with every further one, so that two competing proposers diverge.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of the backoff after a superseded round.
const MAX_BACKOFF: Duration = Duration::from_millis(640);
/// Maximum number of commands per round. Bounds the duration of a round.
const MAX_BATCH_COMMANDS: usize = 64;
/// Maximum number of queued commands: a few from every router of the largest fleet.
const MAX_QUEUED_COMMANDS: usize = 4096;

/// A command and the router that submitted it.
struct SubmittedCommand {
    command: Command,
    submitter: RouterIncarnation,
}

struct QueuedCommand {
    submitted: SubmittedCommand,
    outcome: oneshot::Sender<CommandOutcome>,
}

/// Proposes the queued commands of a member.
pub struct CommandProposer {
    settings: Rc<FleetSettings>,
    local: Rc<LocalRouter>,
    control: Rc<dyn RouterControl>,
    council: Rc<Council>,
    peers: Rc<PeerTable>,
    state: Rc<KnownState>,
    queue: RefCell<Vec<QueuedCommand>>,
    queued: Notify,
    highest_ballot: Cell<Ballot>,
}

impl CommandProposer {
    /// Creates a proposer with an empty queue.
    pub fn new(
        settings: Rc<FleetSettings>,
        local: Rc<LocalRouter>,
        control: Rc<dyn RouterControl>,
        council: Rc<Council>,
        peers: Rc<PeerTable>,
        state: Rc<KnownState>,
    ) -> CommandProposer {
        CommandProposer {
            settings,
            local,
            control,
            council,
            peers,
            state,
            queue: RefCell::default(),
            queued: Notify::new(),
            highest_ballot: Cell::default(),
        }
    }

    /// Queues a command for the next round and waits for its outcome; `None` if this router is not a member, the queue is
    /// full, or no round completed in time.
    pub async fn enqueue(&self, submitter: RouterIncarnation, command: Command) -> Option<CommandOutcome> {
        if !self.council.is_member() || self.queue.borrow().len() >= MAX_QUEUED_COMMANDS {
            return None;
        }
        let (outcome, receiver) = oneshot::channel();
        let submitted = SubmittedCommand { command, submitter };
        self.queue.borrow_mut().push(QueuedCommand { submitted, outcome });
        self.queued.notify_one();
        receiver.await.ok()
    }

    /// Proposes the queued commands batch by batch. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.queued.notified().await;
            loop {
                let batch = self.next_batch();
                if batch.is_empty() {
                    break;
                }
                let (commands, outcomes): (Vec<_>, Vec<_>) =
                    batch.into_iter().map(|queued| (queued.submitted, queued.outcome)).unzip();
                // Without a result the senders are dropped, and the callers of `enqueue` receive `None`.
                if let Some(results) = self.propose(&commands).await {
                    for (outcome, result) in outcomes.into_iter().zip(results) {
                        let _ = outcome.send(result);
                    }
                }
            }
        }
    }

    fn next_batch(&self) -> Vec<QueuedCommand> {
        let mut queue = self.queue.borrow_mut();
        // Drops commands whose submitter no longer waits for the outcome.
        queue.retain(|queued| !queued.outcome.is_closed());
        // Operator orders come first, so that a halt does not wait for the commands it is meant to stop.
        queue.sort_by_key(|queued| !queued.submitted.command.is_operator_order());
        let count = queue.len().min(MAX_BATCH_COMMANDS);
        queue.drain(..count).collect()
    }

    /// Runs rounds until one is not superseded; `None` if none completed within the order timeout.
    async fn propose(&self, commands: &[SubmittedCommand]) -> Option<Vec<CommandOutcome>> {
        let deadline = (Instant::now() + self.settings.order_timeout).into();
        let mut backoff = INITIAL_BACKOFF;
        let joining = commands.iter().filter_map(|submitted| match &submitted.command {
            Command::JoinCouncil(member) => Some(*member),
            _ => None,
        });
        let joining: Vec<_> = joining.collect();
        loop {
            let round =
                Proposer::with_joining_members(self.next_ballot(), self.council.size(), joining.clone());
            if let Some(results) = timeout_at(deadline, self.run_round(round, commands)).await.ok()? {
                return Some(results);
            }
            timeout_at(deadline, sleep(self.local.jittered(backoff))).await.ok()?;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Runs one round. The commands are applied in order, each accepted or rejected separately. `None` if another round
    /// superseded this one or no majority replied.
    async fn run_round(
        &self,
        mut round: Proposer<FleetState>,
        commands: &[SubmittedCommand],
    ) -> Option<Vec<CommandOutcome>> {
        let mut view = self.empty_view(commands);
        let mut results: Vec<Result<(), Rejection>> = vec![];
        let mut answers = self.council.send_to_all(&round.request());
        while let Some(CouncilAnswer { member, request, answer }) = answers.recv().await {
            let Some(answer) = answer else { continue };
            self.observe_answer(&answer, &mut view);
            match round.handle_reply(member, &request, answer.reply) {
                RoundStep::Wait => {}
                RoundStep::Superseded(_) => return None,
                RoundStep::Propose(state) => {
                    let applied = self.apply_commands(state, commands, &view);
                    results = applied.results;
                    if results.iter().all(Result::is_err) {
                        return Some(outcomes(results, &FleetState::default()));
                    }
                    round.propose(applied.state);
                    answers = self.council.send_to_all(&round.request());
                }
                RoundStep::Chosen(value) => {
                    let state = value.state.clone();
                    self.council.join(Proposal { ballot: round.ballot(), value });
                    self.state.learn(&state);
                    return Some(outcomes(results, &state));
                }
            }
        }
        None
    }

    fn empty_view(&self, commands: &[SubmittedCommand]) -> CouncilView {
        let needs_list = |submitted: &SubmittedCommand| {
            matches!(submitted.command, Command::DrainReplicas { .. } | Command::AdvanceReplica(_))
        };
        CouncilView {
            majority: self.council.majority(),
            replicas: commands.iter().any(needs_list).then(|| self.control.replica_views()).flatten(),
            unix_ms: unix_ms(),
            ..CouncilView::default()
        }
    }

    /// Adds the out-of-service vote of a promise to the view, and records a ballot that superseded the one of this proposer.
    fn observe_answer(&self, answer: &MemberAnswer, view: &mut CouncilView) {
        match (&answer.reply, &answer.out_of_service) {
            (AcceptorReply::Superseded(ballot), _) => self.observe_ballot(*ballot),
            (AcceptorReply::Promised { .. }, Some(out_of_service)) => {
                view.informed_members += 1;
                view.out_of_service.extend(out_of_service);
            }
            _ => {}
        }
    }

    fn apply_commands(
        &self,
        mut state: FleetState,
        commands: &[SubmittedCommand],
        view: &CouncilView,
    ) -> AppliedCommands {
        let mut results = vec![];
        for submitted in commands {
            let applied = match self.is_latest_incarnation(submitted.submitter) {
                true => state.apply(&submitted.command, &self.settings.limits, view),
                false => Err(Rejection::NothingToChange),
            };
            results.push(applied.map(|new| state = new));
        }
        AppliedCommands { state, results }
    }

    /// Returns false if the router has restarted since it submitted a command. The command, which may have waited for a
    /// majority, would act for the new incarnation.
    fn is_latest_incarnation(&self, submitter: RouterIncarnation) -> bool {
        submitter.incarnation >= self.peers.latest_incarnation(submitter.router)
    }

    /// Returns a ballot above all known ballots.
    pub fn next_ballot(&self) -> Ballot {
        let own = Ballot { number: 0, proposer: self.local.index(), incarnation: self.local.incarnation() };
        let ballot = own.above(self.highest_ballot.get());
        self.highest_ballot.set(ballot);
        ballot
    }

    /// Records a ballot that a member has promised.
    pub fn observe_ballot(&self, ballot: Ballot) {
        self.highest_ballot.set(self.highest_ballot.get().max(ballot));
    }
}

/// The state after a batch of commands, and the result of each command.
struct AppliedCommands {
    state: FleetState,
    results: Vec<Result<(), Rejection>>,
}

fn outcomes(results: Vec<Result<(), Rejection>>, state: &FleetState) -> Vec<CommandOutcome> {
    results.into_iter().map(|result| result.map(|()| state.clone())).collect()
}
