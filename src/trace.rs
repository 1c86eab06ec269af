//! Builds the timeline of one request from the logs of several hosts.
//!
//! [`Collector`] reads the JSON lines that the daemons write and returns a [`Timeline`]: the
//! request's log lines in order, the state changes around it, and what is missing. The last word
//! before a line's first brace, as log shippers add it, names the line's source; without one the
//! file does. Lines that are not JSON log lines are skipped and counted.

use {
    serde_json::{Map, Value},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Shortest pause between two lines of a request that is printed.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// State changes from this long before the request are included. It is longer than hosts take to
/// learn of a change.
const LOOKBACK: Duration = Duration::from_secs(3);
/// Most state changes in a timeline; older ones are left out.
const MAX_STATE_CHANGES: usize = 40;
/// Fields common to all lines, which are not printed among a line's own fields.
const COMMON_FIELDS: [&str; 6] = [
    "timestamp",
    "level",
    "target",
    "event",
    "request",
    "message",
];

/// One parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The line's timestamp.
    pub logged_at: OffsetDateTime,
    /// The host that wrote it, or the file if the line names no host.
    pub source: String,
    /// The event, or the message of a line without one.
    pub event: String,
    /// The id of the request that it belongs to, if any.
    pub request: Option<String>,
    /// The remaining fields, without those that are null.
    pub fields: Map<String, Value>,
}

/// Collects the lines of one request from the lines of all logs.
#[derive(Debug)]
pub struct Collector {
    request: String,
    lines: Vec<Line>,
    state_changes: Vec<Line>,
    sources: BTreeSet<String>,
    unparsed: usize,
}

/// The timeline of one request across hosts; its `Display` is what operators read.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    /// The request's id.
    pub request: String,
    /// The request's lines, by time.
    pub lines: Vec<Line>,
    /// State changes that the involved hosts logged shortly before and during the request, by
    /// time.
    pub state_changes: Vec<Line>,
    /// Descriptions of missing logs and lines.
    pub gaps: Vec<String>,
    /// Number of lines that could not be parsed.
    pub unparsed: usize,
}

impl Line {
    /// Parses a line; `file` is its source if the line has no prefix. `None` if it is not a JSON
    /// log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (prefix, _) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(&text[prefix.len()..]).ok()?;
        let logged_at = fields.get("timestamp")?.as_str()?;
        let logged_at = OffsetDateTime::parse(logged_at, &Rfc3339).ok()?;
        let host = prefix.split_whitespace().last();
        let event = fields.get("event").or(fields.get("message"))?;
        let event = event.as_str()?.to_owned();
        let request = fields.get("request").and_then(Value::as_str);
        let request = request.map(str::to_owned);
        fields.retain(|name, value| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
        Some(Self {
            logged_at,
            source: host.unwrap_or(file).trim_end_matches([':', '|']).to_owned(),
            event,
            request,
            fields,
        })
    }

    fn text_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Whether it is the last line of a request on its host.
    fn is_final(&self) -> bool {
        matches!(
            self.event.as_str(),
            "answered" | "refused" | "broken" | "unplaced" | "abandoned"
        )
    }

    /// Whether it reports a change of what the host knows: of upstreams, hosts or configuration.
    fn is_state_change(&self) -> bool {
        let events = [
            "upstream",
            "evacuation",
            "host",
            "store",
            "reader",
            "configured",
            "start",
            "stop",
            "reload",
        ];
        events.contains(&self.event.as_str())
    }
}

impl Collector {
    /// A collector for the request with this id.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            lines: Vec::new(),
            state_changes: Vec::new(),
            sources: BTreeSet::new(),
            unparsed: 0,
        }
    }

    /// Adds a line of the log `file`; empty lines are ignored.
    pub fn push(&mut self, text: &str, file: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = Line::parse(text, file) else {
            self.unparsed += 1;
            return;
        };
        self.sources.insert(line.source.clone());
        if line.request.as_ref() == Some(&self.request) {
            self.lines.push(line);
        } else if line.is_state_change() {
            self.state_changes.push(line);
        }
    }

    /// Builds the timeline; `None` if no line belongs to the request.
    pub fn finish(mut self) -> Option<Timeline> {
        self.lines.sort_by_key(|line| line.logged_at);
        let (first, last) = (self.lines.first()?.logged_at, self.lines.last()?.logged_at);
        let sources: BTreeSet<_> = self.lines.iter().map(|line| line.source.clone()).collect();
        let mut state_changes = self.state_changes;
        state_changes.retain(|line| {
            let in_window = line.logged_at >= first - LOOKBACK && line.logged_at <= last;
            in_window && sources.contains(&line.source)
        });
        state_changes.sort_by_key(|line| line.logged_at);
        let excess = state_changes.len().saturating_sub(MAX_STATE_CHANGES);
        state_changes.drain(..excess);
        let gaps = gaps(&self.lines, &self.sources);
        Some(Timeline {
            request: self.request,
            lines: self.lines,
            state_changes,
            gaps,
            unparsed: self.unparsed,
        })
    }
}

/// Finds hosts whose log or lines of the request are missing.
fn gaps(lines: &[Line], sources: &BTreeSet<String>) -> Vec<String> {
    let mut gaps = Vec::new();
    let mut by_source: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines {
        by_source.entry(&line.source).or_default().push(line);
    }
    for line in lines.iter().filter(|line| line.event == "forwarded") {
        let Some(host) = line.text_field("host") else {
            continue;
        };
        if by_source.contains_key(host) {
            continue;
        }
        gaps.push(if sources.contains(host) {
            format!("{host} was sent the request but logged nothing about it")
        } else {
            format!("{host} was sent the request but its log is missing")
        });
    }
    for (source, lines) in by_source {
        if !lines.iter().any(|line| line.is_final()) {
            gaps.push(format!(
                "{source} logged no end: the process ended, or lines were lost"
            ));
        }
    }
    gaps
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}  {}", self.source, self.event)?;
        for (name, value) in &self.fields {
            match value.as_str() {
                Some(text) if !text.contains(' ') => write!(f, " {name}={text}")?,
                _ => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

impl Display for Timeline {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return Ok(());
        };
        writeln!(f, "request {}, from {}", self.request, first.logged_at)?;
        let mut all: Vec<_> = self.lines.iter().map(|line| (line, true)).collect();
        all.extend(self.state_changes.iter().map(|line| (line, false)));
        all.sort_by_key(|(line, _)| line.logged_at);
        let mut last = first.logged_at;
        for (line, is_own) in all {
            if is_own {
                let pause = line.logged_at - last;
                if pause > MIN_PAUSE {
                    writeln!(f, "           … {} ms", pause.whole_milliseconds())?;
                }
                last = line.logged_at;
            }
            let offset = (line.logged_at - first.logged_at).as_seconds_f64();
            let mark = if is_own { ' ' } else { '~' };
            writeln!(f, "{offset:>+9.3} s {mark} {line}")?;
        }
        for gap in &self.gaps {
            writeln!(f, "missing: {gap}")?;
        }
        if self.unparsed > 0 {
            writeln!(f, "{} lines could not be read", self.unparsed)?;
        }
        Ok(())
    }
}
