//! Load reports of replicas: `TEXT name=value, ...`.

/// A value above this is no load and does not reach the decisions; loads are shares, counts and milliseconds, all far
/// below it.
const MAX_LOAD_VALUE: f64 = 1e9;

/// The values of a load report in the order of `names`, NaN for one that is absent or out of bounds. Empty if the report
/// is of another form.
pub fn parse_load_report(report: &str, names: &[String]) -> Vec<f64> {
    let Some(values) = report.trim().strip_prefix("TEXT") else { return Vec::new() };
    let pairs: Vec<(&str, f64)> = values
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .filter(|(_, value)| (0.0..=MAX_LOAD_VALUE).contains(value))
        .collect();
    let value_of = |wanted: &String| {
        let found = pairs.iter().find(|(name, _)| name == wanted || short_name(name) == short_name(wanted));
        found.map_or(f64::NAN, |(_, value)| *value)
    };
    names.iter().map(value_of).collect()
}

/// The name of a value in the settings; reports use long names.
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
