//! The network between regions: TCP relays with delay, bandwidth, cut, silence and black hole.

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

/// Bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Pieces under way in one direction of one connection.
const MAX_PENDING_PIECES: usize = 1024;

/// What a link costs.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Delay one way.
    #[serde(with = "millis", rename = "delay_ms")]
    pub delay: Duration,
    /// Bytes a second each way, shared by all relays of the link.
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

/// How a link fares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It carries.
    #[default]
    Up,
    /// Connections break, and new ones are closed at once.
    Cut,
    /// Nothing passes, and no connection ends: a silent black hole.
    Hole,
}

/// What all connections of a link share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LinkState {
    mode: Mode,
    /// Connections opened before this generation are silent for good.
    generation: u64,
}

/// A link between two regions, which its relays share.
#[derive(Debug, Clone)]
pub struct Link(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: Settings,
    state: watch::Sender<LinkState>,
    free_at: [Mutex<Instant>; 2],
}

/// Relays towards one address over a link, until it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    task: AbortHandle,
}

/// A control surface over HTTP, until it is dropped.
#[derive(Debug)]
pub struct Control {
    /// Where it listens.
    pub address: SocketAddr,
    _server: Server,
}

impl Link {
    /// A link that carries.
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        Self(Arc::new(Shared {
            settings,
            state: watch::Sender::default(),
            free_at: [Mutex::new(now), Mutex::new(now)],
        }))
    }

    /// Opens a relay on an ephemeral port towards `target`.
    pub async fn relay(&self, target: SocketAddr) -> io::Result<Relay> {
        self.relay_on(EPHEMERAL, target).await
    }

    /// Opens a relay on `bind` towards `target`.
    pub async fn relay_on(&self, bind: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(bind).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, self.0.clone(), target)).abort_handle();
        Ok(Relay { address, task })
    }

    /// Breaks all connections and refuses new ones.
    pub fn cut(&self) {
        self.set_mode(Mode::Cut);
    }

    /// Lets nothing pass and ends no connection.
    pub fn hole(&self) {
        self.set_mode(Mode::Hole);
    }

    /// Silences the connections now open for good; new ones work.
    pub fn silence(&self) {
        let next = |state: &mut LinkState| state.generation += 1;
        self.0.state.send_modify(next);
    }

    /// Carries again; what was silenced stays silent.
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
    /// When a piece that is sent now in this direction arrives.
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

/// Carries one connection until an end closes it or the link breaks it.
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

/// Waits until something passes on a connection of generation `born`; for good if it is silenced.
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
