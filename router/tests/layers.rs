//! The modules of the router form layers, and imports run one way: a module may use those that stand before it in the table,
//! never one that stands after it. So no two modules use each other, and each can be read knowing only what is above it
//! in the table. A directory is one module; its files may use each other.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// A layer: its name, what it is for, and its modules in their order.
struct Layer {
    name: &'static str,
    purpose: &'static str,
    modules: &'static [&'static str],
}

const LAYERS: [Layer; 6] = [
    Layer {
        name: "basics",
        purpose: "values and tools that know of no request: sizes and times, the clock, HTTP, the dialects, files of settings",
        modules: &[
            "shortage", "clock", "lifecycle", "limits", "log", "bind", "http", "body_budget", "request_ids", "clients",
            "keep_alive", "outward", "probe", "endpoint_list::message", "config", "dialect",
        ],
    },
    Layer {
        name: "decisions",
        purpose: "decisions beside those of the crate `tallypin`, without input or output",
        modules: &["operator_override"],
    },
    Layer {
        name: "core",
        purpose: "the open requests and their one final answer each; the dispatcher runs it on the real clock",
        modules: &["core", "dispatcher"],
    },
    Layer {
        name: "connections and discovery",
        purpose: "connections to replicas, to other routers and to the endpoint list; they carry out what the core wants",
        modules: &["peers", "endpoint_list_state", "replica", "endpoint_list", "connections"],
    },
    Layer {
        name: "fronts and checks",
        purpose: "what clients, balancers, operators and the fleet speak to, and the settings file that says so",
        modules: &["fleet", "front", "installation", "checks"],
    },
    Layer {
        name: "program",
        purpose: "puts the parts together, and starts, watches, reloads and ends them",
        modules: &["components", "status", "router_control", "reload", "shutdown", "cli", "main"],
    },
];

/// The modules of all layers in their order.
fn modules() -> Vec<&'static str> {
    LAYERS.iter().flat_map(|layer| layer.modules).copied().collect()
}

fn layer_of(position: usize) -> &'static str {
    let mut left = position;
    for layer in &LAYERS {
        if left < layer.modules.len() {
            return layer.name;
        }
        left -= layer.modules.len();
    }
    panic!("no module stands at {position}")
}

/// The position of the module that a path such as `front::messages` belongs to: the longest entry that it begins with.
fn position(path: &str) -> Option<usize> {
    let belongs = |module: &str| path == module || path.starts_with(&format!("{module}::"));
    let entries = modules().into_iter().enumerate().filter(|(_, module)| belongs(module));
    entries.max_by_key(|(_, module)| module.len()).map(|(position, _)| position)
}

fn source() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// All files under a directory.
fn files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let mut all: Vec<PathBuf> =
        entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect();
    all.sort();
    all
}

/// The module that a file holds, as a path: `front/mod.rs` is `front`, `front/messages.rs` is `front::messages`.
fn module_of(file: &Path) -> String {
    let path = file.strip_prefix(source()).unwrap().with_extension("");
    let parts: Vec<&str> = path.iter().map(|part| part.to_str().unwrap()).collect();
    parts.join("::").trim_end_matches("::mod").to_string()
}

/// The text without comments, in which documentation may name any module.
fn code(text: &str) -> String {
    let lines = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    lines.collect::<Vec<_>>().join("\n")
}

/// What a file uses of the crate: paths from the crate's root.
fn uses(module: &str, text: &str) -> BTreeSet<String> {
    let text = code(text);
    let mut found = BTreeSet::new();
    for root in ["crate::", "tallypin_router::"] {
        for (at, _) in text.match_indices(root) {
            let named = text[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_');
            if !named {
                found.extend(expanded("", &text[at + root.len()..]));
            }
        }
    }
    for (at, _) in text.match_indices("super::") {
        if text[..at].ends_with("super::") || text[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_')
        {
            continue;
        }
        let ups = text[at..].split("::").take_while(|part| *part == "super").count();
        let mut parent: Vec<&str> = module.split("::").collect();
        // A `mod.rs` holds its directory's module; a file's own name is dropped with the first `super`.
        parent.truncate(parent.len().saturating_sub(ups));
        let prefix = parent.iter().map(|part| format!("{part}::")).collect::<String>();
        found.extend(expanded(&prefix, &text[at + ups * "super::".len()..]));
    }
    found
}

/// The paths that begin at the front of a text: one, or those of a braced list such as `{bind, front::{self, Front}}`.
fn expanded(prefix: &str, text: &str) -> Vec<String> {
    let text = text.trim_start();
    if let Some(list) = text.strip_prefix('{') {
        let mut paths = Vec::new();
        let (mut depth, mut start) = (0, 0);
        for (at, c) in list.char_indices() {
            match c {
                '{' => depth += 1,
                '}' if depth > 0 => depth -= 1,
                ',' | '}' if depth == 0 => {
                    let item = list[start..at].trim();
                    if !item.is_empty() {
                        paths.extend(expanded(prefix, item));
                    }
                    start = at + 1;
                    if c == '}' {
                        break;
                    }
                }
                _ => {}
            }
        }
        return paths;
    }
    let length = text.find(|c: char| !(c.is_alphanumeric() || c == '_')).unwrap_or(text.len());
    let path = format!("{prefix}{}", &text[..length]);
    match text[length..].strip_prefix("::") {
        Some(rest) if !rest.trim_start().starts_with('<') => expanded(&format!("{path}::"), rest),
        _ => vec![path],
    }
}

/// What is wrong with the imports of a file.
fn violations(module: &str, text: &str) -> Vec<String> {
    let Some(own) = position(module) else { return vec![format!("{module} stands in no layer")] };
    let mut wrong = Vec::new();
    for used in uses(module, text) {
        match position(&used) {
            Some(other) if other > own => wrong.push(format!(
                "{module} ({}) uses {used} ({}), which stands after it",
                layer_of(own),
                layer_of(other)
            )),
            _ => {}
        }
    }
    wrong
}

#[test]
fn imports_run_one_way() {
    let mut wrong = Vec::new();
    for file in files(&source()) {
        let module = module_of(&file);
        if module != "lib" {
            wrong.extend(violations(&module, &fs::read_to_string(&file).unwrap()));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn every_module_stands_once_in_the_table_and_every_entry_is_a_module() {
    let entries = modules();
    let unique: BTreeSet<&str> = entries.iter().copied().collect();
    assert_eq!(unique.len(), entries.len(), "a module stands twice");
    assert!(LAYERS.iter().all(|layer| !layer.purpose.is_empty()));
    let there: BTreeSet<String> = files(&source()).iter().map(|file| module_of(file)).collect();
    for entry in entries {
        assert!(there.contains(entry), "{entry} is no module");
    }
}

#[test]
fn an_import_that_is_turned_round_is_found() {
    let named = |module: &str, text: &str| violations(module, text).len();
    assert_eq!(named("http", "use crate::limits::Limits;"), 0);
    assert_eq!(named("limits", "use crate::http::Wire;"), 1);
    assert_eq!(named("limits", "fn wire() -> crate::http::Wire;"), 1);
    assert_eq!(named("core::answer", "use crate::{clock::Clock, front::{self, Front}};"), 2);
    assert_eq!(named("core", "use crate::dispatcher::Dispatcher;"), 1, "within a layer as well");
    assert_eq!(
        named("front::messages", "use super::{next, Incoming};\nuse super::context::FrontContext;"),
        0
    );
    assert_eq!(named("core::answer", "use super::super::shutdown::drain;"), 1);
    assert_eq!(
        named("core", "/// See [`crate::front`].\n// crate::front"),
        0,
        "documentation may name any module"
    );
    assert_eq!(named("novelty", ""), 1, "a new module has to be given its place");
    assert_eq!(uses("main", "use tallypin_router::{bind, front::{self, Front}};").len(), 3);
}
