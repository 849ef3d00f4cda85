//! Checks that every path that the documents name exists.

use std::path::{Path, PathBuf};

/// Top-level folders whose paths are checked.
const FOLDERS: [&str; 16] = [
    "benches",
    "consensus",
    "deploy",
    "docs",
    "examples",
    "health",
    "membership",
    "router",
    "settings-schema",
    "simhost",
    "simulator",
    "src",
    "test-support",
    "tests",
    "tools",
    ".ci",
];

/// The README and the current documents. Pages in `docs/history` and `docs/incidents` may name files that no longer exist.
fn documents(root: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(root.join("docs"))
        .expect("the folder exists")
        .map(|e| e.expect("the entry can be read").path());
    let pages = entries.filter(|path| path.extension().is_some_and(|ending| ending == "md"));
    pages.chain([root.join("README.md")]).collect()
}

/// Paths in the code spans of a document: words that start with one of the folders.
fn paths(text: &str) -> Vec<&str> {
    let spans = text.split('`').skip(1).step_by(2);
    let words = spans.flat_map(str::split_whitespace).map(|word| word.trim_end_matches([',', ';', '.', ':']));
    let is_path = |word: &&str| word.split_once('/').is_some_and(|(folder, _)| FOLDERS.contains(&folder));
    // Patterns, placeholders and ellipses name no single path.
    words.filter(is_path).filter(|word| !word.contains(['*', '{', '<', '…'])).collect()
}

#[test]
fn documents_name_only_files_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut checked = 0;
    let mut missing = Vec::new();
    for document in documents(root) {
        let text = std::fs::read_to_string(&document).expect("UTF-8");
        for path in paths(&text) {
            checked += 1;
            if !root.join(path).exists() {
                missing.push(format!("{}: {path}", document.display()));
            }
        }
    }
    assert!(checked > 100, "only {checked} paths were found in the documents");
    assert!(missing.is_empty(), "documents name paths that do not exist: {missing:#?}");
}
