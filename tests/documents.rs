//! Documents name only files and folders that exist: a signpost that leads nowhere costs more than none.

use std::path::{Path, PathBuf};

/// Folders at the root that documents point into.
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

/// README and the documents of today; `docs/history` and `docs/incidents` keep the names of their time.
fn documents(root: &Path) -> Vec<PathBuf> {
    let entries =
        std::fs::read_dir(root.join("docs")).expect("a folder").map(|e| e.expect("an entry").path());
    let pages = entries.filter(|path| path.extension().is_some_and(|ending| ending == "md"));
    pages.chain([root.join("README.md")]).collect()
}

/// The paths in a document's code spans: words that begin with one of the folders.
fn paths(text: &str) -> Vec<&str> {
    let spans = text.split('`').skip(1).step_by(2);
    let words = spans.flat_map(str::split_whitespace).map(|word| word.trim_end_matches([',', ';', '.', ':']));
    let leads = |word: &&str| word.split_once('/').is_some_and(|(folder, _)| FOLDERS.contains(&folder));
    // Patterns and ellipses stand for several.
    words.filter(leads).filter(|word| !word.contains(['*', '{', '<', '…'])).collect()
}

#[test]
fn documents_name_only_files_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut seen = 0;
    let mut missing = Vec::new();
    for document in documents(root) {
        let text = std::fs::read_to_string(&document).expect("text");
        for path in paths(&text) {
            seen += 1;
            if !root.join(path).exists() {
                missing.push(format!("{}: {path}", document.display()));
            }
        }
    }
    assert!(seen > 100, "{seen} paths were read");
    assert!(missing.is_empty(), "{missing:#?}");
}
