//! Bounds the length of each source file and of its lines.

use std::path::{Path, PathBuf};

/// Folders with product source files.
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
/// Maximum number of lines of a file.
const MAX_LINES: usize = 400;
/// Maximum number of characters of a line. Comments are wrapped at 130.
const MAX_CHARACTERS: usize = 130;
/// Maximum number of characters of a line, comments included, in the decision files.
const MAX_CHARACTERS_OF_DECISIONS: usize = 110;
/// Paths of the decision files start with these.
const DECISION_PATHS: [&str; 2] = ["src/decisions/", "src/state"];
/// Files above `MAX_LINES` with their own maximum. Each is to be split (`docs/ROADMAP.md`), and none may be added.
const LONG_FILES: [(&str, usize); 2] = [("router/src/installation.rs", 573), ("simulator/src/world.rs", 773)];

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .expect("the folder exists")
        .map(|e| e.expect("the entry can be read").path());
    let files = entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] });
    files.filter(|path| path.extension().is_some_and(|extension| extension == "rs")).collect()
}

/// Path from the root and text of every product file.
fn product_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = FOLDERS.iter().flat_map(|folder| files(&root.join(folder)));
    let product = files.filter(|path| path.file_name().is_some_and(|name| name != "tests.rs"));
    let named = product.map(|path| {
        let name =
            path.strip_prefix(root).expect("the file is under the root").to_str().expect("UTF-8").to_string();
        (name, std::fs::read_to_string(&path).expect("UTF-8"))
    });
    named.collect()
}

#[test]
fn product_files_keep_within_the_maximum_length() {
    let files = product_files();
    assert!(files.len() > 150, "only {} product files were found", files.len());
    for (name, text) in &files {
        let bound = LONG_FILES
            .iter()
            .find(|(long_file, _)| long_file == name)
            .map_or(MAX_LINES, |(_, maximum)| *maximum);
        let lines = text.lines().count();
        assert!(lines <= bound, "{name} has {lines} lines, {bound} at most");
    }
}

#[test]
fn files_with_their_own_maximum_are_longer_than_the_usual_one() {
    let files = product_files();
    for (long_file, _) in LONG_FILES {
        let text = files.iter().find(|(name, _)| name == long_file).map(|(_, text)| text);
        let lines = text.map_or(0, |text| text.lines().count());
        assert!(lines > MAX_LINES, "{long_file} has {lines} lines and must be removed from LONG_FILES");
    }
}

#[test]
fn lines_of_product_files_keep_within_the_maximum_length() {
    for (name, text) in product_files() {
        let is_decision_file = DECISION_PATHS.iter().any(|folder| name.starts_with(folder));
        let bound = if is_decision_file { MAX_CHARACTERS_OF_DECISIONS } else { MAX_CHARACTERS };
        for (at, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            let line_number = at + 1;
            assert!(characters <= bound, "{name}:{line_number} has {characters} characters, {bound} at most");
        }
    }
}

#[test]
fn the_first_line_of_the_decisions_names_their_interface() {
    let files = product_files();
    let (_, text) =
        files.iter().find(|(name, _)| name == "src/decisions/mod.rs").expect("src/decisions/mod.rs exists");
    assert!(text.lines().next().is_some_and(|line| line.contains("api.rs")), "the first line names api.rs");
}
