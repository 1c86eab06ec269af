//! Acceptance: a pure function of a document's text, and of nothing else that a host holds.

use {
    super::{
        fault::{Document, Fault},
        join,
        read::{Reader, Row, Shape},
        rule,
        table::{Customer, Customers, Pool, Pools, Route, Routes, Upstream},
    },
    std::collections::BTreeMap,
};

pub use super::{join::join, snapshot::Snapshot};

/// Longest text of a document, in bytes: what the configuration service holds.
pub const MAX_BYTES: usize = 1 << 20;

/// A document that has been accepted, with the lines of its rows.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// The table of routes.
    Routes(Vec<Row<Route>>),
    /// The table of pools.
    Pools(Vec<Row<Pool>>),
    /// The customers.
    Customers(Vec<Row<Customer>>),
}

/// Accepts a document or tells everything that is wrong with it.
pub fn document(document: Document, text: &str) -> Result<Parsed, Vec<Fault>> {
    match document {
        Document::Routes => routes(text).map(Parsed::Routes),
        Document::Pools => pools(text).map(Parsed::Pools),
        Document::Customers => customers(text).map(Parsed::Customers),
    }
}

/// Accepts a routes document.
pub fn routes(text: &str) -> Result<Vec<Row<Route>>, Vec<Fault>> {
    let mut reader = open(Document::Routes, text)?;
    let rows: Vec<Row<Route>> = rows(&mut reader, "route");
    rule::routes(&mut reader, &rows);
    close(reader, rows)
}

/// Accepts a pools document.
pub fn pools(text: &str) -> Result<Vec<Row<Pool>>, Vec<Fault>> {
    let mut reader = open(Document::Pools, text)?;
    let mut pools = Vec::new();
    let mut upstreams = Vec::new();
    for mut table in reader.tables("pool") {
        let nested = table.get_mut().remove("upstream");
        let pool = reader.row::<Pool>(table);
        let own: Vec<Row<Upstream>> = nested
            .map(|value| reader.array("pool.upstream", value))
            .unwrap_or_default()
            .into_iter()
            .filter_map(|table| reader.row(table))
            .collect();
        if let Some(mut pool) = pool {
            pool.value.upstream = own.iter().map(|row| row.value.clone()).collect();
            pools.push(pool);
        }
        upstreams.extend(own);
    }
    rule::pools(&mut reader, &pools);
    rule::upstreams(&mut reader, &upstreams);
    close(reader, pools)
}

/// Accepts a customers document.
pub fn customers(text: &str) -> Result<Vec<Row<Customer>>, Vec<Fault>> {
    let mut reader = open(Document::Customers, text)?;
    let rows: Vec<Row<Customer>> = rows(&mut reader, "customer");
    rule::customers(&mut reader, &rows);
    close(reader, rows)
}

/// Checks texts offline: each by itself, then, when all three are given and accepted, how their
/// names join.
pub fn check(texts: &BTreeMap<Document, String>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut accepted = Vec::new();
    for (kind, text) in texts {
        match document(*kind, text) {
            Ok(parsed) => accepted.push(parsed),
            Err(found) => faults.extend(found),
        }
    }
    if let [
        Parsed::Routes(routes),
        Parsed::Pools(pools),
        Parsed::Customers(customers),
    ] = accepted.as_slice()
    {
        faults.extend(join::join(routes, pools, customers));
    }
    faults
}

fn open(document: Document, text: &str) -> Result<Reader<'_>, Vec<Fault>> {
    let mut reader = Reader::new(document, text);
    if text.len() <= MAX_BYTES {
        return Ok(reader);
    }
    let reason = format!("{} bytes, above the {MAX_BYTES} allowed", text.len());
    reader.fault(1, reason, "remove rows that are no longer used");
    Err(reader.finish())
}

fn rows<T: Shape>(reader: &mut Reader<'_>, key: &str) -> Vec<Row<T>> {
    reader
        .tables(key)
        .into_iter()
        .filter_map(|table| reader.row(table))
        .collect()
}

fn close<T>(reader: Reader<'_>, rows: Vec<Row<T>>) -> Result<Vec<Row<T>>, Vec<Fault>> {
    let faults = reader.finish();
    if faults.is_empty() {
        return Ok(rows);
    }
    Err(faults)
}

impl Shape for Route {
    const REQUIRED: &'static [&'static str] = &["name", "kind", "pools"];
}

impl Shape for Pool {
    const REQUIRED: &'static [&'static str] = &["name", "region"];
}

impl Shape for Upstream {
    const REQUIRED: &'static [&'static str] = &["name", "address", "domain"];
}

impl Shape for Customer {
    const REQUIRED: &'static [&'static str] = &["name", "rate", "burst"];
}

impl From<Vec<Row<Route>>> for Routes {
    fn from(rows: Vec<Row<Route>>) -> Self {
        Self {
            route: values(rows),
        }
    }
}

impl From<Vec<Row<Pool>>> for Pools {
    fn from(rows: Vec<Row<Pool>>) -> Self {
        Self { pool: values(rows) }
    }
}

impl From<Vec<Row<Customer>>> for Customers {
    fn from(rows: Vec<Row<Customer>>) -> Self {
        Self {
            customer: values(rows),
        }
    }
}

fn values<T>(rows: Vec<Row<T>>) -> Vec<T> {
    rows.into_iter().map(|row| row.value).collect()
}
