//! Event queue in the order of time. Events of the same time keep the order of their insertion.
//!
//! The queue is a 4-ary heap in one array: it is half as deep as a binary heap, and the four children lie in one or two cache
//! lines. The standard library's binary heap is deeper and needs the same sequence number for events of equal time. A
//! calendar queue is faster for evenly spread times, which drains and load peaks do not have.

/// Virtual time, ns.
pub type Time = u64;

#[derive(Clone, Copy)]
struct Entry<T> {
    at: Time,
    sequence: u64,
    event: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

/// Scheduled events.
pub struct Queue<T> {
    heap: Vec<Entry<T>>,
    last_sequence: u64,
}

impl<T: Copy> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: Vec::new(), last_sequence: 0 }
    }
}

impl<T: Copy> Queue<T> {
    /// Adds an event.
    pub fn push(&mut self, at: Time, event: T) {
        self.last_sequence += 1;
        self.heap.push(Entry { at, sequence: self.last_sequence, event });
        let mut i = self.heap.len() - 1;
        while i > 0 {
            let parent = (i - 1) / 4;
            if self.heap[parent].key() <= self.heap[i].key() {
                break;
            }
            self.heap.swap(parent, i);
            i = parent;
        }
    }

    /// Returns the time of the next event.
    pub fn next_time(&self) -> Option<Time> {
        self.heap.first().map(|e| e.at)
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Time, T)> {
        let last = self.heap.pop()?;
        let Some(root) = self.heap.first_mut() else { return Some((last.at, last.event)) };
        let first = std::mem::replace(root, last);
        let mut i = 0;
        loop {
            let children = 4 * i + 1..(4 * i + 5).min(self.heap.len());
            let Some(least) = children.min_by_key(|&c| self.heap[c].key()) else { break };
            if self.heap[i].key() <= self.heap[least].key() {
                break;
            }
            self.heap.swap(i, least);
            i = least;
        }
        Some((first.at, first.event))
    }

    /// Whether the queue has no events.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests;
