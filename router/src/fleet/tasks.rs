//! Owner of the tasks of a fleet agent, so that no task outlives the agent.

use std::cell::RefCell;
use std::future::Future;

use tokio::task::JoinSet;

/// A set of local tasks, both long-lived ones and tasks of single calls. Finished tasks are removed when the next starts.
#[derive(Default)]
pub struct TaskGroup {
    running: RefCell<JoinSet<()>>,
}

impl TaskGroup {
    /// Spawns a task, which runs until it completes or `abort_all` is called.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut running = self.running.borrow_mut();
        while running.try_join_next().is_some() {}
        running.spawn_local(task);
    }

    /// Aborts all tasks at their next await. Tasks own components of the agent, and these own the tasks: without the abort,
    /// the reference cycle would keep both alive.
    pub fn abort_all(&self) {
        self.running.borrow_mut().abort_all();
    }
}

#[cfg(test)]
mod tests;
