//! Exit codes of the check program.

use crate::assessment::HealthState;

/// The convention for exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCodeStyle {
    /// For external checks: 0 if the server accepts requests, 1 if it does not.
    Plain,
    /// For balancers that read the weight from the code, like keepalived with `misc_dynamic`: 0 leaves the weight unchanged,
    /// 1 is failure, and 2 to 255 are the weight plus 2.
    Weight,
}

/// Exit code if the router did not answer.
pub const NO_ANSWER: u8 = 1;

/// Returns the exit code for a state and a weight in percent (1 to 100).
pub fn exit_code(style: ExitCodeStyle, state: HealthState, weight: u8) -> u8 {
    match (style, state) {
        (ExitCodeStyle::Plain, HealthState::Up | HealthState::Degraded) => 0,
        (ExitCodeStyle::Plain, _) => 1,
        (ExitCodeStyle::Weight, HealthState::Up | HealthState::Degraded) => 2 + weight.clamp(1, 100),
        // Weight 0: existing sessions continue, and no new ones are sent.
        (ExitCodeStyle::Weight, HealthState::Draining) => 2,
        (ExitCodeStyle::Weight, HealthState::Maintenance | HealthState::Down) => 1,
    }
}
