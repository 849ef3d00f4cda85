//! The tasks of a fleet agent: owned in one place, so that none outlives the agent.

use std::cell::RefCell;
use std::future::Future;

use tokio::task::JoinSet;

/// A set of local tasks, long-lived ones and those of single calls. A finished one is forgotten when the next starts.
#[derive(Default)]
pub struct TaskGroup {
    running: RefCell<JoinSet<()>>,
}

impl TaskGroup {
    /// Starts a task. It runs until it ends, or until `abort_all`.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut running = self.running.borrow_mut();
        while running.try_join_next().is_some() {}
        running.spawn_local(task);
    }

    /// Aborts all tasks at their next await. Tasks own parts of the agent, and the agent owns them: without this they
    /// would keep each other alive.
    pub fn abort_all(&self) {
        self.running.borrow_mut().abort_all();
    }
}

#[cfg(test)]
mod tests;
