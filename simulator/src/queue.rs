//! Events in the order of their times, those of one time in the order that they were put in.
//!
//! A heap of four children a place in one flat array: half as deep as a binary one, and the four lie in one or two cache
//! lines. Weighed: the standard library's binary heap (deeper, and the order of equal times needs the same number
//! beside), a calendar queue (faster where times are even; a drain or a surge makes its days uneven).

/// Virtual time, ns.
pub type Time = u64;

#[derive(Clone, Copy)]
struct Entry<T> {
    at: Time,
    number: u64,
    event: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (Time, u64) {
        (self.at, self.number)
    }
}

/// Events to come.
pub struct Queue<T> {
    heap: Vec<Entry<T>>,
    number: u64,
}

impl<T: Copy> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: Vec::new(), number: 0 }
    }
}

impl<T: Copy> Queue<T> {
    /// Puts an event in.
    pub fn put(&mut self, at: Time, event: T) {
        self.number += 1;
        self.heap.push(Entry { at, number: self.number, event });
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

    /// The time of the next event.
    pub fn next_at(&self) -> Option<Time> {
        self.heap.first().map(|e| e.at)
    }

    /// Takes the next event out.
    pub fn take(&mut self) -> Option<(Time, T)> {
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

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests;
