//! Slow start of replicas under the requests of many routers, each of which sends a small part of the traffic.

mod common;

use common::*;
use tallypin::api::*;

const ROUTERS: u32 = 100;
const REPLICAS: u64 = 20;

/// Routers of one fleet of replicas, and the requests that they have sent.
struct Fleet {
    routers: Vec<TestRouter>,
    /// Number of the last request.
    last_request: u64,
    /// Number of prefixes that the requests share.
    prefixes: u64,
    /// Prompt lengths of the requests in tokens.
    prompt_lengths: Vec<u32>,
    /// First tokens and ends of streams to come: time, router, request, and whether it has its first token.
    pending: Vec<(Nanos, usize, RequestId, bool)>,
    /// Number of requests sent to each replica since the counts were cleared.
    sends: Vec<u64>,
    /// Replica, prompt tokens and router of each sent request since the list was cleared.
    sent_requests: Vec<(u64, u32, usize)>,
}

impl Fleet {
    /// A fleet with the part of the disruption that exists from the start.
    fn with_disruption(routers: u32, disruption: Disruption) -> Fleet {
        let mut fleet = Fleet::with_routers(routers);
        if disruption == Disruption::UncountedRouters {
            fleet.routers.extend((0..routers.div_ceil(4)).map(|n| {
                let settings = test_settings(routers, n);
                TestRouter::with_replicas(settings, u64::from(1000 + n), REPLICAS)
            }));
        }
        if disruption == Disruption::UnequalPrompts {
            fleet.prompt_lengths = vec![400, 400, 400, 8000];
        }
        fleet
    }

    /// Restarts a router with its cached endpoint list.
    fn restart(&mut self, router: usize, seed: u64, now: Nanos) {
        let mut restarted = TestRouter::new(self.routers[router].settings.clone(), seed);
        restarted.now = now;
        let entries = self.routers[router].entries.values().cloned().collect();
        restarted.update_list(ListUpdate::Cached, entries);
        self.pending.retain(|pending| pending.1 != router);
        self.routers[router] = restarted;
    }

    fn new() -> Fleet {
        Fleet::with_routers(ROUTERS)
    }

    fn with_routers(routers: u32) -> Fleet {
        let settings = |index| Settings { cross_zone_cost: 0.0, ..test_settings(routers, index) };
        let routers = (0..routers)
            .map(|index| TestRouter::with_replicas(settings(index), u64::from(index), REPLICAS))
            .collect();
        Fleet {
            routers,
            last_request: 0,
            prefixes: 5,
            prompt_lengths: vec![3000],
            pending: vec![],
            sends: vec![0; REPLICAS as usize],
            sent_requests: Vec::new(),
        }
    }

    /// Runs the fleet for `duration_ms`. A first token of replica `n` takes `first_token_time(n)`, and its stream
    /// another 0.5 s. The routers get requests in turn.
    fn run(&mut self, duration_ms: u64, first_token_time: impl Fn(u64) -> Nanos) {
        self.run_with(duration_ms, first_token_time, |n| n as usize);
    }

    /// As [`Fleet::run`], but with random routers according to `weights`.
    fn run_weighted(
        &mut self,
        duration_ms: u64,
        rng: &mut fastrand::Rng,
        weights: &[f64],
        first_token_time: impl Fn(u64) -> Nanos,
    ) {
        let total: f64 = weights.iter().sum();
        self.run_with(duration_ms, first_token_time, |_| {
            let mut rest = rng.f64() * total;
            weights
                .iter()
                .position(|weight| {
                    rest -= weight;
                    rest < 0.0
                })
                .unwrap_or(0)
        });
    }

    /// As [`Fleet::run`], but `choose_router` returns the router of each request.
    fn run_with(
        &mut self,
        duration_ms: u64,
        first_token_time: impl Fn(u64) -> Nanos,
        mut choose_router: impl FnMut(u64) -> usize,
    ) {
        let start = self.routers[0].now;
        for elapsed_ms in (0..duration_ms).step_by(10) {
            let now = start + elapsed_ms * MS;
            self.pending.sort_unstable();
            let due: Vec<_> =
                self.pending.drain(..self.pending.partition_point(|event| event.0 <= now)).collect();
            for (_, index, id, has_first_token) in due {
                let router = &mut self.routers[index];
                router.run_to(now);
                match has_first_token {
                    true => drop(router.end_attempt(id, 0, Outcome::Completed)),
                    false => {
                        router.first_token(id, 0);
                        self.pending.push((now + SECOND / 2, index, id, true));
                    }
                }
            }
            let index = choose_router(self.last_request) % self.routers.len();
            if let Some((index, replica)) = self.submit_to(now, index) {
                self.pending.push((
                    now + first_token_time(replica.0),
                    index,
                    RequestId(self.last_request),
                    false,
                ));
            }
        }
        self.routers.iter_mut().for_each(|router| drop(router.run_to(start + duration_ms * MS)));
    }

    /// Submits a request to the next router in turn. Returns the router and the replica that the request was sent to.
    fn submit_in_turn(&mut self, now: Nanos) -> Option<(usize, ReplicaId)> {
        self.submit_to(now, (self.last_request % self.routers.len() as u64) as usize)
    }

    /// As [`Fleet::submit_in_turn`], but to a given router.
    fn submit_to(&mut self, now: Nanos, index: usize) -> Option<(usize, ReplicaId)> {
        self.last_request += 1;
        let router = &mut self.routers[index];
        router.run_to(now);
        let prefix = Some(PrefixKey(self.last_request % self.prefixes + 1));
        let prompt_tokens =
            self.prompt_lengths[(self.last_request * 7919 / 13) as usize % self.prompt_lengths.len()];
        let new_request =
            Request { prompt_tokens, prefix_tokens: 2000, prefix, ..request(self.last_request) };
        let replica = TestRouter::sent_to(&router.submit(new_request))?;
        self.sends[replica.0 as usize] += 1;
        self.sent_requests.push((replica.0, prompt_tokens, index));
        Some((index, replica))
    }

    /// Reports to all routers that the first half of the replicas restarted 1 s ago.
    fn restart_first_half(&mut self) {
        let started_at = self.routers[0].now - SECOND;
        let rows: Vec<_> =
            (0..REPLICAS / 2).map(|n| EndpointEntry { started_at, ..ready_entry(n) }).collect();
        self.routers.iter_mut().for_each(|router| drop(router.update_list(ListUpdate::Delta, rows.clone())));
        self.sends.fill(0);
    }

    /// Number of requests sent to each replica of the first half.
    fn sends_to_first_half(&self) -> &[u64] {
        &self.sends[..REPLICAS as usize / 2]
    }
}

/// All replicas have a queue until half of them restart: these are idle, and the others stay overloaded. Each of the 100
/// routers has one request a second and may send a hundredth of what a cold replica may get.
#[test]
fn routers_with_little_traffic_use_the_budget_of_warming_replicas() {
    let mut fleet = Fleet::new();
    fleet.run(12_000, |_| SECOND / 20);
    fleet.run(4_000, |_| SECOND);
    fleet.restart_first_half();
    fleet.run(4_000, |replica| if replica < REPLICAS / 2 { SECOND / 5 } else { SECOND });
    let cold: u64 = fleet.sends_to_first_half().iter().sum();
    let all: u64 = fleet.sends.iter().sum();
    // The multiple of the mean rate that rule 4 allows, times the capacity share, which grows from 0.28 to 0.6.
    let most = all as f64 / 2.0 * 2.5 * 0.44;
    let least = most * 0.7;
    assert!(
        (least..most).contains(&(cold as f64)),
        "{cold} of {all} requests sent to restarted replicas, expected {least:.0} to {most:.0}"
    );
    let busiest = *fleet.sends_to_first_half().iter().max().expect("the half is not empty");
    assert!(
        (busiest as f64) < most / 10.0 * 2.0,
        "a restarted replica got {busiest} requests: {:?}",
        fleet.sends
    );
}

/// If all replicas have a queue, those that have warmed up get no more requests than the others.
#[test]
fn replicas_that_have_warmed_up_are_not_overloaded() {
    let mut fleet = Fleet::new();
    fleet.run(12_000, |_| SECOND);
    fleet.restart_first_half();
    fleet.run(10_000, |_| SECOND);
    fleet.sends.fill(0);
    fleet.run(6_000, |_| SECOND);
    let warmed: u64 = fleet.sends_to_first_half().iter().sum();
    let share = warmed as f64 / fleet.sends.iter().sum::<u64>() as f64;
    assert!(
        (0.35..0.65).contains(&share),
        "{share:.2} of the requests sent to the restarted half: {:?}",
        fleet.sends
    );
}

/// All requests share one prefix, so all routers prefer the same replicas. Cold ones among them must still get no more than
/// their budget (rule 4).
#[test]
fn a_prefix_of_all_requests_overloads_no_warming_preferred_replica() {
    let mut fleet = Fleet { prefixes: 1, ..Fleet::new() };
    fleet.run(12_000, |_| SECOND / 20);
    fleet.run(4_000, |_| SECOND);
    fleet.restart_first_half();
    for second in 0..4 {
        fleet.sends.fill(0);
        fleet.run(2_000, |replica| if replica < REPLICAS / 2 { SECOND / 5 } else { SECOND });
        // The capacity of a replica, of which the mean rate is half, times its capacity share and the multiple of rule 4.
        let capacity_share = 0.2 + 0.8 * (0.2 + 0.2 * f64::from(second));
        let most = 2.0 * 10.0 * capacity_share * 2.5;
        let busiest = *fleet.sends_to_first_half().iter().max().expect("the half is not empty");
        assert!(
            (busiest as f64) < most,
            "a replica got {busiest} requests of at most {most:.0}: {:?}",
            fleet.sends
        );
    }
}

/// Rule 4 with up to 300 routers. Restarted replicas get few requests while the others have capacity. Then the others are
/// removed, and all routers send to the restarted ones at once. Credit that each router has saved must not add up.
#[test]
fn the_credit_of_many_routers_for_a_warming_replica_is_not_used_all_at_once() {
    let first_token_time = |replica| if replica < REPLICAS / 2 { SECOND } else { SECOND / 20 };
    for routers in [1, 30, 300] {
        let mut fleet = Fleet { prompt_lengths: vec![400, 400, 400, 8000], ..Fleet::with_routers(routers) };
        fleet.run(12_000, first_token_time);
        fleet.restart_first_half();
        fleet.run(3_000, first_token_time);
        let gone = |n| EndpointEntry { state: EndpointState::Gone, ..ready_entry(n) };
        let removed: Vec<_> = (REPLICAS / 2..REPLICAS).map(gone).collect();
        fleet
            .routers
            .iter_mut()
            .for_each(|router| drop(router.update_list(ListUpdate::Delta, removed.clone())));
        fleet.sends.fill(0);
        let now = fleet.routers[0].now;
        for _ in 0..1200 {
            fleet.submit_in_turn(now);
        }
        // The 100 requests a second are half of the capacity of the fleet. The capacity share is that after 4 s; rule 4 allows
        // 2.5 times as much, in a window of 2 s.
        let allowed = 2.0 * 100.0 / REPLICAS as f64 * (0.2 + 0.8 * 0.4) * 2.5 * 2.0;
        let most = allowed + 3.0 * allowed.sqrt();
        let busiest = *fleet.sends_to_first_half().iter().max().expect("the half is not empty");
        assert!(
            busiest > 0 && (busiest as f64) < most,
            "{routers} routers: a replica got {busiest} requests of at most {most:.0}: {:?}",
            fleet.sends
        );
    }
}

/// Number of replicas that restart. Their budget is a third of the traffic, so there are enough requests to use it up.
const RESTARTED: u64 = 5;

/// A disruption while the restarted replicas warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disruption {
    None,
    /// Seven in ten routers are dead, and the others get their traffic.
    DeadRouters,
    /// Half of the routers restart one after the other, with their cached endpoint lists.
    RouterRestarts,
    /// The list update reaches each router up to 2 s late.
    LateListUpdates,
    /// There are a quarter more routers than their settings say.
    UncountedRouters,
    /// The restarted replicas restart again 3 s later.
    SecondRestart,
    /// One request in four has a prompt twenty times as long as the others.
    UnequalPrompts,
}

const DISRUPTIONS: [Disruption; 7] = [
    Disruption::None,
    Disruption::DeadRouters,
    Disruption::RouterRestarts,
    Disruption::LateListUpdates,
    Disruption::UncountedRouters,
    Disruption::SecondRestart,
    Disruption::UnequalPrompts,
];

/// Routers with very uneven traffic share the budget of a cold replica. They never exceed what rule 4 allows in any window,
/// and they use much of the budget if there are enough requests.
#[test]
fn uneven_routers_use_the_budget_of_warming_replicas_and_never_exceed_it() {
    let (mut lowest, mut most) = (f64::MAX, 0.0f64);
    for (routers, seeds) in [(1, 1), (2, 2), (5, 2), (20, 2), (30, 2), (100, 2), (300, 3)] {
        for disruption in DISRUPTIONS {
            for seed in 1..=seeds {
                let (used, worst) = simulate_restart(routers, disruption, seed);
                assert!(
                    worst < 1.0,
                    "{routers} routers, {disruption:?}, seed {seed}: {worst:.2} times what rule 4 allows"
                );
                // Routers that take over the traffic of dead ones learn of it after a report period, and restarted routers
                // with their first requests. Until then they send less than they may. Of a few routers with uneven traffic
                // one gets most of it, and it sends less than its share.
                let least = match (disruption, routers) {
                    (Disruption::DeadRouters, 300) => 0.45,
                    (Disruption::RouterRestarts, 300) => 0.5,
                    (_, 300) => 0.6,
                    (Disruption::DeadRouters, _) => 0.3,
                    _ => 0.4,
                };
                assert!(
                    used > least,
                    "{routers} routers, {disruption:?}, seed {seed}: {used:.2} of the budget used"
                );
                println!("{routers} routers, {disruption:?}, seed {seed}: {used:.2} of the budget, {worst:.2} of the limit");
                (lowest, most) = (lowest.min(used), most.max(worst));
            }
        }
    }
    println!("at least {lowest:.2} of the budget used, at most {most:.2} of what rule 4 allows");
}

/// Simulates a restart of replicas. Returns the share of their budget that all routers used, and the largest ratio of the
/// work sent to one replica within the window of rule 4 to the work that the rule allows.
fn simulate_restart(routers: u32, disruption: Disruption, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::with_disruption(routers, disruption);
    let mean_prompt = fleet.prompt_lengths.iter().sum::<u32>() as f64 / fleet.prompt_lengths.len() as f64;
    let router_count = fleet.routers.len();
    // Exponentially distributed weights: some routers get several times the mean traffic, many almost none.
    let mut weights: Vec<f64> = (0..router_count).map(|_| -(1.0 - rng.f64()).ln()).collect();
    let first_token_time = |replica| if replica < RESTARTED { SECOND / 5 } else { SECOND };
    fleet.run_weighted(12_000, &mut rng, &weights, |_| SECOND / 20);
    fleet.run_weighted(20_000, &mut rng, &weights, |_| SECOND);
    if disruption == Disruption::DeadRouters && router_count > 1 {
        weights
            .iter_mut()
            .enumerate()
            .for_each(|(index, weight)| *weight *= f64::from(u8::from(index % 10 < 3)));
    }
    let restart_known_at = fleet.routers[0].now;
    let mut started_at = restart_known_at - SECOND;
    let rows = |started_at| -> Vec<EndpointEntry> {
        (0..RESTARTED).map(|n| EndpointEntry { started_at, ..ready_entry(n) }).collect()
    };
    let delay: Vec<Nanos> = (0..router_count).map(|_| rng.u64(..2 * SECOND)).collect();
    let delay = |index: usize| if disruption == Disruption::LateListUpdates { delay[index] } else { 0 };
    let (mut informed, mut next) = (vec![false; router_count], 0);
    // For each replica the requests sent to it: time, work in mean requests, and whether the router knew of the restart.
    let mut sends: Vec<Vec<(Nanos, f64, bool)>> = vec![vec![]; REPLICAS as usize];
    let mut capacity_shares = Vec::new();
    for step in 0..600 {
        let now = restart_known_at + step * 10 * MS;
        if disruption == Disruption::SecondRestart && step == 300 {
            (started_at, informed) = (now, vec![false; router_count]);
        }
        for (index, informed) in informed
            .iter_mut()
            .enumerate()
            .filter(|(index, informed)| !**informed && now >= restart_known_at + delay(*index))
        {
            fleet.routers[index].run_to(now);
            fleet.routers[index].update_list(ListUpdate::Delta, rows(started_at));
            *informed = true;
        }
        if disruption == Disruption::RouterRestarts && step % (1200 / u64::from(routers)) == 0 {
            fleet.restart(next, seed * 1000 + next as u64, now);
            next = (next + 1) % router_count;
        }
        fleet.sent_requests.clear();
        fleet.run_weighted(10, &mut rng, &weights, first_token_time);
        for &(replica, tokens, index) in &fleet.sent_requests {
            sends[replica as usize].push((now, f64::from(tokens) / mean_prompt, informed[index]));
        }
        capacity_shares.push(0.2 + 0.8 * ((now - started_at) as f64 / (10 * SECOND) as f64));
    }
    budget_use_and_worst_window(routers, restart_known_at, &sends[..RESTARTED as usize], &capacity_shares)
}

/// Evaluates the requests sent to the restarted replicas since `restart_known_at`, with their capacity shares every 10 ms.
/// Returns the share of the budget that was used, and the largest ratio of the work in a window to the allowed work.
fn budget_use_and_worst_window(
    routers: u32,
    restart_known_at: Nanos,
    sends_by_replica: &[Vec<(Nanos, f64, bool)>],
    capacity_shares: &[f64],
) -> (f64, f64) {
    // 100 requests a second are half of the capacity of the fleet.
    let mean_rate = 100.0 / REPLICAS as f64;
    let budget: f64 = capacity_shares.iter().map(|share| mean_rate * 2.5 * share * 0.01).sum();
    let sent = sends_by_replica.iter().map(Vec::len).sum::<usize>() as f64;
    let mut worst = 0.0f64;
    for sends in sends_by_replica {
        for &(end, ..) in sends {
            let window = || sends.iter().filter(|(time, ..)| *time <= end && time + 2 * SECOND > end);
            let work: f64 = window().map(|(_, work_of_one, _)| work_of_one).sum();
            let informed_work: f64 = window()
                .filter(|(.., knew_restart)| *knew_restart)
                .map(|(_, work_of_one, _)| work_of_one)
                .sum();
            // Rule 4 is broken if more than two thirds of the work come from routers that know of the restart. With two
            // routers, one that does not know may send any amount; with more, the work of all routers is counted here.
            if routers == 2 && informed_work <= work * 2.0 / 3.0 {
                continue;
            }
            let sample = (end.saturating_sub(SECOND).max(restart_known_at) - restart_known_at) / (10 * MS);
            let allowed = 2.0 * mean_rate * capacity_shares[sample as usize] * 2.5 * 2.0;
            worst = worst.max(work / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
    }
    (sent / (budget * sends_by_replica.len() as f64), worst)
}

/// Requests per second that a warm replica can start, half of those that are sent to it.
const SATURATED_RATE_PER_S: f64 = 2.5;

/// Replicas that start requests one after the other at a limited rate.
struct SaturatedReplicas {
    now: Nanos,
    free_at: Vec<Nanos>,
}

impl SaturatedReplicas {
    /// Time to first token of a request that is sent now to a replica with this capacity share.
    fn first_token_time(&mut self, replica: u64, capacity_share: f64) -> Nanos {
        let free_at = &mut self.free_at[replica as usize];
        *free_at =
            self.now.max(*free_at) + (SECOND as f64 / (SATURATED_RATE_PER_S * capacity_share)) as Nanos;
        *free_at - self.now
    }
}

/// Rule 4 goes by the requests that a fleet can serve. Guards against a budget that grows with the requests beyond that.
#[test]
fn overload_does_not_raise_the_budget_of_warming_replicas() {
    for routers in [1, 2, 5, 20, 30, 100, 300] {
        let mut fleet = Fleet::with_routers(routers);
        let start = fleet.routers[0].now;
        let replicas = std::cell::RefCell::new(SaturatedReplicas {
            now: start,
            free_at: vec![start; REPLICAS as usize],
        });
        let run = |fleet: &mut Fleet, steps: u64, capacity_share: &dyn Fn(Nanos, u64) -> f64| {
            let mut sends = Vec::new();
            for _ in 0..steps {
                let now = fleet.routers[0].now;
                replicas.borrow_mut().now = now;
                fleet.sent_requests.clear();
                fleet.run(10, |r| replicas.borrow_mut().first_token_time(r, capacity_share(now, r)));
                sends.extend(fleet.sent_requests.iter().map(|&(replica, ..)| (now, replica)));
            }
            sends
        };
        run(&mut fleet, 4_000, &|_, _| 1.0);
        let restart_known_at = fleet.routers[0].now;
        let started_at = restart_known_at - SECOND;
        let rows: Vec<_> = (0..RESTARTED).map(|n| EndpointEntry { started_at, ..ready_entry(n) }).collect();
        fleet.routers.iter_mut().for_each(|router| drop(router.update_list(ListUpdate::Delta, rows.clone())));
        let capacity_share_at =
            |at: Nanos| 0.2 + 0.8 * ((at - started_at) as f64 / (10 * SECOND) as f64).min(1.0);
        let sends = run(&mut fleet, 600, &|now, r| if r < RESTARTED { capacity_share_at(now) } else { 1.0 });
        let (mut worst, mut most) = (0.0f64, 0);
        for replica in 0..RESTARTED {
            let times: Vec<Nanos> =
                sends.iter().filter(|send| send.1 == replica).map(|send| send.0).collect();
            for &end in &times {
                let count = times.iter().filter(|&&time| time <= end && time + 2 * SECOND > end).count();
                let allowed = SATURATED_RATE_PER_S
                    * capacity_share_at(end.saturating_sub(SECOND).max(restart_known_at))
                    * 2.5
                    * 2.0;
                let ratio = count as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0);
                (worst, most) = (worst.max(ratio), most.max(count));
            }
        }
        println!(
            "{routers} routers: {most} requests within the window of rule 4, {worst:.2} of what it allows"
        );
        assert!(most > 0 && worst < 1.0, "{routers} routers: {worst:.2} times what rule 4 allows");
    }
}
