//! Comparison of policies over many seeds: means with confidence intervals, and differences paired by seed, since each seed
//! gives all policies the same arrivals.

use crate::policy;
use crate::world::{Figures, Plan, World};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A mean and the half-width of its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half-width of the interval; infinite for fewer than two values.
    pub half_width: f64,
}

impl Mean {
    /// Returns the mean of the values and its interval; the mean of no values is 0.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / n };
        if values.len() < 2 {
            return Mean { mean, half_width: f64::INFINITY };
        }
        let var = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        Mean { mean, half_width: student_t_quantile(values.len() - 1) * (var / n).sqrt() }
    }
}

/// Returns the 0.975 quantile of Student's t distribution. From 4 degrees of freedom it uses the expansion of Abramowitz and
/// Stegun, 26.7.5, with an error below 0.01; for fewer degrees it uses tabulated values.
pub fn student_t_quantile(degrees: usize) -> f64 {
    const TABLE: [f64; 3] = [12.706, 4.303, 3.182];
    if let Some(quantile) = degrees.checked_sub(1).and_then(|i| TABLE.get(i)) {
        return *quantile;
    }
    let (z, v) = (1.959_964, degrees.max(1) as f64);
    let g1 = (z * z * z + z) / 4.0;
    let g2 = (5.0 * f64::powi(z, 5) + 16.0 * f64::powi(z, 3) + 3.0 * z) / 96.0;
    let g3 = (3.0 * f64::powi(z, 7) + 19.0 * f64::powi(z, 5) + 17.0 * f64::powi(z, 3) - 15.0 * z) / 384.0;
    z + g1 / v + g2 / v.powi(2) + g3 / v.powi(3)
}

/// The result of one policy with one seed.
#[derive(Debug, Clone, PartialEq)]
pub struct SeedResult {
    /// Index of the policy in the list of compared policies.
    pub policy: usize,
    /// The seed.
    pub seed: u64,
    /// Figures of the run.
    pub figures: Figures,
}

impl SeedResult {
    /// Returns the share of requests served within the latency objective.
    pub fn in_time_share(&self) -> f64 {
        self.figures.in_time as f64 / self.figures.requests.max(1) as f64
    }
}

/// Runs each policy with each seed on several threads. Results are in the order of seeds, then policies, for any number of
/// threads. `on_result` is called with each result.
pub fn run_all(
    plan: &Plan,
    policies: &[&str],
    seeds: &[u64],
    threads: usize,
    on_result: impl Fn(&SeedResult) + Sync,
) -> Vec<SeedResult> {
    let tasks: Vec<(u64, usize)> =
        seeds.iter().flat_map(|&s| (0..policies.len()).map(move |p| (s, p))).collect();
    let (next_task, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, tasks.len().max(1)) {
            scope.spawn(|| {
                while let Some(&(seed, policy)) = tasks.get(next_task.fetch_add(1, Ordering::Relaxed)) {
                    let Some(factory) = policy::by_name(policies[policy]) else { continue };
                    let plan = Plan { seed, ..plan.clone() };
                    let result = SeedResult { policy, seed, figures: World::new(&plan, factory).run() };
                    on_result(&result);
                    results.lock().unwrap_or_else(|e| e.into_inner()).push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.sort_by_key(|r| (r.seed, r.policy));
    results
}

/// Returns for each policy its mean in-time share and the paired difference to the first policy.
pub fn summarize(results: &[SeedResult], policies: usize) -> Vec<(Mean, Mean)> {
    let shares = |p: usize| results.iter().filter(move |r| r.policy == p).map(SeedResult::in_time_share);
    (0..policies)
        .map(|p| {
            let own: Vec<f64> = shares(p).collect();
            let differences: Vec<f64> = shares(p).zip(shares(0)).map(|(a, b)| a - b).collect();
            (Mean::of(&own), Mean::of(&differences))
        })
        .collect()
}

#[cfg(test)]
mod tests;
