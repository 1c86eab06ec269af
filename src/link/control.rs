//! Sends and receives control messages between hosts.
//!
//! Each peer has a bounded outbox and one connection, which is opened when the first message is
//! sent. A message is dropped when the outbox is full or the peer is unreachable; the services
//! that send control messages tolerate the loss.

use {
    super::socket::{Identity, Purpose, Socket},
    crate::{
        attempt::register,
        clock::Clock,
        config::spread,
        limit, member, name,
        proxy::{brief, origin, reader},
        route, wire,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::mpsc::{self, Receiver, Sender, error::TrySendError},
        time::{sleep, timeout},
    },
};

/// Most messages queued for one peer.
const OUTBOX_CAPACITY: usize = 256;
/// A connection on which nothing was sent for this long is closed.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Shortest time between two attempts to connect to a peer.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Longest time to write one message to the socket.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Known addresses of peers, shared between the services that discover them and the link.
#[derive(Debug, Clone, Default)]
pub struct Peers(Arc<Mutex<BTreeMap<name::Host, SocketAddr>>>);

impl Peers {
    /// Sets a peer's address, replacing an earlier one.
    pub fn insert(&self, host: name::Host, address: SocketAddr) {
        self.lock().insert(host, address);
    }

    /// Removes every peer for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&name::Host) -> bool) {
        self.lock().retain(|host, _| keep(host));
    }

    /// A peer's address, or `None` if it is not known.
    pub fn get(&self, host: &name::Host) -> Option<SocketAddr> {
        self.lock().get(host).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<name::Host, SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A control message that a peer sent to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Received<M> {
    /// The peer that sent it.
    pub from: name::Host,
    /// The message in the service's own type.
    pub message: M,
}

/// The mailboxes of the services that receive control messages. A message for a full or absent
/// mailbox is dropped.
#[derive(Debug, Clone, Default)]
pub struct Mailboxes {
    /// Load digests of other regions, for spilling calls over.
    pub route: Option<Sender<Received<route::Digest>>>,
    /// Leases and loans of customers' rates, for the limit service.
    pub limit: Option<Sender<Received<limit::Message>>>,
    /// Gossip and pings of the membership service.
    pub member: Option<Sender<Received<member::Message>>>,
    /// Distribution of configuration documents.
    pub config: Option<Sender<Received<spread::Message>>>,
    /// Claims and records of idempotency keys.
    pub register: Option<Sender<Received<register::Message>>>,
    /// State reports of other hosts.
    pub report: Option<Sender<Received<brief::Message>>>,
    /// What other hosts have read from the platform.
    pub reading: Option<Sender<Received<Box<reader::Reading>>>>,
    /// Builds that began streams.
    pub origin: Option<Sender<Received<origin::Message>>>,
}

impl Mailboxes {
    fn deliver(&self, from: name::Host, message: wire::Message) {
        match message {
            wire::Message::Route(message) => try_deliver(&self.route, from, message),
            wire::Message::Limit(message) => try_deliver(&self.limit, from, message),
            wire::Message::Member(message) => try_deliver(&self.member, from, message),
            wire::Message::Config(message) => try_deliver(&self.config, from, message),
            wire::Message::Register(message) => try_deliver(&self.register, from, message),
            wire::Message::Report(message) => {
                try_deliver(&self.report, from, brief::Message::Long(message));
            }
            wire::Message::Brief(message) => {
                try_deliver(&self.report, from, brief::Message::Short(message));
            }
            wire::Message::Reading(message) => try_deliver(&self.reading, from, message),
            wire::Message::Origin(message) => try_deliver(&self.origin, from, message),
            wire::Message::Probe(_) | wire::Message::Echo(_) => {}
        }
    }
}

/// Puts a message into a mailbox, if there is one with space left.
fn try_deliver<M>(mailbox: &Option<Sender<Received<M>>>, from: name::Host, message: M) {
    if let Some(mailbox) = mailbox {
        mailbox.try_send(Received { from, message }).ok();
    }
}

/// Sends control messages to peers. Clones share their outboxes.
#[derive(Debug, Clone)]
pub struct Handle {
    identity: Identity,
    peers: Peers,
    outboxes: Arc<Mutex<BTreeMap<name::Host, Sender<Queued>>>>,
}

/// A message in an outbox.
#[derive(Debug)]
struct Queued {
    message: wire::Message,
    /// What is sent instead until a message with such an opener was sent on the same connection.
    opener: Option<wire::Message>,
}

impl Handle {
    /// A sender that identifies itself to `peers` as `identity`.
    pub fn new(identity: Identity, peers: Peers) -> Self {
        Self {
            identity,
            peers,
            outboxes: Arc::default(),
        }
    }

    /// How the host identifies itself.
    pub(super) fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The addresses to which this handle connects.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Queues a message for a peer without blocking; drops it if the peer's outbox is full.
    pub fn send(&self, to: &name::Host, message: wire::Message) {
        self.queue(
            to,
            Queued {
                message,
                opener: None,
            },
        );
    }

    /// Queues a message that only a process which has got earlier ones understands. A connection
    /// ends with the process at its other end, so on each connection `opener` is sent in place of
    /// the first such message.
    pub fn send_after(&self, to: &name::Host, opener: wire::Message, message: wire::Message) {
        let opener = Some(opener);
        self.queue(to, Queued { message, opener });
    }

    fn queue(&self, to: &name::Host, message: Queued) {
        let mut outboxes = self.outboxes.lock().unwrap_or_else(PoisonError::into_inner);
        let message = match outboxes.get(to) {
            None => message,
            Some(outbox) => match outbox.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => return tracing::debug!(peer = %to, "outbox full"),
                Err(TrySendError::Closed(message)) => message,
            },
        };
        let (outbox, receiver) = mpsc::channel(OUTBOX_CAPACITY);
        outbox.try_send(message).ok();
        outboxes.insert(to.clone(), outbox);
        tokio::spawn(write_outbox(
            to.clone(),
            receiver,
            self.identity.clone(),
            self.peers.clone(),
        ));
    }
}

/// Writes a peer's outbox to its connection until no message was queued for [`MAX_IDLE`].
async fn write_outbox(
    to: name::Host,
    mut outbox: Receiver<Queued>,
    identity: Identity,
    peers: Peers,
) {
    let mut socket = None;
    let mut is_opened = false;
    while let Ok(Some(queued)) = timeout(MAX_IDLE, outbox.recv()).await {
        if socket.is_none() {
            socket = connect(&to, &identity, &peers).await;
            is_opened = false;
        }
        let Some(connected) = &mut socket else {
            sleep(MIN_RECONNECT_DELAY).await;
            while outbox.try_recv().is_ok() {}
            continue;
        };
        let message = match queued.opener {
            Some(opener) if !is_opened => {
                is_opened = true;
                opener
            }
            Some(_) | None => queued.message,
        };
        let frame = wire::Frame {
            from: identity.host.clone(),
            message,
        };
        if !matches!(
            timeout(SEND_TIMEOUT, connected.send(&frame)).await,
            Ok(Ok(()))
        ) {
            tracing::debug!(peer = %to, "control connection lost");
            socket = None;
        }
    }
}

async fn connect(to: &name::Host, identity: &Identity, peers: &Peers) -> Option<Socket> {
    let address = peers.get(to)?;
    match Socket::connect(address, Purpose::Control, identity).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            tracing::debug!(peer = %to, %error, "control connection failed");
            None
        }
    }
}

/// Reads a peer's control connection until it closes: answers probes, logs round-trip times and
/// delivers other messages to the mailboxes.
pub(super) async fn read_messages<C: Clock>(
    mut socket: Socket,
    from: name::Host,
    mailboxes: Mailboxes,
    handle: Handle,
    clock: C,
) {
    loop {
        let frame: wire::Frame = match socket.receive().await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(error) => return tracing::debug!(peer = %from, %error, "control connection ended"),
        };
        socket.release_memory();
        match frame.message {
            wire::Message::Probe(probe) => handle.send(&from, wire::Message::Echo(probe)),
            wire::Message::Echo(probe) => {
                let round_trip = clock.now().saturating_sub(probe.sent);
                tracing::debug!(peer = %from, ?round_trip, "round trip");
            }
            message => mailboxes.deliver(frame.from, message),
        }
    }
}
