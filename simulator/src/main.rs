//! `tallypin-simulator run`: a day of a fleet in virtual time, by policy; `compare`: many days, with intervals.

use lexopt::prelude::*;
use std::cell::Cell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tallypin_simulator::policy::{self, Policy, Timed};
use tallypin_simulator::world::{Plan, World};
use tallypin_simulator::{compare, file, plans};

const USAGE: &str = "tallypin-simulator run [--fleet FILE | --nodes N --routers N --load SHARE --seconds N --rough]
                 [--seed N] [--policy NAME] ...
tallypin-simulator compare ... --seeds FIRST..LAST [--threads N]
Plays a day of a fleet in virtual time for each policy named, or for all, on the same draws; `compare` plays one for each
seed, and sets each policy beside the first.
--load is the share of what the fleet can about bear; --rough adds a rolling deploy and slow nodes.
Ends with 1 if a rule was broken, with 2 if the command line can't be used.";

/// The most nodes, routers and seconds that are taken: beyond, the memory of one machine would not do.
const MOST: (u32, u32, u64) = (20_000, 1_000, 86_400);

struct Order {
    nodes: u32,
    routers: u32,
    load: f64,
    seconds: u64,
    seed: u64,
    rough: bool,
    policies: Vec<String>,
    fleet: Option<PathBuf>,
    /// Seeds, both ends included, and threads, of `compare`.
    seeds: Option<(u64, u64)>,
    threads: usize,
    /// An option that a fleet file says itself.
    size: Option<&'static str>,
}

fn order() -> Result<Option<Order>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut order = Order {
        nodes: 12,
        routers: 2,
        load: 0.7,
        seconds: 60,
        seed: 1,
        rough: false,
        policies: vec![],
        fleet: None,
        seeds: None,
        threads: 1,
        size: None,
    };
    order.threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut command = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("fleet") => order.fleet = Some(parser.value()?.into()),
            Long("nodes") => (order.nodes, order.size) = (parser.value()?.parse()?, Some("nodes")),
            Long("routers") => (order.routers, order.size) = (parser.value()?.parse()?, Some("routers")),
            Long("load") => (order.load, order.size) = (parser.value()?.parse()?, Some("load")),
            Long("seconds") => (order.seconds, order.size) = (parser.value()?.parse()?, Some("seconds")),
            Long("seed") => order.seed = parser.value()?.parse()?,
            Long("rough") => (order.rough, order.size) = (true, Some("rough")),
            Long("policy") => order.policies.push(parser.value()?.string()?),
            Long("seeds") => order.seeds = Some(seeds(&parser.value()?.string()?)?),
            Long("threads") => order.threads = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            Value(word) if command.is_none() && (word == "run" || word == "compare") => {
                command = word.into_string().ok()
            }
            other => return Err(other.unexpected()),
        }
    }
    match (command.as_deref(), order.seeds) {
        (None, _) => return Err("no command: try `run` or `compare`".into()),
        (Some("run"), Some(_)) => return Err("`run` plays one day: --seed; `compare` takes --seeds".into()),
        (Some("compare"), None) => return Err("`compare` wants --seeds FIRST..LAST".into()),
        _ => {}
    }
    if !(1..=1_024).contains(&order.threads) {
        return Err("threads 1 to 1024".into());
    }
    if let (Some(_), Some(size)) = (&order.fleet, order.size) {
        return Err(format!("--{size} stands in the fleet file").into());
    }
    let within = (1..=MOST.0).contains(&order.nodes)
        && (1..=MOST.1).contains(&order.routers)
        && (1..=MOST.2).contains(&order.seconds)
        && order.load > 0.0
        && order.load <= 10.0;
    if !within {
        let (nodes, routers, seconds) = MOST;
        let text =
            format!("nodes 1 to {nodes}, routers 1 to {routers}, seconds 1 to {seconds}, load above 0 to 10");
        return Err(text.into());
    }
    if let Some(name) = order.policies.iter().find(|name| policy::by_name(name).is_none()) {
        return Err(format!("no policy {name:?}; there are {}", policy::NAMES.join(", ")).into());
    }
    if order.policies.is_empty() {
        order.policies = policy::NAMES.iter().map(|name| name.to_string()).collect();
    }
    Ok(Some(order))
}

/// `3..20`, both ends included.
fn seeds(text: &str) -> Result<(u64, u64), lexopt::Error> {
    let ends = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    match ends.filter(|(first, last): &(u64, u64)| first <= last && last - first < 10_000) {
        Some(ends) => Ok(ends),
        None => Err(format!("{text:?} is no range of seeds: FIRST..LAST, at most 10000").into()),
    }
}

/// Many days; true if a rule was broken.
fn many(plan: &Plan, order: &Order, (first, last): (u64, u64)) -> bool {
    let (seeds, names): (Vec<u64>, Vec<&str>) =
        ((first..=last).collect(), order.policies.iter().map(String::as_str).collect());
    let days = compare::play(plan, &names, &seeds, order.threads, |_| {});
    println!(
        "{} seeds, {first} to {last}; share in time and the difference to {}, 95% intervals",
        seeds.len(),
        names[0]
    );
    for (p, (own, apart)) in compare::table(&days, names.len()).into_iter().enumerate() {
        let breaches: usize = days.iter().filter(|d| d.policy == p).map(|d| d.figures.breaches.len()).sum();
        let worst = days.iter().filter(|d| d.policy == p).min_by(|a, b| a.in_time().total_cmp(&b.in_time()));
        let worst = worst.map_or((0, 0.0), |d| (d.seed, 100.0 * d.in_time()));
        println!(
            "{:<12} {:>6.2}% ± {:<5.2}  {:>+7.2} ± {:<5.2}  worst {:>5.1}% (seed {})  rules broken {breaches}",
            names[p],
            100.0 * own.mean,
            100.0 * own.half,
            100.0 * apart.mean,
            100.0 * apart.half,
            worst.1,
            worst.0,
        );
    }
    for breach in
        days.iter().filter(|d| names[d.policy] == "tallypin").flat_map(|d| &d.figures.breaches).take(5)
    {
        println!("  rule broken: {breach}");
    }
    days.iter().any(|d| !d.figures.breaches.is_empty())
}

fn main() -> ExitCode {
    let order = match order() {
        Ok(Some(order)) => order,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(why) => {
            eprintln!("tallypin-simulator: {why}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let make = if order.rough { plans::rough } else { plans::fleet };
    let plan = match &order.fleet {
        None => make(order.seed, order.nodes, order.routers, order.load, order.seconds),
        Some(path) => match file::read(path, order.seed) {
            Ok(plan) => plan,
            Err(problems) => {
                eprint!("{problems}");
                return ExitCode::from(2);
            }
        },
    };
    if let Some(ends) = order.seeds {
        return ExitCode::from(u8::from(many(&plan, &order, ends)));
    }
    println!(
        "{:<12} {:>8} {:>7} {:>6} {:>7} {:>6} {:>7} {:>9} {:>9} {:>6} {:>9} {:>10} {:>9}",
        "policy",
        "requests",
        "in time",
        "late",
        "refused",
        "failed",
        "tries/r",
        "first p50",
        "first p99",
        "kept",
        "events",
        "events/s",
        "decide/r"
    );
    let mut broken = false;
    for name in &order.policies {
        let make = policy::by_name(name).expect("checked above");
        let begun = Instant::now();
        let spent = Rc::new(Cell::new(Duration::ZERO));
        let timed = |set, seed| -> Box<dyn Policy> { Box::new(Timed::new(make(set, seed), spent.clone())) };
        let r = World::new(&plan, timed).play();
        let took = begun.elapsed().as_secs_f64();
        let share = |n: u64| 100.0 * n as f64 / r.came.max(1) as f64;
        println!(
            "{name:<12} {:>8} {:>6.1}% {:>5.1}% {:>6.1}% {:>5.1}% {:>7.2} {:>6.0} ms {:>6.0} ms {:>5.1}% \
             {:>9} {:>10.0} {:>6.1} us",
            r.came,
            share(r.in_time),
            share(r.late),
            share(r.refused),
            share(r.failed),
            r.attempts as f64 / r.came.max(1) as f64,
            r.first_at(0.5) as f64 / 1e6,
            r.first_at(0.99) as f64 / 1e6,
            100.0 * r.kept as f64 / r.prompt.max(1) as f64,
            r.events,
            r.events as f64 / took.max(1e-9),
            spent.get().as_secs_f64() * 1e6 / (r.came + r.again).max(1) as f64,
        );
        for breach in r.breaches.iter().take(5) {
            println!("  rule broken: {breach}");
        }
        if r.breaches.len() > 5 {
            println!("  and {} more", r.breaches.len() - 5);
        }
        broken |= !r.breaches.is_empty();
    }
    ExitCode::from(u8::from(broken))
}
