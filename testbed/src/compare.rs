//! Two results side by side, number by number, with ratios.

use {
    serde_json::Value,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
};

/// Lists that are too long to compare item by item.
const SKIPPED_FIELDS: [&str; 1] = ["timeline"];

/// Two results side by side.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// The numbers that either result has, in order of their names.
    pub rows: Vec<Row>,
}

/// One number of both results.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Its name: the fields that lead to it, joined by dots.
    pub name: String,
    /// In the first result.
    pub first: Option<f64>,
    /// In the second result.
    pub second: Option<f64>,
}

impl Row {
    /// The second over the first.
    pub fn ratio(&self) -> Option<f64> {
        let (first, second) = (self.first?, self.second?);
        (first != 0.0).then(|| second / first)
    }
}

impl Comparison {
    /// Compares two results.
    pub fn new(first: &Value, second: &Value) -> Self {
        let (first, second) = (numbers(first), numbers(second));
        let mut names: Vec<_> = first.keys().chain(second.keys()).cloned().collect();
        names.sort();
        names.dedup();
        let rows = names.into_iter().map(|name| Row {
            first: first.get(&name).copied(),
            second: second.get(&name).copied(),
            name,
        });
        Self {
            rows: rows.collect(),
        }
    }
}

fn numbers(value: &Value) -> BTreeMap<String, f64> {
    let mut found = BTreeMap::new();
    collect_numbers(value, "", &mut found);
    found
}

fn collect_numbers(value: &Value, name: &str, found: &mut BTreeMap<String, f64>) {
    match value {
        Value::Number(number) => {
            found.insert(name.to_owned(), number.as_f64().unwrap_or(f64::NAN));
        }
        Value::Object(fields) => {
            let kept = fields
                .iter()
                .filter(|(field, _)| !SKIPPED_FIELDS.contains(&field.as_str()));
            for (field, inner) in kept {
                let dot = if name.is_empty() { "" } else { "." };
                collect_numbers(inner, &format!("{name}{dot}{field}"), found);
            }
        }
        Value::Array(items) => {
            found.insert(format!("{name}.len"), items.len() as f64);
        }
        _ => {}
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let number =
            |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
        writeln!(
            f,
            "{:<52} {:>14} {:>14} {:>8}",
            "", "first", "second", "ratio"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<52} {:>14} {:>14} {:>8}",
                row.name,
                number(row.first),
                number(row.second),
                number(row.ratio())
            )?;
        }
        Ok(())
    }
}
