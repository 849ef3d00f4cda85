//! Exit codes of the check program.

use crate::state::State;

/// What an exit code is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// An external check: 0 for a server that takes requests, 1 for one that does not.
    Plain,
    /// A balancer that reads the weight from the code, as keepalived's `misc_dynamic` does: 0 leaves the weight
    /// as it is, 1 is failure, 2 to 255 are the weight and two more.
    Weight,
}

/// The code for an answer that could not be had.
pub const NO_ANSWER: u8 = 1;

/// The code for a state and weight (1 to 100).
pub fn code(style: Style, state: State, weight: u8) -> u8 {
    match (style, state) {
        (Style::Plain, State::Up | State::Degraded) => 0,
        (Style::Plain, _) => 1,
        (Style::Weight, State::Up | State::Degraded) => 2 + weight.clamp(1, 100),
        // Weight 0: what is there goes on, and nothing new comes.
        (Style::Weight, State::Drain) => 2,
        (Style::Weight, State::Maint | State::Down) => 1,
    }
}
