//! Reads the entries of one section by its table of keys.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;
use crate::document::{Entry, Section};
use crate::schema::{Key, Presence, ValueType};
use crate::units::{is_valid_name, parse_duration};

/// One section under its keys.
///
/// Each getter reports what is wrong and then returns a value within the key's
/// limits, so that one mistake doesn't hide the next; such values never get
/// out, because a reader with problems yields no result.
#[derive(Debug)]
pub struct SectionReader<'a> {
    section: &'a Section,
    keys: Vec<&'static Key>,
}

impl<'a> SectionReader<'a> {
    /// Checks the entries' names against `tables`; unknown, repeated and missing ones are reported.
    pub fn new(
        section: &'a Section,
        tables: &[&'static [Key]],
        diagnostics: &mut Diagnostics,
    ) -> SectionReader<'a> {
        let keys: Vec<&'static Key> = tables.iter().flat_map(|t| t.iter()).collect();
        let reader = SectionReader { section, keys };
        reader.check_names(diagnostics);
        reader.check_required(diagnostics);
        reader
    }

    fn check_names(&self, diagnostics: &mut Diagnostics) {
        for (i, entry) in self.section.entries.iter().enumerate() {
            let name = &entry.key;
            if !self.keys.iter().any(|k| k.name == *name) {
                let known: Vec<&str> = self.keys.iter().map(|k| k.name).collect();
                let what = format!(
                    "`{name}` is no key of [{}] here, write one of {}",
                    self.section.name,
                    known.join(", ")
                );
                diagnostics.add(entry.line, what);
            }
            if let Some(first) = self.section.entries[..i].iter().find(|e| e.key == *name) {
                let line = first.line;
                diagnostics.add(
                    entry.line,
                    format!("`{name}` again after line {line}, write it once"),
                );
            }
        }
    }

    fn check_required(&self, diagnostics: &mut Diagnostics) {
        for key in &self.keys {
            if key.presence == Presence::Required && self.entry(key.name).is_none() {
                let what = format!(
                    "[{}] has no `{}`, write `{} = ...` with {}",
                    self.section.name,
                    key.name,
                    key.name,
                    key.value_type.describe()
                );
                diagnostics.add(self.section.line, what);
            }
        }
    }

    fn entry(&self, name: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|e| e.key == name)
    }

    fn key(&self, name: &str) -> &'static Key {
        let found = self.keys.iter().find(|k| k.name == name);
        found.expect("the code asks only for keys of its own table")
    }

    /// The line to blame for `name`: its own, or the section's when it is left out.
    pub fn line(&self, name: &str) -> usize {
        self.entry(name).map_or(self.section.line, |e| e.line)
    }

    /// What is written for `name`, or its default.
    fn text(&self, name: &str) -> Option<&'a str> {
        if let Some(entry) = self.entry(name) {
            return Some(&entry.value);
        }
        match self.key(name).presence {
            Presence::Default(value) => Some(value),
            Presence::Required | Presence::Derived(_) => None,
        }
    }

    /// The value of `name` by `parse`; `None` when it is left out or wrong.
    fn value<T>(
        &self,
        name: &str,
        diagnostics: &mut Diagnostics,
        parse: impl Fn(&str, &ValueType) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(name)?;
        let value_type = &self.key(name).value_type;
        let value = parse(text, value_type);
        if value.is_none() {
            let shown: String = text.chars().take(80).collect();
            let what = format!(
                "`{name} = {shown}` can't be, write {}",
                value_type.describe()
            );
            diagnostics.add(self.line(name), what);
        }
        value
    }

    /// A whole number; `None` when it is left out or wrong.
    pub fn optional_number(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<u32> {
        self.value(name, diagnostics, |text, value_type| {
            let ValueType::Number { min, max } = value_type else {
                return None;
            };
            let number: u64 = text.parse().ok()?;
            let in_limits = (*min..=*max).contains(&number);
            in_limits.then_some(u32::try_from(number).ok()?)
        })
    }

    /// A whole number; the lowest allowed when wrong.
    pub fn number(&self, name: &str, diagnostics: &mut Diagnostics) -> u32 {
        let ValueType::Number { min, .. } = self.key(name).value_type else {
            return 0;
        };
        let lowest = u32::try_from(min).unwrap_or(u32::MAX);
        self.optional_number(name, diagnostics).unwrap_or(lowest)
    }

    /// A number with decimals; zero when wrong.
    pub fn decimal(&self, name: &str, diagnostics: &mut Diagnostics) -> f64 {
        let found = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Decimal { max } = value_type else {
                return None;
            };
            let number: f64 = text.parse().ok()?;
            (number >= 0.0 && number <= *max as f64).then_some(number)
        });
        found.unwrap_or_default()
    }

    /// A duration.
    pub fn duration(&self, name: &str, diagnostics: &mut Diagnostics) -> Duration {
        let found = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Duration { min, max } = value_type else {
                return None;
            };
            parse_duration(text).filter(|d| (*min..=*max).contains(d))
        });
        found.unwrap_or_default()
    }

    /// The chosen word, always one of the key's; the first one when wrong.
    pub fn choice(&self, name: &str, diagnostics: &mut Diagnostics) -> &'static str {
        let ValueType::Choice(words) = self.key(name).value_type else {
            return "";
        };
        let found = self.value(name, diagnostics, |text, _| {
            words.iter().find(|w| **w == text)
        });
        found.unwrap_or(&words[0])
    }

    /// A `yes` or `no`; `None` when it is left out or wrong.
    pub fn optional_boolean(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<bool> {
        self.value(name, diagnostics, |text, _| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// A `yes` or `no`.
    pub fn boolean(&self, name: &str, diagnostics: &mut Diagnostics) -> bool {
        self.choice(name, diagnostics) == "yes"
    }

    /// A name; empty when wrong.
    pub fn name(&self, name: &str, diagnostics: &mut Diagnostics) -> SmolStr {
        let found = self.value(name, diagnostics, |text, _| {
            is_valid_name(text).then(|| text.into())
        });
        found.unwrap_or_default()
    }

    /// A list of names, each once.
    pub fn names(&self, name: &str, diagnostics: &mut Diagnostics) -> Vec<SmolStr> {
        let found = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Names { max } = value_type else {
                return None;
            };
            let names = split_list(text);
            let all = names.iter().all(|n| is_valid_name(n)) && names.len() <= *max;
            all.then(|| names.iter().map(SmolStr::new).collect::<Vec<_>>())
        });
        let names = found.unwrap_or_default();
        if let Some(twice) = first_repeated(&names) {
            diagnostics.add(
                self.line(name),
                format!("`{name}` has {twice} twice, write it once"),
            );
        }
        names
    }

    /// A SHA-256 in lower-case digits.
    pub fn sha256(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<SmolStr> {
        self.value(name, diagnostics, |text, _| {
            let digits = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
            digits.then(|| text.to_ascii_lowercase().into())
        })
    }

    /// A numeric `IP:PORT`.
    pub fn address(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<SocketAddr> {
        self.value(name, diagnostics, |text, _| text.parse().ok())
    }

    /// A list of numeric `IP:PORT`s.
    pub fn addresses(&self, name: &str, diagnostics: &mut Diagnostics) -> Vec<SocketAddr> {
        let found = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Addresses { max } = value_type else {
                return None;
            };
            let items = split_list(text);
            let within = items.len() <= *max;
            let parsed: Option<Vec<SocketAddr>> = items.iter().map(|a| a.parse().ok()).collect();
            parsed.filter(|_| within)
        });
        found.unwrap_or_default()
    }

    /// The path of a file.
    pub fn path(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<String> {
        self.value(name, diagnostics, |text, _| {
            (!text.is_empty()).then(|| text.to_owned())
        })
    }
}

fn split_list(text: &str) -> Vec<&str> {
    if text.trim().is_empty() {
        return Vec::new();
    }
    text.split(',').map(str::trim).collect()
}

fn first_repeated(names: &[SmolStr]) -> Option<&SmolStr> {
    names
        .iter()
        .enumerate()
        .find(|(i, n)| names[..*i].contains(n))
        .map(|(_, n)| n)
}
