//! The accepting side of the link: reads control messages from peers and serves the calls that
//! they forward.

use {
    super::{
        control::{self, Handle, Mailboxes},
        exchange::Head,
        metered::Memory,
        socket::{Accepted, Purpose, Socket},
    },
    crate::{
        clock::Clock,
        failure::Failure,
        metric::Metrics,
        name,
        net::{
            Listener, Stream,
            room::{Evictions, Place, Room},
        },
        resource, wire,
    },
    bytes::Bytes,
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// Longest silence between exchanges on a connection; longer than a peer keeps a silent one.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Longest time to write one piece of an answer, when the peer or its caller reads nothing.
const MAX_STALL: Duration = Duration::from_secs(60);
/// Largest piece of a body in one message, which both ends encode or decode as a whole.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// Answers the calls that peers forward.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The body of an answer. Dropping it cancels the work.
    type Body: Send;

    /// Runs a call that `from` forwarded and returns the head and the body of its answer.
    fn call(
        &self,
        from: &name::Host,
        call: wire::Call,
    ) -> impl Future<Output = Result<(Head, Self::Body), Failure>> + Send;

    /// The next piece of a body, or `None` at the end of a complete one.
    fn next(
        &self,
        body: &mut Self::Body,
    ) -> impl Future<Output = Result<Option<Bytes>, Failure>> + Send;
}

/// What peers may use of this host.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Room for their connections.
    pub room: Room,
    /// Memory for their large messages.
    pub memory: Memory,
}

impl Limits {
    /// A host's limits by its shares. Registers metrics of what is held.
    pub fn new(shares: &resource::Shares, evictions: &Evictions, metrics: &Metrics) -> Self {
        let memory = Memory::new(shares.messages);
        metrics.register(|registry| {
            registry.register(
                "peer_bytes_held",
                "Bytes of memory for large messages of other hosts, forwarded requests above all",
                memory.held(),
            );
            registry.register(
                "peer_messages_waited",
                "Large messages of other hosts that waited for memory",
                memory.waits(),
            );
        });
        Self {
            room: Room::new(shares.peers, evictions.clone()),
            memory,
        }
    }
}

/// The dependencies of each connection's task.
#[derive(Debug, Clone)]
struct Context<C, H> {
    mailboxes: Mailboxes,
    handle: Handle,
    clock: C,
    handler: H,
    limits: Limits,
}

/// Accepts connections from peers until `stop` closes. The host identifies itself as `handle` does.
pub async fn serve<C: Clock, H: Handler>(
    mut listener: Listener,
    mailboxes: Mailboxes,
    handle: Handle,
    clock: C,
    handler: H,
    limits: Limits,
    mut stop: watch::Receiver<()>,
) {
    let context = Context {
        mailboxes,
        handle,
        clock,
        handler,
        limits,
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    if let Some(place) = context.limits.room.enter().await {
                        let (context, stop) = (context.clone(), stop.clone());
                        tokio::spawn(serve_connection(stream, address, place, context, stop));
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a peer connection");
                    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                }
            },
            _ = stop.changed() => return,
        }
    }
}

async fn serve_connection<C: Clock, H: Handler>(
    stream: Stream,
    address: SocketAddr,
    place: Place,
    context: Context<C, H>,
    mut stop: watch::Receiver<()>,
) {
    let Accepted {
        socket,
        from,
        purpose,
    } = match unless_evicted(
        &place,
        Socket::accept(
            stream,
            address,
            context.handle.identity(),
            &context.limits.memory,
        ),
    )
    .await
    {
        Some(Ok(accepted)) => accepted,
        Some(Err(error)) => return tracing::debug!(%error, "peer connection rejected"),
        None => return,
    };
    // A known peer's connection is not closed for another one.
    place.set_busy(true);
    match purpose {
        Purpose::Control => {
            tokio::select! {
                () = control::read_messages(
                    socket,
                    from,
                    context.mailboxes,
                    context.handle,
                    context.clock,
                ) => {}
                _ = stop.changed() => {}
            }
        }
        Purpose::Exchange => serve_exchanges(socket, from, &context.handler, stop).await,
    }
}

/// Waits for `work` unless the connection has to be closed for another one.
async fn unless_evicted<T>(place: &Place, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = work => Some(output),
        () = place.evicted() => None,
    }
}

/// Serves the exchanges of one connection, one after another.
async fn serve_exchanges<H: Handler>(
    mut socket: Socket,
    from: name::Host,
    handler: &H,
    mut stop: watch::Receiver<()>,
) {
    loop {
        let request = tokio::select! {
            request = socket.receive_within::<wire::Request>(MAX_IDLE) => request,
            _ = stop.changed() => return,
        };
        let Ok(Some(wire::Request::Call { id, call })) = request else {
            return;
        };
        if serve_exchange(&mut socket, &from, handler, id, *call)
            .await
            .is_none()
        {
            return;
        }
        socket.release_memory();
    }
}

/// Serves one exchange; `None` if the connection can't be used any more.
async fn serve_exchange<H: Handler>(
    socket: &mut Socket,
    from: &name::Host,
    handler: &H,
    id: wire::ExchangeId,
    call: wire::Call,
) -> Option<()> {
    let answer = unless_closed(socket, handler.call(from, call)).await?;
    let (head, mut body) = match answer {
        Ok(answer) => answer,
        Err(failure) => return socket.send(&wire::Answer::Fail { id, failure }).await.ok(),
    };
    let head = wire::Answer::Head {
        id,
        status: head.status,
        headers: head.headers,
        upstream: head.upstream,
        build: head.build,
        pool: head.pool,
    };
    socket.send(&head).await.ok()?;
    loop {
        match unless_closed(socket, handler.next(&mut body)).await? {
            Ok(Some(mut bytes)) => {
                while !bytes.is_empty() {
                    let bytes = bytes.split_to(bytes.len().min(MAX_PIECE_BYTES));
                    let piece = wire::Answer::Data { id, bytes };
                    timeout(MAX_STALL, socket.send(&piece)).await.ok()?.ok()?;
                }
            }
            Ok(None) => return socket.send(&wire::Answer::End { id }).await.ok(),
            Err(failure) => return socket.send(&wire::Answer::Fail { id, failure }).await.ok(),
        }
    }
}

/// Waits for `work` while the connection stays open; `None` if the peer closed it or sent a
/// message during an exchange.
async fn unless_closed<T>(socket: &mut Socket, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = work => Some(output),
        _ = socket.receive_without_ping::<wire::Request>() => None,
    }
}
