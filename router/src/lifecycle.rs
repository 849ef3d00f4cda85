//! How far the router's planned shutdown has come, for all tasks to see. What enters the stages is
//! [`crate::shutdown`].

use tokio::sync::watch;

/// How far the shutdown has come. The stages only ever go up, but for an operator's order that takes a drain back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not begun.
    Serving,
    /// The signal has come; clients that still connect are served.
    Grace,
    /// Balancers have been notified: answers say `Connection: close`.
    AnnouncingClose,
    /// Connections between two requests close; a client that still connects gets one answer.
    ClosingIdle,
    /// The listeners are closed; each open connection closes after the request that it carries.
    Closing,
    /// The process is about to be killed: requests without a response have been answered, and requests that are still being
    /// read are rejected.
    Rejecting,
}

/// The present stage, which tasks read and wait for.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
}

impl Lifecycle {
    /// A router that serves.
    pub fn new() -> Lifecycle {
        Lifecycle { stage: watch::Sender::new(Stage::Serving) }
    }

    /// The present stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Enters a stage, and wakes the tasks that wait for it.
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

    /// Waits for a stage, or a later one. Cancel-safe: it only reads.
    pub async fn wait_for(&self, stage: Stage) {
        // It fails only when the sender is gone, and that is `self`.
        let _ = self.stage.subscribe().wait_for(|s| *s >= stage).await;
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle::new()
    }
}
