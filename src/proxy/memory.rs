//! Bounds the bytes that a host holds of all answers, or of all requests, together.
//!
//! What holds bytes has a [`Lease`] of them. When all leases exceed the limit of their [`Ledger`],
//! leases are revoked: the largest one of the source that holds most, until the rest is within the
//! limit. An upstream that sends bytes without end holds more than those that end their answers, so it
//! loses its leases first.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
    std::{
        collections::BTreeMap,
        future::{Future, pending},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// Bytes that a lease may hold without being counted. Connections have buffers of that size anyway.
const FREE_BYTES: usize = 16 * 1024;
/// A buffer grows by so many bytes at a time; doubling would take twice of what it holds.
const GROWTH_BYTES: usize = FREE_BYTES;
/// Part of the machine's memory that one ledger may use.
const MEMORY_SHARE: u64 = 8;
/// Least and most bytes of one ledger's limit.
const LIMIT_RANGE: (u64, u64) = (8 << 20, 24 << 20);

/// The limit of one ledger on a machine with this memory, in bytes.
pub fn limit(memory: u64) -> usize {
    (memory / MEMORY_SHARE).clamp(LIMIT_RANGE.0, LIMIT_RANGE.1) as usize
}

/// The error of a lease that was revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("too many bytes are held at once")]
pub struct Revoked;

/// The leases of a host and the limit on their sum. Clones share them.
#[derive(Debug, Clone)]
pub struct Ledger(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    state: Mutex<State>,
    held: Gauge,
    revoked: Counter,
}

#[derive(Debug, Default)]
struct State {
    last_number: u64,
    /// Bytes of all leases.
    held: usize,
    /// Bytes of those that were revoked and have not been dropped yet.
    revoked: usize,
    /// What is held, by the number of its lease.
    holdings: BTreeMap<u64, Holding>,
}

/// The bytes of one lease.
#[derive(Debug)]
struct Holding {
    source: Arc<str>,
    bytes: usize,
    status: Status,
}

/// Whether a lease can be revoked, which its holder is told of.
#[derive(Debug)]
enum Status {
    Revocable(oneshot::Sender<()>),
    Attached,
    Revoked,
}

impl Holding {
    fn is_revocable(&self) -> bool {
        matches!(self.status, Status::Revocable(_))
    }

    fn is_revoked(&self) -> bool {
        matches!(self.status, Status::Revoked)
    }
}

impl Ledger {
    /// A ledger without leases.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared {
            limit,
            state: Mutex::default(),
            held: Gauge::default(),
            revoked: Counter::default(),
        }))
    }

    /// Bytes of the leases that are counted, for metrics.
    pub fn held(&self) -> Gauge {
        self.0.held.clone()
    }

    /// Number of leases that were revoked, for metrics.
    pub fn revoked(&self) -> Counter {
        self.0.revoked.clone()
    }

    /// A lease of no bytes for what comes from a source.
    pub fn lease(&self, source: &str) -> Lease {
        Lease {
            ledger: self.clone(),
            source: source.into(),
            number: None,
            revocation: None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Revokes leases until the others are within the limit.
    fn enforce(&self, state: &mut State) {
        while state.held - state.revoked > self.0.limit && state.revoke_one() {
            self.0.revoked.inc();
        }
        self.0.held.set(state.held as i64);
    }
}

impl State {
    /// Revokes the largest lease of the source that holds most. Returns whether there was one.
    fn revoke_one(&mut self) -> bool {
        let revocable = || {
            self.holdings
                .iter()
                .filter(|(_, lease)| lease.is_revocable())
        };
        let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, lease) in revocable() {
            *totals.entry(&lease.source).or_default() += lease.bytes;
        }
        let source = totals.into_iter().max_by_key(|(_, bytes)| *bytes);
        let of_source =
            revocable().filter(|(_, lease)| source.is_some_and(|(name, _)| name == &*lease.source));
        let largest = of_source.max_by_key(|(_, lease)| lease.bytes);
        let largest = largest.map(|(number, _)| *number);
        let Some(lease) = largest.and_then(|number| self.holdings.get_mut(&number)) else {
            return false;
        };
        self.revoked += lease.bytes;
        if let Status::Revocable(holder) = std::mem::replace(&mut lease.status, Status::Revoked) {
            // It may have ended.
            holder.send(()).ok();
        }
        true
    }
}

/// A right to hold bytes. Dropping it gives them back.
#[derive(Debug)]
pub struct Lease {
    ledger: Ledger,
    source: Arc<str>,
    /// Number of the lease in the ledger, once it is counted.
    number: Option<u64>,
    revocation: Option<oneshot::Receiver<()>>,
}

impl Lease {
    /// Sets the number of bytes that are held. Other leases, or this one, may be revoked for it.
    ///
    /// # Errors
    ///
    /// The lease is revoked: what is held must be dropped.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Revoked> {
        if self.number.is_none() && bytes <= FREE_BYTES {
            return Ok(());
        }
        let ledger = self.ledger.clone();
        let mut state = ledger.state();
        let number = *self.number.get_or_insert_with(|| {
            state.last_number += 1;
            state.last_number
        });
        let holding = state.holdings.entry(number).or_insert_with(|| {
            let (sender, receiver) = oneshot::channel();
            self.revocation = Some(receiver);
            Holding {
                source: self.source.clone(),
                bytes: 0,
                status: Status::Revocable(sender),
            }
        });
        if holding.is_revoked() {
            return Err(Revoked);
        }
        let before = std::mem::replace(&mut holding.bytes, bytes);
        state.held = state.held - before + bytes;
        ledger.enforce(&mut state);
        let own = state.holdings.get(&number);
        if own.is_some_and(Holding::is_revoked) {
            Err(Revoked)
        } else {
            Ok(())
        }
    }

    /// Waits for some work, unless the lease is revoked before its end.
    ///
    /// # Errors
    ///
    /// The lease is revoked.
    pub async fn unless_revoked<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Revoked> {
        let revoked = async {
            if let Some(revocation) = &mut self.revocation
                && revocation.await.is_ok()
            {
                return;
            }
            pending().await
        };
        tokio::select! {
            biased;
            () = revoked => {
                self.revocation = None;
                Err(Revoked)
            }
            output = work => Ok(output),
        }
    }

    /// Attaches the lease to complete bytes, which are counted until the last copy is dropped. It can't
    /// be revoked any more.
    pub fn attach(self, bytes: Vec<u8>) -> Bytes {
        let Some(number) = self.number else {
            return bytes.into();
        };
        if let Some(holding) = self.ledger.state().holdings.get_mut(&number)
            && holding.is_revocable()
        {
            holding.status = Status::Attached;
        }
        Bytes::from_owner(Held {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let mut state = self.ledger.state();
        if let Some(holding) = state.holdings.remove(&number) {
            state.held -= holding.bytes;
            if holding.is_revoked() {
                state.revoked -= holding.bytes;
            }
        }
        self.ledger.0.held.set(state.held as i64);
    }
}

/// Bytes that are collected under a lease.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    lease: Lease,
}

impl Buffer {
    /// An empty buffer.
    pub fn new(lease: Lease) -> Self {
        Self {
            bytes: Vec::new(),
            lease,
        }
    }

    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// The lease is revoked.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Revoked> {
        let length = self.bytes.len() + piece.len();
        if length > self.bytes.capacity() {
            let capacity = if length > GROWTH_BYTES / 4 {
                length.next_multiple_of(GROWTH_BYTES)
            } else {
                length
            };
            self.lease.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Number of bytes collected.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was collected.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// See [`Lease::unless_revoked`].
    ///
    /// # Errors
    ///
    /// The lease is revoked.
    pub async fn unless_revoked<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Revoked> {
        self.lease.unless_revoked(work).await
    }

    /// The bytes collected, which stay counted; see [`Lease::attach`].
    pub fn into_bytes(self) -> Bytes {
        self.lease.attach(self.bytes)
    }
}

/// Bytes with their lease.
#[derive(Debug)]
struct Held {
    bytes: Vec<u8>,
    _lease: Lease,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
