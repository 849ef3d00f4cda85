//! Prefix cache of a node: prompt prefixes in blocks, with eviction of the least recently used entry first.
//!
//! An entry holds the tokens of one key: a shared prefix, or the part of a session's prompt that follows its shared prefix.
//! Eviction removes blocks from an entry's end, as a prefix tree evicts its leaves (RadixAttention: Zheng et al., 2024), so
//! the rest of the entry is still a prefix. A session's entry can be used only while its shared prefix is cached completely;
//! the shared prefix is therefore touched last and evicted last.

use rustc_hash::FxHashMap;

const NO_ENTRY: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct CacheEntry {
    key: u64,
    /// Cached tokens, in whole blocks.
    tokens: u32,
    /// Running requests that use the entry. A pinned entry is not evicted.
    pins: u32,
    /// Neighbours in the list ordered by last use.
    older: u32,
    newer: u32,
}

/// The cached entries of one node. All sizes are in tokens.
pub struct PrefixCache {
    block_tokens: u32,
    entries: Vec<CacheEntry>,
    free_indices: Vec<u32>,
    index: FxHashMap<u64, u32>,
    oldest: u32,
    newest: u32,
    total_tokens: u64,
}

impl PrefixCache {
    /// Creates an empty cache with blocks of `block_tokens` tokens.
    pub fn new(block_tokens: u32) -> Self {
        let block_tokens = block_tokens.max(1);
        PrefixCache {
            block_tokens,
            entries: vec![],
            free_indices: vec![],
            index: FxHashMap::default(),
            oldest: NO_ENTRY,
            newest: NO_ENTRY,
            total_tokens: 0,
        }
    }

    /// Returns the tokens of all entries.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Returns the tokens cached under a key.
    pub fn tokens(&self, key: u64) -> u32 {
        self.index.get(&key).map_or(0, |&i| self.entries[i as usize].tokens)
    }

    /// Extends the key's entry to at least `tokens`, rounded down to whole blocks, and marks it as most recently used. Returns
    /// the number of tokens added.
    pub fn insert(&mut self, key: u64, tokens: u32) -> u32 {
        let tokens = tokens / self.block_tokens * self.block_tokens;
        if tokens == 0 {
            return 0;
        }
        let i = match self.index.get(&key) {
            Some(&i) => {
                self.unlink(i);
                i
            }
            None => {
                let entry = CacheEntry { key, tokens: 0, pins: 0, older: NO_ENTRY, newer: NO_ENTRY };
                let i = self.free_indices.pop().unwrap_or(self.entries.len() as u32);
                match self.entries.get_mut(i as usize) {
                    Some(old) => *old = entry,
                    None => self.entries.push(entry),
                }
                self.index.insert(key, i);
                i
            }
        };
        self.link(i);
        let entry = &mut self.entries[i as usize];
        let added = tokens.saturating_sub(entry.tokens);
        entry.tokens += added;
        self.total_tokens += u64::from(added);
        added
    }

    /// Marks an entry as most recently used and protects it from eviction.
    pub fn pin(&mut self, key: u64) {
        if let Some(&i) = self.index.get(&key) {
            self.unlink(i);
            self.link(i);
            self.entries[i as usize].pins += 1;
        }
    }

    /// Removes one protection from eviction.
    pub fn unpin(&mut self, key: u64) {
        if let Some(&i) = self.index.get(&key) {
            let entry = &mut self.entries[i as usize];
            entry.pins = entry.pins.saturating_sub(1);
        }
    }

    /// Evicts at least `tokens` from entries that are not pinned, least recently used first. Returns the number of tokens
    /// evicted, which is less if the entries do not hold as many.
    pub fn evict(&mut self, tokens: u64) -> u64 {
        let (mut evicted, mut i) = (0, self.oldest);
        while evicted < tokens && i != NO_ENTRY {
            let entry = self.entries[i as usize];
            let next = entry.newer;
            if entry.pins == 0 {
                let blocks = (tokens - evicted).div_ceil(u64::from(self.block_tokens));
                let removed = (blocks * u64::from(self.block_tokens)).min(u64::from(entry.tokens));
                evicted += removed;
                self.total_tokens -= removed;
                self.entries[i as usize].tokens -= removed as u32;
                if self.entries[i as usize].tokens == 0 {
                    self.unlink(i);
                    self.index.remove(&entry.key);
                    self.free_indices.push(i);
                }
            }
            i = next;
        }
        evicted
    }

    fn link(&mut self, i: u32) {
        let newest = self.newest;
        let entry = &mut self.entries[i as usize];
        (entry.older, entry.newer) = (newest, NO_ENTRY);
        match newest {
            NO_ENTRY => self.oldest = i,
            n => self.entries[n as usize].newer = i,
        }
        self.newest = i;
    }

    fn unlink(&mut self, i: u32) {
        let CacheEntry { older, newer, .. } = self.entries[i as usize];
        match older {
            NO_ENTRY => self.oldest = newer,
            o => self.entries[o as usize].newer = newer,
        }
        match newer {
            NO_ENTRY => self.newest = older,
            n => self.entries[n as usize].older = older,
        }
    }
}

#[cfg(test)]
mod tests;
