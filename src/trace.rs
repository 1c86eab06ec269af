//! One request's way through the logs of several hosts, put in order.
//!
//! Reads lines of JSON as the daemons write them. What stands before the first brace of a line, as
//! shippers of logs put it there, names the line's source; without it the file does. Lines that
//! hold no JSON are passed over and counted.

use {
    serde_json::{Map, Value},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Silence between two lines of a request that is told as a gap.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// How long before the request a change of belief still belongs to its story: longer than hosts
/// take to learn of a change.
const LOOKBACK: Duration = Duration::from_secs(3);
/// Changes of belief that are shown; the latest ones.
const MAX_STATE_CHANGES: usize = 40;
/// Fields that every line has and that are shown elsewhere.
const COMMON_FIELDS: [&str; 6] = [
    "timestamp",
    "level",
    "target",
    "event",
    "request",
    "message",
];

/// A line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it was written.
    pub logged_at: OffsetDateTime,
    /// The host or file that it is from.
    pub source: String,
    /// What it tells.
    pub event: String,
    /// The request that it is about.
    pub request: Option<String>,
    /// The rest of it.
    pub fields: Map<String, Value>,
}

/// What the lines of all logs are put into, one by one.
#[derive(Debug)]
pub struct Collector {
    request: String,
    lines: Vec<Line>,
    state_changes: Vec<Line>,
    sources: BTreeSet<String>,
    unparsed: usize,
}

/// One request's way.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    /// The request's id.
    pub request: String,
    /// Its lines, in order.
    pub lines: Vec<Line>,
    /// Changes of belief of the hosts on its way, shortly before and during it, in order.
    pub state_changes: Vec<Line>,
    /// What is missing.
    pub gaps: Vec<String>,
    /// Lines that could not be read.
    pub unparsed: usize,
}

impl Line {
    /// Reads a line; `file` names its source if it names none itself.
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

    /// Whether it ends a request's way on its host.
    fn is_final(&self) -> bool {
        matches!(
            self.event.as_str(),
            "answered" | "refused" | "broken" | "unplaced"
        )
    }

    /// Whether it tells of a change of belief.
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
    /// A collector of one request's lines.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            lines: Vec::new(),
            state_changes: Vec::new(),
            sources: BTreeSet::new(),
            unparsed: 0,
        }
    }

    /// Takes a line of a log.
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

    /// The request's way, or nothing if no line tells of it.
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

/// What the lines of a request leave out.
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
            format!("{host} was sent the request and tells nothing of it")
        } else {
            format!("{host} was sent the request and its log is not here")
        });
    }
    for (source, lines) in by_source {
        if !lines.iter().any(|line| line.is_final()) {
            gaps.push(format!(
                "{source} tells no end: it ended itself, or lines were lost"
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
