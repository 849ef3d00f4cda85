//! A model node that works in steps: continuous batching with prompts read in chunks (Orca: Yu et al., 2022;
//! Sarathi-Serve: Agrawal et al., 2024), one memory for running requests and kept beginnings (vLLM: Kwon et al., 2023).
//!
//! A step reads up to a set number of prompt tokens, first come first, and makes one token for every request whose
//! prompt is read. It takes longer the more requests run, the longer their contexts are and the more it reads. A
//! request that comes waits for the step's end. No time passes in here by itself: who drives the node asks when its step
//! ends and calls [`Engine::step`] then.
//!
//! Left out: what a transfer of kept prompts between nodes would do, several devices in one node, speculative decoding.

use crate::kept::Kept;
use crate::queue::Time;
use std::collections::VecDeque;

/// What a kind of node can do.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Requests in a batch.
    pub slots: u32,
    /// Requests that may wait; beyond it the answer is 'full'.
    pub queue: u32,
    /// Memory, tokens.
    pub memory: u64,
    /// Tokens in a block of kept beginnings.
    pub block: u32,
    /// Prompt tokens read in a step at the most.
    pub chunk: u32,
    /// A step by itself, ns.
    pub step: f64,
    /// Each running request adds, ns.
    pub per_request: f64,
    /// Each token of the contexts adds, ns.
    pub per_context: f64,
    /// Each prompt token read adds, ns.
    pub per_read: f64,
    /// Complete answers are kept, too.
    pub keeps_made: bool,
    /// Held requests (running and waiting) beyond this share of slots and queue slow every step, in proportion, up to
    /// twice; 1: never.
    pub crowded: f64,
}

/// A request as the node gets it, and the true length of its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Its name, told with all that becomes of it.
    pub id: u64,
    /// The session, which keeps what it has beyond the shared beginning.
    pub session: u64,
    /// The shared beginning; 0: none.
    pub prefix: u64,
    /// Its tokens; within the prompt.
    pub prefix_tokens: u32,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Tokens in the answer, 1 at the least.
    pub answer: u32,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The first token.
    First {
        /// Which.
        id: u64,
        /// Prompt tokens found kept.
        kept: u32,
    },
    /// The last one.
    Done {
        /// Which.
        id: u64,
        /// Prompt tokens found kept.
        kept: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    job: Job,
    /// Prompt tokens found kept when it was first taken into the batch.
    found: Option<u32>,
    /// Prompt and made tokens to be read before it goes on, tokens made so far.
    unread: u32,
    made: u32,
    /// Memory of its own, tokens: what it does not share with kept runs.
    own: u64,
    cancelled: bool,
}

/// One node.
pub struct Engine {
    kind: Kind,
    kept: Kept,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    /// Memory of running requests, tokens.
    held: u64,
    step_ends: Option<Time>,
    /// What this step reads of each running request, in order.
    reads: Vec<u32>,
    /// Cold from, until, and the share of its speed at first.
    cold: Option<(Time, Time, f64)>,
    /// Times as slow as usual, by a trouble.
    pub slow: f64,
}

impl Engine {
    /// Empty and warm.
    pub fn new(kind: Kind) -> Self {
        let kept = Kept::new(kind.block);
        Engine {
            kind,
            kept,
            running: vec![],
            waiting: VecDeque::new(),
            held: 0,
            step_ends: None,
            reads: vec![],
            cold: None,
            slow: 1.0,
        }
    }

    /// It starts at `now`, empty, at a share of its speed that grows evenly to all within `warm_in` ns.
    pub fn start_cold(&mut self, now: Time, share: f64, warm_in: Time) {
        *self = Engine::new(self.kind.clone());
        self.cold = Some((now, now.saturating_add(warm_in), share.clamp(0.01, 1.0)));
    }

    /// The share of its full speed that it has, 0 to 1.
    pub fn warmth(&self, now: Time) -> f64 {
        match self.cold {
            Some((from, until, share)) if now < until => {
                let gone = now.saturating_sub(from) as f64 / (until - from) as f64;
                share + (1.0 - share) * gone
            }
            _ => 1.0,
        }
    }

    /// The names of all requests that it holds.
    pub fn jobs(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.iter().chain(&self.waiting).map(|r| r.job.id)
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait for a place in it.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Memory of running requests as a share of all.
    pub fn memory_held(&self) -> f64 {
        self.held as f64 / self.kind.memory as f64
    }

    /// When the present step ends; `None`: idle.
    pub fn step_ends(&self) -> Option<Time> {
        self.step_ends
    }

    /// Takes a request; false if slots and queue are full, or it could never fit the memory.
    pub fn offer(&mut self, now: Time, job: Job) -> bool {
        let fits = u64::from(job.prompt) + u64::from(job.answer) <= self.kind.memory;
        let full = self.running.len() + self.waiting.len() >= (self.kind.slots + self.kind.queue) as usize;
        if !fits || full {
            return false;
        }
        let job = Job { answer: job.answer.max(1), prefix_tokens: job.prefix_tokens.min(job.prompt), ..job };
        let request = Request { job, found: None, unread: 0, made: 0, own: 0, cancelled: false };
        self.waiting.push_back(request);
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
        true
    }

    /// Calls a request off: dropped if it waits; if it runs it is gone at the step's end.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|r| r.job.id != id);
        self.running.iter_mut().filter(|r| r.job.id == id).for_each(|r| r.cancelled = true);
    }

    /// Ends the present step, at its time, and begins the next one. What became of requests is appended.
    pub fn step(&mut self, now: Time, told: &mut Vec<Told>) {
        self.step_ends = None;
        for i in 0..self.running.len() {
            let read = self.reads[i];
            let r = &mut self.running[i];
            r.unread -= read;
            if r.unread == 0 && !r.cancelled {
                r.made += 1;
                let kept = r.found.unwrap_or(0);
                if r.made == 1 {
                    told.push(Told::First { id: r.job.id, kept });
                }
                if r.made == r.job.answer {
                    told.push(Told::Done { id: r.job.id, kept });
                }
            }
        }
        let mut i = 0;
        while i < self.running.len() {
            match self.running[i].cancelled || self.running[i].made == self.running[i].job.answer {
                true => self.leave(i),
                false => i += 1,
            }
        }
        self.begin_step(now);
    }

    /// What a request costs it by itself, ns of its full speed: the reading of what is not kept, and its part of the
    /// steps of a full batch.
    pub fn work(&self, job: &Job) -> f64 {
        let unread = job.prompt.saturating_sub(self.find(job));
        let token = self.kind.step / f64::from(self.kind.slots) + self.kind.per_request;
        f64::from(unread) * self.kind.per_read + f64::from(job.answer) * token
    }

    fn shared(&self, job: &Job) -> u32 {
        if job.prefix == 0 {
            return 0;
        }
        job.prefix_tokens / self.kind.block * self.kind.block
    }

    /// Tokens of a prompt that are kept: the session's own only as far as all of the shared beginning is there.
    fn find(&self, job: &Job) -> u32 {
        let shared = self.shared(job);
        let of_prefix = self.kept.tokens(job.prefix).min(shared);
        let own =
            if of_prefix == shared { self.kept.tokens(job.session).min(job.prompt - shared) } else { 0 };
        // One token is always read: the first new one comes of it.
        (of_prefix + own).min(job.prompt.saturating_sub(1))
    }

    /// Makes room for so many tokens more than are held; false if not even all that is kept would do.
    fn make_room(&mut self, tokens: u64) -> bool {
        let used = self.held + self.kept.total();
        let over = (used + tokens).saturating_sub(self.kind.memory);
        over == 0 || self.kept.give_up(over) >= over
    }

    fn pin(&mut self, job: &Job, pin: bool) {
        // The shared part last: it is to be given up after what lies beyond it.
        for key in [job.session, job.prefix] {
            match pin {
                true => self.kept.pin(key),
                false => self.kept.unpin(key),
            }
        }
    }

    /// A request leaves the batch, and what it has read is kept if it was not called off in the middle.
    fn leave(&mut self, i: usize) {
        let r = self.running.remove(i);
        self.held -= r.own;
        self.pin(&r.job, false);
        if r.unread > 0 {
            return;
        }
        let shared = self.shared(&r.job);
        let made = if self.kind.keeps_made { r.made } else { 0 };
        // Its memory becomes that of the runs; what they had of it already is free.
        self.kept.keep(r.job.session, r.job.prompt - shared + made);
        if shared > 0 {
            self.kept.keep(r.job.prefix, shared);
        }
        let over = (self.held + self.kept.total()).saturating_sub(self.kind.memory);
        self.kept.give_up(over);
    }

    /// The newest request goes back into the queue, to be read again with what it has made.
    fn put_back(&mut self) {
        let Some(mut r) = self.running.pop() else { return };
        self.held -= r.own;
        self.pin(&r.job, false);
        (r.own, r.unread) = (0, 0);
        self.waiting.push_front(r);
    }

    fn begin_step(&mut self, now: Time) {
        // Each that is read makes a token: room for it, or the newest gives way.
        loop {
            let growing = self.running.len() as u64;
            if self.running.len() <= 1 || self.make_room(growing) {
                break;
            }
            self.put_back();
        }
        while self.running.len() < self.kind.slots as usize {
            let Some(&next) = self.waiting.front() else { break };
            let kept = self.find(&next.job);
            // What it shares is held by the runs; pinned first, so that making room does not take it.
            self.pin(&next.job, true);
            let own = u64::from(next.job.prompt - kept) + u64::from(next.made);
            if !self.make_room(own + self.running.len() as u64 + 1) && !self.running.is_empty() {
                self.pin(&next.job, false);
                break;
            }
            self.waiting.pop_front();
            self.held += own;
            let found = next.found.or(Some(kept));
            self.running.push(Request { found, unread: own as u32, own, ..next });
        }
        if self.running.is_empty() {
            return;
        }
        self.reads.clear();
        let (mut budget, mut read, mut context) = (self.kind.chunk, 0u64, 0u64);
        for r in &mut self.running {
            let some = r.unread.min(budget);
            budget -= some;
            read += u64::from(some);
            self.reads.push(some);
            context += u64::from(r.job.prompt - r.unread.min(r.job.prompt)) + u64::from(r.made);
            if r.unread == some {
                // The token that this step makes.
                r.own += 1;
                self.held += 1;
            }
        }
        let kind = &self.kind;
        let time = kind.step
            + kind.per_request * self.running.len() as f64
            + kind.per_context * context as f64
            + kind.per_read * read as f64;
        let held = (self.running.len() + self.waiting.len()) as f64 / f64::from(kind.slots + kind.queue);
        let crowd = if kind.crowded < 1.0 {
            1.0 + ((held - kind.crowded) / (1.0 - kind.crowded)).max(0.0)
        } else {
            1.0
        };
        let time = time * crowd * self.slow.max(0.01) / self.warmth(now);
        self.step_ends = Some(now + (time as Time).max(1));
    }

    /// Whether the memory adds up: what requests and runs hold is what is counted, and never more than there is, but
    /// for a single request that may outgrow it by its last tokens.
    pub fn adds_up(&self) -> bool {
        let own: u64 = self.running.iter().map(|r| r.own).sum();
        let used = self.held + self.kept.total();
        own == self.held && (used <= self.kind.memory || self.running.len() <= 1)
    }
}
