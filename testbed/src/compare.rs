//! Compares two JSON results of runs field by field and prints the numbers side by side with their
//! ratio.

use {
    serde_json::Value,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
};

/// Fields that are left out of a comparison: lists with a row for each second.
const SKIPPED_FIELDS: [&str; 1] = ["timeline"];

/// The numbers of two results, matched by name.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// One row for each number in either result, sorted by name.
    pub rows: Vec<Row>,
}

/// One number in both results.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Path of the number: the names of the enclosing fields, joined by dots.
    pub name: String,
    /// Value in the first result; absent when the first has no such number.
    pub first: Option<f64>,
    /// Value in the second result; absent when the second has no such number.
    pub second: Option<f64>,
}

impl Row {
    /// The second value divided by the first; absent when one is missing or the first is zero.
    pub fn ratio(&self) -> Option<f64> {
        let (first, second) = (self.first?, self.second?);
        (first != 0.0).then(|| second / first)
    }
}

impl Comparison {
    /// Collects the numbers of both results. Lists count by their length, as `NAME.len`.
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
