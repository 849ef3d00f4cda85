//! The stage of the router's graceful shutdown, shared by all tasks. [`crate::shutdown`] changes the stage.

use tokio::sync::watch;

/// The stages of a shutdown, in order. Only an operator's order to undo a drain returns to an earlier stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The router serves normally.
    Serving,
    /// The shutdown signal was received; new clients are still served.
    Grace,
    /// Balancers have been notified; answers contain `Connection: close`.
    AnnouncingClose,
    /// Connections between two requests are closed; a new client gets one answer.
    ClosingIdle,
    /// The listeners are closed; each open connection closes after its current request.
    Closing,
    /// The process is about to be killed: requests without a response have been answered, and requests still being read are
    /// rejected.
    Rejecting,
}

/// Holds the current stage, which tasks can read and wait for.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
}

impl Lifecycle {
    /// Creates a lifecycle in the stage [`Stage::Serving`].
    pub fn new() -> Lifecycle {
        Lifecycle { stage: watch::Sender::new(Stage::Serving) }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Enters a stage and wakes the tasks that wait for it.
    pub fn enter(&self, stage: Stage) {
        let mut from = stage;
        let changed = self.stage.send_if_modified(|s| {
            from = std::mem::replace(s, stage);
            from != stage
        });
        if changed {
            tracing::info!(target: "drain", ?from, to = ?stage, "drain stage entered");
        }
    }

    /// Waits until the stage is `stage` or a later one. Cancel-safe.
    pub async fn wait_for(&self, stage: Stage) {
        // Fails only if the sender was dropped, but `self` holds it.
        let _ = self.stage.subscribe().wait_for(|s| *s >= stage).await;
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle::new()
    }
}
