//! Stand-in of an upstream that writes its answers to the socket itself, so that an answer can be
//! cut after any byte of its body and its connection closed or reset, or pause at any byte.

use {
    crate::serve,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause before a reset, which discards what the peer has not read.
const PAUSE_BEFORE_RESET: Duration = Duration::from_millis(2);
/// Header of a request's id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length.
    Length,
    /// The body is one chunk, followed by the last one.
    Chunked,
    /// The body ends with its connection.
    Close,
}

/// How the connection of a cut answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
}

/// An answer that ends after this many bytes of its body. One that is not cut short has its end
/// mark, if its framing has one; its connection ends all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// How the end of the body is marked.
    pub framing: Framing,
    /// How the connection ends.
    pub end: End,
    /// Number of bytes of the body that are sent.
    pub bytes: usize,
}

/// A silence within an answer, which goes on after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Number of bytes of the body that are sent before; `None` for a silence before the head.
    pub after: Option<usize>,
    /// How long nothing is sent.
    pub length: Duration,
}

/// A request as it was received.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Path and query.
    pub target: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status, which is written with three digits, also if it is not valid.
    pub status: u16,
    /// Headers, without those that mark the end of the body.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// A silence within it.
    pub pause: Option<Pause>,
}

/// Cuts the answers of the upstreams that share it: the first one to a request with an id, each one
/// to a request without.
#[derive(Debug, Clone, Default)]
pub struct Scissors(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    cut: Option<Cut>,
    /// Ids of the requests whose answers were cut.
    cut_requests: BTreeSet<String>,
    /// Number of arrivals by id.
    arrivals: BTreeMap<String, usize>,
}

impl Request {
    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

impl Scissors {
    /// How answers are cut from now on; with none, they are not.
    pub fn set(&self, cut: Option<Cut>) {
        self.state().cut = cut;
    }

    /// How often a request has arrived.
    pub fn arrivals(&self, id: &str) -> usize {
        self.state().arrivals.get(id).copied().unwrap_or(0)
    }

    /// Number of arrivals of all requests with an id.
    pub fn total_arrivals(&self) -> usize {
        let state = self.state();
        let with_id = state.arrivals.iter().filter(|(id, _)| !id.is_empty());
        with_id.map(|(_, count)| count).sum()
    }

    fn next_cut(&self, id: &str) -> Option<Cut> {
        let mut state = self.state();
        *state.arrivals.entry(id.to_owned()).or_default() += 1;
        let cut = state.cut?;
        (id.is_empty() || state.cut_requests.insert(id.to_owned())).then_some(cut)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts an upstream on a loopback address of its own, and returns the address.
pub async fn start(
    scissors: Scissors,
    answer: impl Fn(&Request) -> Answer + Clone + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((serve::own_address(), 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (scissors, answer) = (scissors.clone(), answer.clone());
            tokio::spawn(async move { serve_connection(stream, scissors, answer).await });
        }
    });
    Ok(address)
}

/// Answers the requests of one connection until an answer ends it.
async fn serve_connection(
    stream: TcpStream,
    scissors: Scissors,
    answer: impl Fn(&Request) -> Answer,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let answer = answer(&request);
        let Some(cut) = scissors.next_cut(request.header(REQUEST_ID)) else {
            let framing = answer.pause.map_or(Framing::Length, |pause| pause.framing);
            let whole = encode(&answer, framing, answer.body.len());
            let mut rest = &whole[..];
            if let Some(pause) = answer.pause {
                let before = pause
                    .after
                    .map_or(0, |bytes| encoded_len(&answer, framing, bytes));
                stream.write_all(&rest[..before]).await?;
                sleep(pause.length).await;
                rest = &rest[before..];
            }
            stream.write_all(rest).await?;
            if framing == Framing::Close {
                return Ok(());
            }
            continue;
        };
        stream
            .write_all(&encode(&answer, cut.framing, cut.bytes))
            .await?;
        if cut.end == End::Reset {
            sleep(PAUSE_BEFORE_RESET).await;
            stream.get_ref().set_zero_linger()?;
        }
        return Ok(());
    }
    Ok(())
}

/// Length of an encoded answer up to this number of bytes of its body.
fn encoded_len(answer: &Answer, framing: Framing, bytes: usize) -> usize {
    let whole = encode(answer, framing, answer.body.len());
    let end_mark = match framing {
        Framing::Chunked if answer.body.is_empty() => "0\r\n\r\n".len(),
        Framing::Chunked => "\r\n0\r\n\r\n".len(),
        Framing::Length | Framing::Close => 0,
    };
    whole.len() - end_mark - answer.body.len() + bytes
}

/// Encodes an answer of which at most `limit` bytes of the body are sent.
fn encode(answer: &Answer, framing: Framing, limit: usize) -> Vec<u8> {
    let length = answer.body.len();
    let body = &answer.body[..limit.min(length)];
    let mut encoded = format!("HTTP/1.1 {:03} \r\n", answer.status).into_bytes();
    for (name, value) in &answer.headers {
        encoded.extend(format!("{name}: {value}\r\n").bytes());
    }
    match framing {
        Framing::Length => encoded.extend(format!("content-length: {length}\r\n\r\n").bytes()),
        Framing::Chunked => encoded.extend(b"transfer-encoding: chunked\r\n\r\n"),
        Framing::Close => encoded.extend(b"\r\n"),
    }
    if framing == Framing::Chunked && !body.is_empty() {
        encoded.extend(format!("{:x}\r\n", body.len()).bytes());
        encoded.extend(body);
        encoded.extend(b"\r\n");
    } else {
        encoded.extend(body);
    }
    if framing == Framing::Chunked && body.len() == length {
        encoded.extend(b"0\r\n\r\n");
    }
    encoded
}

/// Reads the next request; `None` at the end of the connection.
pub async fn read_request(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Request>> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(": ") {
            Some((name, value)) => {
                let name = name.to_ascii_lowercase();
                request.headers.insert(name, value.to_owned());
            }
            None if line.trim_end().is_empty() => break,
            None => request.target = line.split(' ').nth(1).unwrap_or_default().to_owned(),
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}
