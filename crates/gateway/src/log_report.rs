//! Reports on one request, replica, host or configuration, extracted from the logs of many nodes.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::path::Path;
use std::time::Duration;

use eelgrassmill_base::value;
use serde_json::{Map, Value};

/// Lines about a request's replicas and hosts are related if they are this close to it: the loss of
/// a member is detected after 300 to 600 ms, and repaired within 2 s.
const RELATED_WINDOW: Duration = Duration::from_millis(2500);

value! {
    /// The subject of a report.
    pub enum Subject {
        /// A request by the id of one attempt of its caller.
        Request(String),
        /// A replica by name.
        Replica(String),
        /// A host by name.
        Host(String),
        /// A configuration by version.
        Config(u64),
    }
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// Milliseconds since the start of the month.
    time_ms: i64,
    /// The node that the line's prefix names, or the file that it is from.
    source: String,
    fields: Map<String, Value>,
}

/// Collects log lines and reports those about a subject in order of time.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    lines: Vec<Line>,
    sources: BTreeSet<String>,
    unreadable: usize,
}

impl LogReader {
    /// Reads log files, or standard input if there are none.
    ///
    /// # Errors
    /// If one can't be read; names it.
    pub fn read_files(files: &[OsString]) -> Result<LogReader, String> {
        let mut reader = LogReader::default();
        if files.is_empty() {
            for line in std::io::stdin().lines() {
                reader.push("standard input", &line.map_err(|err| err.to_string())?);
            }
        }
        for file in files {
            let name = Path::new(file);
            let text = std::fs::read(name).map_err(|err| format!("{}: {err}", name.display()))?;
            let label = name.file_stem().unwrap_or_default().to_string_lossy();
            for line in String::from_utf8_lossy(&text).lines() {
                reader.push(&label, line);
            }
        }
        Ok(reader)
    }

    /// Adds a line of a log. The text before its `{` names its node; if there is none, `file` does.
    pub fn push(&mut self, file: &str, text: &str) {
        let Some(start) = text.find('{') else { return };
        let (prefix, json) = text.split_at(start);
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(json) else {
            self.unreadable += 1;
            return;
        };
        let Some(time_ms) = fields
            .get("timestamp")
            .and_then(Value::as_str)
            .and_then(parse_millis)
        else {
            return;
        };
        let node = prefix.split_whitespace().last().unwrap_or(file);
        self.sources.insert(node.to_owned());
        self.lines.push(Line {
            time_ms,
            source: node.to_owned(),
            fields,
        });
    }

    /// The report on `subject`, one string per line.
    pub fn report(&self, subject: &Subject) -> Vec<String> {
        let mut found: Vec<&Line> = self.lines.iter().filter(|l| l.matches(subject)).collect();
        if let Subject::Request(_) = subject {
            found.extend(self.related(&found));
        }
        found.sort_by_key(|l| l.time_ms);
        found.dedup();
        let mut report: Vec<String> = found.into_iter().map(Line::report).collect();
        if report.is_empty() {
            let nodes: Vec<&str> = self.sources.iter().map(String::as_str).collect();
            report.push(format!(
                "no lines found; a complete response that is on time logs none. Logs read: {}",
                nodes.join(", ")
            ));
        }
        if self.unreadable > 0 {
            report.push(format!("{} lines could not be read", self.unreadable));
        }
        report
    }

    /// Lines from the same time about the replicas and hosts that `lines` name.
    fn related(&self, lines: &[&Line]) -> Vec<&Line> {
        let names = |field: &str| -> BTreeSet<&str> {
            lines
                .iter()
                .filter_map(|l| l.text(field))
                .filter(|t| !t.is_empty())
                .collect()
        };
        let (replicas, hosts) = (names("replica"), names("host"));
        let times = || lines.iter().map(|l| l.time_ms);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return Vec::new();
        };
        let margin = i64::try_from(RELATED_WINDOW.as_millis()).unwrap_or(i64::MAX);
        let near = |l: &&Line| l.time_ms >= first - margin && l.time_ms <= last + margin;
        let no_request = |l: &&Line| l.text("request").is_none();
        let same_replica_or_host = |l: &&Line| {
            l.text("replica").is_some_and(|r| replicas.contains(r))
                || (l.text("event") == Some("host-gone")
                    && l.text("host").is_some_and(|h| hosts.contains(h)))
        };
        self.lines
            .iter()
            .filter(near)
            .filter(no_request)
            .filter(same_replica_or_host)
            .collect()
    }
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn matches(&self, subject: &Subject) -> bool {
        match subject {
            Subject::Request(id) => self.text("request") == Some(id),
            Subject::Replica(name) => self.text("replica") == Some(name),
            Subject::Host(name) => {
                let silent = self
                    .text("silent")
                    .is_some_and(|s| s.contains(name.as_str()));
                self.text("host") == Some(name) || silent
            }
            Subject::Config(version) => {
                let event = self.text("event") == Some("config");
                event && self.fields.get("version").and_then(Value::as_u64) == Some(*version)
            }
        }
    }

    fn report(&self) -> String {
        let time = self
            .text("timestamp")
            .and_then(|t| t.get(11..23))
            .unwrap_or_default();
        let event = self.text("event").unwrap_or("?");
        let skipped = ["timestamp", "level", "event"];
        let rest = self
            .fields
            .iter()
            .filter(|(name, _)| !skipped.contains(&name.as_str()));
        let rest = rest.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        let rest: Vec<String> = rest.collect();
        format!("{time} {} {event} {}", self.source, rest.join(" "))
    }
}

/// Parses a time like `2026-05-03T21:06:03.005590Z` to milliseconds since the start of its month:
/// lines of one report are minutes apart at most.
fn parse_millis(time: &str) -> Option<i64> {
    let part = |from: usize, to: usize| time.get(from..to)?.parse::<i64>().ok();
    let (day, hour) = (part(8, 10)?, part(11, 13)?);
    let (minute, second) = (part(14, 16)?, part(17, 19)?);
    let fraction = time
        .get(20..)?
        .trim_end_matches('Z')
        .get(..3)?
        .parse::<i64>()
        .ok()?;
    Some((((day * 24 + hour) * 60 + minute) * 60 + second) * 1000 + fraction)
}
