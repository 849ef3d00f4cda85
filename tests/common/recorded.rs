//! Outputs recorded as files and compared byte for byte. `RECORD=1` writes the files anew; without it a missing file is a
//! failure like any other difference.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// A group of recorded cases, kept in one file.
pub struct Recording {
    file: PathBuf,
    text: String,
}

impl Recording {
    /// The recording `name` under `folder` of the crate's own `tests/recorded`.
    pub fn new(manifest: &str, folder: &str, name: &str) -> Recording {
        let file = Path::new(manifest).join("tests/recorded").join(folder).join(name);
        Recording { file, text: String::new() }
    }

    /// Adds a case: its title and what came of it.
    pub fn case(&mut self, title: &str, outcome: &str) {
        self.text += &format!("=== {title}\n{outcome}");
        if !outcome.ends_with('\n') {
            self.text += "\n(no line end)\n";
        }
    }

    /// Compares with the file, or writes it where `RECORD` says so.
    pub fn finish(self) {
        if std::env::var_os("RECORD").is_some() {
            std::fs::create_dir_all(self.file.parent().expect("a folder")).expect("the folder is made");
            std::fs::write(&self.file, &self.text).expect("the recording is written");
            return;
        }
        let recorded = std::fs::read(&self.file)
            .unwrap_or_else(|e| panic!("{}: {e}; every recording has to be there", self.file.display()));
        if recorded == self.text.as_bytes() {
            return;
        }
        let recorded = String::from_utf8_lossy(&recorded).into_owned();
        let (old, new) =
            (recorded.split('\n').collect::<Vec<_>>(), self.text.split('\n').collect::<Vec<_>>());
        let line = (0..).find(|&i| old.get(i) != new.get(i)).unwrap_or(0);
        panic!(
            "{} differs from line {} on:\nrecorded: {:?}\nnow:      {:?}",
            self.file.display(),
            line + 1,
            old.get(line),
            new.get(line)
        );
    }
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The text with the number behind each occurrence of `before` replaced by `<name>`: a value that differs from run to run.
pub fn mask_number(text: &str, before: &str, name: &str) -> String {
    let mut masked = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(before) {
        let (head, tail) = rest.split_at(at + before.len());
        let digits = tail.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(tail.len());
        masked += head;
        if digits > 0 {
            masked += &format!("<{name}>");
        }
        rest = &tail[digits..];
    }
    masked + rest
}
