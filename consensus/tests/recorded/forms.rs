//! The JSON forms of commands, rejections and messages, including the forms of earlier versions.

use std::collections::BTreeSet;
use std::fmt::{Debug, Write};

use serde::{de::DeserializeOwned, Serialize};
use serde_json::from_str;
use tallypin_consensus::fleet_state::{
    Command, ConflictingDrain, DrainEntry, FleetState, Rejection, ReleaseLeaseRequest, ReleaseOrder,
    RouterIncarnation, UnfitReport, WaveFailure,
};
use tallypin_consensus::register::{
    AcceptorReply, AcceptorRequest, Ballot, CouncilMember, Proposal, RegisterValue,
};
use tallypin_consensus::release::ReleasePlan;
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{AppliedState, ReplicaLimitExceeded};
use tallypin_membership::{AdvertisedStatus, PeerStatus};

use crate::record::{compare, json, lines, read, round_trip, variant};

fn plan() -> ReleasePlan {
    ReleasePlan {
        watch_ms: 1,
        ready_ms: 2,
        max_extra_failed: 3,
        max_extra_late: 4,
        max_extra_rejected: 5,
        min_answers: 6,
        rolls_back: true,
    }
}

fn operator_orders() -> Vec<Command> {
    let (order, cause) = (|| "an order".to_string(), || "a \"cause\"".to_string());
    let replicas = || vec!["n1".to_string(), "n2".to_string()];
    let release = ReleaseOrder {
        order: order(),
        artifact: "settings".into(),
        digest: "abc".into(),
        waves: vec![vec![0, 2], vec![1]],
        plan: plan(),
    };
    vec![
        Command::Drain { order: order(), routers: vec![0, 65535] },
        Command::Restore { order: order(), routers: vec![] },
        Command::Halt { order: order(), cause: cause() },
        Command::Resume { order: order() },
        Command::DrainReplicas { order: order(), replicas: replicas(), until: None },
        Command::DrainReplicas { order: order(), replicas: replicas(), until: Some(1_800_000_000_000) },
        Command::RestoreReplicas { order: order(), replicas: replicas() },
        Command::AdvanceReplica("n1".into()),
        Command::BeginRelease(release),
        Command::RollBack { order: order(), cause: cause() },
    ]
}

fn router_commands() -> Vec<Command> {
    let cause = || "a \"cause\"".to_string();
    let (router, running_digest) = (RouterIncarnation { router: 3, incarnation: 9 }, "abc".into());
    vec![
        Command::CompleteWave(63),
        Command::FailWave(WaveFailure { wave: 1, cause: cause() }),
        Command::ReportUpToDate(3),
        Command::ReportUnfit(UnfitReport { router: 3, cause: cause() }),
        Command::RetryRelease(router),
        Command::AcquireReleaseLease(ReleaseLeaseRequest { router: 3, incarnation: 9, running_digest }),
        Command::AcquireLease(router),
        Command::UseLease(router),
        Command::ReturnLease(router),
        Command::ReportServing(router),
    ]
}

fn commands() -> Vec<Command> {
    let join = Command::JoinCouncil(CouncilMember { member: 6, incarnation: u64::MAX });
    [vec![Command::Read, join], operator_orders(), router_commands()].concat()
}

fn rejections() -> Vec<Rejection> {
    let exceeded = |out: &[&str]| ReplicaLimitExceeded {
        group: "zone a".into(),
        limit: 2,
        total: 7,
        out_of_service: out.iter().map(ToString::to_string).collect(),
    };
    vec![
        Rejection::Halted("late answers".into()),
        Rejection::FleetLimitReached(2),
        Rejection::ZoneLimitReached(1),
        Rejection::CouncilLimitReached(2),
        Rejection::ViewIncomplete,
        Rejection::UnknownRouter(9),
        Rejection::NothingToChange,
        Rejection::InvalidText,
        Rejection::ReplicaLimitReached(exceeded(&[])),
        Rejection::ReplicaLimitReached(exceeded(&["n1", "n2"])),
        Rejection::ReplicaOrdersDisabled,
        Rejection::EndpointListStale,
        Rejection::UnknownReplica("n9".into()),
        Rejection::TooManyReplicas,
        Rejection::ReleaseInProgress("v2".into()),
        Rejection::ConflictingOrder(ConflictingDrain { router: "north".into(), order: "d".into() }),
        Rejection::InvalidWaves,
        Rejection::NotSeenServing,
    ]
}

fn variants<T: Serialize>(values: &[T]) -> BTreeSet<String> {
    values.iter().map(|value| variant(&json(value))).collect()
}

#[test]
fn commands_have_their_recorded_form() {
    let kinds = variants(&commands());
    assert_eq!(kinds.len(), 21, "the list must contain each variant: {kinds:?}");
    let orders: Vec<Command> = commands().into_iter().filter(Command::is_operator_order).collect();
    compare("commands.txt", &format!("{}orders {:?}\n", lines(&commands()), variants(&orders)));
}

#[test]
fn rejections_have_their_recorded_form_and_text() {
    let kinds = variants(&rejections());
    assert_eq!(kinds.len(), 17, "the list must contain each variant: {kinds:?}");
    let form_and_text = |rejection: &Rejection| format!("{}\n  {rejection}\n", round_trip(rejection));
    let each: String = rejections().iter().map(form_and_text).collect();
    compare("rejections.txt", &each);
}

#[test]
fn messages_of_the_register_have_their_recorded_form() {
    let ballot = Ballot { number: 3, proposer: 1, incarnation: 7 };
    let proposal = Proposal { ballot, value: RegisterValue { incarnations: vec![1, 2, 3], state: 44 } };
    let requests = [
        AcceptorRequest::Read,
        AcceptorRequest::Prepare(ballot),
        AcceptorRequest::Accept(proposal.clone()),
        AcceptorRequest::Bootstrap(proposal.clone()),
    ];
    let replies = [
        AcceptorReply::Current { incarnation: 7, accepted: None },
        AcceptorReply::Current { incarnation: 7, accepted: Some(proposal.clone()) },
        AcceptorReply::Promised { incarnation: 7, accepted: None },
        AcceptorReply::Promised { incarnation: 7, accepted: Some(proposal) },
        AcceptorReply::Accepted { incarnation: 7 },
        AcceptorReply::Superseded(ballot),
        AcceptorReply::Uninitialized { incarnation: 7, stored: None },
        AcceptorReply::Uninitialized { incarnation: 7, stored: Some(44) },
    ];
    let value = RegisterValue { incarnations: vec![1], state: FleetState::bootstrap(None) };
    let with_state = AcceptorRequest::Accept(Proposal { ballot, value });
    compare("register-messages.txt", &(lines(&requests) + &lines(&replies) + &lines(&[with_state])));
}

/// Reads each form, also those of earlier versions, and writes the value again.
#[test]
fn forms_with_absent_fields_are_read_as_recorded() {
    fn read_and_write<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> String {
        from_str::<T>(text).map_or_else(|_| "not read".into(), |value| round_trip(&value))
    }
    let mut transcript = String::new();
    for line in read("forms.txt").lines() {
        let (kind, text) = line.split_once(' ').expect("a kind and JSON");
        let form = match kind {
            "document" => read_and_write::<FleetState>(text),
            "entry" => read_and_write::<DrainEntry>(text),
            "command" => read_and_write::<Command>(text),
            "rejection" => read_and_write::<Rejection>(text),
            "answer" => read_and_write::<AcceptorReply<u64>>(text),
            "ask" => read_and_write::<AcceptorRequest<u64>>(text),
            "plan" => read_and_write::<ReleasePlan>(text),
            "counts" => read_and_write::<AnswerCounts>(text),
            "follows" => read_and_write::<AppliedState>(text),
            "says" => read_and_write::<AdvertisedStatus>(text),
            "standing" => read_and_write::<PeerStatus>(text),
            other => panic!("unknown kind: {other}"),
        };
        writeln!(transcript, "{kind} {text}\n= {form}").expect("writes to a string");
    }
    compare("forms-read.txt", &transcript);
}
