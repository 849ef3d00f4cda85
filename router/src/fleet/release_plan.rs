//! The plan of a release: a file in the syntax of the settings. The operator's command line reads it and sends it to a
//! router as one line of JSON.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use tallypin_consensus::release::{ReleasePlan, MAX_WAVES};
use tallypin_membership::RouterIndex;
use tallypin_settings_schema::{
    check, load, Checked, Directive, Entry, Kind, LoadLimits, Problem, Problems, Section,
};

use super::release_files;
use super::settings::FleetSettings;

/// Maximum duration in a plan: one hour, in ms.
const HOUR_MS: u64 = 3_600_000;

const RELEASE: Section = Section {
    name: "release",
    always_present: true,
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
    Section { name: "", always_present: true, about: "a plan", directives: &[], sections: &[RELEASE] };

/// A plan as it is sent to a router. Waves are unresolved arguments, as only the router knows the fleet's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Name of the artifact: `settings`, `configuration` or `program`.
    #[serde(rename = "what")]
    pub artifact: String,
    /// Digest of the new file.
    pub digest: String,
    /// Arguments of each `wave` directive.
    pub waves: Vec<Vec<String>>,
    /// Limits and durations that the release must keep.
    pub plan: ReleasePlan,
}

/// Why the waves of a plan can't be resolved to routers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WaveError {
    /// The zone is not in the fleet's settings.
    #[error("the fleet has no zone `{0}`")]
    UnknownZone(String),
    /// The share is not a number.
    #[error("`{0}` is not a share of the routers")]
    NotAShare(String),
    /// The share is not from 1% to 100%.
    #[error("the share of a wave must be from 1% to 100%")]
    ShareOutOfRange,
    /// The router is not in the fleet's settings.
    #[error("the fleet has no router `{0}`")]
    UnknownRouter(String),
    /// The router belongs to an earlier wave.
    #[error("router `{0}` is in an earlier wave")]
    InEarlierWave(String),
}

/// Reads a plan, using `read_file` to read each file.
///
/// # Errors
///
/// The problems of the plan, each with file, line and column.
pub fn read(
    path: &Path,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
) -> Result<ReleaseRequest, Problems> {
    let (tree, sources, mut problems) = load(path, LoadLimits::default(), read_file);
    let checked = check(&tree, &FILE, &mut problems);
    let request = checked.subsection("release").map(|section| release_request(section, path, &mut problems));
    match request.filter(|_| problems.is_empty()) {
        Some(request) => Ok(request),
        None => Err(Problems::new(sources, problems)),
    }
}

fn release_request(section: &Checked, path: &Path, problems: &mut Vec<Problem>) -> ReleaseRequest {
    let digest = resolve_digest(section, path, problems);
    let arguments = |entry: &Entry| (0..entry.values.len()).map(|i| entry.text(i).to_string()).collect();
    let waves: Vec<Vec<String>> = section.entries_of("wave").map(arguments).collect();
    if waves.len() > MAX_WAVES {
        let message = format!("a release has at most {MAX_WAVES} waves");
        problems.push(Problem::new(section.span, message));
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

/// Returns the digest given in a plan, or the digest of the file given in it.
fn resolve_digest(section: &Checked, path: &Path, problems: &mut Vec<Problem>) -> String {
    match (section.entry("file"), section.entry("digest")) {
        (Some(entry), None) => {
            let file = path.parent().unwrap_or(Path::new("")).join(entry.text(0));
            std::fs::read(&file).map(|bytes| release_files::digest(&bytes)).unwrap_or_else(|error| {
                problems.push(Problem::new(entry.span_of(1), format!("{}: {error}", file.display())));
                String::new()
            })
        }
        (None, Some(entry)) => {
            let digest = entry.text(0).to_ascii_lowercase();
            if !release_files::is_digest(&digest) {
                problems.push(Problem::new(entry.span_of(1), "a digest has 64 hex digits".to_string()));
            }
            digest
        }
        _ => {
            problems.push(Problem::new(section.span, "a plan names either `file` or `digest`".to_string()));
            String::new()
        }
    }
}

/// Returns the routers of each wave. A wave is omitted if all its routers are in earlier waves.
///
/// # Errors
///
/// A wave names an unknown router or zone, a router of an earlier wave, or an invalid share.
pub fn resolve_waves(
    waves: &[Vec<String>],
    settings: &FleetSettings,
) -> Result<Vec<Vec<RouterIndex>>, WaveError> {
    let mut remaining: Vec<RouterIndex> = (0..settings.routers.len() as RouterIndex).collect();
    let mut resolved = Vec::new();
    for arguments in waves {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let wave = resolve_wave(&arguments, &remaining, settings)?;
        remaining.retain(|router| !wave.contains(router));
        if !wave.is_empty() {
            resolved.push(wave);
        }
    }
    Ok(resolved)
}

/// Returns the routers of one wave, out of those that `remaining` holds.
fn resolve_wave(
    arguments: &[&str],
    remaining: &[RouterIndex],
    settings: &FleetSettings,
) -> Result<Vec<RouterIndex>, WaveError> {
    match arguments {
        ["rest"] => Ok(remaining.to_vec()),
        ["zone", zone] => {
            if !settings.routers.iter().any(|router| router.zone == *zone) {
                return Err(WaveError::UnknownZone((*zone).into()));
            }
            let in_zone = |router: &RouterIndex| settings.routers[usize::from(*router)].zone == *zone;
            Ok(remaining.iter().copied().filter(in_zone).collect())
        }
        [share] if share.ends_with('%') => {
            let percent = share.trim_end_matches('%').parse::<usize>();
            let percent = percent.map_err(|_| WaveError::NotAShare((*share).into()))?;
            if !(1..=100).contains(&percent) {
                return Err(WaveError::ShareOutOfRange);
            }
            // At least one router: a wave that rounds down to none would be omitted.
            let count = (settings.routers.len() * percent / 100).max(1);
            Ok(remaining.iter().copied().take(count).collect())
        }
        names => names.iter().map(|name| resolve_name(name, remaining, settings)).collect(),
    }
}

fn resolve_name(
    name: &str,
    remaining: &[RouterIndex],
    settings: &FleetSettings,
) -> Result<RouterIndex, WaveError> {
    let router = settings.index_of(name).ok_or_else(|| WaveError::UnknownRouter(name.into()))?;
    match remaining.contains(&router) {
        true => Ok(router),
        false => Err(WaveError::InEarlierWave(name.into())),
    }
}

#[cfg(test)]
mod tests;
