//! Exit codes of the check program.

use crate::assessment::HealthState;

/// What an exit code is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCodeStyle {
    /// An external check: 0 for a server that takes requests, 1 for one that does not.
    Plain,
    /// A balancer that reads the weight from the code, as keepalived's `misc_dynamic` does: 0 leaves the weight
    /// as it is, 1 is failure, 2 to 255 are the weight and two more.
    Weight,
}

/// The code for an answer that could not be had.
pub const NO_ANSWER: u8 = 1;

/// The code for a state and weight (1 to 100).
pub fn exit_code(style: ExitCodeStyle, state: HealthState, weight: u8) -> u8 {
    match (style, state) {
        (ExitCodeStyle::Plain, HealthState::Up | HealthState::Degraded) => 0,
        (ExitCodeStyle::Plain, _) => 1,
        (ExitCodeStyle::Weight, HealthState::Up | HealthState::Degraded) => 2 + weight.clamp(1, 100),
        // Weight 0: what is there goes on, and nothing new comes.
        (ExitCodeStyle::Weight, HealthState::Draining) => 2,
        (ExitCodeStyle::Weight, HealthState::Maintenance | HealthState::Down) => 1,
    }
}
