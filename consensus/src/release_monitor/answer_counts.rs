//! What a router has answered.

use serde::{Deserialize, Serialize};

/// A router's final answers since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answered: u64,
    /// Those that failed, before their first event or after it.
    pub failed: u64,
    /// First events that came after more than half of the time that the client waits.
    pub late: u64,
    /// Requests that were rejected, except for those over a tenant's quota.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl AnswerCounts {
    /// What has been added since `earlier`.
    pub(super) fn since(self, earlier: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            late: self.late.saturating_sub(earlier.late),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }

    /// Both together.
    pub(super) fn plus(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_add(other.answered),
            failed: self.failed.saturating_add(other.failed),
            late: self.late.saturating_add(other.late),
            rejected: self.rejected.saturating_add(other.rejected),
        }
    }
}
