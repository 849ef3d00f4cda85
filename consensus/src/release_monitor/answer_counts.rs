//! Counts of a router's answers.

use serde::{Deserialize, Serialize};

/// Counts of a router's final answers since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answered: u64,
    /// Answers that failed, before or after their first event.
    pub failed: u64,
    /// First events that were sent after more than half of the client's waiting time.
    pub late: u64,
    /// Rejected requests, except those over a tenant's quota.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl AnswerCounts {
    /// Returns the counts added since `earlier`.
    pub(super) fn since(self, earlier: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            late: self.late.saturating_sub(earlier.late),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }

    /// Returns the sum of both counts.
    pub(super) fn plus(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_add(other.answered),
            failed: self.failed.saturating_add(other.failed),
            late: self.late.saturating_add(other.late),
            rejected: self.rejected.saturating_add(other.rejected),
        }
    }
}
