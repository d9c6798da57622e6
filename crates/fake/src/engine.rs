//! The engine: a batch that advances one token a step, a queue by priority, and a
//! cache of prompt beginnings in limited memory.

use crate::record::{Line, Record};
use indexmap::IndexSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Bytes of one token in an answer.
pub const TOKEN_BYTES: usize = 9;
/// Prompt beginnings kept.
const CACHE: usize = 64;
/// Bytes of a prompt that are its beginning.
const PREFIX: usize = 64;
/// Steps that a prompt costs before its first token, a kilobyte.
const PREFILL_STEPS_PER_KB: usize = 2;

/// The whole answer to a prompt, for judging what a caller got.
pub fn expected(prompt: &str, tokens: usize) -> String {
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
    /// Steps before its first token.
    pub(crate) prefill: usize,
    pub(crate) out: UnboundedSender<String>,
}

/// The engine's state; one call a step.
pub(crate) struct Engine {
    pub(crate) capacity: usize,
    pub(crate) batch: Vec<Job>,
    pub(crate) waiting: Vec<Job>,
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
            waiting: Vec::new(),
            cache: IndexSet::new(),
            hits: 0,
            step: 0,
            record,
        }
    }

    pub(crate) fn add(&mut self, mut job: Job) {
        self.note("start", &job);
        let start: String = job.prompt.chars().take(PREFIX).collect();
        if self.cache.contains(&start) {
            self.hits += 1;
        } else {
            job.prefill = job.prompt.len() * PREFILL_STEPS_PER_KB / 1024;
            self.cache.insert(start);
            if self.cache.len() > CACHE {
                self.cache.shift_remove_index(0);
            }
        }
        self.waiting.push(job);
    }

    /// Tokens that are still to come.
    pub(crate) fn tokens(&self) -> u64 {
        let left = |j: &Job| j.tokens.saturating_sub(j.next) as u64;
        self.batch.iter().chain(&self.waiting).map(left).sum()
    }

    /// One step: every job of the batch gets one token.
    pub(crate) fn step(&mut self) {
        self.step += 1;
        self.waiting.sort_by_key(|j| std::cmp::Reverse(j.priority));
        let room = self
            .capacity
            .saturating_sub(self.batch.len())
            .min(self.waiting.len());
        self.batch.extend(self.waiting.drain(..room));
        for mut job in std::mem::take(&mut self.batch) {
            if job.out.is_closed() {
                self.note("cancel", &job);
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
                self.note("end", &job);
            }
        }
    }

    fn note(&self, event: &str, job: &Job) {
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
