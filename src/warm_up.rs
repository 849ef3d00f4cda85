//! Capacity of a replica that is warming up.

use crate::api::Nanos;

/// Returns the capacity of a replica `age` after its start, as a share of its full capacity, 0 to 1. It grows linearly
/// from `initial_share` at the start to 1 at the end of `warm_up_time`.
pub fn capacity_share(age: Nanos, warm_up_time: Nanos, initial_share: f64) -> f64 {
    let elapsed = (age as f64 / warm_up_time.max(1) as f64).min(1.0);
    (initial_share + (1.0 - initial_share) * elapsed).clamp(0.0, 1.0)
}
