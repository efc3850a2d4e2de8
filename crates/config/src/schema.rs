//! Schema of sections: keys with types, limits and defaults.
//!
//! The parser and the reference page are both generated from the schema, so that
//! their limits and defaults agree.

use std::time::Duration;

use eelgrassmill_base::value;

use crate::units::format_duration;

value! { copy
    /// When a changed value of a setting takes effect.
    pub enum Reload {
        /// At the next start.
        Restart,
        /// When the settings are read again.
        Live,
        /// When the settings are read again, unless the value is longer.
        LiveIfShorter,
    }
}

value! {
    /// Type and limits of a value.
    pub enum ValueType {
        /// A whole number from `min` to `max`.
        Number {
            /// Minimum.
            min: u64,
            /// Maximum.
            max: u64,
        },
        /// A non-negative decimal number like `0.2`.
        Decimal {
            /// Maximum.
            max: u64,
        },
        /// A duration like `250ms`, `10s`, `10m` or `2h`.
        Duration {
            /// Minimum.
            min: Duration,
            /// Maximum.
            max: Duration,
        },
        /// One of these words.
        Choice(&'static [&'static str]),
        /// A name, see [`crate::is_valid_name`].
        Name,
        /// Comma-separated names.
        Names {
            /// Maximum number of items.
            max: usize,
        },
        /// `IP:PORT` with a numeric address.
        Address,
        /// Comma-separated `IP:PORT`s.
        Addresses {
            /// Maximum number of items.
            max: usize,
        },
        /// A SHA-256 as 64 hexadecimal digits.
        Sha256,
        /// A file path.
        Path,
    }

    /// Whether a key is required, and its value if omitted.
    pub enum Presence {
        /// The key must be set.
        Required,
        /// This value is used if omitted.
        Default(&'static str),
        /// The value is derived as described if omitted.
        Derived(&'static str),
    }

    /// Schema of one key.
    pub struct Key {
        /// Name of the key.
        pub name: &'static str,
        /// Type and limits of its value.
        pub value_type: ValueType,
        /// Whether it is required, and its value if omitted.
        pub presence: Presence,
        /// One-line description.
        pub description: &'static str,
        /// When a changed value takes effect, if the key is a setting of a process.
        pub reload: Reload,
    }

    /// Schema of one kind of section.
    pub struct SectionKeys {
        /// The section header, like `[tenant NAME]`.
        pub section: &'static str,
        /// Keys of the section.
        pub keys: &'static [Key],
    }
}

/// Schema of a required key.
pub const fn required(name: &'static str, value_type: ValueType, description: &'static str) -> Key {
    Key {
        name,
        value_type,
        presence: Presence::Required,
        description,
        reload: Reload::Restart,
    }
}

/// Schema of a key with a default value.
pub const fn defaulted(
    name: &'static str,
    value_type: ValueType,
    value: &'static str,
    description: &'static str,
) -> Key {
    Key {
        name,
        value_type,
        presence: Presence::Default(value),
        description,
        reload: Reload::Restart,
    }
}

/// Schema of a key whose value is derived if omitted, as `source` describes.
pub const fn optional(
    name: &'static str,
    value_type: ValueType,
    source: &'static str,
    description: &'static str,
) -> Key {
    Key {
        name,
        value_type,
        presence: Presence::Derived(source),
        description,
        reload: Reload::Restart,
    }
}

impl Key {
    /// The same key with a value that takes effect when the settings are read again.
    pub const fn live(mut self) -> Key {
        self.reload = Reload::Live;
        self
    }

    /// The same key with a value of which a shorter one takes effect when the settings are read again.
    pub const fn live_if_shorter(mut self) -> Key {
        self.reload = Reload::LiveIfShorter;
        self
    }
}

impl Reload {
    /// Describes when a change takes effect, for the reference page.
    pub fn describe(self) -> &'static str {
        match self {
            Reload::Restart => "restart",
            Reload::Live => "at once",
            Reload::LiveIfShorter => "at once if shorter, else restart",
        }
    }
}

impl ValueType {
    /// A whole number from `min` to `max`.
    pub const fn number(min: u64, max: u64) -> ValueType {
        ValueType::Number { min, max }
    }

    /// A duration from `min` to `max`.
    pub const fn duration(min: Duration, max: Duration) -> ValueType {
        ValueType::Duration { min, max }
    }

    /// Describes valid values, for error messages and the reference page.
    pub fn describe(&self) -> String {
        match self {
            ValueType::Number { min, max } => format!("a whole number from {min} to {max}"),
            ValueType::Decimal { max } => format!("a number like 0.2 from 0 to {max}"),
            ValueType::Duration { min, max } => format!(
                "a duration like 250ms, 10s, 10m or 2h, from {} to {}",
                format_duration(*min),
                format_duration(*max)
            ),
            ValueType::Choice(words) => words.join(" or "),
            ValueType::Name => "a name of letters, digits, `.`, `_` and `-`, at most 64".to_owned(),
            ValueType::Names { max } => format!("names with commas between them, at most {max}"),
            ValueType::Address => "IP:PORT with a numeric address".to_owned(),
            ValueType::Addresses { max } => {
                format!("IP:PORTs with commas between them, at most {max}")
            }
            ValueType::Sha256 => "a SHA-256 as 64 hexadecimal digits".to_owned(),
            ValueType::Path => "the path of a file".to_owned(),
        }
    }
}

impl Presence {
    /// Describes the default, for the reference page.
    pub fn describe(&self) -> &'static str {
        match self {
            Presence::Required => "required",
            Presence::Default("") => "none",
            Presence::Default(value) => value,
            Presence::Derived(source) => source,
        }
    }
}

impl SectionKeys {
    /// The section header without its brackets.
    pub fn name(&self) -> &'static str {
        self.section.trim_matches(['[', ']'])
    }

    /// The key of this name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|k| k.name == name)
    }

    /// Markdown table for the reference page: key, valid values, default, description.
    pub fn reference_table(&self) -> String {
        self.table("", |_| String::new())
    }

    /// The same of settings that are read again while the process runs: also says when a change takes
    /// effect.
    pub fn reloadable_table(&self) -> String {
        self.table(" a change is in force |", |key| {
            format!(" {} |", key.reload.describe())
        })
    }

    fn table(&self, last_header: &str, last_cell: impl Fn(&Key) -> String) -> String {
        let mut page = format!("### `{}`\n\n", self.section);
        let header = format!("| key | what to write | when left out | meaning |{last_header}");
        let rule = "| --- ".repeat(header.matches(" |").count());
        page.push_str(&format!("{header}\n{rule}|\n"));
        for key in self.keys {
            let line = format!(
                "| `{}` | {} | {} | {} |{}\n",
                key.name,
                key.value_type.describe(),
                key.presence.describe(),
                key.description,
                last_cell(key)
            );
            page.push_str(&line);
        }
        page
    }
}
