//! A release: routers restart with another file, in waves.
//!
//! Each router of a wave drains under the same lease and limits as one that an operator drains, installs the file, restarts
//! and is seen ready. When the checks of a wave hold the next one begins; when one fails the release is halted or rolled
//! back, wave by wave in reverse. A released file is known by its digest alone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// The largest number of waves.
pub const MAX_WAVES: usize = 64;
/// How often a router may return without running what it was to run, before its wave fails.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// The checks that each wave has to pass.
///
/// Rates are in answers per 1000, and compare the routers that are released with those that are not yet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleasePlan {
    /// How long a wave is observed once all of it are back, in ms.
    pub watch_ms: u64,
    /// How long a router may be out of service from the use of its lease to being ready, its drain included, in ms.
    pub ready_ms: u64,
    /// By how much the rate of failed answers may be higher.
    #[serde(rename = "failed_most")]
    pub max_extra_failed: u64,
    /// By how much the rate of late first events may be higher.
    #[serde(rename = "late_most")]
    pub max_extra_late: u64,
    /// By how much the rate of rejected requests may be higher.
    #[serde(rename = "refused_most")]
    pub max_extra_rejected: u64,
    /// How many answers of released routers the rates need to mean anything.
    #[serde(rename = "enough")]
    pub min_answers: u64,
    /// Whether a release that fails is rolled back; else it is halted.
    #[serde(rename = "back")]
    pub rolls_back: bool,
}

/// How a release stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleasePhase {
    /// A wave drains, returns or is observed.
    Running,
    /// A check failed, for this cause: nothing more is released.
    Failed(String),
    /// It is being rolled back, for this cause.
    #[serde(rename = "back")]
    RollingBack(String),
    /// All waves run the released file.
    Done,
    /// All routers that ran the released file run their previous one again.
    #[serde(rename = "undone")]
    RolledBack(String),
}

/// A release, in the fleet state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The id of the order that began it.
    pub order: String,
    /// Which of a router's files is replaced: its name in the settings.
    #[serde(rename = "what")]
    pub artifact: String,
    /// The digest of the released file.
    pub digest: String,
    /// The routers of each wave, each router once.
    pub waves: Vec<Vec<RouterIndex>>,
    /// The present wave, from 0.
    pub wave: usize,
    /// How many routers of the present wave have been requested to drain, or need not.
    #[serde(default, rename = "told")]
    pub started: usize,
    /// How it stands.
    pub phase: ReleasePhase,
    /// The digest of what each router that has drained for the release ran before.
    #[serde(rename = "before")]
    pub previous_digests: BTreeMap<RouterIndex, String>,
    /// The checks.
    pub plan: ReleasePlan,
}

impl Release {
    /// Whether it is still in progress, forwards or back.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.phase, ReleasePhase::Running | ReleasePhase::RollingBack(_))
    }

    /// The wave of a router; `None`: it is in none.
    pub(crate) fn wave_of(&self, router: RouterIndex) -> Option<usize> {
        self.waves.iter().position(|wave| wave.contains(&router))
    }

    /// The routers of the present wave and of those before it.
    pub(crate) fn released(&self) -> impl Iterator<Item = RouterIndex> + '_ {
        self.waves.iter().take(self.wave + 1).flatten().copied()
    }
}
