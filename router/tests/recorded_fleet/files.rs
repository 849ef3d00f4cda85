//! Released files and their trial.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use tallypin_router::fleet::release_files::{self, FileError, ReleaseFile};

use crate::data::same;

/// What stands in a folder: each name with its text, a link with where it leads.
fn listed(dir: &Path) -> String {
    let mut names: Vec<PathBuf> = Vec::new();
    for at in [dir.to_path_buf(), dir.join("store")] {
        names.extend(std::fs::read_dir(at).unwrap().map(|e| e.unwrap().path()));
    }
    names.sort();
    let mut said = String::new();
    for path in names.iter().filter(|p| !p.is_dir()) {
        let name = path.strip_prefix(dir).unwrap().display();
        let link = std::fs::read_link(path).map(|to| format!(" -> {}", to.display())).unwrap_or_default();
        let text = std::fs::read_to_string(path).unwrap();
        writeln!(said, "  {name}{link}: {text}").unwrap();
    }
    said.replace(dir.to_str().unwrap(), "DIR")
}

#[test]
fn released_files_and_their_trial_are_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    let dir = temporary.path().canonicalize().unwrap();
    let released =
        ReleaseFile { artifact: "settings".into(), path: dir.join("t.conf"), store_dir: dir.join("store") };
    std::fs::create_dir(dir.join("store")).unwrap();
    std::fs::write(dir.join("t.conf"), "old").unwrap();
    let (old, new, torn) =
        (release_files::digest(b"old"), release_files::digest(b"new"), release_files::digest(b"torn"));
    std::fs::write(dir.join("store").join(&new), "new").unwrap();
    std::fs::write(dir.join("store").join(&torn), "to").unwrap();
    let mut got = format!("before\n{}", listed(&dir));
    let mut step = |name: &str, said: String| {
        writeln!(got, "{name}: {}\n{}", said.replace(dir.to_str().unwrap(), "DIR"), listed(&dir)).unwrap();
    };
    let show = |result: Result<(), FileError>| {
        result.map_or_else(|e| format!("{:?}: {e}", e.kind()), |()| "done".into())
    };
    let begin = || {
        release_files::begin_trial(&released.path).map_or("nothing said".into(), |event| event.to_string())
    };
    let trial = dir.join("t.conf.trial");
    step("swap, torn in the store", show(released.install(&torn)));
    step("swap, not a digest", show(released.install("../t.conf")));
    step("swap, nowhere", show(released.install(&release_files::digest(b"nowhere"))));
    step("swap", show(released.install(&new)));
    step("swap again", show(released.install(&new)));
    let marker = std::fs::read(&trial).unwrap();
    for start in 1..=4 {
        step(&format!("start {start}"), begin());
    }
    step("swap, after it went back", show(released.install(&new)));
    step("keep", show(released.confirm()));
    step("start, kept", begin());
    std::fs::write(&trial, &marker[..marker.len() / 2]).unwrap();
    step("start, half a marker", begin());
    std::fs::write(&trial, "").unwrap();
    step("start, an empty marker", begin());
    let text = String::from_utf8(marker).unwrap().replace("\"starts\":0", "\"starts\":3");
    std::fs::write(&trial, text).unwrap();
    std::fs::write(dir.join("store").join(&old), "ol").unwrap();
    step("start, no way back", begin());
    same("released.txt", &got);
}
