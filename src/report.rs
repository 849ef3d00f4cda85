//! The coding of served-hit reports: a version byte, the span in ms, then (tenant, hits) pairs, all as
//! varints. What is counted, when it is told and what is made of it stands in `choice.rs`.

const VERSION: u8 = 1;
/// The most bytes of a message.
const MOST: usize = 256;
/// A count above this is no count.
const ABSURD: u64 = 1_000_000;

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
pub fn encode(ms: u64, counts: &[(u32, u32)]) -> Vec<Vec<u8>> {
    let mut all: Vec<Vec<u8>> = Vec::new();
    for &(count, tenant) in counts {
        let mut pair = Vec::new();
        put(u64::from(tenant), &mut pair);
        put(u64::from(count), &mut pair);
        match all.last_mut() {
            Some(last) if last.len() + pair.len() <= MOST => last.extend(pair),
            _ => {
                let mut head = vec![VERSION];
                put(ms, &mut head);
                head.extend(pair);
                all.push(head);
            }
        }
    }
    all
}

/// The span and the (tenant, hits) of a message; nothing if any part of it is off.
pub fn decode(bytes: &[u8]) -> Option<(u64, Vec<(u32, u32)>)> {
    if bytes.len() > MOST || bytes.first() != Some(&VERSION) {
        return None;
    }
    let mut at = 1;
    let ms = get(bytes, &mut at)?;
    let mut counts = Vec::new();
    while at < bytes.len() {
        let tenant = get(bytes, &mut at)?;
        let count = get(bytes, &mut at)?;
        if count > ABSURD || tenant > u64::from(u32::MAX) {
            return None;
        }
        counts.push((tenant as u32, count as u32));
    }
    Some((ms, counts))
}
