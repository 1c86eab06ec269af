//! Web socket connections between hosts, for control messages and for exchanges: opening,
//! authentication by the fleet's secret, framing and pings.

use {
    super::metered::{Grant, Memory, Metered},
    crate::{
        Error, Result, name,
        net::{Network, Stream},
        wire,
    },
    bytes::Bytes,
    futures::{FutureExt, SinkExt, StreamExt},
    serde::{Serialize, de::DeserializeOwned},
    std::{future::poll_fn, net::SocketAddr, sync::Arc, task::Poll, time::Duration},
    subtle::ConstantTimeEq,
    tokio::time::{Instant, sleep_until, timeout, timeout_at},
    tokio_tungstenite::{
        WebSocketStream, accept_hdr_async_with_config, client_async_with_config,
        tungstenite::{
            self, Message,
            handshake::server::{ErrorResponse, Request, Response},
            http::{HeaderMap, StatusCode},
            protocol::WebSocketConfig,
        },
    },
};

/// Longest time to connect and to complete the web socket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which bytes of a forwarded call may lie unacknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a connection is pinged.
const PING_AFTER: Duration = Duration::from_secs(3);
/// Silence after which a pinged connection is closed.
const MAX_SILENCE: Duration = Duration::from_secs(9);
/// Longest time for which a large message waits for memory. Its sender then knows that the call has not
/// run, and has time to make it elsewhere.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time in which a large message has to arrive once there is memory for it: a sender that is cut
/// off would keep that from others.
const MAX_RECEIVE_TIME: Duration = Duration::from_secs(5);
/// Read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Header that names the connecting host.
const HOST_HEADER: &str = "x-peer-host";
/// Header that holds the fleet's secret.
const SECRET_HEADER: &str = "x-peer-secret";

/// How this host connects to its peers and authenticates.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This host's name.
    pub host: name::Host,
    /// The secret that all hosts of the fleet share.
    pub secret: Arc<str>,
    /// Largest message accepted, in bytes.
    pub message_limit: usize,
    /// The network on which connections are opened.
    pub network: Network,
}

/// The use of a connection, given by the request path of its handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Control,
    Exchange,
}

impl Purpose {
    fn path(self) -> &'static str {
        match self {
            Self::Control => "/control",
            Self::Exchange => "/exchange",
        }
    }

    fn from_path(path: &str) -> Option<Self> {
        [Self::Control, Self::Exchange]
            .into_iter()
            .find(|purpose| purpose.path() == path)
    }
}

/// One open connection to a peer.
#[derive(Debug)]
pub(super) struct Socket {
    stream: WebSocketStream<Metered>,
    peer: String,
    /// Memory for large messages; `None` on connections that this host has opened.
    memory: Option<Memory>,
    /// Memory of the last message.
    grant: Option<Grant>,
}

/// What arrived on a connection that should be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleState {
    /// Nothing arrived.
    Quiet,
    /// A ping or pong arrived, so the peer is alive.
    Heard,
    /// The connection is closed, or an unexpected message arrived.
    Closed,
}

/// An accepted connection with the peer that opened it and its purpose.
#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) socket: Socket,
    pub(super) from: name::Host,
    pub(super) purpose: Purpose,
}

impl Socket {
    /// Connects to a peer and completes the handshake within [`CONNECT_TIMEOUT`].
    pub(super) async fn connect(
        address: SocketAddr,
        purpose: Purpose,
        identity: &Identity,
    ) -> Result<Self> {
        let peer = address.to_string();
        let connecting = async {
            let stream = identity
                .network
                .connect(address)
                .await
                .map_err(|source| Error::Io {
                    step: "connecting to a peer",
                    peer: peer.clone(),
                    source,
                })?;
            // A forwarded call states the time left, so it must not arrive late.
            if purpose == Purpose::Exchange
                && let Err(error) = stream.set_acknowledgement_timeout(ACKNOWLEDGEMENT_TIMEOUT)
            {
                tracing::warn!(peer, %error, "forwarded calls may arrive late");
            }
            let request = http::Request::builder()
                .uri(format!("ws://{address}{}", purpose.path()))
                .header("host", &peer)
                .header("connection", "upgrade")
                .header("upgrade", "websocket")
                .header("sec-websocket-version", "13")
                .header(
                    "sec-websocket-key",
                    tokio_tungstenite::tungstenite::handshake::client::generate_key(),
                )
                .header(HOST_HEADER, identity.host.as_str())
                .header(SECRET_HEADER, &*identity.secret)
                .body(())
                .map_err(|error| protocol_error("opening a peer connection", &peer, error))?;
            let config = Some(websocket_config(identity.message_limit));
            let (stream, _) = client_async_with_config(request, Metered::new(stream), config)
                .await
                .map_err(|error| protocol_error("opening a peer connection", &peer, error))?;
            Ok(stream)
        };
        let stream = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Timeout {
                step: "connecting to a peer",
                peer: peer.clone(),
            })??;
        Ok(Self {
            stream,
            peer,
            memory: None,
            grant: None,
        })
    }

    /// Completes the handshake with a connecting peer, which must present the fleet's secret. The bytes
    /// of its large messages need `memory`.
    pub(super) async fn accept(
        stream: Stream,
        from: SocketAddr,
        identity: &Identity,
        memory: &Memory,
    ) -> Result<Accepted> {
        let peer = from.to_string();
        let mut admitted = None;
        #[allow(
            clippy::result_large_err,
            reason = "the callback's type is the library's"
        )]
        let check = |request: &Request, response: Response| {
            admitted = authenticate(request, identity);
            match &admitted {
                Some(_) => Ok(response),
                None => Err(forbidden()),
            }
        };
        let config = Some(websocket_config(identity.message_limit));
        let mut stream = timeout(
            CONNECT_TIMEOUT,
            accept_hdr_async_with_config(Metered::new(stream), check, config),
        )
        .await
        .map_err(|_| Error::Timeout {
            step: "accepting a peer connection",
            peer: peer.clone(),
        })?
        .map_err(|error| protocol_error("accepting a peer connection", &peer, error))?;
        stream.get_mut().follow();
        let (host, purpose) = admitted.ok_or_else(|| Error::Protocol {
            step: "accepting a peer connection",
            peer: peer.clone(),
            reason: "no handshake".into(),
        })?;
        Ok(Accepted {
            socket: Self {
                stream,
                peer,
                memory: Some(memory.clone()),
                grant: None,
            },
            from: host,
            purpose,
        })
    }

    /// Sends one message. After an error the peer has not received it, because a partly written
    /// message can't be decoded.
    pub(super) async fn send<M: Serialize>(&mut self, message: &M) -> Result<()> {
        let bytes = wire::encode(message);
        self.stream
            .send(Message::Binary(bytes))
            .await
            .map_err(|error| protocol_error("sending to a peer", &self.peer, error))
    }

    /// Gives back the memory of the message that was received last.
    pub(super) fn release_memory(&mut self) {
        self.grant = None;
    }

    /// Waits for the next frame of a message or a ping. A large message is read once there is memory for it,
    /// which is held until [`Self::release_memory`].
    async fn next(&mut self) -> Option<tungstenite::Result<Message>> {
        let mut receive_by = None;
        loop {
            let stream = &mut self.stream;
            let receiving = poll_fn(|context| match stream.poll_next_unpin(context) {
                Poll::Ready(message) => Poll::Ready(Ok(message)),
                Poll::Pending => match stream.get_ref().wanted() {
                    Some(size) => Poll::Ready(Err(size)),
                    None => Poll::Pending,
                },
            });
            let received = match receive_by {
                Some(receive_by) => timeout_at(receive_by, receiving).await.ok()?,
                None => receiving.await,
            };
            let size = match received {
                Ok(message) => return message,
                Err(size) => size,
            };
            if let Some(memory) = &self.memory {
                self.grant = timeout(MAX_MEMORY_WAIT, memory.grant(size)).await.ok()?;
                receive_by = Some(Instant::now() + MAX_RECEIVE_TIME);
            }
            self.stream.get_mut().go_on();
        }
    }

    /// The next message; `None` if the peer closed the connection. Times out if the peer doesn't
    /// answer a ping.
    pub(super) async fn receive<M: DeserializeOwned>(&mut self) -> Result<Option<M>> {
        let Some(bytes) = self.receive_bytes().await? else {
            return Ok(None);
        };
        wire::decode(&bytes, &self.peer).map(Some)
    }

    /// Like [`Self::receive`], but sends no pings and has no timeout. For a peer that may not be
    /// reading now and so can't answer a ping.
    pub(super) async fn receive_without_ping<M: DeserializeOwned>(&mut self) -> Result<Option<M>> {
        self.receive_within(Duration::MAX).await
    }

    /// Like [`Self::receive`], but sends no pings. Times out if nothing arrives for `limit`, not even
    /// a ping.
    pub(super) async fn receive_within<M: DeserializeOwned>(
        &mut self,
        limit: Duration,
    ) -> Result<Option<M>> {
        loop {
            let message = timeout(limit, self.next()).await;
            let message = message.map_err(|_| Error::Timeout {
                step: "waiting for a peer",
                peer: self.peer.clone(),
            })?;
            match message {
                None | Some(Ok(Message::Close(_))) => return Ok(None),
                Some(Ok(Message::Binary(bytes))) => {
                    return wire::decode(&bytes, &self.peer).map(Some);
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => {
                    return Err(protocol_error("receiving from a peer", &self.peer, error));
                }
            }
        }
    }

    /// Reads, without waiting, what has arrived on a connection that should be idle, and answers
    /// pings.
    pub(super) fn poll_idle(&mut self) -> IdleState {
        let mut state = IdleState::Quiet;
        loop {
            match self.stream.next().now_or_never() {
                None => return state,
                Some(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => state = IdleState::Heard,
                Some(_) => return IdleState::Closed,
            }
        }
    }

    /// Pings the peer if that is possible without waiting.
    pub(super) fn try_ping(&mut self) {
        let sent = self.stream.send(Message::Ping(Bytes::new())).now_or_never();
        if let Some(Err(error)) = sent {
            tracing::debug!(peer = %self.peer, %error, "idle connection closed");
        }
    }

    async fn receive_bytes(&mut self) -> Result<Option<Bytes>> {
        let mut last_heard_at = Instant::now();
        let mut pinged = false;
        loop {
            let deadline = last_heard_at + if pinged { MAX_SILENCE } else { PING_AFTER };
            let message = tokio::select! {
                message = self.next() => message,
                () = sleep_until(deadline) => {
                    if pinged {
                        return Err(Error::Timeout { step: "waiting for a peer", peer: self.peer.clone() });
                    }
                    pinged = true;
                    self.ping().await?;
                    continue;
                }
            };
            match message {
                None | Some(Ok(Message::Close(_))) => return Ok(None),
                Some(Ok(Message::Binary(bytes))) => return Ok(Some(bytes)),
                Some(Ok(_)) => {
                    last_heard_at = Instant::now();
                    pinged = false;
                }
                Some(Err(error)) => {
                    return Err(protocol_error("receiving from a peer", &self.peer, error));
                }
            }
        }
    }

    async fn ping(&mut self) -> Result<()> {
        let ping = self.stream.send(Message::Ping(Bytes::new()));
        match timeout(PING_AFTER, ping).await {
            Ok(sent) => sent.map_err(|error| protocol_error("pinging a peer", &self.peer, error)),
            Err(_) => Err(Error::Timeout {
                step: "pinging a peer",
                peer: self.peer.clone(),
            }),
        }
    }
}

fn websocket_config(message_limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(message_limit))
        .max_frame_size(Some(message_limit))
}

/// The host and purpose that a handshake names, if it presents the fleet's secret.
fn authenticate(request: &Request, identity: &Identity) -> Option<(name::Host, Purpose)> {
    let secret = header_text(request.headers(), SECRET_HEADER).unwrap_or_default();
    let known: bool = secret.as_bytes().ct_eq(identity.secret.as_bytes()).into();
    if !known {
        return None;
    }
    let host = header_text(request.headers(), HOST_HEADER)?;
    let purpose = Purpose::from_path(request.uri().path())?;
    Some((host.into(), purpose))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    str::from_utf8(headers.get(name)?.as_bytes()).ok()
}

fn forbidden() -> ErrorResponse {
    let mut response = ErrorResponse::new(Some("not a peer of this fleet".into()));
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
}

fn protocol_error(step: &'static str, peer: &str, error: impl ToString) -> Error {
    Error::Protocol {
        step,
        peer: peer.into(),
        reason: error.to_string(),
    }
}
