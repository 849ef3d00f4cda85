//! Tests of the request core without sockets: each request receives exactly one final answer.
#![allow(missing_docs)]

mod common;

use tallypin::api::*;
use tallypin::name_hash;
use tallypin::served_report::{self, ServedCount};
use tallypin_router::core::{AbortReason, AttemptResult, Core, FinalAnswer, Instruction, NewRequest};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_700_000_000 * SECOND;

/// Returns a core with the settings of the tests and `replicas` ready replicas of one zone.
fn core(replicas: u32) -> Core {
    core_with_settings(common::config().deployment.decision_settings, replicas)
}

/// Returns a core in which all classes have the same effect.
fn core_with_effect(effect: Effect, replicas: u32) -> Core {
    let mut settings = common::config().deployment.decision_settings;
    settings.classes.iter_mut().for_each(|c| c.effect = effect);
    core_with_settings(settings, replicas)
}

fn core_with_settings(settings: Settings, replicas: u32) -> Core {
    let mut core = Core::new(settings, 7, 10 * MS).unwrap();
    let entry = |n: u32| EndpointEntry {
        replica: name_hash::replica_id(&format!("s-{n}")),
        state: EndpointState::Ready,
        ..EndpointEntry::default()
    };
    core.endpoints_changed(START, ListUpdate::Full, (0..replicas).map(entry).collect());
    core.take_instructions();
    core
}

fn request(time_left: Nanos) -> NewRequest {
    NewRequest { time_left, prompt_tokens: 100, ..NewRequest::default() }
}

fn final_answers(instructions: &[Instruction]) -> Vec<FinalAnswer> {
    let answer =
        |o: &Instruction| if let Instruction::Finish { answer: a, .. } = o { Some(*a) } else { None };
    instructions.iter().filter_map(answer).collect()
}

#[test]
fn ignores_a_first_event_after_the_final_answer() {
    let mut core = core(1);
    let id = core.accept(START, request(100 * MS));
    assert!(matches!(core.take_instructions()[..], [Instruction::StartAttempt { attempt: 0, .. }]));
    core.run_timers(START + 100 * MS);
    let instructions = core.take_instructions();
    assert!(matches!(instructions[0], Instruction::AbortAttempt { attempt: 0, .. }), "{instructions:?}");
    assert!(
        matches!(
            final_answers(&instructions)[..],
            [FinalAnswer::Rejected { retry_after: 1.., reason: RejectReason::NoCapacity }]
        ),
        "{instructions:?}"
    );
    assert!(!core.first_event(START + 101 * MS, id, 0));
    core.attempt_ended(START + 102 * MS, id, 0, Outcome::Completed.into());
    core.client_disconnected(START + 103 * MS, id);
    assert_eq!(
        (core.take_instructions().len(), core.open_requests(), core.counts().client_disconnects),
        (0, 0, 0)
    );
}

/// Returns the deadline, counted from `now`, of the attempt that is started for a request.
fn deadline_of_attempt(core: &mut Core, now: Nanos, request: NewRequest) -> Option<Nanos> {
    core.accept(now, request);
    let started = core.take_instructions().into_iter().find_map(|instruction| match instruction {
        Instruction::StartAttempt { deadline, .. } => Some(deadline),
        _ => None,
    });
    started.map(|deadline| deadline - now)
}

/// Returns a core that has seen a stream of 20 ms a token and shuts down within 2 s, and the time.
fn core_that_shuts_down() -> (Core, Nanos) {
    let mut core = core(1);
    let id = core.accept(START, request(SECOND));
    assert!(core.first_event(START + 10 * MS, id, 0));
    let stream_end = AttemptResult { answer_tokens: Some(100), ..Outcome::Completed.into() };
    core.attempt_ended(START + 2010 * MS, id, 0, stream_end);
    core.take_instructions();
    let now = START + 3 * SECOND;
    core.require_answers_to_end_by(now + 2 * SECOND);
    (core, now)
}

/// Guards against a stream that the end of the process cuts: the first token has to come while the answer can still end. The
/// pace is that of the streams that the core has seen.
#[test]
fn during_a_shutdown_the_deadline_leaves_time_for_the_answer() {
    let (mut core, now) = core_that_shuts_down();
    let limited = |max_tokens| NewRequest { max_answer_tokens: Some(max_tokens), ..request(4 * SECOND) };
    assert_eq!(deadline_of_attempt(&mut core, now, limited(20)), Some(1600 * MS));
    assert_eq!(deadline_of_attempt(&mut core, now, limited(75)), Some(500 * MS));
    for too_long in [limited(100), request(SECOND)] {
        let rejected = core.counts().rejected_by_shutdown;
        assert_eq!(deadline_of_attempt(&mut core, now, too_long), None);
        assert_eq!(core.counts().rejected_by_shutdown, rejected + 1);
    }
    let resumable = NewRequest { is_resumable: true, ..limited(100) };
    assert_eq!(deadline_of_attempt(&mut core, now, resumable), Some(4 * SECOND));
}

/// Guards against review/8: a replica that has become slower than all recent streams. Its answer is held back, and fails when
/// it should be complete.
#[test]
fn an_answer_that_is_held_back_fails_unless_it_is_complete_in_time() {
    let (mut core, now) = core_that_shuts_down();
    for (time_left, fails_after) in [(4 * SECOND, 2 * SECOND), (SECOND, SECOND)] {
        let id = core.accept(now, NewRequest { max_answer_tokens: Some(20), ..request(time_left) });
        let started = core.take_instructions();
        assert!(matches!(started[..], [Instruction::StartAttempt { holds_answer: true, .. }]), "{started:?}");
        assert!(core.first_event(now + 50 * MS, id, 0));
        core.run_timers(now + fails_after - MS);
        assert_eq!(final_answers(&core.take_instructions()), []);
        core.run_timers(now + fails_after);
        let instructions = core.take_instructions();
        assert_eq!(final_answers(&instructions), [FinalAnswer::Failed { past_deadline: true }]);
        assert!(instructions.iter().any(|i| matches!(i, Instruction::AbortAttempt { attempt: 0, .. })));
        assert_eq!(core.open_requests(), 0);
    }
}

#[test]
fn a_stream_that_has_begun_has_no_deadline_and_ends_once() {
    for (outcome, expected) in
        [(Outcome::Completed, FinalAnswer::Completed), (Outcome::ConnectionReset, FinalAnswer::Interrupted)]
    {
        let mut core = core(2);
        let id = core.accept(START, request(100 * MS));
        assert!(core.first_event(START + 50 * MS, id, 0));
        assert!(!core.first_event(START + 51 * MS, id, 0), "a stream starts only once");
        core.run_timers(START + 10 * SECOND);
        core.take_instructions();
        let end = AttemptResult { cached_tokens: Some(3), ..outcome.into() };
        core.attempt_ended(START + 11 * SECOND, id, 0, end.clone());
        core.attempt_ended(START + 11 * SECOND, id, 0, end);
        assert_eq!(final_answers(&core.take_instructions()), [expected]);
        assert_eq!((core.open_requests(), core.counts().completed + core.counts().interrupted), (0, 1));
    }
}

#[test]
fn a_disconnected_client_receives_no_answer() {
    let mut core = core(2);
    let id = core.accept(START, request(SECOND));
    core.take_instructions();
    core.client_disconnected(START + MS, id);
    core.client_disconnected(START + MS, id);
    core.attempt_ended(START + 2 * MS, id, 0, Outcome::ReplicaError.into());
    let instructions = core.take_instructions();
    assert!(matches!(instructions[..], [Instruction::AbortAttempt { attempt: 0, .. }]), "{instructions:?}");
    assert_eq!((core.open_requests(), core.counts().client_disconnects), (0, 1));
}

#[test]
fn retries_rejected_attempts_up_to_the_attempt_limit() {
    let mut core = core(9);
    let id = core.accept(START, request(SECOND));
    for attempt in 0..4 {
        let instructions = core.take_instructions();
        assert!(
            matches!(instructions[..], [Instruction::StartAttempt { attempt: n, .. }] if n == attempt),
            "{attempt}: {instructions:?}"
        );
        core.attempt_ended(START + MS, id, attempt, Outcome::Rejected.into());
    }
    assert!(matches!(
        final_answers(&core.take_instructions())[..],
        [FinalAnswer::Rejected { retry_after: 1.., reason: RejectReason::NoCapacity }]
    ));
    assert_eq!(core.counts().outcomes, [0, 0, 4, 0, 0, 0, 0, 0]);
}

const DEDUPLICATION_WINDOW: Nanos = SECOND;

fn by_key(scope: DeduplicationScope) -> Effect {
    Effect::IdempotentByKey { scope, window: DEDUPLICATION_WINDOW }
}

/// Guards against a rejection at shutdown of a request that may have run: a rejection tells the client that a retry is safe.
#[test]
fn at_shutdown_a_request_that_may_have_run_is_rejected_only_if_a_retry_is_safe() {
    let effects = [
        Effect::Idempotent,
        by_key(DeduplicationScope::AllReplicas),
        by_key(DeduplicationScope::Zone),
        by_key(DeduplicationScope::Cell),
        Effect::NotIdempotent,
    ];
    for (effect, retry_is_safe) in effects.into_iter().zip([true, true, false, false, false]) {
        for written in [false, true] {
            let mut core = core_with_effect(effect, 2);
            let id = core.accept(START, request(SECOND));
            assert!(!written || core.may_write(START, id, 0));
            core.take_instructions();
            core.answer_for_shutdown(START + MS, None);
            let instructions = core.take_instructions();
            let [answer] = final_answers(&instructions)[..] else { panic!("{instructions:?}") };
            let rejected = matches!(answer, FinalAnswer::Rejected { .. });
            assert_eq!(rejected, retry_is_safe || !written, "{effect:?}, written: {written}: {answer:?}");
            assert!(
                instructions.contains(&Instruction::AbortAttempt {
                    request: id,
                    attempt: 0,
                    reason: AbortReason::Shutdown
                }),
                "{instructions:?}"
            );
            assert!(!core.may_write(START + MS, id, 0), "a finished request is not written");
            assert_eq!(core.counts().failed_instead_of_rejected, u64::from(!rejected));
            assert_eq!(core.open_requests(), 0);
        }
    }
}

/// Guards against an interruption of streams that clients do not resume, and of streams accepted early enough to finish.
#[test]
fn at_shutdown_late_streams_are_interrupted_only_if_clients_resume_streams() {
    for (interrupt_after, expected) in [(None, 0), (Some(START + 5 * MS), 1), (Some(START), 2)] {
        let mut core = core(2);
        for n in 0..2 {
            let id = core.accept(START + 10 * n * MS + 1, request(SECOND));
            assert!(
                core.may_write(START + 10 * n * MS + 1, id, 0) && core.first_event(START + 20 * MS, id, 0)
            );
        }
        core.take_instructions();
        core.answer_for_shutdown(START + 30 * MS, interrupt_after);
        assert_eq!(
            final_answers(&core.take_instructions()),
            vec![FinalAnswer::Interrupted; expected],
            "{interrupt_after:?}"
        );
    }
}

/// Guards against a retry that is started within the deduplication window and written after it, because its connection was
/// established late or the router was delayed.
#[test]
fn a_retry_is_written_only_within_the_deduplication_window() {
    let later = DEDUPLICATION_WINDOW - 200 * MS;
    for (written_at, allowed) in [(START + later + 40 * MS, true), (START + later + 51 * MS, false)] {
        let mut core = core_with_effect(by_key(DeduplicationScope::AllReplicas), 2);
        let id = core.accept(START, request(4 * SECOND));
        assert!(core.may_write(START, id, 0));
        core.take_instructions();
        core.attempt_ended(START + later, id, 0, Outcome::ConnectionReset.into());
        let instructions = core.take_instructions();
        assert!(
            matches!(instructions[..], [Instruction::StartAttempt { attempt: 1, .. }]),
            "{instructions:?}"
        );
        assert_eq!(core.may_write(written_at, id, 1), allowed, "{} ms", (written_at - START) / MS);
    }
    // The window applies only after an attempt that may have run.
    let mut core = core_with_effect(by_key(DeduplicationScope::AllReplicas), 2);
    let id = core.accept(START, request(4 * SECOND));
    core.attempt_ended(START + DEDUPLICATION_WINDOW, id, 0, Outcome::ConnectionRefused.into());
    assert!(core.may_write(START + 2 * DEDUPLICATION_WINDOW, id, 1));
    // A request is not written after its deadline.
    assert!(!core.may_write(START + 4 * SECOND, id, 1));
}

/// Guards against timers that outlive their requests: with a deadline of a day, each would stay for a day.
#[test]
fn timers_are_removed_with_their_requests() {
    let mut core = core(2);
    for n in 0..3000 {
        let now = START + n * MS;
        let id = core.accept(now, request(86_400 * SECOND));
        assert!(core.first_event(now, id, 0));
        core.attempt_ended(now, id, 0, Outcome::Completed.into());
        core.take_instructions();
        core.run_timers(now);
    }
    assert_eq!(core.open_requests(), 0);
    // The short timers that the decision module set for itself remain.
    core.run_timers(START + 60 * SECOND);
    assert!(core.scheduled_timers() < 2000, "{} of 6000", core.scheduled_timers());
}

/// Returns random deployment settings within the ranges of real deployments: counts, limits, the mode of the endpoint list,
/// reports and permissions. `name` generates each name.
fn random_settings(rng: &mut fastrand::Rng, name: impl Fn(&str, usize) -> String) -> String {
    let names = |kind: &str, n: usize| (0..n).map(|i| name(kind, i)).collect::<Vec<_>>();
    let routers = rng.u32(1..300);
    let (zones, kinds) = (rng.usize(0..4), rng.usize(0..4));
    let effects = ["pure", "token", "side_effect", "pure", "pure"];
    let scopes = ["all", "zone", "cell"];
    let list_mode = ["on_request", "pushed"][rng.usize(..2)];
    let class = |(i, name): (usize, String), rng: &mut fastrand::Rng| {
        let objective_ms = rng.u64(200..3_000);
        serde_json::json!({"Name": name, "GoalTimeNs": objective_ms * MS, "DeadlineNs": objective_ms * rng.u64(1..6) * MS,
            "Effect": effects[(i + rng.usize(..5)) % 5], "Group": scopes[rng.usize(..3)],
            "WindowNs": rng.u64(1..5) * SECOND, "Worth": rng.f64() * 5.0, "LateShare": rng.u32(0..3) as f64 / 2.0})
    };
    let classes = names("class", rng.usize(1..6)).into_iter().enumerate();
    let classes: Vec<_> = classes.map(|c| class(c, rng)).collect();
    let tenants = names("tenant", rng.usize(0..5)).into_iter();
    let tenants: Vec<_> =
        tenants.map(|t| serde_json::json!({"Name": t, "QuotaPerS": 0.1 + rng.f64() * 50.0})).collect();
    serde_json::json!({"Discovery": list_mode, "Kinds": names("kind", kinds),
        "Zones": names("zone", zones), "Me": rng.u32(..routers), "ReplicasOfMe": routers,
        "MyZone": if zones == 0 { 0 } else { rng.usize(..zones) }, "Profiles": classes, "Tenants": tenants,
        "FamilyInfo": {"Resume": rng.bool(), "AimUsPer1000PromptTokens": [rng.f64() * 60_000.0]},
        "Limits": {"Cancel": rng.bool(), "ParallelTries": rng.bool(), "Peers": rng.bool(), "Probes": rng.bool(),
            "RetryAfter": rng.bool(), "MaxRetryAfterNs": rng.u64(0..3) * SECOND, "TryLimit": rng.u32(1..7)},
        "Prices": {"CrossZone": rng.f64() * 0.05},
        "Report": {"Fields": if rng.bool() { vec!["q", "x1"] } else { vec![] }},
        "Rules": {"ColdNs": rng.u64(0..30) * SECOND, "ColdShare": rng.f64(), "FallMultiple": 1.0 + rng.f64() * 4.0,
            "FallNs": rng.u64(1..4) * SECOND, "MustAskInNs": rng.u64(1..20) * SECOND}})
    .to_string()
}

/// Runs the core on events that `seed` selects and returns its instructions. Panics if a rule is violated.
fn randomized_run(settings_text: &str, seed: u64) -> Vec<Instruction> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let deployment =
        tallypin::deployment::parse(settings_text).unwrap_or_else(|e| panic!("{e}: {settings_text}"));
    assert_eq!(deployment.validate(), Ok(()), "{settings_text}");
    let (settings, resumes_streams) = (deployment.decision_settings.clone(), deployment.resumes_streams);
    let mut core = Core::new(settings.clone(), seed, 10 * MS).expect("the settings are valid");
    let entry = |n: u32, state, started_at| EndpointEntry {
        replica: name_hash::replica_id(&format!("s-{n}")),
        state,
        started_at,
        zone: ZoneId(n % 3),
        cell: n / 2,
        kind: n % 4,
    };
    let (mut now, mut issued, mut in_flight, mut drained) = (START, Vec::new(), Vec::new(), Vec::new());
    core.endpoints_changed(
        now,
        ListUpdate::Cached,
        (0..8).map(|n| entry(n, EndpointState::Ready, 0)).collect(),
    );
    let (mut accepted, mut answered) = (0u64, std::collections::BTreeMap::new());
    // The effect of each request, and the attempts that may have run.
    let (mut effects, mut may_have_run) =
        (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
    for step in 0..600 {
        // The last 100 steps send no requests and last longer than any client waits.
        now += if step < 500 { rng.u64(1..60) } else { 60 } * MS;
        match rng.u8(..12) {
            _ if step >= 500 => {}
            _ if step == 450 => core.require_answers_to_end_by(now + 2 * SECOND),
            0..=5 => {
                accepted += 1;
                let class = ClassId(rng.u32(..7));
                let id = core.accept(
                    now,
                    NewRequest {
                        class,
                        tenant: TenantId(rng.u32(..6)),
                        time_left: rng.u64(0..4_000) * MS,
                        prompt_tokens: rng.u32(..60_000),
                        prefix_tokens: rng.u32(..60_000),
                        session: rng.bool().then(|| SessionKey(rng.u64(..9))),
                        prefix: rng.bool().then(|| PrefixKey(rng.u64(..5))),
                        resumes_stream: resumes_streams && rng.u8(..9) == 0,
                        is_client_retry: rng.bool(),
                        max_answer_tokens: rng.bool().then(|| rng.u32(1..100)),
                        is_resumable: resumes_streams,
                    },
                );
                let effect =
                    settings.classes.get(class.0 as usize).map_or(Effect::NotIdempotent, |c| c.effect);
                effects.insert(id, effect);
            }
            // Occasionally answers open requests as a router does that shuts down.
            9 if rng.u8(..20) == 0 => core.answer_for_shutdown(now, rng.bool().then_some(now - SECOND)),
            6 => {
                let (n, state) =
                    (rng.u32(..8), [EndpointState::Ready, EndpointState::Draining][rng.usize(..2)]);
                let id = name_hash::replica_id(&format!("s-{n}"));
                drained.retain(|d| *d != id);
                drained.extend((state != EndpointState::Ready).then_some(id));
                core.endpoints_changed(
                    now,
                    ListUpdate::Delta,
                    vec![entry(n, state, now - rng.u64(..9) * SECOND)],
                );
            }
            7 => core.endpoints_changed(now, ListUpdate::Failed, Vec::new()),
            8 => {
                let random_bytes: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
                let counts: Vec<_> = (0..rng.u32(..4))
                    .map(|tenant| ServedCount { tenant: TenantId(tenant), requests: rng.u32(..2_000_000) })
                    .collect();
                let reports = served_report::encode(settings.tenants_digest, rng.u64(..20_000), &counts);
                for bytes in reports.into_iter().chain([random_bytes]) {
                    core.peer_message_received(now, PeerId(rng.u32(..400)), bytes);
                }
            }
            _ => {}
        }
        // Some attempts in flight start their stream, end, fail or report nothing further.
        for _ in 0..rng.usize(..4).min(in_flight.len()) {
            let (id, attempt, stream_started): (RequestId, u32, bool) =
                in_flight.swap_remove(rng.usize(..in_flight.len()));
            match rng.u8(..5) {
                0 if !stream_started => {}
                1 | 2 if !stream_started => {
                    if core.first_event(now, id, attempt) {
                        in_flight.push((id, attempt, true));
                    }
                }
                _ => {
                    let outcomes = [
                        Outcome::Completed,
                        Outcome::ReplicaError,
                        Outcome::Rejected,
                        Outcome::ConnectionRefused,
                        Outcome::ConnectionReset,
                    ];
                    let outcome = if stream_started { Outcome::Completed } else { outcomes[rng.usize(1..5)] };
                    if outcome.never_ran() {
                        may_have_run.remove(&(id, attempt));
                    }
                    core.attempt_ended(now, id, attempt, outcome.into());
                }
            }
        }
        core.run_timers(now);
        for instruction in core.take_instructions() {
            match &instruction {
                Instruction::StartAttempt { request: id, attempt, replica, .. } => {
                    assert!(!drained.contains(replica), "no attempt at a draining replica: {instruction:?}");
                    assert!(
                        *attempt < settings.max_attempts && !answered.contains_key(id),
                        "no attempt beyond the limit or after the answer: {instruction:?}"
                    );
                    in_flight.push((*id, *attempt, false));
                    if rng.u8(..5) > 0 && core.may_write(now, *id, *attempt) {
                        let is_retry = may_have_run.iter().any(|(request, _)| request == id);
                        assert!(
                            !is_retry || effects[id] != Effect::NotIdempotent,
                            "no retry of a request that is not idempotent: {instruction:?}"
                        );
                        may_have_run.insert((*id, *attempt));
                    }
                }
                Instruction::AbortAttempt { request: id, attempt, .. } => {
                    in_flight.retain(|(i, a, _)| (i, a) != (id, attempt))
                }
                Instruction::Finish { request: id, answer: final_answer, .. } => {
                    assert_eq!(
                        answered.insert(*id, *final_answer),
                        None,
                        "a request receives one final answer"
                    )
                }
                Instruction::Probe(_) => {
                    assert!(settings.can_probe, "no probe unless the settings allow probes")
                }
                Instruction::SendReport(bytes) => assert!(settings.has_peers && bytes.len() <= 256),
                Instruction::SendToPeer { peer, bytes } => {
                    assert!(settings.has_peers && bytes.len() <= 256);
                    assert!(*peer != settings.own_index && peer.0 < settings.router_count);
                }
                Instruction::WatchEndpoints => assert!(settings.list_mode != EndpointListMode::Pushed),
            }
            issued.push(match instruction {
                // Replaces the digest of the tenants' names, the only part of an instruction that may depend on names.
                Instruction::SendReport(bytes) => {
                    let report = served_report::decode(settings.tenants_digest, &bytes)
                        .expect("the report has the router's own digest");
                    let [without_names] =
                        &served_report::encode(TenantsDigest::default(), report.span_ms, &report.served)[..]
                    else {
                        panic!("a report received in one message fits into one: {report:?}")
                    };
                    Instruction::SendReport(without_names.clone())
                }
                instruction => instruction,
            });
        }
    }
    // Streams that have begun have no deadline; all other requests have been answered.
    for (id, attempt, _) in in_flight {
        core.attempt_ended(now, id, attempt, Outcome::ConnectionReset.into());
    }
    let answered_last =
        core.take_instructions().into_iter().filter(|o| matches!(o, Instruction::Finish { .. })).count()
            as u64;
    assert_eq!(answered.len() as u64 + answered_last, accepted, "each request received its answer");
    assert_eq!(core.open_requests(), 0, "no request stays open");
    issued
}

/// With any valid settings the rules hold, and names do not influence decisions.
#[test]
fn the_rules_hold_with_any_settings_and_names_decide_nothing() {
    for seed in 0..300 {
        let settings =
            |name: fn(&str, usize) -> String| random_settings(&mut fastrand::Rng::with_seed(seed), name);
        let plain = randomized_run(&settings(|kind, i| format!("{kind}-{i}")), seed);
        let other = randomized_run(&settings(|kind, i| format!("Größe {} von {kind}", 97 - i)), seed);
        assert_eq!(plain, other, "seed {seed}: the decisions do not depend on names");
    }
}
