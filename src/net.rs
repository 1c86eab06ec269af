//! The network, passed in like the clock: TCP in the daemon, memory for golden sessions and for
//! embedders who drive a whole host under paused time.

use {
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex},
        net::{TcpListener, TcpStream},
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
};

/// Bytes that an in-memory connection holds each way before the writer waits.
const MEMORY_BUFFER_BYTES: usize = 64 * 1024;
/// First port given where an in-memory listener asks for any.
const FIRST_EPHEMERAL_PORT: u16 = 20_000;

/// Where connections are made.
#[derive(Debug, Clone, Default)]
pub enum Network {
    /// The machine's TCP.
    #[default]
    Tcp,
    /// Inside the process.
    Memory(Memory),
}

/// A network inside the process.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<BTreeMap<SocketAddr, ConnectionSender>>>);

type ConnectionSender = UnboundedSender<DuplexStream>;

/// Accepts connections.
#[derive(Debug)]
pub enum Listener {
    /// From TCP.
    Tcp(TcpListener),
    /// From inside the process.
    Memory {
        /// Where it listens.
        address: SocketAddr,
        /// Connections that were dialled.
        incoming: UnboundedReceiver<DuplexStream>,
    },
}

/// One connection.
#[derive(Debug)]
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Inside the process.
    Memory(DuplexStream),
}

impl Network {
    /// Connects to a listener.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        match self {
            Self::Tcp => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
            Self::Memory(memory) => memory.connect(address).map(Stream::Memory),
        }
    }

    /// Listens at an address; port zero stands for any free port.
    pub async fn bind(&self, address: SocketAddr) -> io::Result<Listener> {
        match self {
            Self::Tcp => TcpListener::bind(address).await.map(Listener::Tcp),
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
    /// Where it listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Tcp(listener) => listener.local_addr(),
            Self::Memory { address, .. } => Ok(*address),
        }
    }

    /// The next connection and the address it comes from.
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

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Memory(stream) => Pin::new(stream).poll_read(context, buffer),
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
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_flush(context),
            Self::Memory(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Memory(stream) => Pin::new(stream).poll_shutdown(context),
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
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Tcp(stream) => stream.is_write_vectored(),
            Self::Memory(stream) => stream.is_write_vectored(),
        }
    }
}
