//! Memory budgets that many requests share: of request bodies, and of input that is read ahead. A reservation is returned to
//! its budget when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

/// The remaining memory of a budget, in bytes.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Cell::new(bytes)))
    }

    /// Reserves `size` bytes; `None` if fewer are available.
    pub fn reserve(&self, size: usize) -> Option<MemoryReservation> {
        self.0.set(self.0.get().checked_sub(size)?);
        Some(MemoryReservation { size, budget: self.clone() })
    }

    /// Number of available bytes.
    pub fn available(&self) -> usize {
        self.0.get()
    }
}

/// A reservation in the budget, returned to it when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    budget: MemoryBudget,
}

impl MemoryReservation {
    /// Grows the reservation to `to` bytes in total. Returns false and changes nothing if the budget has too few bytes. Never
    /// shrinks the reservation.
    pub fn grow(&mut self, to: usize) -> bool {
        let additional = to.saturating_sub(self.size);
        let Some(remaining) = self.budget.0.get().checked_sub(additional) else { return false };
        self.budget.0.set(remaining);
        self.size += additional;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.size);
    }
}

/// A request's body, with its reservation in the budget.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    /// The reservation in the budget.
    pub reserved: MemoryReservation,
}

#[cfg(test)]
mod tests;
