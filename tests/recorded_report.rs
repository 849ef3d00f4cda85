//! Load reports between routers as they are on the wire, recorded byte for byte.
#![allow(missing_docs)]

#[path = "common/recorded.rs"]
mod recorded;

use recorded::{hex, Recording};
use tallypin::api::TenantId;
use tallypin::served_report::{decode, encode, ServedCount, TenantsDigest};

fn served(requests: u32, tenant: u32) -> ServedCount {
    ServedCount { tenant: TenantId(tenant), requests }
}

const TENANTS: [&[&str]; 5] = [
    &[],
    &["haendlerbund"],
    &["haendlerbund", "grenzstellen"],
    &["grenzstellen", "haendlerbund"],
    &["a", "b c", "ü"],
];

/// The digest's bytes, seen from outside: a message without counts is not sent, one with a single count begins with them.
fn digest_bytes(digest: TenantsDigest) -> String {
    hex(&encode(digest, 0, &[served(0, 0)])[0][..3])
}

#[test]
fn digests_of_tenant_lists_stay_as_they_were() {
    let mut recording = Recording::new(env!("CARGO_MANIFEST_DIR"), "report", "digests.txt");
    for names in TENANTS {
        recording.case(
            &format!("{names:?}"),
            &format!("{}\n", digest_bytes(TenantsDigest::from_names(names.to_vec()))),
        );
    }
    recording.case("default", &format!("{}\n", digest_bytes(TenantsDigest::default())));
    recording.finish();
}

#[test]
fn encoded_reports_stay_as_they_were() {
    let mut recording = Recording::new(env!("CARGO_MANIFEST_DIR"), "report", "encoded.txt");
    let digest = TenantsDigest::from_names(["haendlerbund", "grenzstellen"]);
    let many: Vec<(u32, u32)> = (0..200).map(|n| (n * 37 + 1, n)).collect();
    for (span_ms, counts) in [
        (0, &[][..]),
        (0, &[(1, 0)]),
        (1, &[(127, 1), (128, 2)]),
        (127, &[(1, 0)]),
        (128, &[(16_383, 127), (16_384, 128)]),
        (1_000, &[(1_000_000, 3)]),
        (u64::from(u32::MAX), &[(u32::MAX, u32::MAX)]),
        (250, &many),
    ] {
        let typed: Vec<_> = counts.iter().map(|&(requests, tenant)| served(requests, tenant)).collect();
        let messages: String = encode(digest, span_ms, &typed).iter().map(|m| hex(m) + "\n").collect();
        let messages = if messages.is_empty() { "no message\n".into() } else { messages };
        recording
            .case(&format!("{span_ms} ms, {} counts from {:?}", counts.len(), counts.first()), &messages);
    }
    recording.finish();
}

#[test]
fn decoded_and_rejected_reports_stay_as_they_were() {
    let mut recording = Recording::new(env!("CARGO_MANIFEST_DIR"), "report", "decoded.txt");
    let digest = TenantsDigest::from_names(["haendlerbund", "grenzstellen"]);
    let other = TenantsDigest::from_names(["grenzstellen", "haendlerbund"]);
    let mine = encode(digest, 0, &[served(0, 0)])[0][..3].to_vec();
    let with = |rest: &[u8]| [&mine[..], rest].concat();
    let whole = encode(digest, 1_000, &[served(5, 0), served(300, 1)]).remove(0);
    let million = encode(digest, 1_000, &[served(1_000_000, 0)]).remove(0);
    let above = encode(digest, 1_000, &[served(1_000_001, 0)]).remove(0);
    let cases = [
        ("whole", whole.clone()),
        ("of other tenants", encode(other, 1_000, &[served(5, 0)]).remove(0)),
        ("empty", Vec::new()),
        ("half a digest", mine[..2].to_vec()),
        ("digest alone", mine.clone()),
        ("no counts", with(&[7])),
        ("a tenant without its count", with(&[7, 1])),
        ("a count cut short", with(&[7, 1, 0x80])),
        ("the largest count", million),
        ("a count above the largest", above),
        ("a varint of six bytes", with(&[0x80, 0x80, 0x80, 0x80, 0x80, 0x01])),
        ("a varint of five bytes", with(&[0xff, 0xff, 0xff, 0xff, 0x7f])),
        ("a tenant above 32 bits", with(&[7, 0xff, 0xff, 0xff, 0xff, 0x7f, 1])),
        ("256 bytes", with(&[0; 253])),
        ("257 bytes", with(&[0; 254])),
    ];
    for (title, bytes) in cases {
        let outcome = match decode(digest, &bytes) {
            Ok(report) => {
                let served: Vec<_> = report.served.iter().map(|c| (c.tenant.0, c.requests)).collect();
                format!("span {} ms, (tenant, count) {served:?}\n", report.span_ms)
            }
            Err(why) => format!("rejected: {}\n", rejection(&format!("{why:?}"))),
        };
        recording.case(&format!("{title}: {}", hex(&bytes)), &outcome);
    }
    recording.finish();
}

/// The two reasons under names that don't follow the type's.
fn rejection(variant: &str) -> &'static str {
    match variant {
        "ForeignDigest" => "other digest",
        "Malformed" => "malformed",
        other => panic!("a reason that was not recorded: {other}"),
    }
}
