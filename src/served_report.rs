//! The coding of served-hit reports: a digest of what the numbers of tenants mean, the span in ms, then (tenant, hits)
//! pairs, all but the digest as varints. What is counted, when it is told and what is made of it stands in `choice.rs`.

use crate::name_hash;

/// The form of reports; hashed into each digest, so that another form is another digest.
const FORMAT: &str = "served hits, form 2";
/// The most bytes of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// A count above this is no count.
const MAX_COUNT: u64 = 1_000_000;

/// Stands for the tenants of a gateway's settings, by name and order, and for the form of reports. A tenant's number means
/// the same at two gateways only if their digests agree: not while a change of the settings is being rolled out, nor
/// between versions of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TenantsDigest([u8; TenantsDigest::LENGTH]);

impl TenantsDigest {
    /// One of 16 million: enough to tell configurations apart, and few bytes, which have a price.
    const LENGTH: usize = 3;

    /// The digest of tenants with these names, in this order.
    pub fn of_tenants<'a>(names: impl IntoIterator<Item = &'a str>) -> TenantsDigest {
        let mut text = FORMAT.to_string();
        for name in names {
            // The length in front: no two lists of names make one text.
            text += &format!("\n{} {name}", name.len());
        }
        let [.., a, b, c] = name_hash::text_digest(text.as_bytes()).to_be_bytes();
        TenantsDigest([a, b, c])
    }
}

/// Why a message is no report to go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportError {
    /// Its sender has other tenants, or reports in another form.
    ForeignDigest,
    /// It is too long, torn, or says what cannot be.
    Malformed,
}

/// A report: what a gateway has served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedReport {
    /// Within so many milliseconds.
    pub span_ms: u64,
    /// Tenants and their hits.
    pub served: Vec<(u32, u32)>,
}

fn put(mut x: u64, to: &mut Vec<u8>) {
    while x >= 0x80 {
        to.push(x as u8 | 0x80);
        x >>= 7;
    }
    to.push(x as u8);
}

fn get(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut x = 0u64;
    for shift in (0..35).step_by(7) {
        let b = *bytes.get(*at)?;
        *at += 1;
        x |= u64::from(b & 0x7f) << shift;
        if b < 0x80 {
            return Some(x);
        }
    }
    None
}

/// Messages that hold `counts` of (hits, tenant) in the order given.
pub fn encode(digest: TenantsDigest, ms: u64, counts: &[(u32, u32)]) -> Vec<Vec<u8>> {
    let mut all: Vec<Vec<u8>> = Vec::new();
    for &(count, tenant) in counts {
        let mut pair = Vec::new();
        put(u64::from(tenant), &mut pair);
        put(u64::from(count), &mut pair);
        match all.last_mut() {
            Some(last) if last.len() + pair.len() <= MAX_MESSAGE_BYTES => last.extend(pair),
            _ => {
                let mut message = digest.0.to_vec();
                put(ms, &mut message);
                message.extend(pair);
                all.push(message);
            }
        }
    }
    all
}

/// Reads a message that a gateway with the same digest has written; all of it or nothing.
pub fn decode(digest: TenantsDigest, bytes: &[u8]) -> Result<ServedReport, ReportError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ReportError::Malformed);
    }
    let body = bytes.strip_prefix(&digest.0).ok_or(ReportError::ForeignDigest)?;
    read(body).ok_or(ReportError::Malformed)
}

fn read(body: &[u8]) -> Option<ServedReport> {
    let mut at = 0;
    let span_ms = get(body, &mut at)?;
    let mut hits = Vec::new();
    while at < body.len() {
        let tenant = get(body, &mut at)?;
        let count = get(body, &mut at)?;
        if count > MAX_COUNT {
            return None;
        }
        hits.push((u32::try_from(tenant).ok()?, u32::try_from(count).ok()?));
    }
    Some(ServedReport { span_ms, served: hits })
}
