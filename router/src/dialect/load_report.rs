//! Load reports of replicas: `TEXT name=value, ...`.

/// Maximum value that is accepted. Loads are fractions, counts and milliseconds, all far below it.
const MAX_LOAD_VALUE: f64 = 1e9;

/// Parses a load report and returns its values in the order of `names`, NaN for a value that is absent or out of range.
/// Returns an empty list if the report has another format.
pub fn parse_load_report(report: &str, names: &[String]) -> Vec<f64> {
    let Some(values) = report.trim().strip_prefix("TEXT") else { return Vec::new() };
    let pairs: Vec<(&str, f64)> = values
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .filter(|(_, value)| (0.0..=MAX_LOAD_VALUE).contains(value))
        .collect();
    let value_of = |requested: &String| {
        let found =
            pairs.iter().find(|(name, _)| name == requested || short_name(name) == short_name(requested));
        found.map_or(f64::NAN, |(_, value)| *value)
    };
    names.iter().map(value_of).collect()
}

/// The name of a value in the settings; reports use long names for some.
fn short_name(name: &str) -> &str {
    match name {
        "inflight" => "rif",
        "queue" => "q",
        "util" => "busy",
        "latency_ms" => "lat_ms",
        "qps" => "rate",
        "eps" => "fail_rate",
        other => other,
    }
}
