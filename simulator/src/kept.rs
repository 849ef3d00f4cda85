//! Beginnings of prompts that a node has kept, in blocks, the least recently used given up first.
//!
//! A run is what is kept under one key: the shared part of a beginning, or what a session has beyond it. Runs give up
//! blocks from their end, as a tree of prefixes does from its leaves (RadixAttention: Zheng et al., 2024), so what is
//! left of a run is still a beginning. A session's run is of use only as far as its shared part is kept whole; that
//! one is touched last and so goes last.

use rustc_hash::FxHashMap;

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Run {
    key: u64,
    /// Tokens kept, whole blocks.
    tokens: u32,
    /// Requests that run on it: it is not given up meanwhile.
    pins: u32,
    /// Neighbours by use.
    older: u32,
    newer: u32,
}

/// The runs of one node. All sizes are tokens.
pub struct Kept {
    block: u32,
    runs: Vec<Run>,
    free: Vec<u32>,
    index: FxHashMap<u64, u32>,
    oldest: u32,
    newest: u32,
    total: u64,
}

impl Kept {
    /// Nothing yet, in blocks of so many tokens.
    pub fn new(block: u32) -> Self {
        let block = block.max(1);
        Kept {
            block,
            runs: vec![],
            free: vec![],
            index: FxHashMap::default(),
            oldest: NONE,
            newest: NONE,
            total: 0,
        }
    }

    /// Tokens in all runs.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Tokens kept under a key.
    pub fn tokens(&self, key: u64) -> u32 {
        self.index.get(&key).map_or(0, |&i| self.runs[i as usize].tokens)
    }

    /// Makes a run at least so long, in whole blocks, and the latest used; how many tokens that added.
    pub fn keep(&mut self, key: u64, tokens: u32) -> u32 {
        let tokens = tokens / self.block * self.block;
        if tokens == 0 {
            return 0;
        }
        let i = match self.index.get(&key) {
            Some(&i) => {
                self.unlink(i);
                i
            }
            None => {
                let run = Run { key, tokens: 0, pins: 0, older: NONE, newer: NONE };
                let i = self.free.pop().unwrap_or(self.runs.len() as u32);
                match self.runs.get_mut(i as usize) {
                    Some(old) => *old = run,
                    None => self.runs.push(run),
                }
                self.index.insert(key, i);
                i
            }
        };
        self.link(i);
        let run = &mut self.runs[i as usize];
        let added = tokens.saturating_sub(run.tokens);
        run.tokens += added;
        self.total += u64::from(added);
        added
    }

    /// Marks a run as the latest used, and as run on (or no longer).
    pub fn pin(&mut self, key: u64) {
        if let Some(&i) = self.index.get(&key) {
            self.unlink(i);
            self.link(i);
            self.runs[i as usize].pins += 1;
        }
    }

    /// One request less runs on it.
    pub fn unpin(&mut self, key: u64) {
        if let Some(&i) = self.index.get(&key) {
            let run = &mut self.runs[i as usize];
            run.pins = run.pins.saturating_sub(1);
        }
    }

    /// Gives up at least so many tokens of what nobody runs on, the least recently used first; how many it was.
    pub fn give_up(&mut self, tokens: u64) -> u64 {
        let (mut given, mut i) = (0, self.oldest);
        while given < tokens && i != NONE {
            let run = self.runs[i as usize];
            let next = run.newer;
            if run.pins == 0 {
                let blocks = (tokens - given).div_ceil(u64::from(self.block));
                let some = (blocks * u64::from(self.block)).min(u64::from(run.tokens));
                given += some;
                self.total -= some;
                self.runs[i as usize].tokens -= some as u32;
                if self.runs[i as usize].tokens == 0 {
                    self.unlink(i);
                    self.index.remove(&run.key);
                    self.free.push(i);
                }
            }
            i = next;
        }
        given
    }

    fn link(&mut self, i: u32) {
        let newest = self.newest;
        let run = &mut self.runs[i as usize];
        (run.older, run.newer) = (newest, NONE);
        match newest {
            NONE => self.oldest = i,
            n => self.runs[n as usize].newer = i,
        }
        self.newest = i;
    }

    fn unlink(&mut self, i: u32) {
        let Run { older, newer, .. } = self.runs[i as usize];
        match older {
            NONE => self.oldest = newer,
            o => self.runs[o as usize].newer = newer,
        }
        match newer {
            NONE => self.newest = older,
            n => self.runs[n as usize].older = older,
        }
    }
}

#[cfg(test)]
mod tests;
