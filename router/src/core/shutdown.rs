//! The core's part in a shutdown: which further requests are forwarded, and the answers to open requests before the process
//! is killed.

use tallypin::api::{Event, Nanos, RejectReason, RequestId};

use super::answer::{AnswerCause, FinalAnswer};
use super::request::{AbortReason, OpenRequest};
use super::Core;

impl Core {
    /// Forwards a further request only if its answer can end by `time`, when the process is about to end. An answer that its
    /// client can resume at another router need not end by then.
    pub fn require_answers_to_end_by(&mut self, time: Nanos) {
        self.shutdown_admission.require_end_by(time);
    }

    /// Answers open requests before the process is killed. A request without a stream is rejected if a retry does no harm, and
    /// failed otherwise. Streams of requests accepted after `interrupt_after` are interrupted, so that their clients resume them
    /// at another router. `None` means that clients do not resume streams; all streams then continue.
    pub fn answer_for_shutdown(&mut self, now: Nanos, interrupt_after: Option<Nanos>) {
        let is_due = |open: &OpenRequest| match open.streaming_attempt {
            None => true,
            Some(_) => interrupt_after.is_some_and(|after| open.accepted_at > after),
        };
        let due = self.requests.iter().filter(|(_, open)| !open.answered && is_due(open));
        let mut due: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        // The hash table is unordered: sort the requests by acceptance.
        due.sort_unstable();
        for id in due {
            let streams = self.requests.get(&id).is_some_and(|open| open.streaming_attempt.is_some());
            let answer = match streams {
                true => FinalAnswer::Interrupted,
                false => FinalAnswer::Rejected { retry_after: 0, reason: RejectReason::NoCapacity },
            };
            self.finish(now, id, answer, AnswerCause::Shutdown);
            self.handle(now, Event::ClientLeft(id));
            self.abort_attempts(now, id, None, AbortReason::Shutdown);
            self.process_events(now);
        }
    }
}
