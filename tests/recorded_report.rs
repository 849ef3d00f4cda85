//! Served reports between routers in their wire format, recorded byte for byte.
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

/// The bytes of a digest, taken from an encoded message with one count, which starts with them.
fn digest_bytes(digest: TenantsDigest) -> String {
    hex(&encode(digest, 0, &[served(0, 0)])[0][..3])
}

#[test]
fn digests_of_tenant_lists_match_the_recording() {
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
fn encoded_reports_match_the_recording() {
    let mut recording = Recording::new(env!("CARGO_MANIFEST_DIR"), "report", "encoded.txt");
    let digest = TenantsDigest::from_names(["haendlerbund", "grenzstellen"]);
    let many_counts: Vec<(u32, u32)> = (0..200).map(|n| (n * 37 + 1, n)).collect();
    for (span_ms, counts) in [
        (0, &[][..]),
        (0, &[(1, 0)]),
        (1, &[(127, 1), (128, 2)]),
        (127, &[(1, 0)]),
        (128, &[(16_383, 127), (16_384, 128)]),
        (1_000, &[(1_000_000, 3)]),
        (u64::from(u32::MAX), &[(u32::MAX, u32::MAX)]),
        (250, &many_counts),
    ] {
        let typed_counts: Vec<_> =
            counts.iter().map(|&(requests, tenant)| served(requests, tenant)).collect();
        let messages: String =
            encode(digest, span_ms, &typed_counts).iter().map(|message| hex(message) + "\n").collect();
        let messages = if messages.is_empty() { "no message\n".into() } else { messages };
        recording
            .case(&format!("{span_ms} ms, {} counts from {:?}", counts.len(), counts.first()), &messages);
    }
    recording.finish();
}

#[test]
fn decoded_and_rejected_reports_match_the_recording() {
    let mut recording = Recording::new(env!("CARGO_MANIFEST_DIR"), "report", "decoded.txt");
    let digest = TenantsDigest::from_names(["haendlerbund", "grenzstellen"]);
    let other = TenantsDigest::from_names(["grenzstellen", "haendlerbund"]);
    let own_digest = encode(digest, 0, &[served(0, 0)])[0][..3].to_vec();
    let with_own_digest = |rest: &[u8]| [&own_digest[..], rest].concat();
    let valid = encode(digest, 1_000, &[served(5, 0), served(300, 1)]).remove(0);
    let million = encode(digest, 1_000, &[served(1_000_000, 0)]).remove(0);
    let above_million = encode(digest, 1_000, &[served(1_000_001, 0)]).remove(0);
    let cases = [
        ("whole", valid.clone()),
        ("of other tenants", encode(other, 1_000, &[served(5, 0)]).remove(0)),
        ("empty", Vec::new()),
        ("half a digest", own_digest[..2].to_vec()),
        ("digest alone", own_digest.clone()),
        ("no counts", with_own_digest(&[7])),
        ("a tenant without its count", with_own_digest(&[7, 1])),
        ("a count cut short", with_own_digest(&[7, 1, 0x80])),
        ("the largest count", million),
        ("a count above the largest", above_million),
        ("a varint of six bytes", with_own_digest(&[0x80, 0x80, 0x80, 0x80, 0x80, 0x01])),
        ("a varint of five bytes", with_own_digest(&[0xff, 0xff, 0xff, 0xff, 0x7f])),
        ("a tenant above 32 bits", with_own_digest(&[7, 0xff, 0xff, 0xff, 0xff, 0x7f, 1])),
        ("256 bytes", with_own_digest(&[0; 253])),
        ("257 bytes", with_own_digest(&[0; 254])),
    ];
    for (title, bytes) in cases {
        let outcome = match decode(digest, &bytes) {
            Ok(report) => {
                let served: Vec<_> =
                    report.served.iter().map(|count| (count.tenant.0, count.requests)).collect();
                format!("span {} ms, (tenant, count) {served:?}\n", report.span_ms)
            }
            Err(error) => format!("rejected: {}\n", rejection(&format!("{error:?}"))),
        };
        recording.case(&format!("{title}: {}", hex(&bytes)), &outcome);
    }
    recording.finish();
}

/// Recorded name of a rejection. It stays the same when the variant of the error type is renamed.
fn rejection(variant: &str) -> &'static str {
    match variant {
        "ForeignDigest" => "other digest",
        "Malformed" => "malformed",
        other => panic!("the recording has no name for the rejection {other}"),
    }
}
