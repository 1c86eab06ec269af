//! The operators' documents: the tables of routes and pools, and the customers.

pub mod accept;
pub mod fault;
mod join;
mod read;
mod rule;
mod snapshot;
pub mod spread;
pub mod table;

pub use {
    fault::{Document, Fault, Severity},
    read::Row,
    snapshot::Snapshot,
};
