//! A switch that cuts TCP connections in the way of a network partition, to inject that fault into a
//! host of the same process.

use {
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::watch,
    },
};

/// What passes a [`Gate`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Everything.
    #[default]
    Open,
    /// Nothing. Open connections and those being opened go on once it opens.
    Silent,
    /// Nothing. Open connections are reset and new ones are refused.
    Reset,
    /// Open connections. New ones are refused.
    Refuse,
}

/// A switch for the connections that are opened through it. Clones are the same switch.
#[derive(Debug, Clone)]
pub struct Gate {
    mode: watch::Sender<Mode>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    last_connection: u64,
    /// Connections that are open, each with the task that waits for it.
    open: BTreeMap<u64, Option<Waker>>,
}

/// A connection that was opened through a gate.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    gate: Gate,
    number: u64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            mode: watch::channel(Mode::Open).0,
            state: Arc::default(),
        }
    }
}

impl Gate {
    /// Sets what passes from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
        let mut state = self.state();
        let waiting: Vec<_> = state.open.values_mut().filter_map(Option::take).collect();
        if mode == Mode::Reset {
            state.open.clear();
        }
        drop(state);
        waiting.into_iter().for_each(Waker::wake);
    }

    pub(super) async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let mut mode = self.mode.subscribe();
        let passes = |mode: &Mode| *mode != Mode::Silent;
        let current = mode.wait_for(passes).await.map(|mode| *mode);
        if current.is_ok_and(|mode| matches!(mode, Mode::Reset | Mode::Refuse)) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut state = self.state();
        state.last_connection += 1;
        let number = state.last_connection;
        state.open.insert(number, None);
        Ok(Connection {
            stream,
            gate: self.clone(),
            number,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    pub(super) fn set_reset_on_close(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    pub(super) fn set_acknowledgement_timeout(&self, limit: Duration) -> io::Result<()> {
        super::set_acknowledgement_timeout(&self.stream, limit)
    }

    /// Passes if the gate lets the connection's bytes through; else wakes the task once that may have
    /// changed.
    fn poll_passage(&self, context: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.gate.state();
        let Some(waiting) = state.open.get_mut(&self.number) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        };
        *waiting = Some(context.waker().clone());
        if *self.gate.mode.borrow() == Mode::Silent {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.state().open.remove(&self.number);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_passage(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_read(context, buffer),
            cut => cut,
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_passage(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_write(context, bytes),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
