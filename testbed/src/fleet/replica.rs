//! An engine of the fleet, which can be stopped and restarted at the same address while its totals
//! are kept.

use {
    crate::engine::{self, Count, Engine, Running},
    std::{collections::BTreeMap, io, net::SocketAddr},
};

/// An engine with the totals of its incarnations.
#[derive(Debug)]
pub struct Replica {
    /// Name in the host list.
    pub name: String,
    /// Name of its pool.
    pub pool: String,
    /// Index of its region.
    pub region: usize,
    settings: engine::Settings,
    running: Option<Running>,
    previous: Vec<Incarnation>,
}

/// Totals of one incarnation of an engine.
#[derive(Debug, Clone, Default)]
struct Incarnation {
    count: Count,
    runs: BTreeMap<u64, u32>,
    has_seen_key: bool,
}

impl Replica {
    /// Starts an engine with a name and the name of its pool.
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

    /// Address that it listens on, also while it is stopped.
    pub fn address(&self) -> SocketAddr {
        self.settings.bind
    }

    /// Handle of the engine; absent while it is stopped.
    pub fn running(&self) -> Option<&Running> {
        self.running.as_ref()
    }

    /// Stops the engine and breaks its connections.
    pub fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            self.previous.push(Incarnation::of(&running));
        }
    }

    /// Starts a stopped engine again, with an empty cache.
    pub async fn restore(&mut self) -> io::Result<()> {
        if self.running.is_none() {
            self.running = Some(Engine::start(self.settings.clone()).await?);
        }
        Ok(())
    }

    /// Totals over all incarnations.
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

    /// How many times it accepted each prompt in all incarnations, by the prompt's hash.
    pub fn runs(&self) -> BTreeMap<u64, u32> {
        let mut sum = BTreeMap::new();
        for incarnation in self.incarnations() {
            for (prompt, runs) in incarnation.runs {
                *sum.entry(prompt).or_default() += runs;
            }
        }
        sum
    }

    /// Whether any request that it recorded contained a caller's key.
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
