//! Compares the replies to random batches, in which routers are killed and born, with those that each instance gives alone.
#![allow(missing_docs)]

mod process;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use process::run;

const ROUTERS: usize = 5;
const BATCHES: usize = 40;
const SEEDS: u64 = 12;
const MAX_EVENTS: usize = 40;
const MAX_BATCH_INTERVAL_NS: u64 = 400_000_000;

/// Number of an instance among all of a run; a router has another one after each birth.
type InstanceNumber = usize;

struct BatchEvent {
    /// The instance that handles the event; `None` if the router is dead.
    instance: Option<InstanceNumber>,
    lines: String,
}

struct Batch {
    now: u64,
    events: Vec<BatchEvent>,
    /// Instances that were killed, or replaced by a birth, in this batch.
    ended: Vec<InstanceNumber>,
}

/// Draws batches for routers that are killed and born at random.
struct Scenario {
    rng: Rng,
    running: [Option<InstanceNumber>; ROUTERS],
    instances: usize,
    requests: u64,
    batches: Vec<Batch>,
}

impl Scenario {
    fn draw(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            rng: Rng::with_seed(seed),
            running: [None; ROUTERS],
            instances: 0,
            requests: 0,
            batches: vec![],
        };
        let mut now = 1_000_000_000;
        for _ in 0..BATCHES {
            now += scenario.rng.u64(1..MAX_BATCH_INTERVAL_NS);
            scenario.batches.push(Batch { now, events: vec![], ended: vec![] });
            (0..scenario.rng.usize(..MAX_EVENTS)).for_each(|_| scenario.add_event());
        }
        scenario
    }

    fn add_event(&mut self) {
        let router = self.rng.usize(..ROUTERS);
        let lines = match self.rng.u32(..100) {
            0..6 => return self.kill(router),
            6..8 => return self.start(router),
            8..20 if self.running[router].is_none() => return self.start(router),
            kind => self.draw_lines(kind, router),
        };
        self.push(self.running[router], lines);
    }

    fn push(&mut self, instance: Option<InstanceNumber>, lines: String) {
        self.batches.last_mut().unwrap().events.push(BatchEvent { instance, lines });
    }

    fn end(&mut self, router: usize) {
        self.batches.last_mut().unwrap().ended.extend(self.running[router].take());
    }

    fn kill(&mut self, router: usize) {
        self.end(router);
        self.push(None, format!("KILLED Who=gateway-{router}\n"));
    }

    fn start(&mut self, router: usize) {
        self.end(router);
        self.running[router] = Some(self.instances);
        self.instances += 1;
        let (seed, settings) = (self.rng.u32(..), settings(router));
        let list = list_lines(router, 2, "Status=1");
        let born = format!("BORN Who=gateway-{router} Nonce64={seed} ProfileData={settings}\n{list}");
        self.push(self.running[router], born);
    }

    fn draw_lines(&mut self, kind: u32, router: usize) -> String {
        let who = format!("Who=gateway-{router}");
        let request = self.requests.saturating_sub(self.rng.u64(..8));
        match kind {
            0..45 => {
                self.requests += 1;
                let (id, class) = (self.requests, self.rng.u32(..2));
                format!("DEMAND {who} Ref={id} Kind={class} LeftNs=2000000000 NPrompt=100\n")
            }
            45..55 => format!("STREAMING {who} Ref={request} N=0 DurationNs=9000000\n"),
            55..75 => {
                let (how, over) =
                    [("done", 1), ("err", 0), ("busy", 0), ("econnreset", 0)][self.rng.usize(..4)];
                format!("FINISHED {who} Ref={request} N=0 How={how} DurationNs=9000000 DoneFlag={over}\n")
            }
            75..82 => format!("VANISHED {who} Ref={request}\n"),
            82..94 => format!("WAKEUP {who} KeyBack={}\n", self.rng.u32(1..5)),
            94..96 => format!("PEER {who} From={} Content=6869\n", (router + 1) % ROUTERS),
            96..98 => format!("BACKENDS_CHANGED {who} Form=3 RowsIn=0\n"),
            _ => list_lines(router, 0, ["Status=1", "Status=2"][self.rng.usize(..2)]),
        }
    }

    fn input(&self) -> String {
        let lines = |batch: &Batch| batch.events.iter().map(|event| event.lines.as_str()).collect::<String>();
        let batches = self.batches.iter();
        batches.map(|batch| format!("BATCH WallNs={}\n{}FLUSH\n", batch.now, lines(batch))).collect()
    }

    /// Returns the replies of an instance alone in its process, with one event a batch: one reply for each of its events.
    fn replies_of(&self, instance: InstanceNumber) -> Vec<String> {
        let mut input = String::new();
        for batch in &self.batches {
            for event in batch.events.iter().filter(|event| event.instance == Some(instance)) {
                input += &format!("BATCH WallNs={}\n{}FLUSH\n", batch.now, event.lines);
            }
        }
        replies(&input)
    }
}

fn settings(router: usize) -> String {
    format!(
        r#"{{"Me": {router}, "ReplicasOfMe": {ROUTERS}, "Discovery": "on_request",
        "Limits": {{"Cancel": true, "ParallelTries": true, "Peers": true, "RetryAfter": true, "TryLimit": 4}},
        "Profiles": [{{"GoalTimeNs": 200000000, "Effect": "pure"}},
            {{"GoalTimeNs": 200000000, "Effect": "side_effect"}}],
        "Tenants": [{{"Name": "tenant", "QuotaPerS": 20}}]}}"#
    )
    .replace('\n', "")
}

fn list_lines(router: usize, form: u32, status: &str) -> String {
    format!(
        "BACKENDS_CHANGED Who=gateway-{router} Form={form} Revision=1 RowsIn=2\n\
         M {status} Replica=10.0.0.1:5001\nM Status=1 Replica=10.0.0.2:5001\n"
    )
}

/// Runs the adapter and returns its replies without their ends.
fn replies(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let replies = text.split_inclusive("END\n").map(|reply| reply.strip_suffix("END\n").expect("an end"));
    replies.map(str::to_string).collect()
}

/// Guards against actions of a killed instance in the reply, wherever in the batch the kill stands: the simulator would take
/// them for the next instance's, which was never given their requests.
#[test]
fn no_action_of_a_killed_instance_stays_and_the_others_stay_in_order() {
    let mut withdrawn = BTreeMap::<String, usize>::new();
    let mut most_ended = 0;
    let mut ended_without_successor = 0;
    for seed in 0..SEEDS {
        let scenario = Scenario::draw(seed);
        let mut alone: Vec<_> = (0..scenario.instances).map(|i| scenario.replies_of(i).into_iter()).collect();
        let together = replies(&scenario.input());
        assert_eq!(together.len(), BATCHES, "seed {seed}");
        for (number, (batch, reply)) in scenario.batches.iter().zip(together).enumerate() {
            let mut expected = String::new();
            for event in &batch.events {
                let Some(instance) = event.instance else { continue };
                let lines = alone[instance].next().expect("a reply to each event");
                if !batch.ended.contains(&instance) {
                    expected += &lines;
                    continue;
                }
                for line in lines.lines() {
                    *withdrawn.entry(line.split(' ').next().unwrap().into()).or_default() += 1;
                }
            }
            assert_eq!(reply, expected, "seed {seed}, batch {number}");
            let acting: BTreeSet<_> = batch.events.iter().filter_map(|event| event.instance).collect();
            let ended_here = batch.ended.iter().filter(|instance| acting.contains(instance)).count();
            most_ended = most_ended.max(ended_here);
            ended_without_successor += usize::from(ended_here > 0 && acting.len() == ended_here);
        }
    }
    println!("withdrawn: {withdrawn:?}; at most {most_ended} in a batch");
    for kind in ["ISSUE", "REJECT", "LOSE", "REVOKE", "WAKE_AT", "TELL", "KEEP_INFORMED"] {
        assert!(withdrawn.contains_key(kind), "no {kind} was withdrawn: {withdrawn:?}");
    }
    assert!(most_ended >= 3 && ended_without_successor > 0, "{most_ended}, {ended_without_successor}");
}
