//! The identifiers of requests. One that is open belongs to its client: a second request with it is rejected before it can
//! reach a replica, where both would be taken for copies of one. Requests whose clients give no identifier get one here.

use std::cell::{Cell, RefCell};
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

/// The identifiers in use.
pub struct RequestIds {
    known: Rc<RefCell<KnownIds>>,
    finished_limit: usize,
    /// Part of every generated identifier, so that those of two routers or starts differ.
    seed: u64,
    generated: Cell<u64>,
}

impl RequestIds {
    /// None in use yet. `finished_limit` identifiers are remembered after their requests are over, as copies may still be on
    /// their way; `seed` is another at every start and router.
    pub fn new(seed: u64, finished_limit: usize) -> RequestIds {
        RequestIds { known: Rc::default(), finished_limit, seed, generated: Cell::new(0) }
    }

    /// An identifier for a request whose client gives none.
    pub fn generate(&self) -> String {
        self.generated.set(self.generated.get() + 1);
        format!("msg_{:016x}{:08x}", self.seed, self.generated.get())
    }

    /// Takes an identifier until the guard is dropped; `None` if it is in use.
    pub fn reserve(&self, id: &[u8]) -> Option<RequestIdGuard> {
        // Copied: a slice would keep the whole head that it came in.
        let id = Bytes::copy_from_slice(id);
        let new = self.known.borrow_mut().ids.insert(id.clone());
        new.then(|| RequestIdGuard { id, known: self.known.clone(), finished_limit: self.finished_limit })
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.borrow().ids.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An identifier in use, until it is dropped.
pub struct RequestIdGuard {
    id: Bytes,
    known: Rc<RefCell<KnownIds>>,
    finished_limit: usize,
}

impl RequestIdGuard {
    /// The identifier.
    pub fn bytes(&self) -> Bytes {
        self.id.clone()
    }
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        let mut known = self.known.borrow_mut();
        known.finished.push_back(std::mem::take(&mut self.id));
        while known.finished.len() > self.finished_limit {
            if let Some(oldest) = known.finished.pop_front() {
                known.ids.remove(&oldest);
            }
        }
    }
}
