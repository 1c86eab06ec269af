//! Bounds the open connections of a listener, so that callers leave descriptors and memory for the rest
//! of the host.
//!
//! A listener that is full closes the connection that has been idle for longest for a new one. While
//! none is idle, a new connection is turned away at once.

use {
    crate::metric::Metrics,
    prometheus_client::metrics::counter::Counter,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tokio::{sync::Notify, task::yield_now},
};

/// The connections of a listener and the limit on their number. Clones share them.
#[derive(Debug, Clone)]
pub struct Room(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    open: Mutex<BTreeMap<u64, Arc<Usage>>>,
    last_number: AtomicU64,
    /// Grows with each use of any connection, which orders the uses without a clock.
    uses: AtomicU64,
    evictions: Evictions,
}

/// Counters of the connections that were closed or turned away, shared by all listeners of a host.
#[derive(Debug, Clone, Default)]
pub struct Evictions {
    closed: Counter,
    turned_away: Counter,
}

/// How a connection is used.
#[derive(Debug, Default)]
struct Usage {
    is_busy: AtomicBool,
    last_use: AtomicU64,
    evicted: Notify,
}

/// The place of a connection. Dropping it makes room for another one.
#[derive(Debug)]
pub struct Place {
    room: Room,
    number: u64,
    usage: Arc<Usage>,
}

impl Evictions {
    /// Registers the counters.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            registry.register(
                "connections_evicted",
                "Idle connections from outside that were closed for new ones",
                self.closed.clone(),
            );
            registry.register(
                "connections_turned_away",
                "Connections from outside that were closed at once, as all others were in use",
                self.turned_away.clone(),
            );
        });
    }
}

impl Room {
    /// Room for so many connections.
    pub fn new(limit: usize, evictions: Evictions) -> Self {
        Self(Arc::new(Shared {
            limit,
            open: Mutex::default(),
            last_number: AtomicU64::new(0),
            uses: AtomicU64::new(0),
            evictions,
        }))
    }

    /// A place for a new connection, for which an idle one may be closed; `None` if it has to be turned
    /// away.
    pub async fn enter(&self) -> Option<Place> {
        let (place, evicts) = self.take_place()?;
        if evicts {
            // Or many could be accepted before the first descriptor is free again.
            yield_now().await;
        }
        Some(place)
    }

    /// A place, and whether a connection is closed for it.
    fn take_place(&self) -> Option<(Place, bool)> {
        let mut open = self.open();
        let is_full = open.len() >= self.0.limit;
        if is_full {
            let idle = open
                .iter()
                .filter(|(_, usage)| !usage.is_busy.load(Ordering::Relaxed));
            let oldest = idle.min_by_key(|(_, usage)| usage.last_use.load(Ordering::Relaxed));
            let number = oldest.map(|(number, _)| *number);
            let Some(usage) = number.and_then(|number| open.remove(&number)) else {
                self.0.evictions.turned_away.inc();
                return None;
            };
            self.0.evictions.closed.inc();
            usage.evicted.notify_one();
        }
        let number = self.0.last_number.fetch_add(1, Ordering::Relaxed);
        let usage = Arc::<Usage>::default();
        open.insert(number, usage.clone());
        drop(open);
        let place = Place {
            room: self.clone(),
            number,
            usage,
        };
        place.touch();
        Some((place, is_full))
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Usage>>> {
        self.0.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// Notes that the connection is used now.
    pub fn touch(&self) {
        let now = self.room.0.uses.fetch_add(1, Ordering::Relaxed);
        self.usage.last_use.store(now, Ordering::Relaxed);
    }

    /// Notes whether the connection is busy. Busy ones are not closed for others.
    pub fn set_busy(&self, is_busy: bool) {
        self.touch();
        self.usage.is_busy.store(is_busy, Ordering::Relaxed);
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn evicted(&self) {
        self.usage.evicted.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.room.open().remove(&self.number);
    }
}
