//! Reads and validates the entries of one section by its schema.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;
use crate::document::{Entry, Section};
use crate::schema::{Key, Presence, ValueType};
use crate::units::{is_valid_name, parse_duration};

/// Typed access to the entries of one section.
///
/// Each getter reports an invalid value and returns a placeholder, so that one
/// error doesn't hide the next. Placeholders are never used, because
/// [`Diagnostics::finish`] returns the errors instead.
#[derive(Debug)]
pub struct SectionReader<'a> {
    section: &'a Section,
    keys: Vec<&'static Key>,
}

impl<'a> SectionReader<'a> {
    /// Checks the entries against the keys of `tables`; unknown, duplicate and missing keys are reported.
    pub fn new(
        section: &'a Section,
        tables: &[&'static [Key]],
        diagnostics: &mut Diagnostics,
    ) -> SectionReader<'a> {
        let keys: Vec<&'static Key> = tables.iter().flat_map(|t| t.iter()).collect();
        let reader = SectionReader { section, keys };
        reader.check_keys(diagnostics);
        reader.check_required(diagnostics);
        reader
    }

    fn check_keys(&self, diagnostics: &mut Diagnostics) {
        for (i, entry) in self.section.entries.iter().enumerate() {
            let name = &entry.key;
            if !self.keys.iter().any(|k| k.name == *name) {
                let known: Vec<&str> = self.keys.iter().map(|k| k.name).collect();
                let message = format!(
                    "unknown key `{name}` in [{}], expected one of {}",
                    self.section.name,
                    known.join(", ")
                );
                diagnostics.add(entry.line, message);
            }
            if let Some(first) = self.section.entries[..i].iter().find(|e| e.key == *name) {
                let line = first.line;
                diagnostics.add(
                    entry.line,
                    format!("duplicate key `{name}`, first set on line {line}"),
                );
            }
        }
    }

    fn check_required(&self, diagnostics: &mut Diagnostics) {
        for key in &self.keys {
            if key.presence == Presence::Required && self.entry(key.name).is_none() {
                let message = format!(
                    "[{}] is missing the required key `{}`, add `{} = ...` with {}",
                    self.section.name,
                    key.name,
                    key.name,
                    key.value_type.describe()
                );
                diagnostics.add(self.section.line, message);
            }
        }
    }

    fn entry(&self, name: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|e| e.key == name)
    }

    fn key(&self, name: &str) -> &'static Key {
        let key = self.keys.iter().find(|k| k.name == name);
        key.expect("`name` is a key of the schema")
    }

    /// The line of `name`, or that of the section if the key is omitted.
    pub fn line(&self, name: &str) -> usize {
        self.entry(name).map_or(self.section.line, |e| e.line)
    }

    /// The text of `name`, or its default.
    fn text(&self, name: &str) -> Option<&'a str> {
        if let Some(entry) = self.entry(name) {
            return Some(&entry.value);
        }
        match self.key(name).presence {
            Presence::Default(value) => Some(value),
            Presence::Required | Presence::Derived(_) => None,
        }
    }

    /// The value of `name`, converted by `parse`; `None` if omitted or invalid.
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
            let truncated: String = text.chars().take(80).collect();
            let message = format!(
                "`{name} = {truncated}` is invalid, expected {}",
                value_type.describe()
            );
            diagnostics.add(self.line(name), message);
        }
        value
    }

    /// A whole number; `None` if omitted or invalid.
    pub fn optional_number(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<u32> {
        self.value(name, diagnostics, |text, value_type| {
            let ValueType::Number { min, max } = value_type else {
                return None;
            };
            let number: u64 = text.parse().ok()?;
            let in_range = (*min..=*max).contains(&number);
            in_range.then_some(u32::try_from(number).ok()?)
        })
    }

    /// A whole number; the minimum if invalid.
    pub fn number(&self, name: &str, diagnostics: &mut Diagnostics) -> u32 {
        let ValueType::Number { min, .. } = self.key(name).value_type else {
            return 0;
        };
        let minimum = u32::try_from(min).unwrap_or(u32::MAX);
        self.optional_number(name, diagnostics).unwrap_or(minimum)
    }

    /// A decimal number; zero if invalid.
    pub fn decimal(&self, name: &str, diagnostics: &mut Diagnostics) -> f64 {
        self.optional_decimal(name, diagnostics).unwrap_or_default()
    }

    /// A decimal number; `None` if omitted without a default, or invalid.
    pub fn optional_decimal(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<f64> {
        self.value(name, diagnostics, |text, value_type| {
            let ValueType::Decimal { max } = value_type else {
                return None;
            };
            let number: f64 = text.parse().ok()?;
            (number >= 0.0 && number <= *max as f64).then_some(number)
        })
    }

    /// A duration; zero if invalid.
    pub fn duration(&self, name: &str, diagnostics: &mut Diagnostics) -> Duration {
        let value = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Duration { min, max } = value_type else {
                return None;
            };
            parse_duration(text).filter(|d| (*min..=*max).contains(d))
        });
        value.unwrap_or_default()
    }

    /// One of the key's choices; the first one if invalid.
    pub fn choice(&self, name: &str, diagnostics: &mut Diagnostics) -> &'static str {
        let ValueType::Choice(words) = self.key(name).value_type else {
            return "";
        };
        let value = self.value(name, diagnostics, |text, _| {
            words.iter().find(|w| **w == text)
        });
        value.unwrap_or(&words[0])
    }

    /// A `yes` or `no`; `None` if omitted or invalid.
    pub fn optional_boolean(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<bool> {
        self.value(name, diagnostics, |text, _| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// A `yes` or `no`; the first choice if invalid.
    pub fn boolean(&self, name: &str, diagnostics: &mut Diagnostics) -> bool {
        self.choice(name, diagnostics) == "yes"
    }

    /// A name; empty if invalid.
    pub fn name(&self, name: &str, diagnostics: &mut Diagnostics) -> SmolStr {
        let value = self.value(name, diagnostics, |text, _| {
            is_valid_name(text).then(|| text.into())
        });
        value.unwrap_or_default()
    }

    /// A list of names without duplicates; empty if invalid.
    pub fn names(&self, name: &str, diagnostics: &mut Diagnostics) -> Vec<SmolStr> {
        let value = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Names { max } = value_type else {
                return None;
            };
            let names = split_list(text);
            let valid = names.iter().all(|n| is_valid_name(n)) && names.len() <= *max;
            valid.then(|| names.iter().map(SmolStr::new).collect::<Vec<_>>())
        });
        let names = value.unwrap_or_default();
        if let Some(duplicate) = first_duplicate(&names) {
            diagnostics.add(self.line(name), format!("`{name}` lists {duplicate} twice"));
        }
        names
    }

    /// A SHA-256 in lower-case hexadecimal digits; `None` if omitted or invalid.
    pub fn sha256(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<SmolStr> {
        self.value(name, diagnostics, |text, _| {
            let digits = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
            digits.then(|| text.to_ascii_lowercase().into())
        })
    }

    /// A numeric `IP:PORT`; `None` if omitted or invalid.
    pub fn address(&self, name: &str, diagnostics: &mut Diagnostics) -> Option<SocketAddr> {
        self.value(name, diagnostics, |text, _| text.parse().ok())
    }

    /// A list of numeric `IP:PORT`s; empty if invalid.
    pub fn addresses(&self, name: &str, diagnostics: &mut Diagnostics) -> Vec<SocketAddr> {
        let value = self.value(name, diagnostics, |text, value_type| {
            let ValueType::Addresses { max } = value_type else {
                return None;
            };
            let items = split_list(text);
            let in_range = items.len() <= *max;
            let parsed: Option<Vec<SocketAddr>> = items.iter().map(|a| a.parse().ok()).collect();
            parsed.filter(|_| in_range)
        });
        value.unwrap_or_default()
    }

    /// A file path; `None` if omitted or empty.
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

fn first_duplicate(names: &[SmolStr]) -> Option<&SmolStr> {
    names
        .iter()
        .enumerate()
        .find(|(i, n)| names[..*i].contains(n))
        .map(|(_, n)| n)
}
