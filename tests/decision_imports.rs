//! Checks the imports of the decision modules: lower layers import nothing from the layers above.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Layers of `src/decisions/`, the lowest first. A module imports only from its own layer and those below.
const LAYERS: [(&str, &[&str]); 3] = [
    (
        "state of single decisions",
        &[
            "attempt_checks",
            "candidate",
            "known_drains",
            "leaky_bucket",
            "list_polling",
            "report_period",
            "retry_budget",
        ],
    ),
    ("the balancer", &["mod"]),
    (
        "decisions",
        &[
            "admission",
            "affinity",
            "drain_notices",
            "endpoint_list",
            "load_reports",
            "outlier_ejection",
            "ranking",
            "request_lifecycle",
            "retry",
            "slow_start",
            "timeouts",
        ],
    ),
];

fn source_texts(folder: &str) -> BTreeMap<String, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let files = std::fs::read_dir(folder)
        .expect("the folder exists")
        .map(|e| e.expect("the entry can be read").path());
    let files = files.filter(|path| path.extension().is_some_and(|e| e == "rs"));
    let name = |path: &Path| path.file_stem().expect("a file name").to_str().expect("UTF-8").to_string();
    files.map(|path| (name(&path), std::fs::read_to_string(&path).expect("UTF-8"))).collect()
}

/// Decision modules that a source text imports: by `super::`, or by their names in `mod.rs`.
fn imports(module: &str, text: &str) -> BTreeSet<String> {
    let start = if module == "mod" { "use " } else { "use super::" };
    let elsewhere = ["crate", "std", "fastrand", "rustc_hash"];
    let lines = text.lines().filter_map(|line| line.strip_prefix(start));
    let named = lines.map(|path| match path.split([':', ';', ' ']).next() {
        Some("Balancer" | "{Balancer,") => "mod".to_string(),
        first => first.unwrap_or("").to_string(),
    });
    named.filter(|name| !elsewhere.contains(&name.as_str())).collect()
}

#[test]
fn decision_modules_import_only_from_their_own_and_lower_layers() {
    let source_texts = source_texts("src/decisions");
    let layer = |name: &str| LAYERS.iter().position(|(_, modules)| modules.contains(&name));
    let mut remaining = BTreeMap::new();
    for (module, text) in &source_texts {
        let own_layer = layer(module).unwrap_or_else(|| panic!("module {module} is in no layer"));
        let imports = imports(module, text);
        for import in &imports {
            let import_layer = layer(import)
                .unwrap_or_else(|| panic!("module {module} imports {import}, which is in no layer"));
            assert!(
                import_layer <= own_layer,
                "module {module} imports {import} from a layer above: {}",
                LAYERS[import_layer].0
            );
        }
        remaining.insert(module.clone(), imports);
    }
    // Imports have no cycle: modules without remaining imports are removed until none is left.
    while let Some(module) =
        remaining.iter().find(|(_, imports)| imports.is_empty()).map(|(module, _)| module.clone())
    {
        remaining.remove(&module);
        for imports in remaining.values_mut() {
            imports.remove(&module);
        }
    }
    assert!(remaining.is_empty(), "modules that import each other in a cycle: {remaining:?}");
}

#[test]
fn state_and_estimators_import_nothing_from_the_decisions() {
    let above = ["crate::decisions", "crate::Balancer", "crate::replica_snapshot"];
    for (module, text) in source_texts("src").into_iter().chain(source_texts("src/state")) {
        if ["lib", "replica_snapshot"].contains(&module.as_str()) {
            continue;
        }
        let code: Vec<&str> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
        for name in above {
            assert!(!code.iter().any(|line| line.contains(name)), "module {module} names {name}");
        }
        if module != "state" && !source_texts("src/state").contains_key(&module) {
            assert!(
                !code.iter().any(|line| line.contains("crate::state")),
                "module {module} imports crate::state"
            );
        }
    }
}
