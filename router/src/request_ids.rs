//! The names that clients give their requests. One that is open belongs to its owner: a second request under
//! it is turned away before it can reach a model node, where both would be taken for copies of one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashSet;

#[derive(Default)]
struct KnownIds {
    ids: FxHashSet<Bytes>,
    /// Those whose requests are over, the latest last.
    finished: VecDeque<Bytes>,
}

/// The names in use.
pub struct RequestIds {
    known: Rc<RefCell<KnownIds>>,
    finished_limit: usize,
}

impl RequestIds {
    /// None yet. So many are remembered when their requests are over: copies may still be on their way.
    pub fn new(most_late: usize) -> RequestIds {
        RequestIds { known: Rc::default(), finished_limit: most_late }
    }

    /// Takes a name; `None` if it is in use.
    pub fn reserve(&self, name: &[u8]) -> Option<RequestIdGuard> {
        // Copied: a slice would keep the whole head that it came in.
        let name = Bytes::copy_from_slice(name);
        let new = self.known.borrow_mut().ids.insert(name.clone());
        new.then(|| RequestIdGuard {
            id: name,
            known: self.known.clone(),
            finished_limit: self.finished_limit,
        })
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.known.borrow().ids.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A name in use, until it is dropped.
pub struct RequestIdGuard {
    id: Bytes,
    known: Rc<RefCell<KnownIds>>,
    finished_limit: usize,
}

impl RequestIdGuard {
    /// The name.
    pub fn bytes(&self) -> Bytes {
        self.id.clone()
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        let mut held = self.known.borrow_mut();
        held.finished.push_back(std::mem::take(&mut self.id));
        while held.finished.len() > self.finished_limit {
            if let Some(oldest) = held.finished.pop_front() {
                held.ids.remove(&oldest);
            }
        }
    }
}
