//! The peers' side of the link: accepts connections, reads control messages and serves
//! forwarded calls.

use {
    super::{
        control::{self, Handle, Mailboxes},
        exchange::Head,
        socket::{Accepted, Identity, Purpose, Socket},
    },
    crate::{
        clock::Clock,
        failure::Failure,
        name,
        net::{Listener, Stream},
        wire,
    },
    bytes::Bytes,
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::timeout},
};

/// How long a connection may wait for its next exchange: longer than a peer keeps it idle.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// How long a peer, and the caller behind it, may take nothing of an answer.
const MAX_STALL: Duration = Duration::from_secs(60);

/// Serves forwarded calls.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The body of an answer. Dropping it cancels the work.
    type Body: Send;

    /// Serves one call that `from` forwarded, up to the head of the answer.
    fn call(
        &self,
        from: &name::Host,
        call: wire::Call,
    ) -> impl Future<Output = Result<(Head, Self::Body), Failure>> + Send;

    /// The next piece of a body, or `None` at its end.
    fn next(
        &self,
        body: &mut Self::Body,
    ) -> impl Future<Output = Result<Option<Bytes>, Failure>> + Send;
}

/// What each connection needs.
#[derive(Debug, Clone)]
struct Context<C, H> {
    identity: Identity,
    mailboxes: Mailboxes,
    handle: Handle,
    clock: C,
    handler: H,
}

/// Accepts peers until `stop` closes.
pub async fn serve<C: Clock, H: Handler>(
    mut listener: Listener,
    identity: Identity,
    mailboxes: Mailboxes,
    handle: Handle,
    clock: C,
    handler: H,
    mut stop: watch::Receiver<()>,
) {
    let context = Context {
        identity,
        mailboxes,
        handle,
        clock,
        handler,
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    tokio::spawn(serve_connection(stream, address, context.clone(), stop.clone()));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a peer");
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
    context: Context<C, H>,
    mut stop: watch::Receiver<()>,
) {
    let Accepted {
        socket,
        from,
        purpose,
    } = match Socket::accept(stream, address, &context.identity).await {
        Ok(accepted) => accepted,
        Err(error) => return tracing::debug!(%error, "peer refused"),
    };
    match purpose {
        Purpose::Control => {
            tokio::select! {
                () = control::read_messages(socket, from, context.mailboxes, context.handle, context.clock) => {}
                _ = stop.changed() => {}
            }
        }
        Purpose::Exchange => serve_exchanges(socket, from, &context.handler, stop).await,
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
            request = timeout(MAX_IDLE, socket.receive_without_ping::<wire::Request>()) => request,
            _ = stop.changed() => return,
        };
        let Ok(Ok(Some(wire::Request::Call { id, call }))) = request else {
            return;
        };
        if serve_exchange(&mut socket, &from, handler, id, *call)
            .await
            .is_none()
        {
            return;
        }
    }
}

/// Serves one exchange; `None` when the connection can't be used any more.
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
        pool: head.pool,
    };
    socket.send(&head).await.ok()?;
    loop {
        match unless_closed(socket, handler.next(&mut body)).await? {
            Ok(Some(bytes)) => {
                let piece = wire::Answer::Data { id, bytes };
                timeout(MAX_STALL, socket.send(&piece)).await.ok()?.ok()?;
            }
            Ok(None) => return socket.send(&wire::Answer::End { id }).await.ok(),
            Err(failure) => return socket.send(&wire::Answer::Fail { id, failure }).await.ok(),
        }
    }
}

/// Waits for `work` while the connection stays open; `None` when the peer closed it or spoke out
/// of turn.
async fn unless_closed<T>(socket: &mut Socket, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        output = work => Some(output),
        _ = socket.receive_without_ping::<wire::Request>() => None,
    }
}
