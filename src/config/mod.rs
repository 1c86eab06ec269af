//! The operators' documents: the tables of routes and pools, and the customers.

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
