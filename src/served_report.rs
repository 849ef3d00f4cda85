//! Encoding of the load reports between routers, on the requests that each has served. A message has a digest of the
//! tenants, the span in ms, then pairs of tenant and number of served requests; all but the digest are varints.
//! `decisions/load_reports.rs` decides what is counted, when it is sent and what it changes.

use std::fmt;

use crate::api::TenantId;
use crate::name_hash::{message_digest, MESSAGE_DIGEST_LENGTH};

/// Name of the report format. It is hashed into each digest, so that another format has another digest. It must change
/// if and only if the format changes.
const FORMAT: &str = "served hits, form 2";
/// Maximum length of a message in bytes; the platform limits messages between routers to it.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum plausible number of requests per tenant in a report; a larger one is malformed.
const MAX_REQUESTS: u64 = 1_000_000;

/// Digest of the tenants' names and order, and of the report format. A tenant's index means the same at two routers
/// only if their digests are equal, which they are not during a rollout of other settings or of another program
/// version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TenantsDigest([u8; MESSAGE_DIGEST_LENGTH]);

impl TenantsDigest {
    /// Returns the digest of tenants with these names, in this order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> TenantsDigest {
        let mut text = FORMAT.to_string();
        for name in names {
            // With the length prefix, different lists of names give different texts.
            text += &format!("\n{} {name}", name.len());
        }
        TenantsDigest(message_digest(text.as_bytes()))
    }
}

/// Why a message is not a valid report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportError {
    /// The sender has different tenants or uses another report format.
    ForeignDigest,
    /// The message is too long, truncated, or contains an impossible number.
    Malformed,
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReportError::ForeignDigest => "report from a router with different tenants or another version",
            ReportError::Malformed => "malformed report",
        })
    }
}

impl std::error::Error for ReportError {}

/// Number of served requests of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedCount {
    /// Tenant whose requests are counted.
    pub tenant: TenantId,
    /// Number of the tenant's requests that the sender served.
    pub requests: u32,
}

/// A report on the requests that a router has served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedReport {
    /// Time span of the report, ms.
    pub span_ms: u64,
    /// Served requests by tenant.
    pub served: Vec<ServedCount>,
}

/// Appends a number as a varint: seven bits per byte, lowest first, with the high bit set in all but the last.
fn write_varint(mut number: u64, buffer: &mut Vec<u8>) {
    while number >= 0x80 {
        buffer.push(number as u8 | 0x80);
        number >>= 7;
    }
    buffer.push(number as u8);
}

/// Reads the varint at `offset` and advances `offset`. Returns `None` if it is truncated or longer than five bytes.
fn read_varint(bytes: &[u8], offset: &mut usize) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..35).step_by(7) {
        let byte = *bytes.get(*offset)?;
        *offset += 1;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}

/// Encodes the counts, in the given order, as messages; returns none if there are no counts.
pub fn encode(digest: TenantsDigest, span_ms: u64, counts: &[ServedCount]) -> Vec<Vec<u8>> {
    let mut messages: Vec<Vec<u8>> = Vec::new();
    for count in counts {
        let mut pair = Vec::new();
        write_varint(u64::from(count.tenant.0), &mut pair);
        write_varint(u64::from(count.requests), &mut pair);
        match messages.last_mut() {
            Some(last) if last.len() + pair.len() <= MAX_MESSAGE_BYTES => last.extend(pair),
            _ => {
                let mut message = digest.0.to_vec();
                write_varint(span_ms, &mut message);
                message.extend(pair);
                messages.push(message);
            }
        }
    }
    messages
}

/// Decodes a message from a router with the same digest.
///
/// # Errors
/// The sender has another digest, or the message is malformed.
pub fn decode(digest: TenantsDigest, bytes: &[u8]) -> Result<ServedReport, ReportError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ReportError::Malformed);
    }
    let body = bytes.strip_prefix(&digest.0).ok_or(ReportError::ForeignDigest)?;
    decode_body(body).ok_or(ReportError::Malformed)
}

fn decode_body(body: &[u8]) -> Option<ServedReport> {
    let mut offset = 0;
    let span_ms = read_varint(body, &mut offset)?;
    let mut served = Vec::new();
    while offset < body.len() {
        let tenant = read_varint(body, &mut offset)?;
        let requests = read_varint(body, &mut offset)?;
        if requests > MAX_REQUESTS {
            return None;
        }
        let tenant = TenantId(u32::try_from(tenant).ok()?);
        served.push(ServedCount { tenant, requests: u32::try_from(requests).ok()? });
    }
    Some(ServedReport { span_ms, served })
}
