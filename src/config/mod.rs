//! The documents that operators write: routes, pools and customers.
//!
//! [`accept`] validates the text of one document and checks the references between the three.
//! [`Snapshot`] indexes accepted documents for the request path. [`spread`] distributes documents
//! to every host.

pub mod accept;
pub mod diagnostic;
mod parse;
mod reference;
mod rule;
mod snapshot;
pub mod spread;
pub mod table;

pub use {
    diagnostic::{Diagnostic, Document, Severity},
    parse::Row,
    snapshot::Snapshot,
};
