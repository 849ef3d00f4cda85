//! Product files stay readable: the length of each file and of its lines is bounded.

use std::path::{Path, PathBuf};

/// Folders with product source.
const FOLDERS: [&str; 9] = [
    "consensus/src",
    "health/src",
    "membership/src",
    "router/src",
    "settings-schema/src",
    "simhost/src",
    "simulator/src",
    "src",
    "test-support/src",
];
/// The most lines of a file: what a reader can keep in mind.
const MAX_LINES: usize = 400;
/// The most characters of a line of code; comments are wrapped at 130.
const MAX_CHARACTERS: usize = 130;
/// The same in the files that decide, comments included.
const MAX_CHARACTERS_OF_DECISIONS: usize = 110;
/// Folders of the files that decide.
const DECISIONS: [&str; 2] = ["src/decisions/", "src/state"];
/// Files that are longer still, and by how much: each is to be split (`docs/ROADMAP.md`). None is added.
const LONGER: [(&str, usize); 2] = [("router/src/installation.rs", 573), ("simulator/src/world.rs", 786)];

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|e| e.expect("an entry").path());
    let files = entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] });
    files.filter(|path| path.extension().is_some_and(|ending| ending == "rs")).collect()
}

/// Every product file by its path from the root, with its text.
fn product_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = FOLDERS.iter().flat_map(|folder| files(&root.join(folder)));
    let product = files.filter(|path| path.file_name().is_some_and(|name| name != "tests.rs"));
    let named = product.map(|path| {
        let name = path.strip_prefix(root).expect("within the root").to_str().expect("text").to_string();
        (name, std::fs::read_to_string(&path).expect("text"))
    });
    named.collect()
}

#[test]
fn product_files_keep_their_length() {
    let files = product_files();
    assert!(files.len() > 150, "{} files", files.len());
    for (name, text) in &files {
        let bound = LONGER.iter().find(|(longer, _)| longer == name).map_or(MAX_LINES, |(_, most)| *most);
        let lines = text.lines().count();
        assert!(lines <= bound, "{name} has {lines} lines, {bound} at most");
    }
}

#[test]
fn files_that_may_be_longer_still_are() {
    let files = product_files();
    for (longer, _) in LONGER {
        let text = files.iter().find(|(name, _)| name == longer).map(|(_, text)| text);
        let lines = text.map_or(0, |text| text.lines().count());
        assert!(lines > MAX_LINES, "{longer} has {lines} lines: take it out of the list");
    }
}

#[test]
fn lines_of_product_files_keep_their_length() {
    for (name, text) in product_files() {
        let decides = DECISIONS.iter().any(|folder| name.starts_with(folder));
        let bound = if decides { MAX_CHARACTERS_OF_DECISIONS } else { MAX_CHARACTERS };
        for (at, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            let place = at + 1;
            assert!(characters <= bound, "{name}:{place} has {characters} characters, {bound} at most");
        }
    }
}

#[test]
fn the_decisions_name_their_interface_first() {
    let files = product_files();
    let (_, text) = files.iter().find(|(name, _)| name == "src/decisions/mod.rs").expect("the decisions");
    assert!(text.lines().next().is_some_and(|line| line.contains("api.rs")), "the top names api.rs");
}
