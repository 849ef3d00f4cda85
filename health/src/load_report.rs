//! Load reports in the ORCA format of Envoy and gRPC (`xds.data.orca.v3.OrcaLoadReport`): as a header field of a response,
//! and as the out-of-band stream of `xds.service.orca.v3.OpenRcaService`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use base64::Engine;
use prost::Message;
use serde_json::json;

/// The path of `StreamCoreMetrics`.
pub const STREAM_PATH: &str = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics";

/// A load report.
#[derive(Clone, PartialEq, Message)]
pub struct OrcaLoadReport {
    /// Processor utilization; 1 is one core, so it may exceed 1.
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    /// Memory utilization, 0 to 1.
    #[prost(double, tag = "2")]
    pub mem_utilization: f64,
    /// Utilization of other resources, by name.
    #[prost(btree_map = "string, double", tag = "5")]
    pub utilization: BTreeMap<String, f64>,
    /// Requests per second.
    #[prost(double, tag = "6")]
    pub rps_fractional: f64,
    /// Errors per second.
    #[prost(double, tag = "7")]
    pub eps: f64,
    /// Other metrics, by name.
    #[prost(btree_map = "string, double", tag = "8")]
    pub named_metrics: BTreeMap<String, f64>,
    /// Utilization of the program's own capacity. Balancers prefer it to the processor utilization.
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

/// A duration, like `google.protobuf.Duration`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ProtoDuration {
    /// Whole seconds.
    #[prost(int64, tag = "1")]
    pub seconds: i64,
    /// Nanoseconds in addition to the seconds.
    #[prost(int32, tag = "2")]
    pub nanos: i32,
}

/// The request of `StreamCoreMetrics`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrcaLoadReportRequest {
    /// The requested interval between reports.
    #[prost(message, optional, tag = "1")]
    pub report_interval: Option<ProtoDuration>,
    /// Names of request costs. They apply only to per-request reports and are ignored.
    #[prost(string, repeated, tag = "2")]
    pub request_cost_names: Vec<String>,
}

impl OrcaLoadReportRequest {
    /// Returns the interval between reports: the requested one within the limits, or `max` if none is requested or it is 0.
    pub fn interval(&self, min: Duration, max: Duration) -> Duration {
        let requested = self.report_interval.as_ref().and_then(|d| {
            let seconds = u64::try_from(d.seconds).ok()?;
            let nanos = u32::try_from(d.nanos).ok().filter(|n| *n < 1_000_000_000)?;
            Some(Duration::new(seconds, nanos)).filter(|d| !d.is_zero())
        });
        requested.unwrap_or(max).clamp(min, max.max(min))
    }
}

/// The format of a report in a header field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFormat {
    /// `endpoint-load-metrics: TEXT cpu_utilization=0.3, ...`
    Text,
    /// `endpoint-load-metrics: JSON {...}`
    Json,
    /// `endpoint-load-metrics-bin: ` and the message in base64.
    Binary,
}

impl ReportFormat {
    /// Returns the format of this name in the settings.
    pub fn from_name(name: &str) -> Option<ReportFormat> {
        match name {
            "text" => Some(ReportFormat::Text),
            "json" => Some(ReportFormat::Json),
            "binary" => Some(ReportFormat::Binary),
            _ => None,
        }
    }
}

impl OrcaLoadReport {
    /// Returns the report as a header field, with its line end.
    pub fn header_field(&self, format: ReportFormat) -> String {
        match format {
            ReportFormat::Text => format!("endpoint-load-metrics: TEXT {}\r\n", self.text()),
            ReportFormat::Json => {
                let json = json!({
                    "cpu_utilization": self.cpu_utilization,
                    "mem_utilization": self.mem_utilization,
                    "application_utilization": self.application_utilization,
                    "rps_fractional": self.rps_fractional,
                    "eps": self.eps,
                    "utilization": self.utilization,
                    "named_metrics": self.named_metrics,
                });
                format!("endpoint-load-metrics: JSON {json}\r\n")
            }
            ReportFormat::Binary => {
                let bytes = base64::engine::general_purpose::STANDARD.encode(self.encode_to_vec());
                format!("endpoint-load-metrics-bin: {bytes}\r\n")
            }
        }
    }

    fn text(&self) -> String {
        let metrics = [
            ("cpu_utilization", self.cpu_utilization),
            ("mem_utilization", self.mem_utilization),
            ("application_utilization", self.application_utilization),
            ("rps_fractional", self.rps_fractional),
            ("eps", self.eps),
        ];
        let mut text = String::new();
        let mut put = |name: &str, value: f64| {
            let comma = if text.is_empty() { "" } else { ", " };
            let _ = write!(text, "{comma}{name}={value}");
        };
        metrics.into_iter().filter(|(_, v)| *v != 0.0).for_each(|(name, v)| put(name, v));
        self.utilization.iter().for_each(|(name, v)| put(&format!("utilization.{name}"), *v));
        self.named_metrics.iter().for_each(|(name, v)| put(&format!("named_metrics.{name}"), *v));
        text
    }
}
