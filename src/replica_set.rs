//! A set of replicas with constant-time random choice.

/// Replicas by their index in the decision module's table, unordered. Adding, removing and choosing at random take
/// constant time.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    indices: Vec<usize>,
    /// Position in `indices` plus one, by replica index; 0 if the replica is not in the set.
    positions: Vec<usize>,
}

impl ReplicaSet {
    /// Adds a replica; returns false if it was in the set already.
    pub fn add(&mut self, index: usize) -> bool {
        if self.positions.len() <= index {
            self.positions.resize(index + 1, 0);
        }
        let new = self.positions[index] == 0;
        if new {
            self.indices.push(index);
            self.positions[index] = self.indices.len();
        }
        new
    }

    /// Removes a replica; returns false if it was not in the set.
    pub fn remove(&mut self, index: usize) -> bool {
        let Some(at) = self.positions.get(index).and_then(|position| position.checked_sub(1)) else {
            return false;
        };
        self.positions[index] = 0;
        self.indices.swap_remove(at);
        if let Some(&moved) = self.indices.get(at) {
            self.positions[moved] = at + 1;
        }
        true
    }

    /// Returns all replicas of the set.
    pub fn all(&self) -> &[usize] {
        &self.indices
    }
}

#[cfg(test)]
mod tests;
