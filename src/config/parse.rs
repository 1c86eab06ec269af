//! Parses a document row by row, so that one pass finds all its errors, each with its line.

use {
    super::diagnostic::{Diagnostic, Document, Severity},
    serde::de::DeserializeOwned,
    std::{collections::BTreeMap, ops::Range},
    toml::{
        Spanned,
        de::{DeTable, DeValue, Error, ValueDeserializer},
    },
};

/// A row of a document, with the line of each field.
#[derive(Debug, Clone, PartialEq)]
pub struct Row<T> {
    /// The row, with defaults for its absent fields.
    pub value: T,
    line: usize,
    fields: BTreeMap<String, usize>,
}

impl<T> Row<T> {
    /// The line of a field, or the line of the row if the field is absent.
    pub fn line(&self, field: &str) -> usize {
        self.fields.get(field).copied().unwrap_or(self.line)
    }
}

/// The type of a row that [`Parser::row`] can parse.
pub(super) trait Schema: DeserializeOwned {
    /// Names of the fields that a row must have.
    const REQUIRED: &'static [&'static str];
}

/// The parser of one document, which collects diagnostics.
#[derive(Debug)]
pub(super) struct Parser<'a> {
    document: Document,
    text: &'a str,
    newlines: Vec<usize>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Parser<'a> {
    /// A parser of a document's text.
    pub(super) fn new(document: Document, text: &'a str) -> Self {
        Self {
            document,
            text,
            newlines: text.match_indices('\n').map(|(at, _)| at).collect(),
            diagnostics: Vec::new(),
        }
    }

    /// The diagnostics found, without duplicates and in the order of their lines.
    pub(super) fn into_diagnostics(mut self) -> Vec<Diagnostic> {
        self.diagnostics.sort();
        self.diagnostics.dedup();
        self.diagnostics
    }

    /// Adds an error at `line`, which is counted from one.
    pub(super) fn error(&mut self, line: usize, reason: impl Into<String>, remedy: &str) {
        self.diagnostics.push(Diagnostic {
            document: self.document,
            line,
            severity: Severity::Error,
            reason: reason.into(),
            remedy: remedy.to_owned(),
        });
    }

    /// The tables of the top-level array `key`. Any other top-level key is an error.
    pub(super) fn tables(&mut self, key: &str) -> Vec<Spanned<DeTable<'a>>> {
        let (root, errors) = DeTable::parse_recoverable(self.text);
        if !errors.is_empty() {
            for error in errors {
                let line = self.line(error.span());
                self.error(line, error.message().trim(), "correct the TOML");
            }
            return Vec::new();
        }
        let mut tables = Vec::new();
        for (name, value) in root.into_inner() {
            if name.get_ref() == key {
                tables = self.array(key, value);
                continue;
            }
            let line = self.line(Some(name.span()));
            let reason = format!("unknown table or field `{}`", name.get_ref());
            self.error(line, reason, &format!("write every row under [[{key}]]"));
        }
        tables
    }

    /// The tables of the array `key`. An element that is not a table is an error.
    pub(super) fn array(
        &mut self,
        key: &str,
        value: Spanned<DeValue<'a>>,
    ) -> Vec<Spanned<DeTable<'a>>> {
        let remedy = format!("write each row under [[{key}]]");
        let line = self.line(Some(value.span()));
        let DeValue::Array(values) = value.into_inner() else {
            self.error(line, format!("`{key}` is not an array of tables"), &remedy);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for value in values {
            let span = value.span();
            match value.into_inner() {
                DeValue::Table(table) => tables.push(Spanned::new(span, table)),
                _ => {
                    let line = self.line(Some(span));
                    self.error(
                        line,
                        format!("`{key}` holds a value that is not a table"),
                        &remedy,
                    );
                }
            }
        }
        tables
    }

    /// Parses one row, and reports every invalid field. After each error it removes the field and
    /// tries again, since the deserializer stops at the first error.
    pub(super) fn row<T: Schema>(&mut self, table: Spanned<DeTable<'a>>) -> Option<Row<T>> {
        let span = table.span();
        let line = self.line(Some(span.clone()));
        let mut table = table.into_inner();
        let fields: BTreeMap<_, _> = table
            .keys()
            .map(|key| (key.get_ref().to_string(), self.line(Some(key.span()))))
            .collect();
        let mut complete = true;
        for field in T::REQUIRED {
            if !fields.contains_key(*field) {
                self.error(
                    line,
                    format!("missing field `{field}`"),
                    "add it to this row",
                );
                complete = false;
            }
        }
        loop {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(value) if complete => {
                    return Some(Row {
                        value,
                        line,
                        fields,
                    });
                }
                Ok(_) => return None,
                Err(error) => error,
            };
            if !complete && error.message().starts_with("missing field") {
                return None;
            }
            let field = faulty_field(&table, &error)?;
            let line = fields.get(&field).copied().unwrap_or(line);
            complete &= is_unknown_field(&error);
            self.error(line, reason(&field, &error), remedy(&error));
            table.remove(field.as_str());
        }
    }

    fn line(&self, span: Option<Range<usize>>) -> usize {
        let start = span.map_or(0, |span| span.start);
        self.newlines.partition_point(|newline| *newline < start) + 1
    }
}

/// The field that an error concerns.
fn faulty_field(table: &DeTable<'_>, error: &Error) -> Option<String> {
    let at = error.span()?.start;
    table
        .iter()
        .find(|(key, value)| key.span().contains(&at) || value.span().contains(&at))
        .or_else(|| table.iter().next())
        .map(|(key, _)| key.get_ref().to_string())
}

fn is_unknown_field(error: &Error) -> bool {
    error.message().starts_with("unknown field")
}

fn reason(field: &str, error: &Error) -> String {
    let message = error.message().trim();
    if is_unknown_field(error) {
        return message.to_owned();
    }
    format!("`{field}`: {message}")
}

fn remedy(error: &Error) -> &'static str {
    if is_unknown_field(error) {
        return "correct the field's name or remove it";
    }
    "give a value of the kind that is expected"
}
