//! The engine: a batch that generates one token per request and step, a priority queue, and a
//! bounded cache of prompt prefixes.

use crate::record::{Line, Record};
use indexmap::IndexSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Bytes of one token in an answer.
pub const TOKEN_BYTES: usize = 9;
/// Capacity of the prefix cache.
const CACHE_CAPACITY: usize = 64;
/// Length of the cached prefix of a prompt, in characters.
const PREFIX_CHARS: usize = 64;
/// Steps before the first token, per kilobyte of a prompt whose prefix is not cached.
const PREFILL_STEPS_PER_KB: usize = 2;

/// The complete answer to a prompt, to check what a caller received.
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}

fn token(prompt: &str, i: usize) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, i).hash(&mut hasher);
    format!("{:08x} ", hasher.finish() as u32)
}

/// A request in the engine.
pub(crate) struct Job {
    pub(crate) key: String,
    pub(crate) attempt: String,
    pub(crate) prompt: String,
    pub(crate) tokens: usize,
    pub(crate) priority: u32,
    pub(crate) next: usize,
    /// Remaining steps before its first token.
    pub(crate) prefill: usize,
    pub(crate) out: UnboundedSender<String>,
}

/// State of the engine, advanced by one call of `step` per step.
pub(crate) struct Engine {
    pub(crate) capacity: usize,
    pub(crate) batch: Vec<Job>,
    pub(crate) queue: Vec<Job>,
    cache: IndexSet<String>,
    pub(crate) hits: u64,
    pub(crate) step: u64,
    record: Arc<Record>,
}

impl Engine {
    pub(crate) fn new(capacity: usize, record: Arc<Record>) -> Engine {
        Engine {
            capacity,
            batch: Vec::new(),
            queue: Vec::new(),
            cache: IndexSet::new(),
            hits: 0,
            step: 0,
            record,
        }
    }

    pub(crate) fn add(&mut self, mut job: Job) {
        self.record_event("start", &job);
        let prefix: String = job.prompt.chars().take(PREFIX_CHARS).collect();
        if self.cache.contains(&prefix) {
            self.hits += 1;
        } else {
            job.prefill = job.prompt.len() * PREFILL_STEPS_PER_KB / 1024;
            self.cache.insert(prefix);
            if self.cache.len() > CACHE_CAPACITY {
                self.cache.shift_remove_index(0);
            }
        }
        self.queue.push(job);
    }

    /// Number of tokens still to be generated.
    pub(crate) fn tokens(&self) -> u64 {
        let remaining = |j: &Job| j.tokens.saturating_sub(j.next) as u64;
        self.batch.iter().chain(&self.queue).map(remaining).sum()
    }

    /// Runs one step: every job of the batch gets one token, unless it is in prefill.
    pub(crate) fn step(&mut self) {
        self.step += 1;
        self.queue.sort_by_key(|j| std::cmp::Reverse(j.priority));
        let free_slots = self
            .capacity
            .saturating_sub(self.batch.len())
            .min(self.queue.len());
        self.batch.extend(self.queue.drain(..free_slots));
        for mut job in std::mem::take(&mut self.batch) {
            if job.out.is_closed() {
                self.record_event("cancel", &job);
                continue;
            }
            if job.prefill > 0 {
                job.prefill -= 1;
                self.batch.push(job);
                continue;
            }
            let _ = job.out.send(token(&job.prompt, job.next));
            job.next += 1;
            if job.next < job.tokens {
                self.batch.push(job);
            } else {
                self.record_event("end", &job);
            }
        }
    }

    fn record_event(&self, event: &str, job: &Job) {
        self.record.add(Line {
            event: event.into(),
            key: job.key.clone(),
            attempt: job.attempt.clone(),
            prompt: job.prompt.clone(),
            step: self.step,
            map: 0,
        });
    }
}
