//! The names that clients give their requests. One that is open belongs to its owner: a second request under
//! it is turned away before it can reach a model node, where both would be taken for copies of one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashSet;

#[derive(Default)]
struct Held {
    names: FxHashSet<Bytes>,
    /// Those whose requests are over, the latest last.
    late: VecDeque<Bytes>,
}

/// The names in use.
pub struct Names {
    held: Rc<RefCell<Held>>,
    most_late: usize,
}

impl Names {
    /// None yet. So many are remembered when their requests are over: copies may still be on their way.
    pub fn new(most_late: usize) -> Names {
        Names { held: Rc::default(), most_late }
    }

    /// Takes a name; `None` if it is in use.
    pub fn take(&self, name: &[u8]) -> Option<Name> {
        // Copied: a slice would keep the whole head that it came in.
        let name = Bytes::copy_from_slice(name);
        let new = self.held.borrow_mut().names.insert(name.clone());
        new.then(|| Name { name, held: self.held.clone(), most_late: self.most_late })
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.held.borrow().names.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A name in use, until it is dropped.
pub struct Name {
    name: Bytes,
    held: Rc<RefCell<Held>>,
    most_late: usize,
}

impl Name {
    /// The name.
    pub fn bytes(&self) -> Bytes {
        self.name.clone()
    }
}

impl Drop for Name {
    fn drop(&mut self) {
        let mut held = self.held.borrow_mut();
        held.late.push_back(std::mem::take(&mut self.name));
        while held.late.len() > self.most_late {
            if let Some(oldest) = held.late.pop_front() {
                held.names.remove(&oldest);
            }
        }
    }
}
