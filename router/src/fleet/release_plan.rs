//! The plan of a release, a file in the form of the settings: read where the operator is, and sent as one line.

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

const HOUR: u64 = 3_600_000;

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
            &[Kind::Duration(100, HOUR)],
            &["60s"],
            "a wave that is back is watched so long",
        ),
        Directive::with(
            "ready",
            &[Kind::Duration(100, HOUR)],
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

/// A plan as it is sent: waves are still words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Which file.
    pub what: String,
    /// Its digest.
    pub digest: String,
    /// Waves, each in words.
    pub waves: Vec<Vec<String>>,
    /// What must hold.
    pub plan: ReleasePlan,
}

/// Reads a plan; what is wrong is told with file, line and word.
pub fn read(path: &Path, get: &dyn Fn(&Path) -> io::Result<String>) -> Result<ReleaseRequest, Problems> {
    let (tree, sources, mut problems) = load(path, Bounds::default(), get);
    let checked = check(&tree, &FILE, &mut problems);
    let said = checked.within("release").map(|s| of(s, path, &mut problems));
    match said.filter(|_| problems.is_empty()) {
        Some(said) => Ok(said),
        None => Err(Problems::new(sources, problems)),
    }
}

fn of(s: &Checked, path: &Path, problems: &mut Vec<Problem>) -> ReleaseRequest {
    let digest = match (s.entry("file"), s.entry("digest")) {
        (Some(e), None) => {
            let file = path.parent().unwrap_or(Path::new("")).join(e.text(0));
            std::fs::read(&file).map(|bytes| release_files::digest(&bytes)).unwrap_or_else(|why| {
                problems.push(Problem::new(e.place(1), format!("{}: {why}", file.display())));
                String::new()
            })
        }
        (None, Some(e)) => {
            let word = e.text(0).to_ascii_lowercase();
            if word.len() != 64 || !word.bytes().all(|b| b.is_ascii_hexdigit()) {
                problems.push(Problem::new(e.place(1), "a digest has 64 hex digits".to_string()));
            }
            word
        }
        _ => {
            problems.push(Problem::new(s.place, "a plan names either `file` or `digest`".to_string()));
            String::new()
        }
    };
    let words = |e: &Entry| (0..e.values.len()).map(|w| e.text(w).to_string()).collect::<Vec<_>>();
    let waves: Vec<Vec<String>> = s.all("wave").map(words).collect();
    if waves.len() > MAX_WAVES {
        problems.push(Problem::new(s.place, format!("a release has {MAX_WAVES} waves at the most")));
    }
    let per_mille = |name: &str| (s.share(name) * 1000.0).round() as u64;
    let ms = |name: &str| s.duration(name).as_millis() as u64;
    ReleaseRequest {
        what: s.text("what").into(),
        digest,
        waves,
        plan: ReleasePlan {
            watch_ms: ms("watch"),
            ready_ms: ms("ready"),
            max_extra_failed: per_mille("failed"),
            max_extra_late: per_mille("late"),
            max_extra_rejected: per_mille("refused"),
            min_answers: s.number("enough"),
            rolls_back: s.text("on-failure") == "back",
        },
    }
}

/// The routers of each wave. A wave that would be empty is left out, as there is nobody left; one that names nobody of the
/// fleet, or somebody twice, is an error.
pub fn resolve_waves(
    words: &[Vec<String>],
    settings: &FleetSettings,
) -> Result<Vec<Vec<RouterIndex>>, String> {
    let all = settings.routers.len();
    let mut left: Vec<RouterIndex> = (0..all as RouterIndex).collect();
    let mut waves = Vec::new();
    for wave in words {
        let words: Vec<&str> = wave.iter().map(String::as_str).collect();
        let taken: Vec<RouterIndex> = match words[..] {
            ["rest"] => left.clone(),
            ["zone", zone] => {
                let of = |p: &RouterIndex| settings.routers[usize::from(*p)].zone == zone;
                if !(0..all as RouterIndex).any(|p| of(&p)) {
                    return Err(format!("the fleet has no zone `{zone}`"));
                }
                left.iter().copied().filter(of).collect()
            }
            [share] if share.ends_with('%') => {
                let share: usize =
                    share.trim_end_matches('%').parse().map_err(|_| format!("`{share}` is no share"))?;
                if !(1..=100).contains(&share) {
                    return Err("a share is 1% to 100%".into());
                }
                // At least one: a wave of none would be none.
                left.iter().copied().take((all * share / 100).max(1)).collect()
            }
            _ => {
                let place = |name: &&str| match settings.index_of(name) {
                    None => Err(format!("the fleet has no router `{name}`")),
                    Some(p) if !left.contains(&p) => Err(format!("`{name}` is in an earlier wave")),
                    Some(p) => Ok(p),
                };
                words.iter().map(place).collect::<Result<_, _>>()?
            }
        };
        left.retain(|p| !taken.contains(p));
        if !taken.is_empty() {
            waves.push(taken);
        }
    }
    Ok(waves)
}

#[cfg(test)]
mod tests;
