//! What is wrong with a document, where, and the way out.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// One of the three documents that operators write.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Document {
    /// The table of routes.
    #[display("routes")]
    Routes,
    /// The table of pools.
    #[display("pools")]
    Pools,
    /// The customers and the digests of their keys.
    #[display("customers")]
    Customers,
}

impl Document {
    /// Every document, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Pools, Self::Customers];
}

/// A text that names no document.
#[derive(Debug, Display, Error)]
#[display("not a document: give routes, pools or customers")]
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

/// How much a fault matters.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is refused or, between documents, the row can't serve.
    #[display("error")]
    Error,
    /// The document is accepted, but a part of it probably does not do what was meant.
    #[display("warning")]
    Warning,
}

/// One thing that is wrong.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{document}:{line}: {severity}: {reason}; {remedy}")]
pub struct Diagnostic {
    /// The document it is in.
    pub document: Document,
    /// Line, counted from one.
    pub line: usize,
    /// How much it matters.
    pub severity: Severity,
    /// What is wrong.
    pub reason: String,
    /// The way out.
    pub remedy: String,
}
