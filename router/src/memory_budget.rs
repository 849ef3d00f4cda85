//! Memory budgets that many clients share: of requests, of input that is read ahead, and of answers. A reservation is returned
//! to its budget when it is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

#[derive(Debug)]
struct BudgetState {
    available: Cell<usize>,
    /// Number of tasks that wait for memory.
    waiting: Cell<usize>,
    /// Since when at least one task has been waiting.
    short_since: Cell<Option<Instant>>,
    /// Notified when memory is returned.
    returned: Notify,
    /// Notified when a task begins to wait while no other does.
    shortage_began: Notify,
}

/// The memory of a budget, in bytes.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<BudgetState>);

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(BudgetState {
            available: Cell::new(bytes),
            waiting: Cell::new(0),
            short_since: Cell::new(None),
            returned: Notify::new(),
            shortage_began: Notify::new(),
        }))
    }

    /// Reserves `size` bytes; `None` if fewer are available.
    pub fn reserve(&self, size: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.grow(size).then_some(reservation)
    }

    /// Waits until a shortage, in which at least one task waits for memory, has lasted for `duration` since the call.
    pub async fn shortage_lasting(&self, duration: Duration) {
        sleep(duration).await;
        loop {
            match self.0.short_since.get() {
                None => self.0.shortage_began.notified().await,
                Some(since) if since.elapsed() >= duration => return,
                Some(since) => sleep_until((since + duration).into()).await,
            }
        }
    }

    /// A reservation of no bytes, which can grow.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { size: 0, budget: self.clone() }
    }

    /// Number of available bytes.
    pub fn available(&self) -> usize {
        self.0.available.get()
    }

    fn give_back(&self, size: usize) {
        self.0.available.set(self.0.available.get() + size);
        if size > 0 && self.0.waiting.get() > 0 {
            self.0.returned.notify_waiters();
        }
    }
}

/// A reservation in the budget, returned to it when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    size: usize,
    budget: MemoryBudget,
}

impl MemoryReservation {
    /// Number of reserved bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns all but `to` bytes to the budget. Never grows the reservation.
    pub fn shrink(&mut self, to: usize) {
        let released = self.size.saturating_sub(to);
        self.size -= released;
        self.budget.give_back(released);
    }

    /// Like [`MemoryReservation::grow`], but waits until the budget has enough bytes. Cancel-safe.
    pub async fn grow_when_available(&mut self, to: usize) {
        if self.grow(to) {
            return;
        }
        let budget = self.budget.clone();
        let _waiting = WaitingGuard::new(&budget.0);
        loop {
            let returned = budget.0.returned.notified();
            if self.grow(to) {
                return;
            }
            returned.await;
        }
    }

    /// Grows the reservation to `to` bytes in total. Returns false and changes nothing if the budget has too few bytes. Never
    /// shrinks the reservation.
    pub fn grow(&mut self, to: usize) -> bool {
        let additional = to.saturating_sub(self.size);
        let Some(remaining) = self.budget.available().checked_sub(additional) else { return false };
        self.budget.0.available.set(remaining);
        self.size += additional;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.give_back(self.size);
    }
}

/// Counts a task as waiting for memory until it is dropped.
struct WaitingGuard<'a>(&'a BudgetState);

impl WaitingGuard<'_> {
    fn new(state: &BudgetState) -> WaitingGuard<'_> {
        if state.waiting.replace(state.waiting.get() + 1) == 0 {
            state.short_since.set(Some(Instant::now()));
            state.shortage_began.notify_waiters();
        }
        WaitingGuard(state)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        if self.0.waiting.get() == 0 {
            self.0.short_since.set(None);
        }
    }
}

/// A request's body, with the reservation of its memory. The reservation may include the request's head.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    /// The reservation in the budget.
    pub reserved: MemoryReservation,
}

#[cfg(test)]
mod tests;
