//! The network that hosts connect through: TCP in the daemon, in-memory connections for golden
//! sessions and for embedders that run a whole host under paused time, or TCP that a switch cuts.

pub mod gate;
pub mod room;

use {
    self::gate::Gate,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex},
        net::{TcpListener, TcpStream},
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
};

/// Buffer of an in-memory connection in each direction; a write to a full buffer waits.
const MEMORY_BUFFER_BYTES: usize = 64 * 1024;
/// First port assigned to in-memory listeners that bind to port 0.
const FIRST_EPHEMERAL_PORT: u16 = 20_000;

/// The network on which connections are opened and accepted.
#[derive(Debug, Clone, Default)]
pub enum Network {
    /// TCP sockets of the operating system.
    #[default]
    Tcp,
    /// Connections inside this process.
    Memory(Memory),
    /// TCP sockets whose connections pass a switch.
    Gated(Gate),
}

/// An in-memory network inside the process. Clones are the same network.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<BTreeMap<SocketAddr, ConnectionSender>>>);

type ConnectionSender = UnboundedSender<DuplexStream>;

/// Accepts connections on one address.
#[derive(Debug)]
pub enum Listener {
    /// A TCP listener.
    Tcp(TcpListener),
    /// An in-memory listener.
    Memory {
        /// The address it listens on.
        address: SocketAddr,
        /// Connections that are not accepted yet.
        incoming: UnboundedReceiver<DuplexStream>,
    },
}

/// An open connection.
#[derive(Debug)]
pub enum Stream {
    /// A TCP connection.
    Tcp(TcpStream),
    /// An in-memory connection.
    Memory(DuplexStream),
    /// A TCP connection that passes a switch.
    Gated(gate::Connection),
}

impl Network {
    /// Connects to the listener on an address.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        match self {
            Self::Tcp => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
            Self::Memory(memory) => memory.connect(address).map(Stream::Memory),
            Self::Gated(gate) => gate.connect(address).await.map(Stream::Gated),
        }
    }

    /// Listens on an address; port 0 selects a free port.
    pub async fn bind(&self, address: SocketAddr) -> io::Result<Listener> {
        match self {
            Self::Tcp | Self::Gated(_) => TcpListener::bind(address).await.map(Listener::Tcp),
            Self::Memory(memory) => memory.bind(address),
        }
    }
}

impl Memory {
    /// A network without listeners.
    pub fn new() -> Self {
        Self::default()
    }

    fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let listeners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let listener = listeners.get(&address).ok_or_else(refused)?;
        let (near, far) = duplex(MEMORY_BUFFER_BYTES);
        listener.send(far).map_err(|_| refused())?;
        Ok(near)
    }

    fn bind(&self, mut address: SocketAddr) -> io::Result<Listener> {
        let mut listeners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.retain(|_, listener| !listener.is_closed());
        if address.port() == 0 {
            address.set_port(FIRST_EPHEMERAL_PORT);
            while listeners.contains_key(&address) {
                address.set_port(address.port() + 1);
            }
        }
        if listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (sender, incoming) = unbounded_channel();
        listeners.insert(address, sender);
        Ok(Listener::Memory { address, incoming })
    }
}

impl Listener {
    /// The address it listens on, with the port that was selected.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Tcp(listener) => listener.local_addr(),
            Self::Memory { address, .. } => Ok(*address),
        }
    }

    /// Accepts the next connection and returns it with the remote address.
    pub async fn accept(&mut self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Self::Tcp(listener) => {
                let (stream, from) = listener.accept().await?;
                stream.set_nodelay(true).ok();
                Ok((Stream::Tcp(stream), from))
            }
            Self::Memory { address, incoming } => match incoming.recv().await {
                Some(stream) => Ok((Stream::Memory(stream), SocketAddr::new(address.ip(), 0))),
                None => std::future::pending().await,
            },
        }
    }
}

impl Stream {
    /// Makes the connection fail once bytes that were written have not been acknowledged for a time, so
    /// that they do not arrive later than that, as after a partition. Without effect where the
    /// operating system knows no such limit.
    pub fn set_acknowledgement_timeout(&self, limit: Duration) -> io::Result<()> {
        match self {
            Self::Tcp(stream) => set_acknowledgement_timeout(stream, limit),
            Self::Memory(_) => Ok(()),
            Self::Gated(connection) => connection.set_acknowledgement_timeout(limit),
        }
    }

    /// Makes closing the connection reset it, so that bytes which have not arrived never do.
    pub fn set_reset_on_close(&self) -> io::Result<()> {
        match self {
            Self::Tcp(stream) => stream.set_zero_linger(),
            Self::Memory(_) => Ok(()),
            Self::Gated(connection) => connection.set_reset_on_close(),
        }
    }
}

#[cfg(target_os = "linux")]
fn set_acknowledgement_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    Ok(rustix::net::sockopt::set_tcp_user_timeout(stream, millis)?)
}

#[cfg(not(target_os = "linux"))]
fn set_acknowledgement_timeout(_: &TcpStream, _: Duration) -> io::Result<()> {
    Ok(())
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Memory(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Gated(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Memory(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Gated(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_flush(context),
            Self::Memory(stream) => Pin::new(stream).poll_flush(context),
            Self::Gated(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Memory(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Gated(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_write_vectored(context, slices),
            Self::Memory(stream) => Pin::new(stream).poll_write_vectored(context, slices),
            Self::Gated(stream) => Pin::new(stream).poll_write_vectored(context, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Tcp(stream) => stream.is_write_vectored(),
            Self::Memory(stream) => stream.is_write_vectored(),
            Self::Gated(stream) => stream.is_write_vectored(),
        }
    }
}
