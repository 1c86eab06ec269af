//! Stand-in of an upstream whose answers never end: it goes on sending until its peer closes.

use {
    crate::{raw, serve},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Bytes that are written at once.
const PIECE_BYTES: usize = 4 * 1024;
/// Pause between two bytes of an answer that comes in drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(20);

/// An answer that never ends: what it begins with, and what is repeated after that.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The first bytes; `{id}` stands for the request's id.
    pub start: String,
    /// The bytes that are repeated.
    pub rest: String,
    /// Whether the bytes come one by one.
    pub drips: bool,
}

/// What an upstream has done so far.
#[derive(Debug, Default)]
pub struct Usage {
    /// Connections that are open.
    pub connections: AtomicUsize,
    /// Requests that were received.
    pub requests: AtomicUsize,
    /// Most bytes that one connection took.
    pub most_bytes: AtomicU64,
}

/// Starts an upstream on a loopback address of its own that gives this answer to each request.
pub async fn start(answer: Answer) -> io::Result<(SocketAddr, Arc<Usage>)> {
    let listener = TcpListener::bind((serve::own_address(), 0)).await?;
    let address = listener.local_addr()?;
    let usage = Arc::<Usage>::default();
    let counted = usage.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, usage) = (answer.clone(), counted.clone());
            tokio::spawn(async move {
                usage.connections.fetch_add(1, Ordering::Relaxed);
                // The peer closes the connection, which ends the answer.
                serve_connection(stream, &answer, &usage).await.ok();
                usage.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok((address, usage))
}

async fn serve_connection(stream: TcpStream, answer: &Answer, usage: &Usage) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let Some(request) = raw::read_request(&mut stream).await? else {
        return Ok(());
    };
    usage.requests.fetch_add(1, Ordering::Relaxed);
    let start = answer
        .start
        .replace("{id}", request.header(raw::REQUEST_ID));
    stream.write_all(start.as_bytes()).await?;
    let mut sent = start.len() as u64;
    let piece = if answer.drips {
        answer.rest.clone()
    } else {
        answer
            .rest
            .repeat(PIECE_BYTES / answer.rest.len().max(1) + 1)
    };
    loop {
        if answer.drips {
            for byte in piece.as_bytes() {
                stream.write_all(&[*byte]).await?;
                sleep(DRIP_INTERVAL).await;
                sent += 1;
            }
        } else {
            stream.write_all(piece.as_bytes()).await?;
            sent += piece.len() as u64;
        }
        usage.most_bytes.fetch_max(sent, Ordering::Relaxed);
    }
}
