//! A release: routers restart with another file, in waves.
//!
//! Each router of a wave drains under the same lease and limits as one that an operator drains, installs the file, and
//! restarts. When all routers of a wave are back and its checks pass, the next wave begins. When a check fails, the release
//! is halted or rolled back, wave by wave in reverse. Only the digest of the released file is known here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// Maximum number of waves.
pub const MAX_WAVES: usize = 64;
/// Number of returns of a router without running its target file at which its wave fails.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// The checks that each wave must pass.
///
/// Rates are in answers per 1000. They compare the routers that run the released file with the others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleasePlan {
    /// Time for which a wave is observed once all of its routers are back, in ms.
    pub watch_ms: u64,
    /// Maximum time from the use of a router's lease until the router is ready, in ms. It includes the drain.
    pub ready_ms: u64,
    /// Maximum difference in the rate of failed answers, per 1000.
    #[serde(rename = "failed_most")]
    pub max_extra_failed: u64,
    /// Maximum difference in the rate of late first events, per 1000.
    #[serde(rename = "late_most")]
    pub max_extra_late: u64,
    /// Maximum difference in the rate of rejected requests, per 1000.
    #[serde(rename = "refused_most")]
    pub max_extra_rejected: u64,
    /// Minimum number of answers of released routers for a meaningful comparison.
    #[serde(rename = "enough")]
    pub min_answers: u64,
    /// Whether a failed release is rolled back; otherwise it is halted.
    #[serde(rename = "back")]
    pub rolls_back: bool,
}

/// The phase of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleasePhase {
    /// Routers of a wave drain, restart or are observed.
    Running,
    /// A check failed, for this cause, and the release has stopped.
    Failed(String),
    /// The release is being rolled back, for this cause.
    #[serde(rename = "back")]
    RollingBack(String),
    /// All waves run the released file.
    Done,
    /// All routers that ran the released file run their previous file again.
    #[serde(rename = "undone")]
    RolledBack(String),
}

/// A release, as stored in the fleet state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The id of the order that began the release.
    pub order: String,
    /// The name, in the settings, of the file that is replaced.
    #[serde(rename = "what")]
    pub artifact: String,
    /// The digest of the released file.
    pub digest: String,
    /// The routers of each wave, each router once.
    pub waves: Vec<Vec<RouterIndex>>,
    /// The current wave, from 0.
    pub wave: usize,
    /// Number of routers of the current wave that have been requested to drain, or need not drain.
    #[serde(default, rename = "told")]
    pub started: usize,
    /// The phase of the release.
    pub phase: ReleasePhase,
    /// The digest of the previous file of each router that has drained for the release.
    #[serde(rename = "before")]
    pub previous_digests: BTreeMap<RouterIndex, String>,
    /// The checks that each wave must pass.
    pub plan: ReleasePlan,
}

impl Release {
    /// Whether the release or its roll-back is in progress.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.phase, ReleasePhase::Running | ReleasePhase::RollingBack(_))
    }

    /// Returns the wave of a router; `None` if it is in no wave.
    pub(crate) fn wave_of(&self, router: RouterIndex) -> Option<usize> {
        self.waves.iter().position(|wave| wave.contains(&router))
    }

    /// Returns the routers of the current wave and of all earlier waves.
    pub(crate) fn released(&self) -> impl Iterator<Item = RouterIndex> + '_ {
        self.waves.iter().take(self.wave + 1).flatten().copied()
    }
}
