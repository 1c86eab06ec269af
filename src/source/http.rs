//! HTTP client of the platform: reads and long-polls configuration documents with their revisions,
//! and reads the host list and the client directory.

use {
    super::{Clients, Directory, Documents, Hosts, Listing, Snapshot},
    crate::{Error, Result, config::Document, net::Network, upstream},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Longest time for an answer, on top of the time that a watch asks the platform to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted body of a reply: the largest document, or the list of all hosts.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Response header that holds a document's revision.
const REVISION_HEADER: &str = "x-revision";

/// A client of the platform at one address.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    client: upstream::Client,
}

impl Platform {
    /// A client of the platform at `address`; it connects when it is first used.
    pub fn new(network: Network, address: SocketAddr) -> Self {
        Self {
            address,
            client: upstream::Client::new(network),
        }
    }

    async fn get(&self, step: &'static str, target: &str, wait: Duration) -> Result<Reply> {
        let request = Request::get(target)
            .header("host", self.address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| self.protocol_error(step, error))?;
        let exchange = async {
            let response = self
                .client
                .send(self.address, request)
                .await
                .map_err(|failure| self.protocol_error(step, failure))?;
            self.collect(step, response).await
        };
        timeout(wait + ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::Timeout {
                step,
                peer: self.address.to_string(),
            })?
    }

    async fn collect(
        &self,
        step: &'static str,
        response: Response<upstream::Body>,
    ) -> Result<Reply> {
        let (head, body) = response.into_parts();
        if body.framing() == upstream::Framing::Close {
            // A cut document may be a valid one.
            return Err(self.protocol_error(step, "the end of the reply is not marked"));
        }
        let bytes = body.collect(MAX_REPLY_BYTES).await;
        let bytes = bytes.map_err(|failure| self.protocol_error(step, failure))?;
        let revision = head
            .headers
            .get(REVISION_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        Ok(Reply {
            status: head.status,
            revision,
            bytes,
        })
    }

    async fn get_document(
        &self,
        step: &'static str,
        target: &str,
        wait: Duration,
    ) -> Result<Option<Snapshot>> {
        let reply = self.get(step, target, wait).await?;
        match reply.status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(self.protocol_error(step, format!("status {status}"))),
        }
        let revision = reply
            .revision
            .ok_or_else(|| self.protocol_error(step, "no valid x-revision header"))?;
        let text = String::from_utf8(reply.bytes.into())
            .map_err(|error| self.protocol_error(step, error))?;
        Ok(Some(Snapshot { revision, text }))
    }

    async fn get_json<T: DeserializeOwned>(&self, step: &'static str, target: &str) -> Result<T> {
        let reply = self.get(step, target, Duration::ZERO).await?;
        if reply.status != StatusCode::OK {
            return Err(self.protocol_error(step, format!("status {}", reply.status)));
        }
        serde_json::from_slice(&reply.bytes).map_err(|error| self.protocol_error(step, error))
    }

    fn protocol_error(&self, step: &'static str, reason: impl ToString) -> Error {
        Error::Protocol {
            step,
            peer: self.address.to_string(),
            reason: reason.to_string(),
        }
    }
}

struct Reply {
    status: StatusCode,
    revision: Option<u64>,
    bytes: Bytes,
}

impl Documents for Platform {
    async fn read(&self, document: Document) -> Result<Option<Snapshot>> {
        let target = format!("/v1/documents/{document}");
        self.get_document("reading a document", &target, Duration::ZERO)
            .await
    }

    async fn watch(
        &self,
        document: Document,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Snapshot>> {
        let target = format!(
            "/v1/documents/{document}?after={after}&wait={}",
            wait.as_secs()
        );
        self.get_document("watching a document", &target, wait)
            .await
    }
}

impl Hosts for Platform {
    async fn hosts(&self) -> Result<Listing> {
        self.get_json("reading the host list", "/v1/hosts").await
    }
}

impl Clients for Platform {
    async fn clients(&self) -> Result<Directory> {
        self.get_json("reading the client directory", "/v1/clients")
            .await
    }
}
