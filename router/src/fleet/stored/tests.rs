use super::*;

#[test]
fn what_is_stored_is_read_again_and_what_a_disk_has_spoilt_is_not() {
    let document = Document { version: 7, halted: Some("x".into()), ..Document::default() };
    let bytes = encode("nord", &document).unwrap();
    assert_eq!(decode("nord", &bytes).unwrap(), document);
    assert!(decode("sued", &bytes).unwrap_err().contains("another fleet"));
    for k in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[k] ^= 1;
        assert!(decode("nord", &flipped).is_err(), "byte {k}");
        assert!(decode("nord", &bytes[..k]).is_err(), "cut at {k}");
    }
}
