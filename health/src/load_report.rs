//! Load reports in the ORCA form (`xds.data.orca.v3.OrcaLoadReport`, Envoy's and gRPC's): as a field of an
//! answer, and as the out-of-band stream of `xds.service.orca.v3.OpenRcaService`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use base64::Engine;
use prost::Message;
use serde_json::json;

/// The path of the stream.
pub const STREAM: &str = "/xds.service.orca.v3.OpenRcaService/StreamCoreMetrics";

/// A report.
#[derive(Clone, PartialEq, Message)]
pub struct OrcaLoadReport {
    /// The processor, 0 to 1 and beyond.
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    /// Memory, 0 to 1.
    #[prost(double, tag = "2")]
    pub mem_utilization: f64,
    /// Shares of other means, by name.
    #[prost(btree_map = "string, double", tag = "5")]
    pub utilization: BTreeMap<String, f64>,
    /// Requests a second.
    #[prost(double, tag = "6")]
    pub rps_fractional: f64,
    /// Errors a second.
    #[prost(double, tag = "7")]
    pub eps: f64,
    /// Other figures, by name.
    #[prost(btree_map = "string, double", tag = "8")]
    pub named_metrics: BTreeMap<String, f64>,
    /// The share of what the program itself can do; goes before the processor's.
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

/// A time, as `google.protobuf.Duration` has it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ProtoDuration {
    /// Whole seconds.
    #[prost(int64, tag = "1")]
    pub seconds: i64,
    /// And so many nanoseconds.
    #[prost(int32, tag = "2")]
    pub nanos: i32,
}

/// The question for the stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OrcaLoadReportRequest {
    /// How often.
    #[prost(message, optional, tag = "1")]
    pub report_interval: Option<ProtoDuration>,
    /// Names of costs, which only reports by request have.
    #[prost(string, repeated, tag = "2")]
    pub request_cost_names: Vec<String>,
}

impl OrcaLoadReportRequest {
    /// How often to tell: what is asked for, not below `least`, not above `most`; 0 or none: `most`.
    pub fn interval(&self, least: Duration, most: Duration) -> Duration {
        let asked = self.report_interval.as_ref().and_then(|d| {
            let seconds = u64::try_from(d.seconds).ok()?;
            let nanos = u32::try_from(d.nanos).ok().filter(|n| *n < 1_000_000_000)?;
            Some(Duration::new(seconds, nanos)).filter(|d| !d.is_zero())
        });
        asked.unwrap_or(most).clamp(least, most.max(least))
    }
}

/// How a report is put into a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFormat {
    /// `endpoint-load-metrics: TEXT cpu_utilization=0.3, ...`
    Text,
    /// `endpoint-load-metrics: JSON {...}`
    Json,
    /// `endpoint-load-metrics-bin: ` and base64.
    Binary,
}

impl ReportFormat {
    /// The form that settings name.
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
    /// The report as a field of an answer, with its line end.
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
        let plain = [
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
        plain.into_iter().filter(|(_, v)| *v != 0.0).for_each(|(name, v)| put(name, v));
        self.utilization.iter().for_each(|(name, v)| put(&format!("utilization.{name}"), *v));
        self.named_metrics.iter().for_each(|(name, v)| put(&format!("named_metrics.{name}"), *v));
        text
    }
}
