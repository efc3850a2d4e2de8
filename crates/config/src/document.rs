//! Splits an INI text into sections and entries with line numbers.

use ini::{Ini, ParseOption};
use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;

/// Maximum size of a text; it is stored in a single table row.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// One `[...]` section.
#[derive(Debug)]
pub struct Section {
    /// The text between the brackets, with whitespace collapsed.
    pub name: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Entries in the order of the text.
    pub entries: Vec<Entry>,
}

impl Section {
    /// An omitted section, without entries.
    pub fn empty(name: &str) -> Section {
        Section {
            name: name.to_owned(),
            line: 1,
            entries: Vec::new(),
        }
    }
}

/// One `key = value` entry.
#[derive(Debug)]
pub struct Entry {
    /// The text before the separator, trimmed.
    pub key: SmolStr,
    /// The text after the separator, trimmed.
    pub value: String,
    /// Line number, counted from 1.
    pub line: usize,
}

/// Splits `text` into sections; errors are added to `diagnostics`.
///
/// The INI library joins a line without `=` with the next one, parses an indented
/// comment as a key and reports no line numbers. So each line is classified first,
/// and the library's sections and entries are matched with these lines.
pub fn read_sections(text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
    if text.len() > MAX_TEXT_BYTES {
        diagnostics.add(
            1,
            format!(
                "the text has {} bytes, the limit is {MAX_TEXT_BYTES}",
                text.len()
            ),
        );
        return Vec::new();
    }
    let lines = scan(text, diagnostics);
    let cleaned: Vec<&str> = lines.iter().map(Line::text).collect();
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    match Ini::load_from_str_opt(&cleaned.join("\n"), options) {
        Ok(ini) => attach_lines(&ini, &lines, diagnostics),
        Err(e) => {
            diagnostics.add(
                e.line,
                format!("invalid INI ({}), expected `key = value` lines", e.msg),
            );
            Vec::new()
        }
    }
}

/// One line of the text, trimmed.
enum Line<'a> {
    /// Blank, a comment or a reported error.
    Ignored,
    Header(&'a str),
    Entry(&'a str),
}

impl<'a> Line<'a> {
    fn text(&self) -> &'a str {
        match self {
            Line::Ignored => "",
            Line::Header(text) | Line::Entry(text) => text,
        }
    }
}

fn scan<'a>(text: &'a str, diagnostics: &mut Diagnostics) -> Vec<Line<'a>> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut in_section = false;
    let mut lines = Vec::new();
    for (i, line) in text.split('\n').enumerate() {
        let scanned = scan_line(line.trim()).unwrap_or_else(|message| {
            diagnostics.add(i + 1, message);
            Line::Ignored
        });
        if matches!(scanned, Line::Header(_)) {
            in_section = true;
        }
        if matches!(scanned, Line::Entry(_)) && !in_section {
            diagnostics.add(
                i + 1,
                "key outside of a section, add a section header like `[fleet]` first",
            );
        }
        lines.push(scanned);
    }
    lines
}

fn scan_line(line: &str) -> Result<Line<'_>, &'static str> {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Ok(Line::Ignored);
    }
    if line.chars().any(|c| c == '\\' || c.is_control()) {
        return Err("backslash or control character, expected plain text");
    }
    if let Some(inner) = line.strip_prefix('[') {
        return match inner.strip_suffix(']') {
            Some(name) if !name.trim().is_empty() && !name.contains(['[', ']']) => {
                Ok(Line::Header(line))
            }
            _ => Err("malformed section header, expected `[kind name]` on one line"),
        };
    }
    match line.find(['=', ':']) {
        Some(0) => Err("value without a key, expected `key = value`"),
        Some(_) => Ok(Line::Entry(line)),
        None => Err("neither a section header nor a key, expected `key = value`"),
    }
}

fn attach_lines(ini: &Ini, lines: &[Line<'_>], diagnostics: &mut Diagnostics) -> Vec<Section> {
    let mut headers = line_numbers(lines, |l| matches!(l, Line::Header(_)));
    let mut entries = line_numbers(lines, |l| matches!(l, Line::Entry(_)));
    let mut sections = Vec::new();
    for (name, properties) in ini {
        // Entries outside of a section were reported by the scan.
        let line = name.map(|_| headers.next().unwrap_or(1));
        let entries = properties
            .iter()
            .map(|(key, value)| Entry {
                key: key.into(),
                value: value.trim().to_owned(),
                line: entries.next().unwrap_or(1),
            })
            .collect();
        if let (Some(name), Some(line)) = (name, line) {
            let name = name.split_whitespace().collect::<Vec<_>>().join(" ");
            sections.push(Section {
                name,
                line,
                entries,
            });
        }
    }
    if headers.next().is_some() || entries.next().is_some() {
        diagnostics.add(
            1,
            "ambiguous sections, write each `[section]` on its own line",
        );
    }
    sections
}

fn line_numbers<'a>(
    lines: &'a [Line<'a>],
    predicate: impl Fn(&Line<'a>) -> bool + 'a,
) -> impl Iterator<Item = usize> + 'a {
    lines
        .iter()
        .enumerate()
        .filter(move |(_, l)| predicate(l))
        .map(|(i, _)| i + 1)
}
