//! The part of HTTP/1.1 that the stand-ins need: heads, bodies with a length or in chunks, and one
//! thread for each connection.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer. `start` is the first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn bad(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads one message. An answer without a length and without chunks has no body.
pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
            let size = size.map_err(|_| bad("chunk"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read(&mut BufReader::new(stream))
}

/// Sends a request without a body for a stream. Returns the status (0 without a whole head), the text
/// that arrived, and whether the answer is complete.
pub fn stream(
    to: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    limit: Duration,
) -> (u16, String, bool) {
    let mut text = Vec::new();
    let mut status = 0;
    let mut receive = || -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!("GET {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        stream.write_all(head.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let line = read_line(&mut reader)?;
        let mut is_chunked = false;
        let mut length = 0;
        loop {
            let header = read_line(&mut reader)?.to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            is_chunked |= header.starts_with("transfer-encoding") && header.contains("chunked");
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let code = line.split(' ').nth(1).and_then(|code| code.parse().ok());
        status = code.unwrap_or(0);
        loop {
            let size = if is_chunked {
                let size = usize::from_str_radix(read_line(&mut reader)?.trim(), 16);
                size.map_err(|_| bad("chunk"))?
            } else {
                std::mem::take(&mut length)
            };
            let mut piece = vec![0; size];
            reader.read_exact(&mut piece)?;
            text.extend(piece);
            if is_chunked {
                read_line(&mut reader)?;
            }
            if size == 0 {
                return Ok(());
            }
        }
    };
    let is_whole = receive().is_ok();
    (
        status,
        String::from_utf8_lossy(&text).into_owned(),
        is_whole,
    )
}
