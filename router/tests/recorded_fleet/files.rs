//! Release files: their installation, their start on trial and their roll-back.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use tallypin_router::fleet::release_files::{self, FileError, ReleaseFile};

use crate::recorded_files::assert_as_recorded;

/// Lists the files of a directory and its store: each name with its content, and the target of each link.
fn listing(dir: &Path) -> String {
    let mut paths: Vec<PathBuf> = Vec::new();
    for listed_dir in [dir.to_path_buf(), dir.join("store")] {
        paths.extend(std::fs::read_dir(listed_dir).unwrap().map(|e| e.unwrap().path()));
    }
    paths.sort();
    let mut listing = String::new();
    for path in paths.iter().filter(|p| !p.is_dir()) {
        let name = path.strip_prefix(dir).unwrap().display();
        let link = std::fs::read_link(path).map(|to| format!(" -> {}", to.display())).unwrap_or_default();
        let text = std::fs::read_to_string(path).unwrap();
        writeln!(listing, "  {name}{link}: {text}").unwrap();
    }
    listing.replace(dir.to_str().unwrap(), "DIR")
}

#[test]
fn release_files_are_installed_tried_and_rolled_back_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    let dir = temporary.path().canonicalize().unwrap();
    let release_file =
        ReleaseFile { artifact: "settings".into(), path: dir.join("t.conf"), store_dir: dir.join("store") };
    std::fs::create_dir(dir.join("store")).unwrap();
    std::fs::write(dir.join("t.conf"), "old").unwrap();
    let (old, new, torn) =
        (release_files::digest(b"old"), release_files::digest(b"new"), release_files::digest(b"torn"));
    std::fs::write(dir.join("store").join(&new), "new").unwrap();
    std::fs::write(dir.join("store").join(&torn), "to").unwrap();
    let mut got = format!("before\n{}", listing(&dir));
    let mut step = |name: &str, outcome: String| {
        writeln!(got, "{name}: {}\n{}", outcome.replace(dir.to_str().unwrap(), "DIR"), listing(&dir))
            .unwrap();
    };
    let describe = |result: Result<(), FileError>| {
        result.map_or_else(|e| format!("{:?}: {e}", e.kind()), |()| "done".into())
    };
    let begin_trial = || {
        release_files::record_trial_start(&release_file.path)
            .map_or("nothing said".into(), |event| event.to_string())
    };
    let marker_path = dir.join("t.conf.trial");
    step("swap, torn in the store", describe(release_file.install(&torn)));
    step("swap, not a digest", describe(release_file.install("../t.conf")));
    step("swap, nowhere", describe(release_file.install(&release_files::digest(b"nowhere"))));
    step("swap", describe(release_file.install(&new)));
    step("swap again", describe(release_file.install(&new)));
    let marker = std::fs::read(&marker_path).unwrap();
    for start in 1..=4 {
        step(&format!("start {start}"), begin_trial());
    }
    step("swap, after it went back", describe(release_file.install(&new)));
    step("keep", describe(release_file.confirm()));
    step("start, kept", begin_trial());
    std::fs::write(&marker_path, &marker[..marker.len() / 2]).unwrap();
    step("start, half a marker", begin_trial());
    std::fs::write(&marker_path, "").unwrap();
    step("start, an empty marker", begin_trial());
    let text = String::from_utf8(marker).unwrap().replace("\"starts\":0", "\"starts\":3");
    std::fs::write(&marker_path, text).unwrap();
    std::fs::write(dir.join("store").join(&old), "ol").unwrap();
    step("start, no way back", begin_trial());
    assert_as_recorded("released.txt", &got);
}
