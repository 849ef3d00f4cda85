//! Recordings of raw bytes, case by case, which are compared with a file byte for byte. Parts that vary between runs are masked.

use std::path::PathBuf;

use tokio::io::AsyncReadExt;

use crate::common::{header_value, Client};

/// Path of a recording.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/wire").join(name)
}

/// Parts of a text that vary between runs.
#[derive(Clone, Copy)]
pub enum Mask {
    /// The time left until the deadline, a four-digit number of milliseconds.
    DeadlineOfFourDigits,
    /// The digits of a Retry-After value, which depends on the clock. Their number is kept.
    RetryAfterDigits,
}

impl Mask {
    /// Returns the text with each digit of the masked fields replaced by `#`.
    fn apply(self, text: &str) -> String {
        let fields: &[&str] = match self {
            Mask::DeadlineOfFourDigits => &["Req-Deadline-Ms: "],
            Mask::RetryAfterDigits => &["Retry-After: ", "Retry-After-Ms: "],
        };
        let line = |line: &str| match fields.iter().find_map(|f| Some((f, line.strip_prefix(f)?))) {
            Some((field, value)) => {
                let mask_digit = |c: char| if c.is_ascii_digit() { '#' } else { c };
                let masked: String = value.chars().map(mask_digit).collect();
                if let Mask::DeadlineOfFourDigits = self {
                    assert_eq!(masked.trim_end(), "####", "{line}");
                    assert!(value.trim_end().parse::<u32>().unwrap() <= 4000, "{line}");
                }
                format!("{field}{masked}")
            }
            None => line.to_string(),
        };
        text.split('\n').map(line).collect::<Vec<_>>().join("\n")
    }
}

/// One recording: a list of titled cases and their raw bytes.
pub struct Recording {
    name: &'static str,
    cases: Vec<u8>,
}

impl Recording {
    pub fn new(name: &'static str) -> Recording {
        assert!(super::RECORDINGS.contains(&name), "{name} is not in the list of recordings");
        Recording { name, cases: Vec::new() }
    }

    /// Adds a case.
    pub fn case(&mut self, title: &str, bytes: impl AsRef<[u8]>) {
        for part in [b"=== ", title.as_bytes(), b"\n", bytes.as_ref(), b"\n"] {
            self.cases.extend_from_slice(part);
        }
    }

    /// Adds a case with varying parts masked.
    pub fn masked(&mut self, title: &str, mask: Mask, bytes: impl AsRef<[u8]>) {
        let text = std::str::from_utf8(bytes.as_ref()).unwrap();
        self.case(title, mask.apply(text));
    }

    /// Compares the cases with the recorded file byte for byte, or writes the file if `RECORD` is set.
    pub fn check(self) {
        let path = path(self.name);
        if std::env::var_os("RECORD").is_some() {
            return std::fs::write(path, self.cases).unwrap();
        }
        let recorded = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        if recorded == self.cases {
            return;
        }
        let split = |bytes: &[u8]| -> Vec<String> {
            String::from_utf8_lossy(bytes).split("=== ").map(|case| case.escape_debug().to_string()).collect()
        };
        let (expected, actual) = (split(&recorded), split(&self.cases));
        for (expected, actual) in expected.iter().zip(&actual) {
            assert_eq!(expected, actual, "{}", self.name);
        }
        panic!("{}: {} cases are recorded, the test produced {}", self.name, expected.len(), actual.len());
    }
}

/// Reads the raw bytes of one answer. Appends `<closed>` if the connection ends before the answer is complete.
pub async fn raw_answer(client: &mut Client) -> Vec<u8> {
    let mut raw = Vec::new();
    loop {
        if let Some(length) = answer_length(&client.buf) {
            let rest = client.buf.split_off(length);
            raw.append(&mut std::mem::replace(&mut client.buf, rest));
            return raw;
        }
        if client.stream.read_buf(&mut client.buf).await.unwrap() == 0 {
            raw.append(&mut client.buf);
            raw.extend_from_slice(b"<closed>");
            return raw;
        }
    }
}

/// Returns the length of the first answer in the buffer, or `None` if it is incomplete.
fn answer_length(buf: &[u8]) -> Option<usize> {
    let head_length = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&buf[..head_length]).unwrap();
    if head.starts_with("HTTP/1.1 100") {
        return Some(head_length);
    }
    if header_value(head, "transfer-encoding").is_none() {
        let length: usize = header_value(head, "content-length").map_or(0, |l| l.parse().unwrap());
        return (buf.len() >= head_length + length).then_some(head_length + length);
    }
    let mut at = head_length;
    loop {
        let line = buf[at..].windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&buf[at..at + line]).unwrap(), 16).unwrap();
        at += line + 2 + size + 2;
        if buf.len() < at {
            return None;
        }
        if size == 0 {
            return Some(at);
        }
    }
}
