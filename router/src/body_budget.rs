//! The memory that request bodies may take together. What a body takes is given back when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

/// What is left of the memory for bodies, in bytes.
#[derive(Debug, Clone)]
pub struct BodyBudget(Rc<Cell<usize>>);

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> BodyBudget {
        BodyBudget(Rc::new(Cell::new(bytes)))
    }

    /// Sets a part aside; `None` if less is left.
    pub fn reserve(&self, size: usize) -> Option<BodyReservation> {
        self.0.set(self.0.get().checked_sub(size)?);
        Some(BodyReservation { size, budget: self.clone() })
    }

    /// How many bytes are left.
    pub fn available(&self) -> usize {
        self.0.get()
    }
}

/// A part of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    size: usize,
    budget: BodyBudget,
}

impl BodyReservation {
    /// Raises the part to so many bytes in all; false, and unchanged, if less is left. A smaller part stays as it is.
    pub fn grow(&mut self, to: usize) -> bool {
        let more = to.saturating_sub(self.size);
        let Some(left) = self.budget.0.get().checked_sub(more) else { return false };
        self.budget.0.set(left);
        self.size += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.size);
    }
}

/// A request's body, with its part of the budget.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    /// Its part of the budget.
    pub reserved: BodyReservation,
}

#[cfg(test)]
mod tests;
