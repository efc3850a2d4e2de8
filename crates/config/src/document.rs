//! An INI text as sections and entries that know their lines.

use ini::{Ini, ParseOption};
use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;

/// Longest text that is read, in bytes; a table row holds it whole.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// One `[...]` section.
#[derive(Debug)]
pub struct Section {
    /// What stands between the brackets, spaces collapsed.
    pub name: String,
    /// Its line.
    pub line: usize,
    /// Its entries in the order of the text.
    pub entries: Vec<Entry>,
}

impl Section {
    /// A section that was left out.
    pub fn empty(name: &str) -> Section {
        Section {
            name: name.to_owned(),
            line: 1,
            entries: Vec::new(),
        }
    }
}

/// One `key = value`.
#[derive(Debug)]
pub struct Entry {
    /// Left of the sign, trimmed.
    pub key: SmolStr,
    /// Right of the sign, trimmed.
    pub value: String,
    /// Its line.
    pub line: usize,
}

/// Splits `text` into sections; mistakes go to `problems`.
///
/// The INI library joins a line without `=` with the next one and takes an
/// indented comment for a key, and it tells no lines. So the lines are checked
/// one by one first, and only what both agree on is taken.
pub fn read_sections(text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
    if text.len() > MAX_TEXT_BYTES {
        diagnostics.add(
            1,
            format!(
                "the text has {} bytes, write at most {MAX_TEXT_BYTES}",
                text.len()
            ),
        );
        return Vec::new();
    }
    let lines = scan(text, diagnostics);
    let clean: Vec<&str> = lines.iter().map(Line::text).collect();
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    match Ini::load_from_str_opt(&clean.join("\n"), option) {
        Ok(ini) => attach_lines(&ini, &lines, diagnostics),
        Err(e) => {
            diagnostics.add(
                e.line,
                format!("not INI ({}), write `key = value` lines", e.msg),
            );
            Vec::new()
        }
    }
}

/// One line of the text, trimmed.
enum Line<'a> {
    /// Blank, a comment, or reported as a mistake.
    Nothing,
    Header(&'a str),
    Entry(&'a str),
}

impl<'a> Line<'a> {
    fn text(&self) -> &'a str {
        match self {
            Line::Nothing => "",
            Line::Header(text) | Line::Entry(text) => text,
        }
    }
}

fn scan<'a>(text: &'a str, diagnostics: &mut Diagnostics) -> Vec<Line<'a>> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut in_section = false;
    let mut lines = Vec::new();
    for (i, line) in text.split('\n').enumerate() {
        let read = scan_line(line.trim()).unwrap_or_else(|what| {
            diagnostics.add(i + 1, what);
            Line::Nothing
        });
        if matches!(read, Line::Header(_)) {
            in_section = true;
        }
        if matches!(read, Line::Entry(_)) && !in_section {
            diagnostics.add(
                i + 1,
                "a key before any section, write a section line like `[fleet]` first",
            );
        }
        lines.push(read);
    }
    lines
}

fn scan_line(line: &str) -> Result<Line<'_>, &'static str> {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Ok(Line::Nothing);
    }
    if line.chars().any(|c| c == '\\' || c.is_control()) {
        return Err("a backslash or control character, write plain text");
    }
    if let Some(inner) = line.strip_prefix('[') {
        return match inner.strip_suffix(']') {
            Some(name) if !name.trim().is_empty() && !name.contains(['[', ']']) => {
                Ok(Line::Header(line))
            }
            _ => Err("an unfinished section line, write it as `[kind name]` on one line"),
        };
    }
    match line.find(['=', ':']) {
        Some(0) => Err("a value without its key, write `key = value`"),
        Some(_) => Ok(Line::Entry(line)),
        None => Err("neither a section nor a key, write `key = value`"),
    }
}

fn attach_lines(ini: &Ini, lines: &[Line<'_>], diagnostics: &mut Diagnostics) -> Vec<Section> {
    let mut headers = numbered(lines, |l| matches!(l, Line::Header(_)));
    let mut entries = numbered(lines, |l| matches!(l, Line::Entry(_)));
    let mut sections = Vec::new();
    for (name, properties) in ini {
        // Entries before any section were reported by the scan.
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
            "sections can't be told apart, write each `[section]` on its own line",
        );
    }
    sections
}

fn numbered<'a>(
    lines: &'a [Line<'a>],
    wanted: impl Fn(&Line<'a>) -> bool + 'a,
) -> impl Iterator<Item = usize> + 'a {
    lines
        .iter()
        .enumerate()
        .filter(move |(_, l)| wanted(l))
        .map(|(i, _)| i + 1)
}
