//! The coding of load reports between routers: what each has served. A message is a digest of what the numbers of tenants
//! mean, the span in ms, then (tenant, served requests) pairs; all but the digest are varints. What is counted, when it is
//! sent and what follows from it is decided in `choice/`.

use std::fmt;

use crate::api::TenantId;
use crate::name_hash::{message_digest, MESSAGE_DIGEST_LENGTH};

/// The format of reports; hashed into each digest, so that another format is another digest. The text itself is never
/// changed without a change of the format.
const FORMAT: &str = "served hits, form 2";
/// The most bytes of a message; the platform's bound on what routers send each other.
const MAX_MESSAGE_BYTES: usize = 256;
/// No router serves more requests of a tenant between two reports: a larger count is malformed.
const MAX_COUNT: u64 = 1_000_000;

/// Stands for the tenants of a router's settings, by name and order, and for the format of reports. A tenant's number means
/// the same at two routers only if their digests agree: not while a change of the settings is being rolled out, nor
/// between versions of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TenantsDigest([u8; MESSAGE_DIGEST_LENGTH]);

impl TenantsDigest {
    /// The digest of tenants with these names, in this order.
    pub fn of_tenants<'a>(names: impl IntoIterator<Item = &'a str>) -> TenantsDigest {
        let mut text = FORMAT.to_string();
        for name in names {
            // With the length in front no two lists of names make the same text.
            text += &format!("\n{} {name}", name.len());
        }
        TenantsDigest(message_digest(text.as_bytes()))
    }
}

/// Why a message is no usable report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportError {
    /// Its sender has other tenants, or reports in another format.
    ForeignDigest,
    /// It is too long, cut short, or states an impossible number.
    Malformed,
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReportError::ForeignDigest => "a report of a router with other tenants or of another version",
            ReportError::Malformed => "a malformed report",
        })
    }
}

impl std::error::Error for ReportError {}

/// Requests of one tenant that a router has served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedCount {
    /// The tenant.
    pub tenant: TenantId,
    /// How many of its requests.
    pub requests: u32,
}

/// A report: what a router has served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedReport {
    /// Within this time, ms.
    pub span_ms: u64,
    /// The requests that were served, by tenant.
    pub served: Vec<ServedCount>,
}

/// Appends a number as a varint: seven bits a byte, the lowest first, the high bit set in all but the last.
fn write_varint(mut number: u64, to: &mut Vec<u8>) {
    while number >= 0x80 {
        to.push(number as u8 | 0x80);
        number >>= 7;
    }
    to.push(number as u8);
}

/// Reads the varint at `at` and moves behind it; `None` if it is cut short or has more than five bytes.
fn read_varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..35).step_by(7) {
        let byte = *bytes.get(*at)?;
        *at += 1;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}

/// Messages that hold the counts in the order given; none without counts.
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

/// Reads a message that a router with the same digest has written; all of it or nothing.
///
/// # Errors
/// The message is of a router with another digest, or malformed.
pub fn decode(digest: TenantsDigest, bytes: &[u8]) -> Result<ServedReport, ReportError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ReportError::Malformed);
    }
    let body = bytes.strip_prefix(&digest.0).ok_or(ReportError::ForeignDigest)?;
    read_body(body).ok_or(ReportError::Malformed)
}

fn read_body(body: &[u8]) -> Option<ServedReport> {
    let mut at = 0;
    let span_ms = read_varint(body, &mut at)?;
    let mut served = Vec::new();
    while at < body.len() {
        let tenant = read_varint(body, &mut at)?;
        let requests = read_varint(body, &mut at)?;
        if requests > MAX_COUNT {
            return None;
        }
        let tenant = TenantId(u32::try_from(tenant).ok()?);
        served.push(ServedCount { tenant, requests: u32::try_from(requests).ok()? });
    }
    Some(ServedReport { span_ms, served })
}
