//! Continuous batching: sequences wait in a queue by priority, and each running sequence gains one
//! token in each step.

use {
    super::{cache::Cache, settings::Settings},
    crate::{fault::Fault, text},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    tokio::sync::mpsc,
};

/// Tokens buffered for a slow reader; when the buffer is full, its sequence makes no progress.
pub(super) const PENDING_TOKENS: usize = 64;

/// What a sequence sends to the response that it generates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Delta {
    /// The next token.
    Token(String),
    /// All tokens have been sent.
    Done,
    /// The connection is to be broken, as a fault asks for.
    Cut,
}

/// A request that waits or runs in the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) prompt: String,
    pub(super) next_token: u32,
    pub(super) total: u32,
    pub(super) priority: u8,
    pub(super) fault: Option<Fault>,
    pub(super) deltas: mpsc::Sender<Delta>,
}

/// Number of tokens generated and of sequences ended in one decoding step.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) tokens: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
}

/// The queue, the running batch and the prefix cache, with totals of prompt tokens.
#[derive(Debug)]
pub(super) struct Batch {
    waiting: BTreeMap<(Reverse<u8>, u64), Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
    pub(super) cache: Cache,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

impl Batch {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            cache: Cache::new(settings.cache_tokens),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    pub(super) fn push(&mut self, sequence: Sequence) {
        self.arrivals += 1;
        let place = (Reverse(sequence.priority), self.arrivals);
        self.waiting.insert(place, sequence);
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Moves waiting sequences into free slots and drops those whose caller has gone; returns the
    /// number of prompt tokens that the cache did not hold and that must be computed.
    pub(super) fn admit(&mut self, now: Duration, slots: usize) -> u32 {
        self.waiting
            .retain(|_, waiting| !waiting.deltas.is_closed());
        let mut computed = 0;
        while self.running.len() < slots {
            let Some((_, sequence)) = self.waiting.pop_first() else {
                break;
            };
            let tokens = text::prompt_tokens(&sequence.prompt);
            let cached = self.cache.prefill(now, &sequence.prompt).min(tokens);
            self.prompt_tokens += u64::from(tokens);
            self.cached_tokens += u64::from(cached);
            computed += tokens - cached;
            self.running.push(sequence);
        }
        computed
    }

    /// Generates the next token of each running sequence and removes those that ended or whose
    /// caller has gone.
    pub(super) fn decode(&mut self) -> Progress {
        let mut progress = Progress::default();
        self.running.retain_mut(|sequence| {
            if sequence.deltas.is_closed() {
                progress.cancelled += 1;
                return false;
            }
            sequence.advance(&mut progress)
        });
        progress
    }
}

impl Sequence {
    /// Sends the next token, or what the fault asks for; returns whether the sequence stays in the
    /// batch.
    fn advance(&mut self, progress: &mut Progress) -> bool {
        match self.fault {
            Some(Fault::Stall { after }) if self.next_token >= after => return true,
            Some(Fault::Cut { after }) if self.next_token >= after => {
                return self.deltas.try_send(Delta::Cut).is_err();
            }
            _ => {}
        }
        if self.next_token >= self.total {
            let ended = self.deltas.try_send(Delta::Done).is_ok();
            progress.finished += u64::from(ended);
            return !ended;
        }
        let token = text::token(&self.prompt, self.next_token);
        if self.deltas.try_send(Delta::Token(token)).is_ok() {
            self.next_token += 1;
            progress.tokens += 1;
        }
        true
    }
}
