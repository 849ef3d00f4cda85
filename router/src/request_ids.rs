//! The identifiers of requests. A second request with the identifier of an open one is rejected, because a replica would treat
//! it as a copy of the first. Requests whose clients give no identifier get a generated one.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashSet;

/// A keyed hash of an identifier. Clients cannot choose identifiers with equal hashes, as they do not know the key.
type IdHash = u64;

#[derive(Default)]
struct KnownIds {
    /// Hashes of the identifiers: of many, whatever their length, little memory is needed.
    ids: FxHashSet<IdHash>,
    /// Hashes of the identifiers of finished requests, the latest last.
    finished: VecDeque<IdHash>,
}

/// The identifiers of open and recent requests.
pub struct RequestIds {
    known: Rc<RefCell<KnownIds>>,
    finished_limit: usize,
    hasher: RandomState,
    /// Part of every generated identifier. It makes identifiers differ between routers and starts.
    seed: u64,
    generated: Cell<u64>,
}

impl RequestIds {
    /// Creates an empty set. `finished_limit` identifiers are remembered after their requests have finished, as copies may still
    /// be in transit. `seed` must differ between routers and starts.
    pub fn new(seed: u64, finished_limit: usize) -> RequestIds {
        RequestIds {
            known: Rc::default(),
            finished_limit,
            hasher: RandomState::new(),
            seed,
            generated: Cell::new(0),
        }
    }

    /// Generates an identifier for a request whose client gives none.
    pub fn generate(&self) -> String {
        self.generated.set(self.generated.get() + 1);
        format!("msg_{:016x}{:08x}", self.seed, self.generated.get())
    }

    /// Reserves an identifier until the guard is dropped; `None` if it is in use or was used recently.
    pub fn reserve(&self, id: &[u8]) -> Option<RequestIdGuard> {
        // Copied, as a slice would keep the complete request head in memory.
        let (hash, id) = (self.hasher.hash_one(id), Bytes::copy_from_slice(id));
        let is_new = self.known.borrow_mut().ids.insert(hash);
        let guard =
            || RequestIdGuard { id, hash, known: self.known.clone(), finished_limit: self.finished_limit };
        is_new.then(guard)
    }

    /// Number of known identifiers, including those of finished requests.
    pub fn len(&self) -> usize {
        self.known.borrow().ids.len()
    }

    /// Whether no identifier is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Reserves an identifier until it is dropped.
pub struct RequestIdGuard {
    id: Bytes,
    hash: IdHash,
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
        known.finished.push_back(self.hash);
        while known.finished.len() > self.finished_limit {
            if let Some(oldest) = known.finished.pop_front() {
                known.ids.remove(&oldest);
            }
        }
    }
}
