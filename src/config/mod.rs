//! The operators' documents: the tables of routes and pools, and the customers.

pub mod accept;
pub mod table;

pub use accept::Snapshot;
