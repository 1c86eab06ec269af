//! Inputs and outputs of the [`Machine`](super::Machine), and the messages between hosts.

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

/// The revision of a document in the configuration service, with a digest of its content.
///
/// Versions are ordered by revision and then by digest, so that every host chooses the same content
/// if one revision has had two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The revision that the configuration service assigned.
    pub revision: u64,
    /// The first eight bytes of the text's SHA-256 digest.
    pub digest: u64,
}

impl Version {
    /// The version of a text that the configuration service returned with `revision`.
    pub fn of(revision: u64, text: &str) -> Self {
        let bytes: [u8; 32] = Sha256::digest(text).into();
        let digest = bytes
            .iter()
            .take(8)
            .fold(0, |digest, byte| digest << 8 | u64::from(*byte));
        Self { revision, digest }
    }
}

/// The versions of one document that a host holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version in force; `None` before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<Version>,
    /// The latest version that was refused, if it is later than the accepted one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Version>,
}

impl Versions {
    /// The later of the accepted and the refused version.
    pub fn latest(&self) -> Option<Version> {
        self.accepted.max(self.refused)
    }
}

/// The versions of all documents that a host holds; carried by heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Summary {
    standings: BTreeMap<Document, Versions>,
}

impl Summary {
    /// The versions of `document` that the host holds.
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

/// A message between the machines of two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has accepted or refused a new version.
    Announce(Summary),
    /// Asks for the receiver's summary.
    Ask {
        /// Versions of all documents that the sender holds.
        summary: Summary,
        /// Repeated by the answer, so that late answers to earlier rounds are ignored.
        round: u64,
    },
    /// Answers [`Ask`](Self::Ask).
    Answer {
        /// Versions of all documents that the sender holds.
        summary: Summary,
        /// The round of the request.
        round: u64,
    },
    /// Asks for the receiver's newer versions of a document.
    Fetch {
        /// Document of which the sender wants newer versions.
        document: Document,
        /// The versions of it that the sender holds.
        have: Versions,
    },
    /// Carries one version of a document, in answer to [`Fetch`](Self::Fetch).
    Document {
        /// The document that the sender holds.
        document: Document,
        /// The version of the content.
        version: Version,
        /// Its text, or patches that lead to it.
        content: Content,
    },
}

/// The text of a version, or patches that lead to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Full text of the version.
    Whole(Arc<str>),
    /// Patches to apply in order to the text of `base`.
    Patches {
        /// The version that the first patch applies to.
        base: Version,
        /// Patches that lead from `base` to the version, in the order in which they apply.
        patches: Vec<Patch>,
    },
}

/// The peers and the size of the fleet, as reported by membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The other live hosts of this host's failure domain.
    pub same_domain: Vec<name::Host>,
    /// The hosts of other failure domains that this host may contact.
    pub other_domains: Vec<name::Host>,
    /// Number of hosts in the whole fleet.
    pub host_count: usize,
    /// Number of failure domains in the whole fleet.
    pub domain_count: usize,
}

/// How a read of the configuration service ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service returned a document.
    Found {
        /// Revision that the service returned with the text.
        revision: u64,
        /// Full text of the document at that revision.
        text: Arc<str>,
    },
    /// The watch ended without a change.
    Unchanged,
    /// The service has no such document.
    Missing,
    /// The call failed or timed out.
    Failed,
}

/// An input of the machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A timer tick; due every [`TICK`](super::TICK).
    Tick,
    /// The peers or the size of the fleet changed.
    View(View),
    /// A heartbeat of a peer arrived.
    Heartbeat {
        /// Peer that sent it.
        from: name::Host,
        /// The versions that the sender holds.
        summary: Summary,
    },
    /// A message of a peer arrived.
    Received {
        /// Peer that sent it.
        from: name::Host,
        /// Announcement, question or answer.
        message: Message,
    },
    /// A read of the configuration service ended.
    ReadEnded {
        /// The document that was read.
        document: Document,
        /// The round of the [`Action::Read`] that started it.
        round: u64,
        /// What the service returned, or that the call failed.
        outcome: Outcome,
    },
}

/// An output of the machine, carried out by the service around it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Peer that the message goes to.
        to: name::Host,
        /// Announcement, question or answer.
        message: Message,
    },
    /// Read a document from the configuration service and report the outcome with
    /// [`Event::ReadEnded`].
    Read {
        /// The document to read.
        document: Document,
        /// Repeated by the event that reports the outcome.
        round: u64,
        /// Waits for a change if set; otherwise the read returns at once.
        watch: Option<Watch>,
    },
    /// A version came into force: use the machine's new snapshot.
    Install {
        /// The document that changed.
        document: Document,
        /// Version that came into force.
        version: Version,
    },
    /// Whether the host has confirmed its documents, so that it may serve.
    Ready(bool),
    /// A problem to report to operators.
    Report(Report),
}

/// A read that waits for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The read returns once the document has a later revision than this.
    pub after_revision: u64,
    /// Longest time to wait for a change.
    pub max_wait: Duration,
}

/// A problem for operators, which is logged and shown in metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A version was refused; the one in force stays.
    Refused {
        /// Document whose text was refused.
        document: Document,
        /// Revision and digest of the refused text.
        version: Version,
        /// All errors in its text.
        diagnostics: Vec<Diagnostic>,
    },
    /// The service returned an older revision than the host knows; it is ignored.
    Behind {
        /// The document that was read.
        document: Document,
        /// The revision that the service returned.
        service_revision: u64,
        /// The latest revision that the host knows.
        known_revision: u64,
    },
    /// One revision has had two contents; the one with the higher digest is kept.
    Conflict {
        /// The document with two contents.
        document: Document,
        /// The version that is kept.
        kept: Version,
        /// The version that is dropped.
        dropped: Version,
    },
}
