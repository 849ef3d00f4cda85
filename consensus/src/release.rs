//! A release: routers in waves, each by leave under the same bounds, drained, ended with another file in place, started
//! anew and seen ready before the next wave; and the way back. What is released is known by the digest of its file alone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// The most waves of a release.
pub const MAX_WAVES: usize = 64;
/// A router that came back without running what was agreed on tries so often before its wave fails.
pub const MAX_ATTEMPTS: u8 = 3;

/// What must hold, and for how long it is watched.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReleasePlan {
    /// A wave that is back is watched for so long, ms.
    pub watch_ms: u64,
    /// A router is back and ready within this after its leave was used, ms: its drain included.
    pub ready_ms: u64,
    /// Failed answers of the released, per mille, over those of the not yet released.
    #[serde(rename = "failed_most")]
    pub max_extra_failed: u64,
    /// The same of late first events.
    #[serde(rename = "late_most")]
    pub max_extra_late: u64,
    /// The same of refused requests.
    #[serde(rename = "refused_most")]
    pub max_extra_rejected: u64,
    /// Answers of the released that are enough to tell.
    #[serde(rename = "enough")]
    pub min_answers: u64,
    /// A release that fails is undone; else it is halted.
    #[serde(rename = "back")]
    pub rolls_back: bool,
}

/// How a release stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleasePhase {
    /// A wave is out, coming back, or watched.
    Running,
    /// A check failed, for this cause; nothing more is released.
    Failed(String),
    /// It is being undone, for this cause.
    #[serde(rename = "back")]
    RollingBack(String),
    /// All waves run it.
    Done,
    /// All that ran it run again what they ran before.
    #[serde(rename = "undone")]
    RolledBack(String),
}

/// A release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The order that began it.
    pub order: String,
    /// Which of a router's files it changes: the name of its place in the settings.
    #[serde(rename = "what")]
    pub artifact: String,
    /// The digest of the file that is released.
    pub digest: String,
    /// Routers by wave.
    pub waves: Vec<Vec<RouterIndex>>,
    /// The wave that it is at.
    pub wave: usize,
    /// How many of the wave have been told to go, or need not.
    #[serde(default, rename = "told")]
    pub started: usize,
    /// How it stands.
    pub phase: ReleasePhase,
    /// What each that has gone out for it ran before.
    #[serde(rename = "before")]
    pub previous_digests: BTreeMap<RouterIndex, String>,
    /// What must hold.
    pub plan: ReleasePlan,
}

impl Release {
    /// Whether it still moves.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, ReleasePhase::Running | ReleasePhase::RollingBack(_))
    }

    /// The wave of a router.
    pub fn wave_of(&self, place: RouterIndex) -> Option<usize> {
        self.waves.iter().position(|w| w.contains(&place))
    }

    /// The routers that have it: those of waves that are done, and of the present one.
    pub fn released(&self) -> impl Iterator<Item = RouterIndex> + '_ {
        self.waves.iter().take(self.wave + 1).flatten().copied()
    }
}
