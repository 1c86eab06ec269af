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
    previous: Vec<Incarnation>,
}

/// What an engine did in one life.
#[derive(Debug, Clone, Default)]
struct Incarnation {
    count: Count,
    runs: BTreeMap<u64, u32>,
    has_seen_key: bool,
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
            previous: Vec::new(),
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
    pub fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            self.previous.push(Incarnation::of(&running));
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
        for incarnation in self.incarnations() {
            sum.requests += incarnation.count.requests;
            sum.tokens += incarnation.count.tokens;
            sum.finished += incarnation.count.finished;
            sum.cancelled += incarnation.count.cancelled;
            sum.prompt_tokens += incarnation.count.prompt_tokens;
            sum.cached_tokens += incarnation.count.cached_tokens;
        }
        sum
    }

    /// How often it started on each prompt, by the prompt's hash.
    pub fn runs(&self) -> BTreeMap<u64, u32> {
        let mut sum = BTreeMap::new();
        for incarnation in self.incarnations() {
            for (prompt, runs) in incarnation.runs {
                *sum.entry(prompt).or_default() += runs;
            }
        }
        sum
    }

    /// Whether any request that it remembers held a caller's key.
    pub fn has_seen_key(&self) -> bool {
        self.incarnations()
            .any(|incarnation| incarnation.has_seen_key)
    }

    fn incarnations(&self) -> impl Iterator<Item = Incarnation> {
        let now = self.running.as_ref().map(Incarnation::of);
        self.previous.iter().cloned().chain(now)
    }
}

impl Incarnation {
    fn of(running: &Running) -> Self {
        Self {
            count: running.count(),
            runs: running.runs(),
            has_seen_key: running.seen().iter().any(crate::seen::Seen::holds_key),
        }
    }
}
