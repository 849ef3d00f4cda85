//! The engine where queueing theory has an answer, and what must hold at each step.
#![allow(missing_docs)]

use proptest::prelude::*;
use rand_distr::{Distribution, Exp};
use tallypin_simulator::draw;
use tallypin_simulator::engine::{Engine, Job, Kind, Told};

const MS: f64 = 1e6;

/// Serves a token a step of 1 ms, whatever else: a server with so many places, and no more.
fn plain(slots: u32) -> Kind {
    Kind {
        slots,
        queue: 1_000_000,
        memory: u64::MAX / 4,
        block: 16,
        chunk: u32::MAX,
        step: MS,
        per_request: 0.0,
        per_context: 0.0,
        per_read: 0.0,
        keeps_made: false,
        crowded: 1.0,
    }
}

/// Mean wait for a place, ns, with the half-width of its 95% confidence interval by batch means (Law, Simulation
/// Modeling and Analysis, 2015, 9.5): 20 batches, Student's t for 19 degrees.
fn mean_wait(
    slots: u32,
    load: f64,
    tokens: impl Fn(&mut rand_chacha::ChaCha8Rng) -> u32,
    mean_tokens: f64,
) -> (f64, f64) {
    const EACH: usize = 24_000;
    let mut rng = draw::stream(7, "theory");
    let gaps = Exp::new(load * f64::from(slots) / (mean_tokens * MS)).expect("a load above zero");
    let mut engine = Engine::new(plain(slots));
    let (mut arrived, mut waits) = (Vec::new(), Vec::new());
    let (mut next, mut told) = (gaps.sample(&mut rng) as u64, Vec::new());
    // The first batch warms up.
    while waits.len() < 21 * EACH {
        match engine.step_ends() {
            Some(at) if at <= next => {
                engine.step(at, &mut told);
                for t in told.drain(..) {
                    if let Told::First { id, .. } = t {
                        waits.push(at as f64 - MS - arrived[id as usize]);
                    }
                }
            }
            _ => {
                let id = arrived.len() as u64;
                arrived.push(next as f64);
                let job =
                    Job { id, session: id, prefix: 0, prefix_tokens: 0, prompt: 1, answer: tokens(&mut rng) };
                assert!(engine.offer(next, job));
                next += gaps.sample(&mut rng) as u64;
            }
        }
    }
    let means: Vec<f64> =
        waits[EACH..].chunks(EACH).take(20).map(|b| b.iter().sum::<f64>() / b.len() as f64).collect();
    let mean = means.iter().sum::<f64>() / 20.0;
    let var = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / 19.0;
    (mean, 2.093 * (var / 20.0).sqrt())
}

fn exponential(mean: f64) -> impl Fn(&mut rand_chacha::ChaCha8Rng) -> u32 {
    let law = Exp::new(1.0 / mean).expect("a mean above zero");
    // Whole tokens, rounded up: half a token more on the average, taken off the mean.
    move |rng| (law.sample(rng) + 0.5).ceil().max(1.0) as u32
}

/// Half a step: a request that comes in the middle of one waits for its end, if it found a place free.
fn near(found: (f64, f64), theory: f64) {
    let (mean, half) = found;
    let slack = half + 1.0 * MS;
    assert!((mean - theory).abs() < slack, "{mean} ± {half} ns, where theory says {theory}");
}

#[test]
fn one_place_and_exponential_answers_wait_as_m_m_1() {
    let (load, mean) = (0.7, 101.0);
    // Whole tokens vary a little less than an exponential time: Pollaczek and Khinchine's formula with their variance,
    // 1% below M/M/1.
    let square = mean * mean + 100.0 * 100.0;
    near(mean_wait(1, load, exponential(100.0), mean), load / (1.0 - load) * square / (2.0 * mean) * MS);
}

#[test]
fn one_place_and_equal_answers_wait_as_m_d_1() {
    let (load, mean) = (0.8, 100.0);
    near(mean_wait(1, load, |_| 100, mean), load / (2.0 * (1.0 - load)) * mean * MS);
}

#[test]
fn several_places_and_exponential_answers_wait_as_m_m_c() {
    let (c, load, mean) = (5u32, 0.8, 101.0);
    // Erlang's formula for the share that waits.
    let a = load * f64::from(c);
    let term = |k: u32| (1..=k).fold(1.0, |t, j| t * a / f64::from(j));
    let waits = term(c) / (1.0 - load) / ((0..c).map(term).sum::<f64>() + term(c) / (1.0 - load));
    near(mean_wait(c, load, exponential(100.0), mean), waits / (f64::from(c) * (1.0 - load)) * mean * MS);
}

fn small() -> Kind {
    Kind {
        slots: 4,
        queue: 3,
        memory: 2_000,
        chunk: 100,
        per_read: 1e4,
        per_request: 1e5,
        keeps_made: true,
        ..plain(4)
    }
}

proptest! {
    /// Whatever comes, in whatever order: memory adds up at each step, and whoever was taken is told of once, unless
    /// called off.
    #[test]
    fn nothing_is_lost_and_memory_adds_up(
        jobs in proptest::collection::vec((0u64..5, 0u64..3, 0u32..400, 1u32..900, 1u32..300, any::<bool>(), 0u8..6), 1..60),
    ) {
        let mut engine = Engine::new(small());
        let (mut now, mut told, mut taken, mut off) = (0, Vec::new(), Vec::new(), Vec::new());
        let mut ends: Vec<u64> = Vec::new();
        let mut firsts: Vec<u64> = Vec::new();
        let mut note = |told: &mut Vec<Told>| for t in told.drain(..) {
            match t {
                Told::First { id, .. } => firsts.push(id),
                Told::Done { id, .. } => ends.push(id),
            }
        };
        for (id, (session, prefix, prefix_tokens, prompt, answer, cancel, steps)) in jobs.into_iter().enumerate() {
            let id = id as u64;
            let job = Job { id, session: session * 2 + 2, prefix: prefix * 2 + 1, prefix_tokens, prompt, answer };
            let room = engine.running() + engine.waiting() < 7;
            prop_assert_eq!(engine.offer(now, job), room, "taken while there is room");
            if room {
                taken.push(id);
            }
            if cancel {
                engine.cancel(id / 2);
                off.push(id / 2);
            }
            for _ in 0..steps {
                let Some(at) = engine.step_ends() else { break };
                prop_assert!(at > now);
                now = at;
                engine.step(now, &mut told);
                prop_assert!(engine.adds_up());
            }
            note(&mut told);
        }
        let mut steps = 0;
        while let Some(at) = engine.step_ends() {
            engine.step(at, &mut told);
            prop_assert!(engine.adds_up());
            steps += 1;
            prop_assert!(steps < 200_000, "it comes to an end");
        }
        note(&mut told);
        prop_assert_eq!((engine.running(), engine.waiting(), engine.memory_held()), (0, 0, 0.0));
        let once = |told: &[u64]| {
            let mut sorted = told.to_vec();
            sorted.sort_unstable();
            sorted.windows(2).all(|w| w[0] != w[1])
        };
        prop_assert!(once(&firsts) && once(&ends), "told once");
        for id in taken {
            prop_assert!(ends.contains(&id) || off.contains(&id), "{id} came to nothing");
            prop_assert!(!ends.contains(&id) || firsts.contains(&id));
        }
    }
}

#[test]
fn a_session_s_next_turn_reads_only_what_is_new() {
    let mut engine = Engine::new(Kind { memory: 100_000, keeps_made: true, ..plain(4) });
    let mut run = |job: Job, at: u64| {
        let (mut now, mut kept, mut told) = (at, None, Vec::new());
        assert!(engine.offer(now, job));
        while let Some(end) = engine.step_ends() {
            now = end;
            engine.step(now, &mut told);
        }
        for t in told {
            if let Told::Done { kept: k, .. } = t {
                kept = Some(k);
            }
        }
        kept.expect("done")
    };
    let job = Job { id: 1, session: 2, prefix: 1, prefix_tokens: 160, prompt: 480, answer: 32 };
    assert_eq!(run(job, 0), 0);
    assert_eq!(run(Job { id: 2, prompt: 1_000, ..job }, 1_000_000_000), 512, "the prompt and the answer");
    let other = Job { id: 3, session: 4, prompt: 480, ..job };
    assert_eq!(run(other, 2_000_000_000), 160, "the shared beginning");
    engine.start_cold(3_000_000_000, 0.15, 1_000_000_000);
    assert!((engine.warmth(3_500_000_000) - 0.575).abs() < 1e-9);
    assert!(engine.step_ends().is_none());
}
