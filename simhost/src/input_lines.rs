//! Lines of standard input.

use std::io::{self, BufRead};

/// Size of the input buffer, in bytes. A batch may reach several megabytes.
const BUFFER_BYTES: usize = 1 << 20;

/// Lines of standard input, with the number of the current line.
pub struct InputLines {
    input: io::BufReader<io::Stdin>,
    buffer: String,
    number: u64,
}

impl InputLines {
    /// Reads standard input from its first line.
    pub fn from_stdin() -> InputLines {
        let input = io::BufReader::with_capacity(BUFFER_BYTES, io::stdin());
        InputLines { input, buffer: String::new(), number: 0 }
    }

    /// Returns the next line without its end, or `None` at the end of the input.
    ///
    /// # Errors
    /// The input cannot be read, or is not UTF-8.
    pub fn next_line(&mut self) -> io::Result<Option<&str>> {
        self.buffer.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.buffer)?;
        Ok((read > 0).then(|| self.buffer.trim_end_matches(['\n', '\r'])))
    }

    /// Returns the number of the current line, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }
}
