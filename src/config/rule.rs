//! The rules for the rows of one document, beyond the types of their fields.

use {
    super::{
        parse::{Parser, Row},
        table::{Customer, Kind, Pool, Route, Upstream},
    },
    crate::key::Digest,
    std::{collections::BTreeMap, ops::RangeInclusive},
};

/// Longest deadline of a route: an hour, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60 * 60 * 1000;

/// Allowed number of prompt bytes per token.
const BYTES_PER_TOKEN: RangeInclusive<f64> = 1.0..=16.0;

/// Most keys of a customer: the current one and its successor during a rotation.
const MAX_KEYS: usize = 2;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Largest rate, burst, price or commitment.
const MAX_AMOUNT: f64 = 1e15;

/// Path prefixes of the gateway's own endpoints.
const RESERVED_PREFIXES: [&str; 2] = ["/v1", "/control"];

/// Checks the rows of a routes document.
pub(super) fn routes(parser: &mut Parser<'_>, rows: &[Row<Route>]) {
    check_unique(parser, rows, "name", |row| Some(row.name.as_str()));
    check_unique(parser, rows, "model", |row| {
        Some(row.model.as_ref()?.as_str())
    });
    check_unique(parser, rows, "path", |row| {
        Some(row.path.as_ref()?.trim_end_matches('/'))
    });
    for row in rows {
        check_route(parser, row);
    }
}

fn check_route(parser: &mut Parser<'_>, row: &Row<Route>) {
    let Route {
        name,
        kind,
        model,
        path,
        pools,
        open,
        customers,
        deadline_ms,
        bytes_per_token,
        ..
    } = &row.value;
    check_name(parser, row, "name", name.as_str());
    match (kind, model, path) {
        (Kind::Model, Some(model), None) => check_model_name(parser, row, model.as_str()),
        (Kind::Plain, None, Some(path)) => check_path(parser, row, path),
        (Kind::Model, _, _) => parser.error(
            row.line("kind"),
            format!("model route `{name}` has no model or has a path"),
            "give `model` and no `path`",
        ),
        (Kind::Plain, _, _) => parser.error(
            row.line("kind"),
            format!("plain route `{name}` has no path or has a model"),
            "give `path` and no `model`",
        ),
    }
    if pools.is_empty() {
        let reason = format!("route `{name}` has no pool");
        parser.error(row.line("pools"), reason, "name at least one pool");
    }
    for (at, pool) in pools.iter().enumerate() {
        check_name(parser, row, "pools", pool.as_str());
        if pools[..at].contains(pool) {
            let reason = format!("route `{name}` names pool `{pool}` twice");
            parser.error(row.line("pools"), reason, "name each pool once");
        }
    }
    if *open && !customers.is_empty() {
        parser.error(
            row.line("open"),
            format!("route `{name}` is open to all and restricted to customers"),
            "remove `open` or `customers`",
        );
    }
    if !(1..=MAX_DEADLINE_MS).contains(deadline_ms) {
        parser.error(
            row.line("deadline_ms"),
            format!("route `{name}` has a deadline of {deadline_ms} ms"),
            "give 1 to 3600000 milliseconds",
        );
    }
    if !BYTES_PER_TOKEN.contains(bytes_per_token) {
        parser.error(
            row.line("bytes_per_token"),
            format!("route `{name}` has {bytes_per_token} bytes per token"),
            "give 1 to 16, at most the fewest bytes per token of the model's tokenizer",
        );
    }
}

fn check_path(parser: &mut Parser<'_>, row: &Row<Route>, path: &str) {
    let line = row.line("path");
    if !path.starts_with('/') {
        let reason = format!("path `{path}` has no leading slash");
        return parser.error(line, reason, "begin it with a slash");
    }
    let trimmed = path.trim_end_matches('/');
    let is_reserved = RESERVED_PREFIXES
        .iter()
        .any(|reserved| trimmed == *reserved || trimmed.starts_with(&format!("{reserved}/")));
    if trimmed.is_empty() || is_reserved {
        let reason = format!("path `{path}` overlaps with the gateway's own paths");
        return parser.error(
            line,
            reason,
            "choose a path other than / and outside /v1 and /control",
        );
    }
    let is_empty_or_dots = |part: &str| part.is_empty() || part == "." || part == "..";
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte);
    if trimmed[1..].split('/').any(is_empty_or_dots) || !trimmed.bytes().all(is_allowed) {
        let reason = format!("path `{path}` has an invalid segment or character");
        parser.error(
            line,
            reason,
            "use letters, digits and -._~ between single slashes",
        );
    }
}

/// Checks the rows of a pools document, but not their upstreams.
pub(super) fn pools(parser: &mut Parser<'_>, rows: &[Row<Pool>]) {
    check_unique(parser, rows, "name", |row| Some(row.name.as_str()));
    for row in rows {
        let pool = &row.value;
        check_name(parser, row, "name", pool.name.as_str());
        check_name(parser, row, "region", pool.region.as_str());
        check_amount(parser, row, "price_per_million", pool.price_per_million);
        check_amount(parser, row, "committed_per_month", pool.committed_per_month);
        check_amount(
            parser,
            row,
            "spent_this_month",
            pool.spent_this_month.unwrap_or(0.0),
        );
        if pool.slots == 0 {
            let reason = format!("pool `{}` has 0 slots", pool.name);
            parser.error(row.line("slots"), reason, "give at least one slot");
        }
    }
}

/// Checks the upstreams of all pools of a document.
pub(super) fn upstreams(parser: &mut Parser<'_>, rows: &[Row<Upstream>]) {
    check_unique(parser, rows, "name", |row| Some(row.name.as_str()));
    let mut addresses = BTreeMap::new();
    for row in rows {
        let Upstream {
            name,
            address,
            domain,
        } = &row.value;
        check_name(parser, row, "name", name.as_str());
        check_name(parser, row, "domain", domain.as_str());
        if let Some(other) = addresses.insert(address, name) {
            let reason = format!("upstreams `{other}` and `{name}` share the address {address}");
            parser.error(
                row.line("address"),
                reason,
                "give each upstream its own address",
            );
        }
    }
}

/// Checks the rows of a customers document.
pub(super) fn customers(parser: &mut Parser<'_>, rows: &[Row<Customer>]) {
    check_unique(parser, rows, "name", |row| Some(row.name.as_str()));
    let mut owners = BTreeMap::new();
    for row in rows {
        let customer = &row.value;
        check_name(parser, row, "name", customer.name.as_str());
        check_amount(parser, row, "rate", customer.rate);
        check_amount(parser, row, "burst", customer.burst);
        for region in &customer.residency {
            check_name(parser, row, "residency", region.as_str());
        }
        if customer.weight == 0 {
            let reason = format!("customer `{}` has weight 0", customer.name);
            parser.error(row.line("weight"), reason, "give a weight of at least 1");
        }
        if customer.keys.len() > MAX_KEYS {
            let reason = format!("customer `{}` has more than {MAX_KEYS} keys", customer.name);
            parser.error(
                row.line("keys"),
                reason,
                "remove the keys that were rotated out",
            );
        }
        for text in &customer.keys {
            check_key(parser, row, text, &mut owners);
        }
    }
}

/// Checks one key digest. The diagnostic omits the text, which may be a key pasted by mistake.
fn check_key<'a>(
    parser: &mut Parser<'_>,
    row: &'a Row<Customer>,
    text: &str,
    owners: &mut BTreeMap<Digest, &'a str>,
) {
    let name = row.value.name.as_str();
    let line = row.line("keys");
    let Ok(digest) = text.parse::<Digest>() else {
        let reason = format!("customer `{name}` has a key that is not a key digest");
        return parser.error(
            line,
            reason,
            "give the output of `greengagecleat key digest`",
        );
    };
    if let Some(other) = owners.insert(digest, name) {
        let reason = format!("customers `{other}` and `{name}` share a key");
        parser.error(line, reason, "give each key to one customer, once");
    }
}

fn check_amount<T>(parser: &mut Parser<'_>, row: &Row<T>, field: &str, value: f64) {
    if (0.0..=MAX_AMOUNT).contains(&value) {
        return;
    }
    let reason = format!("`{field}` is {value}");
    parser.error(row.line(field), reason, "give a number from 0 to 1e15");
}

fn check_name<T>(parser: &mut Parser<'_>, row: &Row<T>, field: &str, name: &str) {
    let is_allowed = |letter: char| letter.is_alphanumeric() || "-._".contains(letter);
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed) {
        return;
    }
    let reason = format!("`{field}` holds the invalid name {name:?}");
    parser.error(
        row.line(field),
        reason,
        "use 1 to 128 bytes of letters, digits and -._",
    );
}

fn check_model_name(parser: &mut Parser<'_>, row: &Row<Route>, name: &str) {
    if (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return;
    }
    let reason = format!("`model` holds the invalid name {name:?}");
    parser.error(
        row.line("model"),
        reason,
        "use 1 to 128 visible ASCII characters",
    );
}

/// Reports every row whose value of `field` already occurs in an earlier row.
fn check_unique<T>(
    parser: &mut Parser<'_>,
    rows: &[Row<T>],
    field: &str,
    value: impl Fn(&T) -> Option<&str>,
) {
    let mut lines = BTreeMap::new();
    for row in rows {
        let Some(text) = value(&row.value) else {
            continue;
        };
        if let Some(line) = lines.insert(text, row.line(field)) {
            let reason = format!("`{field}` is {text:?}, as on line {line}");
            parser.error(row.line(field), reason, "make it unique");
        }
    }
}
