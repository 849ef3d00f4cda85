//! Limits on the number of routers or replicas that may be out of service at once, given as a number or a share.

use tallypin_consensus::replica_drains::Limit;

/// Maximum share of replicas that may be drained, in percent. Some replicas must stay in service.
const MAX_REPLICA_PERCENT: usize = 99;

/// Whether a limit may allow all routers of a group to be out of service at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WholeGroup {
    /// The whole group may be out of service: routers outside the group still serve.
    MayLeave,
    /// The limit must not allow all routers of the group to be out of service at once: the group is the whole fleet, so no
    /// router would serve.
    MustNotLeave,
}

/// Why a limit is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// The limit is neither a number nor a share.
    #[error("the limit must be a number, or a share such as 10%")]
    NotANumber,
    /// The share of routers or replicas that may be out of service is below 1% or above the maximum, which the variant
    /// contains in percent: 100 for routers, 99 for replicas.
    #[error("a share must be from 1% to {0}%")]
    ShareOutOfRange(usize),
    /// The share rounds down to no router. It would block every release unintentionally.
    #[error("{percent}% of {group_size} routers is less than one; use 1 to allow one")]
    ShareOfNone {
        /// The share, in percent.
        percent: usize,
        /// Number of routers in the group.
        group_size: usize,
    },
    /// The limit would not allow any router to drain.
    #[error("a limit of 0 would not allow any router to drain")]
    NoRouters,
    /// The limit would not allow any replica to drain.
    #[error("a limit of 0 is not valid; omit the directive to allow no model node to be taken out")]
    NoReplicas,
    /// The limit would allow all routers to be out of service.
    #[error("{limit} of {group_size} routers may be out of service: none would serve")]
    AllRouters {
        /// The limit.
        limit: usize,
        /// Number of routers in the group.
        group_size: usize,
    },
}

/// Parses a number such as `3`, or a share such as `10%` of at most `max_percent`.
fn parse_limit(text: &str, max_percent: usize) -> Result<Limit, LimitError> {
    let number = |text: &str| text.parse::<usize>().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()));
    match text.strip_suffix('%') {
        Some(percent) => number(percent)
            .filter(|percent| (1..=max_percent).contains(percent))
            .map(Limit::Percent)
            .ok_or(LimitError::ShareOutOfRange(max_percent)),
        None => number(text).map(Limit::Count).ok_or(LimitError::NotANumber),
    }
}

/// Parses the limit on drained replicas. A share applies to the number of replicas listed at the time of a drain. It is
/// rounded down and may then allow none.
///
/// # Errors
///
/// The limit is malformed, out of range or 0.
pub fn parse_replica_limit(text: &str) -> Result<Limit, LimitError> {
    match parse_limit(text, MAX_REPLICA_PERCENT)? {
        Limit::Count(0) => Err(LimitError::NoReplicas),
        limit => Ok(limit),
    }
}

/// Parses the limit on routers out of service, for a group of `group_size` routers. A share is rounded down.
///
/// # Errors
///
/// The limit is malformed, out of range or 0, or allows the whole group to leave although it must not.
pub fn parse_router_limit(
    text: &str,
    group_size: usize,
    whole_group: WholeGroup,
) -> Result<usize, LimitError> {
    let limit = match parse_limit(text, 100)? {
        Limit::Count(limit) => limit,
        Limit::Percent(percent) => match group_size * percent / 100 {
            0 => return Err(LimitError::ShareOfNone { percent, group_size }),
            limit => limit,
        },
    };
    let allows_whole_group = group_size > 1 && limit >= group_size;
    match limit {
        0 => Err(LimitError::NoRouters),
        limit if allows_whole_group && whole_group == WholeGroup::MustNotLeave => {
            Err(LimitError::AllRouters { limit, group_size })
        }
        limit => Ok(limit),
    }
}
