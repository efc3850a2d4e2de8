//! Tables of keys: what may be written in a section, with defaults and limits.
//!
//! The reader and the reference page both come from these tables, so that a
//! limit can't be one thing in the code and another on the page.

use std::time::Duration;

use eelgrassmill_base::value;

use crate::units::format_duration;

value! {
    /// What a value must look like.
    pub enum ValueType {
        /// A whole number from `min` to `max`.
        Number {
            /// Lowest.
            min: u64,
            /// Highest.
            max: u64,
        },
        /// A number of zero or more with decimals, like `0.2`.
        Decimal {
            /// Highest.
            max: u64,
        },
        /// A duration like `250ms`, `10s`, `10m` or `2h`.
        Duration {
            /// Shortest.
            min: Duration,
            /// Longest.
            max: Duration,
        },
        /// One of these words.
        Choice(&'static [&'static str]),
        /// A name, see [`crate::is_valid_name`].
        Name,
        /// Names with commas between them.
        Names {
            /// Longest list.
            max: usize,
        },
        /// `IP:PORT` with a numeric address.
        Address,
        /// `IP:PORT`s with commas between them.
        Addresses {
            /// Longest list.
            max: usize,
        },
        /// A SHA-256 as 64 hexadecimal digits.
        Sha256,
        /// The path of a file.
        Path,
    }

    /// What happens when a key is left out.
    pub enum Presence {
        /// It can't be left out.
        Required,
        /// This value counts.
        Default(&'static str),
        /// Another rule counts, said in words.
        Derived(&'static str),
    }

    /// One key.
    pub struct Key {
        /// Its name.
        pub name: &'static str,
        /// What its value must look like.
        pub value_type: ValueType,
        /// What happens when it is left out.
        pub presence: Presence,
        /// What it does, in one line.
        pub description: &'static str,
    }

    /// The keys of one kind of section.
    pub struct SectionKeys {
        /// The section as it is written, like `[tenant NAME]`.
        pub section: &'static str,
        /// Its keys.
        pub keys: &'static [Key],
    }
}

/// A required key.
pub const fn required(name: &'static str, value_type: ValueType, description: &'static str) -> Key {
    Key {
        name,
        value_type,
        presence: Presence::Required,
        description,
    }
}

/// A key with a default value.
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
    }
}

/// A key whose absence has a meaning of its own.
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
    }
}

impl ValueType {
    /// A number's shape.
    pub const fn number(min: u64, max: u64) -> ValueType {
        ValueType::Number { min, max }
    }

    /// A duration's shape.
    pub const fn duration(min: Duration, max: Duration) -> ValueType {
        ValueType::Duration { min, max }
    }

    /// What to write, for errors and for the reference page.
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
    /// As it stands on the reference page.
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
    /// The section's name without its brackets.
    pub fn name(&self) -> &'static str {
        self.section.trim_matches(['[', ']'])
    }

    /// Rows of a table for the reference page: key, what to write, default, meaning.
    pub fn reference_table(&self) -> String {
        let mut page = format!("### `{}`\n\n", self.section);
        page.push_str("| key | what to write | when left out | meaning |\n");
        page.push_str("| --- | --- | --- | --- |\n");
        for key in self.keys {
            let line = format!(
                "| `{}` | {} | {} | {} |\n",
                key.name,
                key.value_type.describe(),
                key.presence.describe(),
                key.description
            );
            page.push_str(&line);
        }
        page
    }
}
