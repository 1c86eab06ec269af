//! Validates documents. The result depends on a document's text alone, so that every host accepts
//! or refuses the same texts.

use {
    super::{
        diagnostic::{Diagnostic, Document},
        parse::{Parser, Row, Schema},
        reference, rule,
        table::{Customer, Customers, Pool, Pools, Route, Routes, Upstream},
    },
    std::collections::BTreeMap,
};

pub use super::{reference::check_references, snapshot::Snapshot};

/// Longest text of a document, in bytes; the configuration service stores no longer values.
pub const MAX_BYTES: usize = 1 << 20;

/// An accepted document, with the lines of its rows.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// Rows of a routes document.
    Routes(Vec<Row<Route>>),
    /// Rows of a pools document.
    Pools(Vec<Row<Pool>>),
    /// Rows of a customers document.
    Customers(Vec<Row<Customer>>),
}

/// Validates a document. Returns its rows, or a diagnostic for each error in it.
pub fn document(document: Document, text: &str) -> Result<Parsed, Vec<Diagnostic>> {
    match document {
        Document::Routes => routes(text).map(Parsed::Routes),
        Document::Pools => pools(text).map(Parsed::Pools),
        Document::Customers => customers(text).map(Parsed::Customers),
    }
}

/// Validates a routes document. Returns its rows, or a diagnostic for each error in it.
pub fn routes(text: &str) -> Result<Vec<Row<Route>>, Vec<Diagnostic>> {
    let mut parser = open_parser(Document::Routes, text)?;
    let rows: Vec<Row<Route>> = rows(&mut parser, "route");
    rule::routes(&mut parser, &rows);
    finish(parser, rows)
}

/// Validates a pools document. Returns its rows, or a diagnostic for each error in it.
pub fn pools(text: &str) -> Result<Vec<Row<Pool>>, Vec<Diagnostic>> {
    let mut parser = open_parser(Document::Pools, text)?;
    let mut pools = Vec::new();
    let mut upstreams = Vec::new();
    for mut table in parser.tables("pool") {
        let nested = table.get_mut().remove("upstream");
        let pool = parser.row::<Pool>(table);
        let own: Vec<Row<Upstream>> = nested
            .map(|value| parser.array("pool.upstream", value))
            .unwrap_or_default()
            .into_iter()
            .filter_map(|table| parser.row(table))
            .collect();
        if let Some(mut pool) = pool {
            pool.value.upstream = own.iter().map(|row| row.value.clone()).collect();
            pools.push(pool);
        }
        upstreams.extend(own);
    }
    rule::pools(&mut parser, &pools);
    rule::upstreams(&mut parser, &upstreams);
    finish(parser, pools)
}

/// Validates a customers document. Returns its rows, or a diagnostic for each error in it.
pub fn customers(text: &str) -> Result<Vec<Row<Customer>>, Vec<Diagnostic>> {
    let mut parser = open_parser(Document::Customers, text)?;
    let rows: Vec<Row<Customer>> = rows(&mut parser, "customer");
    rule::customers(&mut parser, &rows);
    finish(parser, rows)
}

/// Validates the given documents and, if all three are given and accepted, the references between
/// them.
pub fn check(texts: &BTreeMap<Document, String>) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    let mut accepted = Vec::new();
    for (kind, text) in texts {
        match document(*kind, text) {
            Ok(parsed) => accepted.push(parsed),
            Err(found) => diagnostics.extend(found),
        }
    }
    if let [
        Parsed::Routes(routes),
        Parsed::Pools(pools),
        Parsed::Customers(customers),
    ] = accepted.as_slice()
    {
        diagnostics.extend(reference::check_references(routes, pools, customers));
    }
    diagnostics
}

fn open_parser(document: Document, text: &str) -> Result<Parser<'_>, Vec<Diagnostic>> {
    let mut parser = Parser::new(document, text);
    if text.len() <= MAX_BYTES {
        return Ok(parser);
    }
    let reason = format!(
        "the document has {} bytes, more than {MAX_BYTES}",
        text.len()
    );
    parser.error(1, reason, "remove rows that are no longer used");
    Err(parser.into_diagnostics())
}

fn rows<T: Schema>(parser: &mut Parser<'_>, key: &str) -> Vec<Row<T>> {
    parser
        .tables(key)
        .into_iter()
        .filter_map(|table| parser.row(table))
        .collect()
}

fn finish<T>(parser: Parser<'_>, rows: Vec<Row<T>>) -> Result<Vec<Row<T>>, Vec<Diagnostic>> {
    let diagnostics = parser.into_diagnostics();
    if diagnostics.is_empty() {
        return Ok(rows);
    }
    Err(diagnostics)
}

impl Schema for Route {
    const REQUIRED: &'static [&'static str] = &["name", "kind", "pools"];
}

impl Schema for Pool {
    const REQUIRED: &'static [&'static str] = &["name", "region"];
}

impl Schema for Upstream {
    const REQUIRED: &'static [&'static str] = &["name", "address", "domain"];
}

impl Schema for Customer {
    const REQUIRED: &'static [&'static str] = &["name", "rate", "burst"];
}

impl From<Vec<Row<Route>>> for Routes {
    fn from(rows: Vec<Row<Route>>) -> Self {
        Self {
            route: into_values(rows),
        }
    }
}

impl From<Vec<Row<Pool>>> for Pools {
    fn from(rows: Vec<Row<Pool>>) -> Self {
        Self {
            pool: into_values(rows),
        }
    }
}

impl From<Vec<Row<Customer>>> for Customers {
    fn from(rows: Vec<Row<Customer>>) -> Self {
        Self {
            customer: into_values(rows),
        }
    }
}

fn into_values<T>(rows: Vec<Row<T>>) -> Vec<T> {
    rows.into_iter().map(|row| row.value).collect()
}
