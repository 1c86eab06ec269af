//! What hosts tell each other about the documents, and what goes in and out of the machine.

use {
    super::Patch,
    crate::{
        config::{Diagnostic, Document},
        name,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The platform's revision of a document, and the content it had.
///
/// Versions are ordered by revision and, should one revision have had two contents, by digest, so
/// that every host chooses the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The platform's revision.
    pub revision: u64,
    /// The first eight bytes of the text's SHA-256.
    pub digest: u64,
}

impl Version {
    /// The version of a text that the platform gave under `revision`.
    pub fn of(revision: u64, text: &str) -> Self {
        let bytes: [u8; 32] = Sha256::digest(text).into();
        let digest = bytes
            .iter()
            .take(8)
            .fold(0, |digest, byte| digest << 8 | u64::from(*byte));
        Self { revision, digest }
    }
}

/// What a host has of one document.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<Version>,
    /// A later version that was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Version>,
}

impl Versions {
    /// The latest version known, in force or refused.
    pub fn latest(&self) -> Option<Version> {
        self.accepted.max(self.refused)
    }
}

/// What a host has of all documents; carried by heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Summary {
    standings: BTreeMap<Document, Versions>,
}

impl Summary {
    /// What the host has of `document`.
    pub fn versions(&self, document: Document) -> Versions {
        self.standings.get(&document).copied().unwrap_or_default()
    }
}

impl FromIterator<(Document, Versions)> for Summary {
    fn from_iter<I: IntoIterator<Item = (Document, Versions)>>(standings: I) -> Self {
        Self {
            standings: standings.into_iter().collect(),
        }
    }
}

/// What one host sends another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Something new has come into force or was refused at the sender.
    Announce(Summary),
    /// Asks what the receiver has.
    Ask {
        /// What the sender has.
        summary: Summary,
        /// Repeated by the answer, so that a late answer to an earlier round is told apart.
        round: u64,
    },
    /// What the sender has, as it was asked.
    Answer {
        /// What the sender has.
        summary: Summary,
        /// The round of the question.
        round: u64,
    },
    /// Asks for what the receiver has of a document.
    Fetch {
        /// The document.
        document: Document,
        /// What the sender has of it.
        have: Versions,
    },
    /// One version of a document.
    Document {
        /// The document.
        document: Document,
        /// The version.
        version: Version,
        /// Its text, or the way to it.
        content: Content,
    },
}

/// The text of a version, or the way to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The whole text.
    Whole(Arc<str>),
    /// Patches to be applied in order to the text of `base`.
    Patches {
        /// The version that the first patch was made from.
        base: Version,
        /// The patches.
        patches: Vec<Patch>,
    },
}

/// The peers and the fleet as membership sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The other live hosts of this failure domain.
    pub same_domain: Vec<name::Host>,
    /// Hosts of other failure domains to which this one may speak.
    pub other_domains: Vec<name::Host>,
    /// Hosts in the whole fleet.
    pub host_count: usize,
    /// Failure domains in the whole fleet.
    pub domain_count: usize,
}

/// How a read of the configuration service ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service gave a document.
    Found {
        /// Its revision.
        revision: u64,
        /// Its text.
        text: Arc<str>,
    },
    /// The watch ended without a change.
    Unchanged,
    /// The service has no such document.
    Missing,
    /// The service could not be read.
    Failed,
}

/// What goes into the machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed; due every [`TICK`](super::TICK).
    Tick,
    /// The peers changed.
    View(View),
    /// A heartbeat carried a peer's summary.
    Heartbeat {
        /// The peer.
        from: name::Host,
        /// What it has.
        summary: Summary,
    },
    /// A message arrived.
    Received {
        /// The peer.
        from: name::Host,
        /// The message.
        message: Message,
    },
    /// A read ended.
    ReadEnded {
        /// The document.
        document: Document,
        /// The round of the action that began it.
        round: u64,
        /// How it ended.
        outcome: Outcome,
    },
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: name::Host,
        /// The message.
        message: Message,
    },
    /// Read a document from the service and give the outcome back.
    Read {
        /// The document.
        document: Document,
        /// To be given back with the outcome.
        round: u64,
        /// For a watch, the revision after which a change is awaited and the longest wait.
        watch: Option<Watch>,
    },
    /// A version came into force: take the machine's new snapshot.
    Install {
        /// The document.
        document: Document,
        /// The version.
        version: Version,
    },
    /// Whether the host is sure enough of its documents to serve.
    Ready(bool),
    /// Something that operators must see.
    Report(Report),
}

/// A waiting read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// A later revision ends the wait.
    pub after_revision: u64,
    /// Longest wait.
    pub max_wait: Duration,
}

/// What operators must see: a log line and a counter each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A version was refused; the one in force stays.
    Refused {
        /// The document.
        document: Document,
        /// The version.
        version: Version,
        /// Everything that is wrong with it.
        diagnostics: Vec<Diagnostic>,
    },
    /// The service gives an older revision than the fleet knows; it is ignored.
    Behind {
        /// The document.
        document: Document,
        /// What the service gives.
        service_revision: u64,
        /// What is known.
        known_revision: u64,
    },
    /// One revision has had two contents; the one with the greater digest is kept.
    Conflict {
        /// The document.
        document: Document,
        /// The content that is kept.
        kept: Version,
        /// The content that is dropped.
        dropped: Version,
    },
}
