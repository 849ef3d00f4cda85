//! Policies side by side over many seeds: means with confidence intervals, and paired differences, as all meet the same
//! days.

use crate::policy;
use crate::world::{Figures, Plan, World};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A mean and the half-width of its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half of the interval; infinite for a single value.
    pub half: f64,
}

impl Mean {
    /// Of some values; of none it is 0, and infinitely unsure.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / n };
        if values.len() < 2 {
            return Mean { mean, half: f64::INFINITY };
        }
        let var = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        Mean { mean, half: student(values.len() - 1) * (var / n).sqrt() }
    }
}

/// The 0.975 quantile of Student's t for so many degrees: the expansion about the normal quantile of Abramowitz and
/// Stegun, 26.7.5, good to 0.01 from 4 degrees on, and the values themselves below.
pub fn student(degrees: usize) -> f64 {
    const FEW: [f64; 3] = [12.706, 4.303, 3.182];
    if let Some(few) = degrees.checked_sub(1).and_then(|i| FEW.get(i)) {
        return *few;
    }
    let (z, v) = (1.959_964, degrees.max(1) as f64);
    let g1 = (z * z * z + z) / 4.0;
    let g2 = (5.0 * f64::powi(z, 5) + 16.0 * f64::powi(z, 3) + 3.0 * z) / 96.0;
    let g3 = (3.0 * f64::powi(z, 7) + 19.0 * f64::powi(z, 5) + 17.0 * f64::powi(z, 3) - 15.0 * z) / 384.0;
    z + g1 / v + g2 / v.powi(2) + g3 / v.powi(3)
}

/// One day of one policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    /// Which policy, by its place in what was asked for.
    pub policy: usize,
    /// The seed.
    pub seed: u64,
    /// What became of it.
    pub figures: Figures,
}

impl Day {
    /// The share of requests served in time.
    pub fn in_time(&self) -> f64 {
        self.figures.in_time as f64 / self.figures.came.max(1) as f64
    }
}

/// Plays each policy on each seed, on so many threads; days in the order of seeds, then policies, whatever the threads.
/// `done` is told of each that is finished.
pub fn play(
    plan: &Plan,
    policies: &[&str],
    seeds: &[u64],
    threads: usize,
    done: impl Fn(&Day) + Sync,
) -> Vec<Day> {
    let todo: Vec<(u64, usize)> =
        seeds.iter().flat_map(|&s| (0..policies.len()).map(move |p| (s, p))).collect();
    let (next, days) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, todo.len().max(1)) {
            scope.spawn(|| {
                while let Some(&(seed, policy)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let Some(make) = policy::by_name(policies[policy]) else { continue };
                    let plan = Plan { seed, ..plan.clone() };
                    let day = Day { policy, seed, figures: World::new(&plan, make).play() };
                    done(&day);
                    days.lock().unwrap_or_else(|e| e.into_inner()).push(day);
                }
            });
        }
    });
    let mut days = days.into_inner().unwrap_or_else(|e| e.into_inner());
    days.sort_by_key(|d| (d.seed, d.policy));
    days
}

/// A policy's line: its share in time, and the paired difference to the first policy.
pub fn table(days: &[Day], policies: usize) -> Vec<(Mean, Mean)> {
    let of = |p: usize| days.iter().filter(move |d| d.policy == p).map(Day::in_time);
    (0..policies)
        .map(|p| {
            let own: Vec<f64> = of(p).collect();
            let apart: Vec<f64> = of(p).zip(of(0)).map(|(a, b)| a - b).collect();
            (Mean::of(&own), Mean::of(&apart))
        })
        .collect()
}

#[cfg(test)]
mod tests;
