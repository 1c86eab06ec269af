//! An engine of the fleet, which can be lost and come back at the same address.

use {
    crate::engine::{self, Count, Engine, Running},
    std::{collections::BTreeMap, io, net::SocketAddr},
};

/// A replica and what is known of its lives.
#[derive(Debug)]
pub struct Replica {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Number of its region.
    pub region: usize,
    settings: engine::Settings,
    running: Option<Running>,
    past: Vec<Life>,
}

/// What an engine did in one life.
#[derive(Debug, Clone, Default)]
struct Life {
    count: Count,
    runs: BTreeMap<u64, u32>,
    leaked: bool,
}

impl Replica {
    /// Starts an engine, named with its pool.
    pub(super) async fn start(
        (name, pool): (String, String),
        region: usize,
        settings: engine::Settings,
    ) -> io::Result<Self> {
        let running = Engine::start(settings.clone()).await?;
        Ok(Self {
            name,
            pool,
            region,
            settings,
            running: Some(running),
            past: Vec::new(),
        })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.settings.bind
    }

    /// The engine while it runs.
    pub fn running(&self) -> Option<&Running> {
        self.running.as_ref()
    }

    /// Ends the engine and all its connections.
    pub fn lose(&mut self) {
        if let Some(running) = self.running.take() {
            self.past.push(Life::of(&running));
        }
    }

    /// Starts the engine again, with a cold cache.
    pub async fn restore(&mut self) -> io::Result<()> {
        if self.running.is_none() {
            self.running = Some(Engine::start(self.settings.clone()).await?);
        }
        Ok(())
    }

    /// What it did in all its lives.
    pub fn count(&self) -> Count {
        let mut sum = Count::default();
        for life in self.lives() {
            sum.requests += life.count.requests;
            sum.tokens += life.count.tokens;
            sum.finished += life.count.finished;
            sum.cancelled += life.count.cancelled;
            sum.prompt_tokens += life.count.prompt_tokens;
            sum.cached_tokens += life.count.cached_tokens;
        }
        sum
    }

    /// How often it started on each prompt, by the prompt's hash.
    pub fn runs(&self) -> BTreeMap<u64, u32> {
        let mut sum = BTreeMap::new();
        for life in self.lives() {
            for (prompt, runs) in life.runs {
                *sum.entry(prompt).or_default() += runs;
            }
        }
        sum
    }

    /// Whether any request that it remembers held a caller's key.
    pub fn leaked(&self) -> bool {
        self.lives().any(|life| life.leaked)
    }

    fn lives(&self) -> impl Iterator<Item = Life> {
        let now = self.running.as_ref().map(Life::of);
        self.past.iter().cloned().chain(now)
    }
}

impl Life {
    fn of(running: &Running) -> Self {
        Self {
            count: running.count(),
            runs: running.runs(),
            leaked: running.seen().iter().any(crate::seen::Seen::holds_key),
        }
    }
}
