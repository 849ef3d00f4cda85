//! The reply to a batch. An action takes effect only after the whole batch, so the actions of an instance that a later event of
//! the batch kills are withdrawn.

use std::io::{self, Write};

use rustc_hash::FxHashMap;

/// Number of a simulated router. A router that is killed and born again keeps it.
pub type RouterNumber = u32;

/// Last line of each reply.
const END_LINE: &str = "END\n";

/// Consecutive lines of one router in the text of a reply.
struct Section {
    router: RouterNumber,
    /// End of the lines in the text. They begin where the section before ends.
    end: usize,
}

/// The reply to the current batch, in the order in which its lines were written.
///
/// Each operation costs the same however long the reply is, but for [`BatchReply::send`], which reads it once.
#[derive(Default)]
pub struct BatchReply {
    text: String,
    sections: Vec<Section>,
    /// For each router that has lost an instance in this batch, the length of the text when it lost the latest one. The router's
    /// lines up to there are withdrawn.
    withdrawn_up_to: FxHashMap<RouterNumber, usize>,
}

impl BatchReply {
    /// Appends the lines that `write` appends to the text, in the name of a router.
    pub fn append(&mut self, router: RouterNumber, write: impl FnOnce(&mut String)) {
        let start = self.text.len();
        write(&mut self.text);
        let end = self.text.len();
        if end > start {
            self.sections.push(Section { router, end });
        }
    }

    /// Withdraws all lines that were written in the name of a router so far.
    pub fn withdraw(&mut self, router: RouterNumber) {
        self.withdrawn_up_to.insert(router, self.text.len());
    }

    /// Writes the lines that were not withdrawn and the end of the reply, and begins the reply to the next batch.
    ///
    /// # Errors
    /// The output cannot be written or flushed.
    pub fn send(&mut self, output: &mut impl Write) -> io::Result<()> {
        if !self.withdrawn_up_to.is_empty() {
            self.text = self.remaining_text();
        }
        self.text.push_str(END_LINE);
        // In one piece: the standard output would make a system call for each.
        output.write_all(self.text.as_bytes())?;
        output.flush()?;
        self.text.clear();
        self.sections.clear();
        self.withdrawn_up_to.clear();
        Ok(())
    }

    /// Returns the text without the withdrawn lines.
    fn remaining_text(&self) -> String {
        let mut remaining = String::with_capacity(self.text.len());
        let mut start = 0;
        for section in &self.sections {
            if !self.is_withdrawn(section) {
                remaining.push_str(&self.text[start..section.end]);
            }
            start = section.end;
        }
        remaining
    }

    fn is_withdrawn(&self, section: &Section) -> bool {
        self.withdrawn_up_to.get(&section.router).is_some_and(|&up_to| section.end <= up_to)
    }
}

#[cfg(test)]
mod tests;
