//! `tallypin-simulator run` simulates a fleet once for each policy; `compare` runs many seeds and prints confidence intervals.

use lexopt::prelude::*;
use std::cell::Cell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tallypin_simulator::policy::{self, Policy, TimedPolicy};
use tallypin_simulator::world::{Plan, World};
use tallypin_simulator::{compare, fleet_file, plans};

const USAGE: &str = "tallypin-simulator run [--fleet FILE | --nodes N --routers N --load SHARE --seconds N --rough]
                 [--seed N] [--policy NAME] ...
tallypin-simulator compare ... --seeds FIRST..LAST [--threads N]
Plays a day of a fleet in virtual time for each policy named, or for all, on the same draws; `compare` plays one for each
seed, and sets each policy beside the first.
--load is the share of what the fleet can about bear; --rough adds a rolling deploy and slow nodes.
Ends with 1 if a rule was broken, with 2 if the command line can't be used.";

/// Maximum numbers of nodes, routers and seconds, so that a run fits into the memory of one machine.
const MAX_SIZE: (u32, u32, u64) = (20_000, 1_000, 86_400);

struct Arguments {
    nodes: u32,
    routers: u32,
    load: f64,
    seconds: u64,
    seed: u64,
    with_faults: bool,
    policies: Vec<String>,
    fleet: Option<PathBuf>,
    /// First and last seed of `compare`.
    seeds: Option<(u64, u64)>,
    threads: usize,
    /// The last option given that a fleet file would set itself.
    fleet_option: Option<&'static str>,
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Arguments {
        nodes: 12,
        routers: 2,
        load: 0.7,
        seconds: 60,
        seed: 1,
        with_faults: false,
        policies: vec![],
        fleet: None,
        seeds: None,
        threads: 1,
        fleet_option: None,
    };
    arguments.threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut command = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("fleet") => arguments.fleet = Some(parser.value()?.into()),
            Long("nodes") => {
                (arguments.nodes, arguments.fleet_option) = (parser.value()?.parse()?, Some("nodes"))
            }
            Long("routers") => {
                (arguments.routers, arguments.fleet_option) = (parser.value()?.parse()?, Some("routers"))
            }
            Long("load") => {
                (arguments.load, arguments.fleet_option) = (parser.value()?.parse()?, Some("load"))
            }
            Long("seconds") => {
                (arguments.seconds, arguments.fleet_option) = (parser.value()?.parse()?, Some("seconds"))
            }
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("rough") => (arguments.with_faults, arguments.fleet_option) = (true, Some("rough")),
            Long("policy") => arguments.policies.push(parser.value()?.string()?),
            Long("seeds") => arguments.seeds = Some(parse_seeds(&parser.value()?.string()?)?),
            Long("threads") => arguments.threads = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            Value(name) if command.is_none() && (name == "run" || name == "compare") => {
                command = name.into_string().ok()
            }
            other => return Err(other.unexpected()),
        }
    }
    match (command.as_deref(), arguments.seeds) {
        (None, _) => return Err("no command: try `run` or `compare`".into()),
        (Some("run"), Some(_)) => return Err("`run` plays one day: --seed; `compare` takes --seeds".into()),
        (Some("compare"), None) => return Err("`compare` wants --seeds FIRST..LAST".into()),
        _ => {}
    }
    if !(1..=1_024).contains(&arguments.threads) {
        return Err("threads 1 to 1024".into());
    }
    if let (Some(_), Some(option)) = (&arguments.fleet, arguments.fleet_option) {
        return Err(format!("--{option} stands in the fleet file").into());
    }
    let is_valid = (1..=MAX_SIZE.0).contains(&arguments.nodes)
        && (1..=MAX_SIZE.1).contains(&arguments.routers)
        && (1..=MAX_SIZE.2).contains(&arguments.seconds)
        && arguments.load > 0.0
        && arguments.load <= 10.0;
    if !is_valid {
        let (nodes, routers, seconds) = MAX_SIZE;
        let text =
            format!("nodes 1 to {nodes}, routers 1 to {routers}, seconds 1 to {seconds}, load above 0 to 10");
        return Err(text.into());
    }
    if let Some(name) = arguments.policies.iter().find(|name| policy::by_name(name).is_none()) {
        return Err(format!("no policy {name:?}; there are {}", policy::NAMES.join(", ")).into());
    }
    if arguments.policies.is_empty() {
        arguments.policies = policy::NAMES.iter().map(|name| name.to_string()).collect();
    }
    Ok(Some(arguments))
}

/// Parses an inclusive range of seeds such as `3..20`.
fn parse_seeds(text: &str) -> Result<(u64, u64), lexopt::Error> {
    let range = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    match range.filter(|(first, last): &(u64, u64)| first <= last && last - first < 10_000) {
        Some(range) => Ok(range),
        None => Err(format!("{text:?} is no range of seeds: FIRST..LAST, at most 10000").into()),
    }
}

/// Runs all policies with all seeds and prints their comparison. Returns true if a rule was violated.
fn run_comparison(plan: &Plan, arguments: &Arguments, (first, last): (u64, u64)) -> bool {
    let (seeds, names): (Vec<u64>, Vec<&str>) =
        ((first..=last).collect(), arguments.policies.iter().map(String::as_str).collect());
    let results = compare::run_all(plan, &names, &seeds, arguments.threads, |_| {});
    println!(
        "{} seeds, {first} to {last}; share in time and the difference to {}, 95% intervals",
        seeds.len(),
        names[0]
    );
    for (p, (own, difference)) in compare::summarize(&results, names.len()).into_iter().enumerate() {
        let violations: usize =
            results.iter().filter(|r| r.policy == p).map(|r| r.figures.violations.len()).sum();
        let worst = results
            .iter()
            .filter(|r| r.policy == p)
            .min_by(|a, b| a.in_time_share().total_cmp(&b.in_time_share()));
        let worst = worst.map_or((0, 0.0), |r| (r.seed, 100.0 * r.in_time_share()));
        println!(
            "{:<12} {:>6.2}% ± {:<5.2}  {:>+7.2} ± {:<5.2}  worst {:>5.1}% (seed {})  rules broken {violations}",
            names[p],
            100.0 * own.mean,
            100.0 * own.half_width,
            100.0 * difference.mean,
            100.0 * difference.half_width,
            worst.1,
            worst.0,
        );
    }
    for violation in
        results.iter().filter(|r| names[r.policy] == "tallypin").flat_map(|r| &r.figures.violations).take(5)
    {
        println!("  rule broken: {violation}");
    }
    results.iter().any(|r| !r.figures.violations.is_empty())
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("tallypin-simulator: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let make_plan = if arguments.with_faults { plans::fleet_with_faults } else { plans::fleet };
    let plan = match &arguments.fleet {
        None => {
            make_plan(arguments.seed, arguments.nodes, arguments.routers, arguments.load, arguments.seconds)
        }
        Some(path) => match fleet_file::read(path, arguments.seed) {
            Ok(plan) => plan,
            Err(problems) => {
                eprint!("{problems}");
                return ExitCode::from(2);
            }
        },
    };
    if let Some(seeds) = arguments.seeds {
        return ExitCode::from(u8::from(run_comparison(&plan, &arguments, seeds)));
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
    let mut has_violations = false;
    for name in &arguments.policies {
        let factory = policy::by_name(name).expect("the arguments have been checked");
        let started = Instant::now();
        let decision_time = Rc::new(Cell::new(Duration::ZERO));
        let timed = |settings, seed| -> Box<dyn Policy> {
            Box::new(TimedPolicy::new(factory(settings, seed), decision_time.clone()))
        };
        let r = World::new(&plan, timed).run();
        let took_s = started.elapsed().as_secs_f64();
        let share = |n: u64| 100.0 * n as f64 / r.requests.max(1) as f64;
        println!(
            "{name:<12} {:>8} {:>6.1}% {:>5.1}% {:>6.1}% {:>5.1}% {:>7.2} {:>6.0} ms {:>6.0} ms {:>5.1}% \
             {:>9} {:>10.0} {:>6.1} us",
            r.requests,
            share(r.in_time),
            share(r.late),
            share(r.rejected),
            share(r.failed),
            r.attempts as f64 / r.requests.max(1) as f64,
            r.first_token_quantile(0.5) as f64 / 1e6,
            r.first_token_quantile(0.99) as f64 / 1e6,
            100.0 * r.cached_tokens as f64 / r.prompt_tokens.max(1) as f64,
            r.events,
            r.events as f64 / took_s.max(1e-9),
            decision_time.get().as_secs_f64() * 1e6 / (r.requests + r.client_retries).max(1) as f64,
        );
        for violation in r.violations.iter().take(5) {
            println!("  rule broken: {violation}");
        }
        if r.violations.len() > 5 {
            println!("  and {} more", r.violations.len() - 5);
        }
        has_violations |= !r.violations.is_empty();
    }
    ExitCode::from(u8::from(has_violations))
}
