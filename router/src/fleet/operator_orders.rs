//! Parser of the operator orders that follow `fleet` on the command line or on the control socket.

use std::time::Duration;

use super::release_plan::ReleaseRequest;

/// Maximum duration of a replica drain: one week.
const MAX_REPLICA_DRAIN_MS: u64 = 7 * 24 * 3_600_000;
/// Minimum duration of a replica drain. A shorter drain would expire before all routers know of it.
const MIN_REPLICA_DRAIN_MS: u64 = 1000;

/// An operator order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetOrder {
    /// `status`: report the fleet state.
    Status,
    /// `drain`: drain these routers, as many at a time as the limits allow.
    Drain(Vec<String>),
    /// `put-back`: return these routers or replicas to service.
    Restore(Vec<String>),
    /// `take-out`: drain these replicas, until an order restores them or the given duration has passed.
    DrainReplicas(Vec<String>, Option<Duration>),
    /// `release`: release a file.
    Release(Box<ReleaseRequest>),
    /// `back`: roll the release back, for this cause.
    RollBack(String),
    /// `halt`: let no further drain begin, for this cause.
    Halt(String),
    /// `resume`: let drains begin again.
    Resume,
}

/// An order with its id, which makes it run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentifiedOrder {
    /// The id; `None` if the executing router is to generate one.
    pub id: Option<String>,
    /// The order.
    pub order: FleetOrder,
}

/// Why the arguments are not a valid order.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// `drain` without a name.
    #[error("`drain` needs the names of routers")]
    NoRouters,
    /// `put-back` without a name.
    #[error("`put-back` needs the names of routers or of model nodes")]
    NothingToRestore,
    /// `take-out` without a name.
    #[error("`take-out` needs the names of model nodes: `take-out NODE.. [for 30m]`")]
    NoReplicas,
    /// `for` with an invalid duration.
    #[error("`{0}` is not a time from 1s to 168h")]
    InvalidTime(String),
    /// `release` with an argument that is not a plan in JSON.
    #[error("invalid release plan: {0}")]
    InvalidPlan(#[from] serde_json::Error),
    /// The order is unknown.
    #[error(
        "unknown order; the orders are fleet [id ID] status, drain ROUTER.., take-out NODE.. [for TIME], \
         put-back ROUTER|NODE.., release PLAN, back [CAUSE], watch, halt [CAUSE], resume"
    )]
    Unknown,
}

/// Parses the arguments after `fleet`. `id ID` may precede an order that may be sent again.
///
/// # Errors
///
/// The arguments are not a valid order.
pub fn parse(arguments: &[&str]) -> Result<IdentifiedOrder, OrderError> {
    let (id, arguments) = match arguments {
        ["id", id, rest @ ..] => (Some((*id).to_string()), rest),
        rest => (None, rest),
    };
    Ok(IdentifiedOrder { id, order: parse_order(arguments)? })
}

fn parse_order(arguments: &[&str]) -> Result<FleetOrder, OrderError> {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let cause = |words: &[&str]| match words {
        [] => "ordered".into(),
        words => words.join(" "),
    };
    Ok(match arguments {
        ["status"] => FleetOrder::Status,
        ["drain"] => return Err(OrderError::NoRouters),
        ["drain", routers @ ..] => FleetOrder::Drain(names(routers)),
        ["put-back"] => return Err(OrderError::NothingToRestore),
        ["put-back", restored @ ..] => FleetOrder::Restore(names(restored)),
        ["take-out"] | ["take-out", "for", ..] => return Err(OrderError::NoReplicas),
        ["take-out", replicas @ .., "for", time] => {
            FleetOrder::DrainReplicas(names(replicas), Some(parse_time(time)?))
        }
        ["take-out", replicas @ ..] => FleetOrder::DrainReplicas(names(replicas), None),
        ["release", json @ ..] => FleetOrder::Release(serde_json::from_str(&json.join(" "))?),
        ["back", words @ ..] => FleetOrder::RollBack(cause(words)),
        ["halt", words @ ..] => FleetOrder::Halt(cause(words)),
        ["resume"] => FleetOrder::Resume,
        _ => return Err(OrderError::Unknown),
    })
}

/// Parses a drain duration such as `90s`, `30m` or `2h`.
fn parse_time(text: &str) -> Result<Duration, OrderError> {
    let kind = tallypin_settings_schema::Kind::Duration(MIN_REPLICA_DRAIN_MS, MAX_REPLICA_DRAIN_MS);
    match kind.parse(text) {
        Some(tallypin_settings_schema::Value::Duration(time)) => Ok(time),
        _ => Err(OrderError::InvalidTime(text.into())),
    }
}

#[cfg(test)]
mod tests;
