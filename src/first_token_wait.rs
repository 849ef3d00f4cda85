//! Expected first-token wait of a replica, from its samples and a prior.
//!
//! Replicas are ranked by their smoothed first-token wait times one plus the own requests in flight. Samples of that
//! wait are noisy: a router has few streams on each replica, and a first token comes at once or after a queue that has
//! cleared by the next sample. Unadjusted, they outweigh the requests in flight: traffic herds to whichever replica had
//! a low sample, and a replica that has just started, assumed to be as slow as the slowest, gets nothing while the
//! others are overloaded. So the samples are shrunk, in the logarithm, towards a prior that is the same for all
//! replicas.
//!
//! All waits and objectives are in nanoseconds.

/// Prior wait as a share of the latency objective: about what one more own stream adds to the next first token.
const PRIOR_SHARE: f64 = 1.0 / 20.0;
/// Weight of the samples, in the logarithm: a replica sampled ten times as slow is expected to be 1.8 times as slow,
/// and one more request in flight on top of two outweighs a wait that is half as long again. With a weight of 0.5,
/// traffic herds.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Lower bound on a replica's smoothed wait in the calculation of its expected wait, ns.
const MIN_SMOOTHED_WAIT: f64 = 1e5;

/// Returns the expected first-token wait of a replica with a smoothed wait of `smoothed`, for a request with latency
/// objective `objective`.
pub fn expected_wait(smoothed: f64, objective: f64) -> f64 {
    (PRIOR_SHARE * objective).powf(1.0 - SAMPLE_WEIGHT) * smoothed.max(MIN_SMOOTHED_WAIT).powf(SAMPLE_WEIGHT)
}

/// Returns the predicted wait by which replicas are ranked: the expected wait times one plus the requests in flight.
pub fn ranking_wait(smoothed: f64, objective: f64, in_flight: u32) -> f64 {
    expected_wait(smoothed, objective) * (1.0 + f64::from(in_flight))
}

/// Returns the part of a wait beyond the prior, which is due to the current queue. It is not shrunk, so the wait must
/// come from many samples or be the same for all replicas compared by it.
pub fn queueing_wait(wait: f64, objective: f64) -> f64 {
    (wait - PRIOR_SHARE * objective).max(0.0)
}
