//! A small model of a language-model engine: continuous batching, prefill of one prompt at a time,
//! and a limited prefix cache. Virtual time moves in fixed steps.

use std::{collections::VecDeque, time::Duration};

/// Step of virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Largest number of requests that an engine runs at once.
pub(crate) const SLOTS: u32 = 16;
/// Prefill speed in prompt tokens a second.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Time between two tokens of a request that runs alone, in seconds.
const SECONDS_PER_TOKEN: f64 = 0.015;
/// Relative slowdown of decoding in a full batch; 1 doubles the time between tokens.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Capacity of the prefix cache in tokens.
const CACHE_TOKENS: u32 = 40_000;

/// The work of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    /// Id of the request.
    pub(crate) id: usize,
    /// Id of the prompt's prefix, which other requests may share.
    pub(crate) prefix: u64,
    /// Length of the prefix in tokens.
    pub(crate) prefix_tokens: u32,
    /// Length of the rest of the prompt in tokens.
    pub(crate) rest_tokens: u32,
    /// Length of the answer in tokens.
    pub(crate) answer_tokens: u32,
}

/// An event of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Progress {
    /// The request's prefix has been looked up in the cache.
    Admitted { id: usize, cached: bool },
    /// The request's first token was generated.
    FirstToken { id: usize },
    /// The request's last token was generated.
    LastToken { id: usize },
    /// A prefix entered or left the cache.
    Cache { prefix: u64, held: bool },
}

/// The state of one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Speed relative to a normal engine, 1.0.
    pub(crate) speed: f64,
    queue: VecDeque<Work>,
    running: Vec<Running>,
    cache: VecDeque<(u64, u32)>,
}

#[derive(Debug)]
struct Running {
    work: Work,
    prefill_left: f64,
    decoded: f64,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            queue: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
        }
    }

    /// Number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, work: Work) {
        self.queue.push_back(work);
    }

    /// Empties the cache, as a restart does.
    pub(crate) fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Advances by one step and appends its events to `out`.
    pub(crate) fn step(&mut self, out: &mut Vec<Progress>) {
        self.admit(out);
        self.prefill(out);
        self.decode(out);
    }

    fn admit(&mut self, out: &mut Vec<Progress>) {
        while self.running() < SLOTS {
            let Some(work) = self.queue.pop_front() else {
                return;
            };
            let cached = self.touch(work.prefix);
            let prefix = if cached { 0 } else { work.prefix_tokens };
            out.push(Progress::Admitted {
                id: work.id,
                cached,
            });
            self.running.push(Running {
                work,
                prefill_left: f64::from(prefix + work.rest_tokens),
                decoded: 0.0,
            });
        }
    }

    fn prefill(&mut self, out: &mut Vec<Progress>) {
        let mut budget = PREFILL_TOKENS_PER_S * self.speed * STEP.as_secs_f64();
        let mut ready = Vec::new();
        for one in self.running.iter_mut().filter(|one| one.prefill_left > 0.0) {
            let taken = budget.min(one.prefill_left);
            one.prefill_left -= taken;
            budget -= taken;
            if one.prefill_left <= 0.0 {
                ready.push(one.work);
            }
            if budget <= 0.0 {
                break;
            }
        }
        for work in ready {
            self.store(work, out);
        }
    }

    fn decode(&mut self, out: &mut Vec<Progress>) {
        let batch = f64::from(self.running()) / f64::from(SLOTS);
        let token = SECONDS_PER_TOKEN * (1.0 + BATCH_SLOWDOWN * batch) / self.speed;
        for one in self
            .running
            .iter_mut()
            .filter(|one| one.prefill_left <= 0.0)
        {
            if one.decoded == 0.0 {
                out.push(Progress::FirstToken { id: one.work.id });
            }
            one.decoded += STEP.as_secs_f64() / token;
        }
        self.running.retain(|one| {
            let done = one.decoded >= f64::from(one.work.answer_tokens);
            if done {
                out.push(Progress::LastToken { id: one.work.id });
            }
            !done
        });
    }

    /// Looks up a prefix and marks it as most recently used; returns whether it is cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let Some(at) = self.cache.iter().position(|(held, _)| *held == prefix) else {
            return false;
        };
        let entry = self.cache.remove(at).expect("just found");
        self.cache.push_back(entry);
        true
    }

    fn store(&mut self, work: Work, out: &mut Vec<Progress>) {
        let prefix = work.prefix;
        if self.touch(prefix) {
            return;
        }
        self.cache.push_back((prefix, work.prefix_tokens));
        out.push(Progress::Cache { prefix, held: true });
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE_TOKENS {
            let (prefix, _) = self.cache.pop_front().expect("over its size, so not empty");
            out.push(Progress::Cache {
                prefix,
                held: false,
            });
        }
    }
}
