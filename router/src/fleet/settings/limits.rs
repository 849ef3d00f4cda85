//! How many routers or replicas may be out of service at once: a number, or a share.

use tallypin_consensus::replica_drains::Limit;

/// The largest share of replicas that may be drained, percent: some must serve.
const MAX_REPLICA_PERCENT: usize = 99;

/// Whether all of a group may be out of service at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WholeGroup {
    /// They may: the others of the fleet serve.
    MayLeave,
    /// They must not: nobody would serve.
    MustNotLeave,
}

/// Why a word is no limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    /// Neither a number nor a share.
    #[error("wants a number, or a share as 10%")]
    NotANumber,
    /// A share of nothing, or above the largest.
    #[error("a share is 1% to {0}%")]
    ShareOutOfRange(usize),
    /// A share that is less than one router: it would stop every release, by accident.
    #[error("{percent}% of {group_size} is none; say 1 to let one out")]
    ShareOfNone {
        /// The share.
        percent: usize,
        /// Of how many routers.
        group_size: usize,
    },
    /// No router could ever leave.
    #[error("a bound of none would let nobody out")]
    NoRouters,
    /// No replica could ever leave.
    #[error("a bound of none would let nothing out; leave it away for that")]
    NoReplicas,
    /// All routers could leave.
    #[error("{limit} of {group_size} may be out: nobody would serve")]
    AllRouters {
        /// The limit.
        limit: usize,
        /// How many there are.
        group_size: usize,
    },
}

/// Reads `3`, or `10%` up to `max_percent`.
fn parse_limit(word: &str, max_percent: usize) -> Result<Limit, LimitError> {
    let digits = |word: &str| word.parse::<usize>().ok().filter(|_| word.bytes().all(|b| b.is_ascii_digit()));
    match word.strip_suffix('%') {
        Some(percent) => digits(percent)
            .filter(|percent| (1..=max_percent).contains(percent))
            .map(Limit::Percent)
            .ok_or(LimitError::ShareOutOfRange(max_percent)),
        None => digits(word).map(Limit::Count).ok_or(LimitError::NotANumber),
    }
}

/// The limit of replicas. A share is of as many as are listed when it counts, rounded down, so at times of none.
///
/// # Errors
///
/// The word is no limit, or one of none.
pub fn parse_replica_limit(word: &str) -> Result<Limit, LimitError> {
    match parse_limit(word, MAX_REPLICA_PERCENT)? {
        Limit::Count(0) => Err(LimitError::NoReplicas),
        limit => Ok(limit),
    }
}

/// The limit of routers of a group of so many. A share is rounded down.
///
/// # Errors
///
/// The word is no limit, or one of none, or all of a group could leave that must not.
pub fn parse_router_limit(
    word: &str,
    group_size: usize,
    whole_group: WholeGroup,
) -> Result<usize, LimitError> {
    let limit = match parse_limit(word, 100)? {
        Limit::Count(limit) => limit,
        Limit::Percent(percent) => match group_size * percent / 100 {
            0 => return Err(LimitError::ShareOfNone { percent, group_size }),
            limit => limit,
        },
    };
    let leaves_none = group_size > 1 && limit >= group_size;
    match limit {
        0 => Err(LimitError::NoRouters),
        limit if leaves_none && whole_group == WholeGroup::MustNotLeave => {
            Err(LimitError::AllRouters { limit, group_size })
        }
        limit => Ok(limit),
    }
}
