//! Errors and warnings about documents, each with its line and a remedy.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// One of the three documents that operators write.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Document {
    /// The routes: which calls are served, and by which pools.
    #[display("routes")]
    Routes,
    /// The pools: their upstreams, slots and payment.
    #[display("pools")]
    Pools,
    /// The customers: the digests of their API keys, and their limits.
    #[display("customers")]
    Customers,
}

impl Document {
    /// Every document, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Pools, Self::Customers];
}

/// The error for a text that names no document.
#[derive(Debug, Display, Error)]
#[display("unknown document: expected routes, pools or customers")]
pub struct UnknownDocument;

impl FromStr for Document {
    type Err = UnknownDocument;

    fn from_str(text: &str) -> Result<Self, UnknownDocument> {
        Self::ALL
            .into_iter()
            .find(|document| document.to_string() == text)
            .ok_or(UnknownDocument)
    }
}

/// The severity of a diagnostic.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is refused or, for a reference between documents, the row can't be served.
    #[display("error")]
    Error,
    /// The document is accepted, but a part of it probably doesn't do what was meant.
    #[display("warning")]
    Warning,
}

/// One error or warning about a document.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{document}:{line}: {severity}: {reason}; {remedy}")]
pub struct Diagnostic {
    /// The document that it concerns.
    pub document: Document,
    /// Line in the document, from one.
    pub line: usize,
    /// Whether the document or row can't be used, or is only suspicious.
    pub severity: Severity,
    /// What is wrong, for the operator; printed before the remedy.
    pub reason: String,
    /// What to change, for the operator.
    pub remedy: String,
}
