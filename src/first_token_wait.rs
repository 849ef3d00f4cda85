//! What is expected of a replica's first-token wait, beside what was sampled of it.
//!
//! Replicas are ranked by their smoothed first-token wait times one plus the own requests in flight. Samples of that wait
//! are noisy: a router has few streams on each replica, and a first token comes at once or after a queue that is gone by
//! the next. Taken as they are, they outweigh the requests in flight, so that traffic herds to whichever replica had a
//! lucky sample, and one that has just started, believed to be as slow as the slowest, gets nothing while the others are
//! overloaded. So the samples are shrunk, in the logarithm, towards a prior that is the same for all replicas.
//!
//! All waits and objectives are in nanoseconds.

/// The prior, as a share of the latency objective: about what one own stream more adds to the next first token. Settled on
/// days drawn with seeds 101 to 103: between a sixteenth and a thirty-sixth of the objective the mean G moves by 0.01.
const PRIOR_SHARE: f64 = 1.0 / 20.0;
/// The weight of the samples, in the logarithm: a replica sampled ten times as slow is expected to be 1.8 times as slow,
/// and one request in flight more on two outweighs half as much again. At a half the herds are back.
const SAMPLE_WEIGHT: f64 = 0.25;
/// A smoothed wait below this, ns, counts as this.
const MIN_WAIT: f64 = 1e5;

/// The expected first-token wait of a replica whose samples are smoothed to `smoothed`, for a request with this latency
/// objective.
pub fn expected_wait(smoothed: f64, objective: f64) -> f64 {
    (PRIOR_SHARE * objective).powf(1.0 - SAMPLE_WEIGHT) * smoothed.max(MIN_WAIT).powf(SAMPLE_WEIGHT)
}

/// The predicted wait by which replicas are ranked: the expected one for the next request and each one in flight.
pub fn ranked_wait(smoothed: f64, objective: f64, in_flight: u32) -> f64 {
    expected_wait(smoothed, objective) * (1.0 + f64::from(in_flight))
}

/// What a wait has beyond the prior: the queue there now. It is not shrunk, so the wait has to come from many samples, or
/// be the same for all replicas that are compared by it.
pub fn queueing_wait(wait: f64, objective: f64) -> f64 {
    (wait - PRIOR_SHARE * objective).max(0.0)
}
