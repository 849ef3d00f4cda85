//! Compares the engine with results of queueing theory, and checks invariants of the engine after each step.
#![allow(missing_docs)]

use proptest::prelude::*;
use rand_distr::{Distribution, Exp};
use tallypin_simulator::engine::{Engine, Job, NodeKind, Progress};
use tallypin_simulator::random_streams;

const MS: f64 = 1e6;

/// A node whose steps always take 1 ms, with one token for each request: a server with `slots` places.
fn constant_step_kind(slots: u32) -> NodeKind {
    NodeKind {
        max_batch_size: slots,
        max_waiting: 1_000_000,
        memory_tokens: u64::MAX / 4,
        block_tokens: 16,
        prefill_chunk_tokens: u32::MAX,
        step_base_ns: MS,
        per_request_ns: 0.0,
        per_context_token_ns: 0.0,
        per_prefill_token_ns: 0.0,
        caches_answers: false,
        crowding_threshold: 1.0,
    }
}

/// Returns the mean wait for a place in ns and the half-width of its 95% confidence interval, by batch means (Law, Simulation
/// Modeling and Analysis, 2015, 9.5): 20 batches, Student's t with 19 degrees of freedom.
fn mean_wait(
    slots: u32,
    load: f64,
    tokens: impl Fn(&mut rand_chacha::ChaCha8Rng) -> u32,
    mean_tokens: f64,
) -> (f64, f64) {
    const BATCH: usize = 24_000;
    let mut rng = random_streams::stream(7, "theory");
    let gaps = Exp::new(load * f64::from(slots) / (mean_tokens * MS)).expect("the load is above zero");
    let mut engine = Engine::new(constant_step_kind(slots));
    let (mut arrived, mut waits) = (Vec::new(), Vec::new());
    let (mut next, mut progress) = (gaps.sample(&mut rng) as u64, Vec::new());
    // The first batch is the warm-up and is discarded.
    while waits.len() < 21 * BATCH {
        match engine.step_end() {
            Some(at) if at <= next => {
                engine.finish_step(at, &mut progress);
                for event in progress.drain(..) {
                    if let Progress::FirstToken { id, .. } = event {
                        waits.push(at as f64 - MS - arrived[id as usize]);
                    }
                }
            }
            _ => {
                let id = arrived.len() as u64;
                arrived.push(next as f64);
                let job = Job {
                    id,
                    session: id,
                    prefix: 0,
                    prefix_tokens: 0,
                    prompt_tokens: 1,
                    answer_tokens: tokens(&mut rng),
                };
                assert!(engine.try_enqueue(next, job));
                next += gaps.sample(&mut rng) as u64;
            }
        }
    }
    let means: Vec<f64> =
        waits[BATCH..].chunks(BATCH).take(20).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let mean = means.iter().sum::<f64>() / 20.0;
    let var = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / 19.0;
    (mean, 2.093 * (var / 20.0).sqrt())
}

fn exponential(mean: f64) -> impl Fn(&mut rand_chacha::ChaCha8Rng) -> u32 {
    let distribution = Exp::new(1.0 / mean).expect("the mean is above zero");
    // Adding one half and rounding up to whole tokens raises the mean by about one token.
    move |rng| (distribution.sample(rng) + 0.5).ceil().max(1.0) as u32
}

/// Checks a mean against theory. The tolerance includes a step: a request that arrives during a step waits for its end even if
/// a place is free.
fn check_close(measured: (f64, f64), theory: f64) {
    let (mean, half_width) = measured;
    let tolerance = half_width + 1.0 * MS;
    assert!((mean - theory).abs() < tolerance, "measured {mean} ± {half_width} ns, theory gives {theory} ns");
}

#[test]
fn one_slot_with_exponential_answer_lengths_waits_as_m_m_1() {
    let (load, mean) = (0.7, 101.0);
    // Whole tokens vary slightly less than an exponential time. The Pollaczek-Khinchine formula with their variance gives 1% less
    // than M/M/1.
    let second_moment = mean * mean + 100.0 * 100.0;
    check_close(
        mean_wait(1, load, exponential(100.0), mean),
        load / (1.0 - load) * second_moment / (2.0 * mean) * MS,
    );
}

#[test]
fn one_slot_with_constant_answer_lengths_waits_as_m_d_1() {
    let (load, mean) = (0.8, 100.0);
    check_close(mean_wait(1, load, |_| 100, mean), load / (2.0 * (1.0 - load)) * mean * MS);
}

#[test]
fn several_slots_with_exponential_answer_lengths_wait_as_m_m_c() {
    let (servers, load, mean) = (5u32, 0.8, 101.0);
    // Erlang C formula: the share of requests that wait.
    let offered_load = load * f64::from(servers);
    let term = |k: u32| (1..=k).fold(1.0, |t, j| t * offered_load / f64::from(j));
    let waiting_share =
        term(servers) / (1.0 - load) / ((0..servers).map(term).sum::<f64>() + term(servers) / (1.0 - load));
    check_close(
        mean_wait(servers, load, exponential(100.0), mean),
        waiting_share / (f64::from(servers) * (1.0 - load)) * mean * MS,
    );
}

fn small_kind() -> NodeKind {
    NodeKind {
        max_batch_size: 4,
        max_waiting: 3,
        memory_tokens: 2_000,
        prefill_chunk_tokens: 100,
        per_prefill_token_ns: 1e4,
        per_request_ns: 1e5,
        caches_answers: true,
        ..constant_step_kind(4)
    }
}

proptest! {
    /// For any jobs in any order, the memory accounting is consistent after each step, and each accepted job is reported as
    /// completed exactly once unless it was cancelled.
    #[test]
    fn jobs_complete_once_and_memory_accounting_is_consistent(
        jobs in proptest::collection::vec((0u64..5, 0u64..3, 0u32..400, 1u32..900, 1u32..300, any::<bool>(), 0u8..6), 1..60),
    ) {
        let mut engine = Engine::new(small_kind());
        let (mut now, mut progress, mut accepted, mut cancelled) = (0, Vec::new(), Vec::new(), Vec::new());
        let mut completed: Vec<u64> = Vec::new();
        let mut started: Vec<u64> = Vec::new();
        let mut record = |progress: &mut Vec<Progress>| for event in progress.drain(..) {
            match event {
                Progress::FirstToken { id, .. } => started.push(id),
                Progress::Completed { id, .. } => completed.push(id),
            }
        };
        for (id, (session, prefix, prefix_tokens, prompt_tokens, answer_tokens, cancel, steps)) in jobs.into_iter().enumerate() {
            let id = id as u64;
            let job = Job { id, session: session * 2 + 2, prefix: prefix * 2 + 1, prefix_tokens, prompt_tokens, answer_tokens };
            let has_room = engine.running_count() + engine.waiting_count() < 7;
            prop_assert_eq!(engine.try_enqueue(now, job), has_room, "a job is accepted while there is room");
            if has_room {
                accepted.push(id);
            }
            if cancel {
                engine.cancel(id / 2);
                cancelled.push(id / 2);
            }
            for _ in 0..steps {
                let Some(at) = engine.step_end() else { break };
                prop_assert!(at > now);
                now = at;
                engine.finish_step(now, &mut progress);
                prop_assert!(engine.memory_is_consistent());
            }
            record(&mut progress);
        }
        let mut steps = 0;
        while let Some(at) = engine.step_end() {
            engine.finish_step(at, &mut progress);
            prop_assert!(engine.memory_is_consistent());
            steps += 1;
            prop_assert!(steps < 200_000, "the engine must become idle");
        }
        record(&mut progress);
        prop_assert_eq!((engine.running_count(), engine.waiting_count(), engine.request_memory_share()), (0, 0, 0.0));
        let are_unique = |ids: &[u64]| {
            let mut sorted = ids.to_vec();
            sorted.sort_unstable();
            sorted.windows(2).all(|w| w[0] != w[1])
        };
        prop_assert!(are_unique(&started) && are_unique(&completed), "each job is reported once");
        for id in accepted {
            prop_assert!(completed.contains(&id) || cancelled.contains(&id), "job {id} neither completed nor was cancelled");
            prop_assert!(!completed.contains(&id) || started.contains(&id));
        }
    }
}

#[test]
fn the_next_turn_of_a_session_prefills_only_new_tokens() {
    let mut engine =
        Engine::new(NodeKind { memory_tokens: 100_000, caches_answers: true, ..constant_step_kind(4) });
    let mut run = |job: Job, at: u64| {
        let (mut now, mut cached, mut progress) = (at, None, Vec::new());
        assert!(engine.try_enqueue(now, job));
        while let Some(end) = engine.step_end() {
            now = end;
            engine.finish_step(now, &mut progress);
        }
        for event in progress {
            if let Progress::Completed { cached_tokens, .. } = event {
                cached = Some(cached_tokens);
            }
        }
        cached.expect("the job completes")
    };
    let job = Job { id: 1, session: 2, prefix: 1, prefix_tokens: 160, prompt_tokens: 480, answer_tokens: 32 };
    assert_eq!(run(job, 0), 0);
    assert_eq!(
        run(Job { id: 2, prompt_tokens: 1_000, ..job }, 1_000_000_000),
        512,
        "the previous prompt and answer are cached"
    );
    let other = Job { id: 3, session: 4, prompt_tokens: 480, ..job };
    assert_eq!(run(other, 2_000_000_000), 160, "only the shared prefix is cached");
    engine.start_cold(3_000_000_000, 0.15, 1_000_000_000);
    assert!((engine.speed_share(3_500_000_000) - 0.575).abs() < 1e-9);
    assert!(engine.step_end().is_none());
}
