//! Checks the layers of the router's modules: a module may import only modules that precede it in the table. So no two modules
//! depend on each other, and each can be understood from the preceding ones alone. A directory is one module; its files may
//! import each other.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// A layer: its name, its purpose, and its modules in order.
struct Layer {
    name: &'static str,
    purpose: &'static str,
    modules: &'static [&'static str],
}

const LAYERS: [Layer; 6] = [
    Layer {
        name: "basics",
        purpose: "values and utilities independent of requests: sizes, times, the clock, HTTP, the dialects, configuration files",
        modules: &[
            "shortage", "clock", "lifecycle", "limits", "log", "bind", "http", "memory_budget", "request_ids", "clients",
            "keep_alive", "balancer_interface", "probe", "endpoint_list::message", "config", "dialect",
        ],
    },
    Layer {
        name: "decisions",
        purpose: "decisions other than those of the crate `tallypin`, without input or output",
        modules: &["operator_override"],
    },
    Layer {
        name: "core",
        purpose: "the open requests, each of which receives one final answer; the dispatcher runs the core on the real clock",
        modules: &["core", "dispatcher"],
    },
    Layer {
        name: "connections and discovery",
        purpose: "connections to replicas, other routers and the discovery service; they execute the instructions of the core",
        modules: &["peers", "endpoint_list_state", "replica", "endpoint_list", "connections"],
    },
    Layer {
        name: "fronts and checks",
        purpose: "interfaces for clients, load balancers, operators and the fleet, and the settings file that configures them",
        modules: &["fleet", "front", "installation", "checks"],
    },
    Layer {
        name: "program",
        purpose: "assembles, starts, monitors, reloads and stops the components",
        modules: &["components", "status", "router_control", "reload", "shutdown", "cli", "main"],
    },
];

/// Returns the modules of all layers in order.
fn modules() -> Vec<&'static str> {
    LAYERS.iter().flat_map(|layer| layer.modules).copied().collect()
}

/// Returns the name of the layer that contains the module at a position.
fn layer_of(position: usize) -> &'static str {
    let mut remaining = position;
    for layer in &LAYERS {
        if remaining < layer.modules.len() {
            return layer.name;
        }
        remaining -= layer.modules.len();
    }
    panic!("the table has no module at position {position}")
}

/// Returns the position of the module that contains a path such as `front::messages`: the longest entry that is a prefix of it.
fn position(path: &str) -> Option<usize> {
    let contains_path = |module: &str| path == module || path.starts_with(&format!("{module}::"));
    let entries = modules().into_iter().enumerate().filter(|(_, module)| contains_path(module));
    entries.max_by_key(|(_, module)| module.len()).map(|(position, _)| position)
}

fn source_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns all files under a directory, sorted.
fn files_under(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let mut all: Vec<PathBuf> =
        entries.flat_map(|path| if path.is_dir() { files_under(&path) } else { vec![path] }).collect();
    all.sort();
    all
}

/// Returns the module path of a file: `front/mod.rs` is `front`, `front/messages.rs` is `front::messages`.
fn module_of(file: &Path) -> String {
    let path = file.strip_prefix(source_dir()).unwrap().with_extension("");
    let parts: Vec<&str> = path.iter().map(|part| part.to_str().unwrap()).collect();
    parts.join("::").trim_end_matches("::mod").to_string()
}

/// Returns the text without comments, since documentation may name any module.
fn without_comments(text: &str) -> String {
    let lines = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the paths of the crate that a file imports, relative to the crate root.
fn imported_paths(module: &str, text: &str) -> BTreeSet<String> {
    let text = without_comments(text);
    let mut found = BTreeSet::new();
    for root in ["crate::", "tallypin_router::"] {
        for (at, _) in text.match_indices(root) {
            let continues_name = text[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_');
            if !continues_name {
                found.extend(expand_paths("", &text[at + root.len()..]));
            }
        }
    }
    for (at, _) in text.match_indices("super::") {
        if text[..at].ends_with("super::") || text[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_')
        {
            continue;
        }
        let super_count = text[at..].split("::").take_while(|part| *part == "super").count();
        let mut parent: Vec<&str> = module.split("::").collect();
        // The first `super` removes the file's own name. A `mod.rs` contains the module of its directory.
        parent.truncate(parent.len().saturating_sub(super_count));
        let prefix = parent.iter().map(|part| format!("{part}::")).collect::<String>();
        found.extend(expand_paths(&prefix, &text[at + super_count * "super::".len()..]));
    }
    found
}

/// Returns the paths at the start of a text: a single one, or those of a braced list such as `{bind, front::{self, Front}}`.
fn expand_paths(prefix: &str, text: &str) -> Vec<String> {
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
                        paths.extend(expand_paths(prefix, item));
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
        Some(rest) if !rest.trim_start().starts_with('<') => expand_paths(&format!("{path}::"), rest),
        _ => vec![path],
    }
}

/// Returns the imports of a file that violate the order of the modules.
fn violations(module: &str, text: &str) -> Vec<String> {
    let Some(own_position) = position(module) else { return vec![format!("module {module} is in no layer")] };
    let mut violations_found = Vec::new();
    for imported in imported_paths(module, text) {
        match position(&imported) {
            Some(imported_position) if imported_position > own_position => violations_found.push(format!(
                "{module} ({}) imports {imported} ({}), which comes after it",
                layer_of(own_position),
                layer_of(imported_position)
            )),
            _ => {}
        }
    }
    violations_found
}

#[test]
fn modules_import_only_preceding_modules() {
    let mut violations_found = Vec::new();
    for file in files_under(&source_dir()) {
        let module = module_of(&file);
        if module != "lib" {
            violations_found.extend(violations(&module, &fs::read_to_string(&file).unwrap()));
        }
    }
    assert_eq!(violations_found, Vec::<String>::new());
}

#[test]
fn each_table_entry_is_unique_and_names_a_module() {
    let entries = modules();
    let unique: BTreeSet<&str> = entries.iter().copied().collect();
    assert_eq!(unique.len(), entries.len(), "each module appears once in the table");
    assert!(LAYERS.iter().all(|layer| !layer.purpose.is_empty()));
    let existing_modules: BTreeSet<String> =
        files_under(&source_dir()).iter().map(|file| module_of(file)).collect();
    for entry in entries {
        assert!(existing_modules.contains(entry), "{entry} in the table is a module");
    }
}

#[test]
fn imports_of_later_modules_are_reported() {
    let violation_count = |module: &str, text: &str| violations(module, text).len();
    assert_eq!(violation_count("http", "use crate::limits::Limits;"), 0);
    assert_eq!(violation_count("limits", "use crate::http::Wire;"), 1);
    assert_eq!(violation_count("limits", "fn wire() -> crate::http::Wire;"), 1);
    assert_eq!(violation_count("core::answer", "use crate::{clock::Clock, front::{self, Front}};"), 2);
    assert_eq!(
        violation_count("core", "use crate::dispatcher::Dispatcher;"),
        1,
        "the order applies within a layer as well"
    );
    assert_eq!(
        violation_count("front::messages", "use super::{next, Incoming};\nuse super::context::FrontContext;"),
        0
    );
    assert_eq!(violation_count("core::answer", "use super::super::shutdown::drain;"), 1);
    assert_eq!(
        violation_count("core", "/// See [`crate::front`].\n// crate::front"),
        0,
        "documentation may name any module"
    );
    assert_eq!(violation_count("novelty", ""), 1, "a new module must be added to the table");
    assert_eq!(imported_paths("main", "use tallypin_router::{bind, front::{self, Front}};").len(), 3);
}
