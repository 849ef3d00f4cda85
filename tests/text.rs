//! The decisions stay readable: the length of their files and of their lines is bounded.

use std::path::{Path, PathBuf};

/// The most lines of a file.
const MOST_LINES: usize = 400;
/// The most characters of a line in the files that decide.
const MOST_CHARACTERS: usize = 110;

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|e| e.expect("an entry").path());
    entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}

#[test]
fn the_files_keep_their_bounds() {
    let src = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/src"));
    let files = files(&src);
    assert!(files.len() > 15, "{files:?}");
    for path in files {
        let name = path.strip_prefix(&src).expect("within").to_str().expect("text").to_string();
        let text = std::fs::read_to_string(&path).expect("text");
        let lines = text.lines().count();
        assert!(lines <= MOST_LINES, "{name} has {lines} lines");
        if !name.starts_with("decisions") && !name.starts_with("state") {
            continue;
        }
        for (i, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            assert!(characters <= MOST_CHARACTERS, "{name}: line {} is too long", i + 1);
        }
    }
    let top = std::fs::read_to_string(src.join("decisions/mod.rs")).expect("text");
    assert!(top.lines().next().is_some_and(|l| l.contains("api.rs")), "the top names api.rs");
}
