//! The plan of a release: a file in the form of the settings, read where the operator is, and sent as one line of JSON.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use tallypin_consensus::release::{ReleasePlan, MAX_WAVES};
use tallypin_membership::RouterIndex;
use tallypin_settings_schema::{
    check, load, Bounds, Checked, Directive, Entry, Kind, Problem, Problems, Section,
};

use super::release_files;
use super::settings::FleetSettings;

/// One hour in ms, the longest time of a plan.
const HOUR_MS: u64 = 3_600_000;

const RELEASE: Section = Section {
    name: "release",
    always: true,
    about: "a release",
    directives: &[
        Directive::required(
            "what",
            &[Kind::OneOf(&["settings", "configuration", "program"])],
            "which of a router's files it changes",
        ),
        Directive::optional("file", &[Kind::Path], "the file itself, for its digest"),
        Directive::optional("digest", &[Kind::Text], "or its digest, 64 hex digits"),
        Directive::required(
            "wave",
            &[Kind::Text],
            "routers, or `10%`, `zone Z`, `rest` of those not named before",
        )
        .rest()
        .many(),
        Directive::with(
            "watch",
            &[Kind::Duration(100, HOUR_MS)],
            &["60s"],
            "a wave that is back is watched so long",
        ),
        Directive::with(
            "ready",
            &[Kind::Duration(100, HOUR_MS)],
            &["120s"],
            "a router is drained, back and ready within this",
        ),
        Directive::with(
            "failed",
            &[Kind::Percent(0.0, 100.0)],
            &["1%"],
            "failed answers of the released may be more by this",
        ),
        Directive::with("late", &[Kind::Percent(0.0, 100.0)], &["5%"], "the same of late first events"),
        Directive::with("refused", &[Kind::Percent(0.0, 100.0)], &["5%"], "the same of refused requests"),
        Directive::with(
            "enough",
            &[Kind::Count(0, 1_000_000_000)],
            &["200"],
            "answers of the released that tell",
        ),
        Directive::with(
            "on-failure",
            &[Kind::OneOf(&["halt", "back"])],
            &["halt"],
            "what a failed check does",
        ),
    ],
    sections: &[],
};

const FILE: Section =
    Section { name: "", always: true, about: "a plan", directives: &[], sections: &[RELEASE] };

/// A plan as it is sent: waves are still words, as routers are known by name where it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Which of a router's files.
    #[serde(rename = "what")]
    pub artifact: String,
    /// The digest of the new file.
    pub digest: String,
    /// Waves, each in words.
    pub waves: Vec<Vec<String>>,
    /// What must hold.
    pub plan: ReleasePlan,
}

/// Why the words of a plan's waves name no routers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WaveError {
    /// There is no such zone.
    #[error("the fleet has no zone `{0}`")]
    UnknownZone(String),
    /// A share that is no number.
    #[error("`{0}` is no share")]
    NotAShare(String),
    /// A share of nothing, or of more than all.
    #[error("a share is 1% to 100%")]
    ShareOutOfRange,
    /// There is no such router.
    #[error("the fleet has no router `{0}`")]
    UnknownRouter(String),
    /// A router that an earlier wave has.
    #[error("`{0}` is in an earlier wave")]
    InEarlierWave(String),
}

/// Reads a plan with `read_file`.
///
/// # Errors
///
/// What is wrong, each with file, line and word.
pub fn read(
    path: &Path,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
) -> Result<ReleaseRequest, Problems> {
    let (tree, sources, mut problems) = load(path, Bounds::default(), read_file);
    let checked = check(&tree, &FILE, &mut problems);
    let request = checked.within("release").map(|section| request(section, path, &mut problems));
    match request.filter(|_| problems.is_empty()) {
        Some(request) => Ok(request),
        None => Err(Problems::new(sources, problems)),
    }
}

fn request(section: &Checked, path: &Path, problems: &mut Vec<Problem>) -> ReleaseRequest {
    let digest = digest(section, path, problems);
    let words = |entry: &Entry| (0..entry.values.len()).map(|word| entry.text(word).to_string()).collect();
    let waves: Vec<Vec<String>> = section.all("wave").map(words).collect();
    if waves.len() > MAX_WAVES {
        let what = format!("a release has {MAX_WAVES} waves at the most");
        problems.push(Problem::new(section.place, what));
    }
    let per_mille = |name: &str| (section.share(name) * 1000.0).round() as u64;
    let ms = |name: &str| section.duration(name).as_millis() as u64;
    ReleaseRequest {
        artifact: section.text("what").into(),
        digest,
        waves,
        plan: ReleasePlan {
            watch_ms: ms("watch"),
            ready_ms: ms("ready"),
            max_extra_failed: per_mille("failed"),
            max_extra_late: per_mille("late"),
            max_extra_rejected: per_mille("refused"),
            min_answers: section.number("enough"),
            rolls_back: section.text("on-failure") == "back",
        },
    }
}

/// The digest that a plan names, or that of the file that it names.
fn digest(section: &Checked, path: &Path, problems: &mut Vec<Problem>) -> String {
    match (section.entry("file"), section.entry("digest")) {
        (Some(entry), None) => {
            let file = path.parent().unwrap_or(Path::new("")).join(entry.text(0));
            std::fs::read(&file).map(|bytes| release_files::digest(&bytes)).unwrap_or_else(|error| {
                problems.push(Problem::new(entry.place(1), format!("{}: {error}", file.display())));
                String::new()
            })
        }
        (None, Some(entry)) => {
            let digest = entry.text(0).to_ascii_lowercase();
            if !release_files::is_digest(&digest) {
                problems.push(Problem::new(entry.place(1), "a digest has 64 hex digits".to_string()));
            }
            digest
        }
        _ => {
            problems.push(Problem::new(section.place, "a plan names either `file` or `digest`".to_string()));
            String::new()
        }
    }
}

/// The routers of each wave. A wave that would be empty is left out, as no routers are left.
///
/// # Errors
///
/// A wave names a router or zone that the fleet does not have, or a router of an earlier wave.
pub fn resolve_waves(
    waves: &[Vec<String>],
    settings: &FleetSettings,
) -> Result<Vec<Vec<RouterIndex>>, WaveError> {
    let mut left: Vec<RouterIndex> = (0..settings.routers.len() as RouterIndex).collect();
    let mut resolved = Vec::new();
    for words in waves {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let wave = resolve_wave(&words, &left, settings)?;
        left.retain(|router| !wave.contains(router));
        if !wave.is_empty() {
            resolved.push(wave);
        }
    }
    Ok(resolved)
}

/// The routers that one wave names, of those that are `left`.
fn resolve_wave(
    words: &[&str],
    left: &[RouterIndex],
    settings: &FleetSettings,
) -> Result<Vec<RouterIndex>, WaveError> {
    match words {
        ["rest"] => Ok(left.to_vec()),
        ["zone", zone] => {
            if !settings.routers.iter().any(|router| router.zone == *zone) {
                return Err(WaveError::UnknownZone((*zone).into()));
            }
            let in_zone = |router: &RouterIndex| settings.routers[usize::from(*router)].zone == *zone;
            Ok(left.iter().copied().filter(in_zone).collect())
        }
        [share] if share.ends_with('%') => {
            let percent = share.trim_end_matches('%').parse::<usize>();
            let percent = percent.map_err(|_| WaveError::NotAShare((*share).into()))?;
            if !(1..=100).contains(&percent) {
                return Err(WaveError::ShareOutOfRange);
            }
            // At least one: a wave of none would be none.
            let count = (settings.routers.len() * percent / 100).max(1);
            Ok(left.iter().copied().take(count).collect())
        }
        names => names.iter().map(|name| resolve_name(name, left, settings)).collect(),
    }
}

fn resolve_name(
    name: &str,
    left: &[RouterIndex],
    settings: &FleetSettings,
) -> Result<RouterIndex, WaveError> {
    let router = settings.index_of(name).ok_or_else(|| WaveError::UnknownRouter(name.into()))?;
    match left.contains(&router) {
        true => Ok(router),
        false => Err(WaveError::InEarlierWave(name.into())),
    }
}

#[cfg(test)]
mod tests;
