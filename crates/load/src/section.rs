//! Reading the keys of one section, with errors that say what to write.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use ini::Properties;
use smol_str::SmolStr;

use crate::scenario::Span;

/// What is wrong with a scenario's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// It isn't INI.
    #[error("line {line}: {what}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser says.
        what: String,
    },
    /// A section can't be there.
    #[error("section [{section}]: {what}")]
    Section {
        /// Its title.
        section: SmolStr,
        /// What is wrong with it and what to write.
        what: String,
    },
    /// A key is wrong.
    #[error("section [{section}], key {key}: {what}")]
    Key {
        /// The section's title.
        section: SmolStr,
        /// The key.
        key: SmolStr,
        /// What is wrong with it and what to write.
        what: String,
    },
}

/// One section; every key must be asked for before [`Section::finish`].
pub(crate) struct Section<'a> {
    title: SmolStr,
    props: &'a Properties,
    asked: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(title: &str, props: &'a Properties) -> Section<'a> {
        Section {
            title: title.into(),
            props,
            asked: BTreeSet::new(),
        }
    }

    pub(crate) fn text(&mut self, key: &'static str) -> Result<SmolStr, ScenarioError> {
        match self.optional(key) {
            Some(value) if !value.is_empty() => Ok(value.into()),
            _ => Err(self.bad(key, "is missing; write a value")),
        }
    }

    /// Text of the characters that paths and headers may hold as they are.
    pub(crate) fn word(&mut self, key: &'static str) -> Result<SmolStr, ScenarioError> {
        let text = self.text(key)?;
        self.check_word(key, text)
    }

    /// Like [`Section::word`], empty when it is absent.
    pub(crate) fn word_or_empty(&mut self, key: &'static str) -> Result<SmolStr, ScenarioError> {
        let text = self.text_or(key, "");
        self.check_word(key, text)
    }

    fn check_word(&self, key: &str, text: SmolStr) -> Result<SmolStr, ScenarioError> {
        if is_word(&text) {
            return Ok(text);
        }
        Err(self.bad(
            key,
            &format!("{text:?}; write letters, digits and any of -._~/"),
        ))
    }

    pub(crate) fn text_or(&mut self, key: &'static str, default: &str) -> SmolStr {
        self.optional(key).unwrap_or(default).into()
    }

    /// A number within `least..=greatest`, or `default`.
    pub(crate) fn number_or<T>(
        &mut self,
        key: &'static str,
        default: T,
        least: T,
        greatest: T,
    ) -> Result<T, ScenarioError>
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let Some(value) = self.optional(key) else {
            return Ok(default);
        };
        let number = value.trim().parse::<T>().ok();
        number
            .filter(|n| *n >= least && *n <= greatest)
            .ok_or_else(|| {
                self.bad(
                    key,
                    &format!("{value:?}; write a number from {least} to {greatest}"),
                )
            })
    }

    /// A time in seconds, decimal, up to an hour.
    pub(crate) fn seconds(&mut self, key: &'static str) -> Result<Option<Duration>, ScenarioError> {
        if !self.props.contains_key(key) {
            self.asked.insert(key);
            return Ok(None);
        }
        let seconds = self.number_or(key, 0.0, 0.0, MAX_SECONDS)?;
        Ok(Some(Duration::from_secs_f64(seconds)))
    }

    pub(crate) fn flag(&mut self, key: &'static str) -> Result<bool, ScenarioError> {
        match self.optional(key) {
            None | Some("no") => Ok(false),
            Some("yes") => Ok(true),
            Some(value) => Err(self.bad(key, &format!("{value:?}; write yes or no"))),
        }
    }

    /// `N` or `LEAST-GREATEST`, or `default`.
    pub(crate) fn span_or(
        &mut self,
        key: &'static str,
        default: Span,
        greatest: u64,
    ) -> Result<Span, ScenarioError> {
        let Some(value) = self.optional(key) else {
            return Ok(default);
        };
        let (from, to) = value.split_once('-').unwrap_or((value, value));
        let bounds = from.trim().parse().ok().zip(to.trim().parse().ok());
        let span = bounds.map(|(least, greatest)| Span { least, greatest });
        span.filter(|s| s.least <= s.greatest && s.greatest <= greatest)
            .ok_or_else(|| {
                self.bad(
                    key,
                    &format!("{value:?}; write N or LEAST-GREATEST up to {greatest}"),
                )
            })
    }

    /// Refuses keys that nobody asked for.
    pub(crate) fn finish(self) -> Result<(), ScenarioError> {
        let unknown = self.props.iter().find(|(key, _)| !self.asked.contains(key));
        match unknown {
            None => Ok(()),
            Some((key, _)) => Err(self.bad(key, &format!("unknown; known are {:?}", self.asked))),
        }
    }

    pub(crate) fn bad(&self, key: &str, what: &str) -> ScenarioError {
        ScenarioError::Key {
            section: self.title.clone(),
            key: key.into(),
            what: what.to_owned(),
        }
    }

    fn optional(&mut self, key: &'static str) -> Option<&'a str> {
        self.asked.insert(key);
        self.props.get(key)
    }
}

/// Whether `text` can stand in paths and headers as it is.
pub(crate) fn is_word(text: &str) -> bool {
    text.chars()
        .all(|c| c.is_ascii_alphanumeric() || "-._~/".contains(c))
}

const MAX_SECONDS: f64 = 3_600.0;
