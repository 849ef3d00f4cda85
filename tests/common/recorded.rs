//! Outputs that are recorded in files and compared byte for byte. `RECORD=1` writes the files again; without it a missing
//! file fails the test like any other difference.
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

    /// Adds a case: its title and its outcome.
    pub fn case(&mut self, title: &str, outcome: &str) {
        self.text += &format!("=== {title}\n{outcome}");
        if !outcome.ends_with('\n') {
            self.text += "\n(no line end)\n";
        }
    }

    /// Compares the text with the file, or writes the file if `RECORD` is set.
    pub fn finish(self) {
        if std::env::var_os("RECORD").is_some() {
            std::fs::create_dir_all(self.file.parent().expect("the file is in a folder"))
                .expect("the folder can be created");
            std::fs::write(&self.file, &self.text).expect("the recording can be written");
            return;
        }
        let recorded = std::fs::read(&self.file).unwrap_or_else(|error| {
            panic!(
                "{}: {error}; a recording of this name is required (RECORD=1 writes it)",
                self.file.display()
            )
        });
        if recorded == self.text.as_bytes() {
            return;
        }
        let recorded = String::from_utf8_lossy(&recorded).into_owned();
        let (recorded_lines, current_lines) =
            (recorded.split('\n').collect::<Vec<_>>(), self.text.split('\n').collect::<Vec<_>>());
        let line = (0..).find(|&i| recorded_lines.get(i) != current_lines.get(i)).unwrap_or(0);
        panic!(
            "{} differs from line {} on:\nrecorded: {:?}\nnow:      {:?}",
            self.file.display(),
            line + 1,
            recorded_lines.get(line),
            current_lines.get(line)
        );
    }
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Replaces the number behind each occurrence of `before` by `<name>`, for values that differ between runs.
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
