//! Model of an inference node that works in steps: continuous batching with chunked prefill (Orca: Yu et al., 2022;
//! Sarathi-Serve: Agrawal et al., 2024), and one memory for running requests and the prefix cache (vLLM: Kwon et al., 2023).
//!
//! A step prefills up to a fixed number of prompt tokens, in the order of the batch, and generates one token for each request
//! whose prompt is prefilled. Its duration grows with the number of running requests, with their context lengths and with the
//! prefilled tokens. A new request waits for the end of the current step. The engine has no clock: its caller reads when the
//! step ends and then calls [`Engine::finish_step`].
//!
//! Not modelled: transfer of cached prompts between nodes, several devices in one node, speculative decoding.

use crate::prefix_cache::PrefixCache;
use crate::queue::Time;
use std::collections::VecDeque;

/// Capabilities of a kind of node. Durations are in ns.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeKind {
    /// Maximum number of requests in the batch.
    pub max_batch_size: u32,
    /// Maximum number of waiting requests; the node rejects further ones.
    pub max_waiting: u32,
    /// Memory for running requests and the prefix cache, in tokens.
    pub memory_tokens: u64,
    /// Tokens in a block of the prefix cache.
    pub block_tokens: u32,
    /// Maximum number of prompt tokens prefilled in a step.
    pub prefill_chunk_tokens: u32,
    /// Base duration of a step, ns.
    pub step_base_ns: f64,
    /// Duration that each running request adds to a step, ns.
    pub per_request_ns: f64,
    /// Duration that each context token adds to a step, ns.
    pub per_context_token_ns: f64,
    /// Duration that each prefilled token adds to a step, ns.
    pub per_prefill_token_ns: f64,
    /// Whether the prefix cache also stores complete answers.
    pub caches_answers: bool,
    /// Share of all places (`max_batch_size` plus `max_waiting`) in use above which steps slow down in proportion, to half speed
    /// when all places are in use. 1 disables the slowdown.
    pub crowding_threshold: f64,
}

/// A request as the node receives it, with the true length of its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Id that is reported with the request's progress.
    pub id: u64,
    /// Key of the session, under which the prompt after the shared prefix is cached.
    pub session: u64,
    /// Key of the shared prefix; 0 if there is none.
    pub prefix: u64,
    /// Tokens of the shared prefix; they are part of the prompt.
    pub prefix_tokens: u32,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the answer, at least 1.
    pub answer_tokens: u32,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first token was generated.
    FirstToken {
        /// Id of the request.
        id: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// The last token was generated.
    Completed {
        /// Id of the request.
        id: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    job: Job,
    /// Prompt tokens found in the prefix cache when the request first entered the batch.
    cached_tokens: Option<u32>,
    /// Tokens of the prompt, and after a preemption of the answer, that remain to be prefilled.
    prefill_left: u32,
    generated: u32,
    /// Memory that the request does not share with the prefix cache, in tokens.
    own_memory: u64,
    cancelled: bool,
}

/// The engine of one node.
pub struct Engine {
    kind: NodeKind,
    prefix_cache: PrefixCache,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    /// Memory of the running requests, in tokens.
    request_memory: u64,
    step_end: Option<Time>,
    /// Tokens that the current step prefills for each running request, in the order of the batch.
    step_prefill: Vec<u32>,
    /// Begin and end of the warm-up, and the share of full speed at its begin.
    warm_up: Option<(Time, Time, f64)>,
    /// Factor on the duration of each step; above 1 while the node is slow.
    pub slowdown: f64,
}

impl Engine {
    /// Creates an idle, warm engine with an empty prefix cache.
    pub fn new(kind: NodeKind) -> Self {
        let prefix_cache = PrefixCache::new(kind.block_tokens);
        Engine {
            kind,
            prefix_cache,
            running: vec![],
            waiting: VecDeque::new(),
            request_memory: 0,
            step_end: None,
            step_prefill: vec![],
            warm_up: None,
            slowdown: 1.0,
        }
    }

    /// Restarts the engine at `now` with an empty cache. Its speed grows linearly from `share` of full speed to full speed
    /// within `warm_up` ns.
    pub fn start_cold(&mut self, now: Time, share: f64, warm_up: Time) {
        *self = Engine::new(self.kind.clone());
        self.warm_up = Some((now, now.saturating_add(warm_up), share.clamp(0.01, 1.0)));
    }

    /// Returns the current speed as a share of full speed, 0 to 1.
    pub fn speed_share(&self, now: Time) -> f64 {
        match self.warm_up {
            Some((from, until, share)) if now < until => {
                let elapsed = now.saturating_sub(from) as f64 / (until - from) as f64;
                share + (1.0 - share) * elapsed
            }
            _ => 1.0,
        }
    }

    /// Returns the ids of all running and waiting requests.
    pub fn job_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.iter().chain(&self.waiting).map(|r| r.job.id)
    }

    /// Returns the number of requests in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for a place in the batch.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the memory of the running requests as a share of all memory.
    pub fn request_memory_share(&self) -> f64 {
        self.request_memory as f64 / self.kind.memory_tokens as f64
    }

    /// Returns the end of the current step, or `None` if the engine is idle.
    pub fn step_end(&self) -> Option<Time> {
        self.step_end
    }

    /// Accepts a request. Returns false if slots and queue are full or the request would not fit into the memory.
    pub fn try_enqueue(&mut self, now: Time, job: Job) -> bool {
        let fits = u64::from(job.prompt_tokens) + u64::from(job.answer_tokens) <= self.kind.memory_tokens;
        let full = self.running.len() + self.waiting.len()
            >= (self.kind.max_batch_size + self.kind.max_waiting) as usize;
        if !fits || full {
            return false;
        }
        let job = Job {
            answer_tokens: job.answer_tokens.max(1),
            prefix_tokens: job.prefix_tokens.min(job.prompt_tokens),
            ..job
        };
        let request = Request {
            job,
            cached_tokens: None,
            prefill_left: 0,
            generated: 0,
            own_memory: 0,
            cancelled: false,
        };
        self.waiting.push_back(request);
        if self.step_end.is_none() {
            self.begin_step(now);
        }
        true
    }

    /// Cancels a request: a waiting one is dropped at once, a running one at the end of the step.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|r| r.job.id != id);
        self.running.iter_mut().filter(|r| r.job.id == id).for_each(|r| r.cancelled = true);
    }

    /// Ends the current step at its time and begins the next one. Appends the progress of requests.
    pub fn finish_step(&mut self, now: Time, progress: &mut Vec<Progress>) {
        self.step_end = None;
        for i in 0..self.running.len() {
            let prefilled = self.step_prefill[i];
            let r = &mut self.running[i];
            r.prefill_left -= prefilled;
            if r.prefill_left == 0 && !r.cancelled {
                r.generated += 1;
                let cached_tokens = r.cached_tokens.unwrap_or(0);
                if r.generated == 1 {
                    progress.push(Progress::FirstToken { id: r.job.id, cached_tokens });
                }
                if r.generated == r.job.answer_tokens {
                    progress.push(Progress::Completed { id: r.job.id, cached_tokens });
                }
            }
        }
        let mut i = 0;
        while i < self.running.len() {
            match self.running[i].cancelled || self.running[i].generated == self.running[i].job.answer_tokens
            {
                true => self.remove_from_batch(i),
                false => i += 1,
            }
        }
        self.begin_step(now);
    }

    /// Returns the cost of a request in ns at full speed: the prefill of uncached tokens and the request's part of the steps of
    /// a full batch.
    pub fn cost_ns(&self, job: &Job) -> f64 {
        let uncached = job.prompt_tokens.saturating_sub(self.cached_tokens(job));
        let token = self.kind.step_base_ns / f64::from(self.kind.max_batch_size) + self.kind.per_request_ns;
        f64::from(uncached) * self.kind.per_prefill_token_ns + f64::from(job.answer_tokens) * token
    }

    /// Tokens of the shared prefix in whole blocks.
    fn shared_tokens(&self, job: &Job) -> u32 {
        if job.prefix == 0 {
            return 0;
        }
        job.prefix_tokens / self.kind.block_tokens * self.kind.block_tokens
    }

    /// Returns the cached tokens of a prompt. The session's entry counts only if the shared prefix is cached completely.
    fn cached_tokens(&self, job: &Job) -> u32 {
        let shared = self.shared_tokens(job);
        let of_prefix = self.prefix_cache.tokens(job.prefix).min(shared);
        let of_session = if of_prefix == shared {
            self.prefix_cache.tokens(job.session).min(job.prompt_tokens - shared)
        } else {
            0
        };
        // At least one token is prefilled: the first new token follows from it.
        (of_prefix + of_session).min(job.prompt_tokens.saturating_sub(1))
    }

    /// Evicts cached tokens until `tokens` more fit into the memory. Returns false if the cache does not hold enough.
    fn make_room(&mut self, tokens: u64) -> bool {
        let used = self.request_memory + self.prefix_cache.total_tokens();
        let over = (used + tokens).saturating_sub(self.kind.memory_tokens);
        over == 0 || self.prefix_cache.evict(over) >= over
    }

    fn set_pinned(&mut self, job: &Job, pinned: bool) {
        // The shared prefix is touched last, so that it is evicted after the session's entry.
        for key in [job.session, job.prefix] {
            match pinned {
                true => self.prefix_cache.pin(key),
                false => self.prefix_cache.unpin(key),
            }
        }
    }

    /// Removes a request from the batch. Its tokens are cached unless it was cancelled during prefill.
    fn remove_from_batch(&mut self, i: usize) {
        let r = self.running.remove(i);
        self.request_memory -= r.own_memory;
        self.set_pinned(&r.job, false);
        if r.prefill_left > 0 {
            return;
        }
        let shared = self.shared_tokens(&r.job);
        let generated = if self.kind.caches_answers { r.generated } else { 0 };
        // The request's memory goes to the cache entries; the part that they already held becomes free.
        self.prefix_cache.insert(r.job.session, r.job.prompt_tokens - shared + generated);
        if shared > 0 {
            self.prefix_cache.insert(r.job.prefix, shared);
        }
        let over =
            (self.request_memory + self.prefix_cache.total_tokens()).saturating_sub(self.kind.memory_tokens);
        self.prefix_cache.evict(over);
    }

    /// Preempts the newest request: it returns to the queue and is prefilled again, with the tokens it has generated.
    fn preempt_newest(&mut self) {
        let Some(mut r) = self.running.pop() else { return };
        self.request_memory -= r.own_memory;
        self.set_pinned(&r.job, false);
        (r.own_memory, r.prefill_left) = (0, 0);
        self.waiting.push_front(r);
    }

    /// Fills the batch from the queue and computes the duration of the next step.
    fn begin_step(&mut self, now: Time) {
        // Each running request may generate a token. Without memory for them, the newest request is preempted.
        loop {
            let new_tokens = self.running.len() as u64;
            if self.running.len() <= 1 || self.make_room(new_tokens) {
                break;
            }
            self.preempt_newest();
        }
        while self.running.len() < self.kind.max_batch_size as usize {
            let Some(&next) = self.waiting.front() else { break };
            let cached_tokens = self.cached_tokens(&next.job);
            // The request's cache entries are pinned first, so that making room does not evict them.
            self.set_pinned(&next.job, true);
            let own_memory = u64::from(next.job.prompt_tokens - cached_tokens) + u64::from(next.generated);
            if !self.make_room(own_memory + self.running.len() as u64 + 1) && !self.running.is_empty() {
                self.set_pinned(&next.job, false);
                break;
            }
            self.waiting.pop_front();
            self.request_memory += own_memory;
            let cached_tokens = next.cached_tokens.or(Some(cached_tokens));
            self.running.push(Request { cached_tokens, prefill_left: own_memory as u32, own_memory, ..next });
        }
        if self.running.is_empty() {
            return;
        }
        self.step_prefill.clear();
        let (mut budget, mut prefill, mut context) = (self.kind.prefill_chunk_tokens, 0u64, 0u64);
        for r in &mut self.running {
            let prefilled = r.prefill_left.min(budget);
            budget -= prefilled;
            prefill += u64::from(prefilled);
            self.step_prefill.push(prefilled);
            context += u64::from(r.job.prompt_tokens - r.prefill_left.min(r.job.prompt_tokens))
                + u64::from(r.generated);
            if r.prefill_left == prefilled {
                // Memory for the token that this step generates.
                r.own_memory += 1;
                self.request_memory += 1;
            }
        }
        let kind = &self.kind;
        let step_ns = kind.step_base_ns
            + kind.per_request_ns * self.running.len() as f64
            + kind.per_context_token_ns * context as f64
            + kind.per_prefill_token_ns * prefill as f64;
        let occupancy = (self.running.len() + self.waiting.len()) as f64
            / f64::from(kind.max_batch_size + kind.max_waiting);
        let crowding_factor = if kind.crowding_threshold < 1.0 {
            1.0 + ((occupancy - kind.crowding_threshold) / (1.0 - kind.crowding_threshold)).max(0.0)
        } else {
            1.0
        };
        let step_ns = step_ns * crowding_factor * self.slowdown.max(0.01) / self.speed_share(now);
        self.step_end = Some(now + (step_ns as Time).max(1));
    }

    /// Whether the memory accounting is consistent: the requests' memory sums up to the counted total, and requests and cache
    /// fit into the memory. A single running request may exceed the memory by its last tokens.
    pub fn memory_is_consistent(&self) -> bool {
        let request_memory: u64 = self.running.iter().map(|r| r.own_memory).sum();
        let used = self.request_memory + self.prefix_cache.total_tokens();
        request_memory == self.request_memory && (used <= self.kind.memory_tokens || self.running.len() <= 1)
    }
}
