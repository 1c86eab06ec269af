//! Simulates the network between regions with TCP relays: delay, limited bandwidth, broken
//! connections, silent connections and black holes.

use {
    crate::{
        millis,
        serve::{self, Body, EPHEMERAL, Server},
    },
    bytes::Bytes,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        task::{AbortHandle, JoinSet},
        time::{Instant, sleep_until},
    },
};

/// Largest number of bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Largest number of pieces in transit in one direction of one connection.
const MAX_PENDING_PIECES: usize = 1024;

/// Delay and bandwidth of a link.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// One-way delay.
    #[serde(with = "millis", rename = "delay_ms")]
    pub delay: Duration,
    /// Bandwidth in bytes a second each way, shared by all relays of the link.
    pub bytes_per_second: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(50),
            bytes_per_second: 250_000_000,
        }
    }
}

/// State of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Data passes.
    #[default]
    Up,
    /// Open connections break, and new ones are closed at once.
    Cut,
    /// No data passes, and no connection breaks: a black hole.
    Hole,
}

/// State that all connections of a link watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LinkState {
    mode: Mode,
    /// Grows when connections are silenced. Connections opened in an earlier generation pass no
    /// data.
    generation: u64,
}

/// A link between two regions. Its relays and clones share one state and bandwidth.
#[derive(Debug, Clone)]
pub struct Link(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: Settings,
    state: watch::Sender<LinkState>,
    free_at: [Mutex<Instant>; 2],
}

/// A relay to one address over a link. Dropping it closes the relay and its connections.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    task: AbortHandle,
}

/// An HTTP server that controls a link. Dropping it stops the server.
#[derive(Debug)]
pub struct Control {
    /// Address that it listens on.
    pub address: SocketAddr,
    _server: Server,
}

impl Link {
    /// A link in [`Mode::Up`].
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        Self(Arc::new(Shared {
            settings,
            state: watch::Sender::default(),
            free_at: [Mutex::new(now), Mutex::new(now)],
        }))
    }

    /// Opens a relay to `target` on an ephemeral port.
    pub async fn relay(&self, target: SocketAddr) -> io::Result<Relay> {
        self.relay_on(EPHEMERAL, target).await
    }

    /// Opens a relay to `target` on `bind`.
    pub async fn relay_on(&self, bind: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(bind).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, self.0.clone(), target)).abort_handle();
        Ok(Relay { address, task })
    }

    /// Breaks all connections and closes new ones at once.
    pub fn cut(&self) {
        self.set_mode(Mode::Cut);
    }

    /// Stops all data without breaking connections.
    pub fn hole(&self) {
        self.set_mode(Mode::Hole);
    }

    /// Stops all data on the connections that are open now, permanently. New connections work.
    pub fn silence(&self) {
        let next = |state: &mut LinkState| state.generation += 1;
        self.0.state.send_modify(next);
    }

    /// Lets data pass again, except on connections that were silenced.
    pub fn heal(&self) {
        self.set_mode(Mode::Up);
    }

    /// Serves `POST /control/{cut|hole|silence|heal}` on `bind`.
    pub async fn control(&self, bind: SocketAddr) -> io::Result<Control> {
        let link = self.clone();
        let server =
            Server::start(bind, move |request| handle_control(link.clone(), request)).await?;
        Ok(Control {
            address: server.address(),
            _server: server,
        })
    }

    fn set_mode(&self, mode: Mode) {
        let set = |state: &mut LinkState| state.mode = mode;
        self.0.state.send_modify(set);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    /// Reserves bandwidth for a piece that is sent now and returns when it arrives.
    fn schedule_arrival(&self, direction: usize, bytes: usize) -> Instant {
        let mut free_at = self.free_at[direction].lock().unwrap();
        let seconds = bytes as f64 / self.settings.bytes_per_second.max(1) as f64;
        *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(seconds);
        *free_at + self.settings.delay
    }
}

async fn handle_control(link: Link, request: Request<Incoming>) -> io::Result<Response<Body>> {
    if request.method() != Method::POST {
        return Ok(serve::empty(StatusCode::METHOD_NOT_ALLOWED));
    }
    match request.uri().path() {
        "/control/cut" => link.cut(),
        "/control/hole" => link.hole(),
        "/control/silence" => link.silence(),
        "/control/heal" => link.heal(),
        _ => return Ok(serve::empty(StatusCode::NOT_FOUND)),
    }
    Ok(serve::empty(StatusCode::NO_CONTENT))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, target: SocketAddr) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, shared.clone(), target));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Relays one connection until either side closes it or the link breaks it.
async fn serve_connection(near: TcpStream, shared: Arc<Shared>, target: SocketAddr) {
    let mut state = shared.state.subscribe();
    let opened_generation = state.borrow().generation;
    let cut = state.wait_for(|now| now.mode == Mode::Cut);
    tokio::select! {
        biased;
        _ = cut => {}
        _ = relay_connection(near, &shared, target, opened_generation) => {}
    }
}

async fn relay_connection(
    near: TcpStream,
    shared: &Shared,
    target: SocketAddr,
    opened_generation: u64,
) -> io::Result<()> {
    wait_until_open(shared, opened_generation).await;
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = relay_direction(near_read, far_write, shared, 0, opened_generation);
    let back = relay_direction(far_read, near_write, shared, 1, opened_generation);
    tokio::try_join!(there, back)?;
    Ok(())
}

/// Waits until data may pass on a connection of this generation; forever if the connection was
/// silenced.
async fn wait_until_open(shared: &Shared, opened_generation: u64) {
    let mut state = shared.state.subscribe();
    let open = |now: &LinkState| now.mode != Mode::Hole && now.generation == opened_generation;
    let _ = state.wait_for(open).await;
}

async fn relay_direction<R, W>(
    read: R,
    write: W,
    shared: &Shared,
    direction: usize,
    opened_generation: u64,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (sender, receiver) = mpsc::channel(MAX_PENDING_PIECES);
    let read_pieces = read_pieces(read, sender, shared, direction);
    let write_pieces = write_pieces(write, receiver, shared, opened_generation);
    tokio::try_join!(read_pieces, write_pieces)?;
    Ok(())
}

async fn read_pieces<R: AsyncRead + Unpin>(
    mut read: R,
    sender: mpsc::Sender<(Instant, Bytes)>,
    shared: &Shared,
    direction: usize,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let bytes = read.read(&mut buffer).await?;
        let due = shared.schedule_arrival(direction, bytes);
        let piece = Bytes::copy_from_slice(&buffer[..bytes]);
        if sender.send((due, piece)).await.is_err() || bytes == 0 {
            return Ok(());
        }
    }
}

async fn write_pieces<W: AsyncWrite + Unpin>(
    mut write: W,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    shared: &Shared,
    opened_generation: u64,
) -> io::Result<()> {
    while let Some((due, piece)) = receiver.recv().await {
        sleep_until(due).await;
        wait_until_open(shared, opened_generation).await;
        if piece.is_empty() {
            return write.shutdown().await;
        }
        write.write_all(&piece).await?;
    }
    Ok(())
}
