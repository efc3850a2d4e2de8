//! Errors of the admin API as problem+json (RFC 9457).

use eelgrassmill_base::value;
use eelgrassmill_config::Conflict;

value! { wire
    /// The body of an error.
    pub struct Problem {
        /// The HTTP status.
        pub status: u16,
        /// The sort of problem, in few words.
        pub title: String,
        /// This one, in a sentence.
        pub detail: String,
        /// Mistakes of a text as `file:line: what is wrong, what to write`.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub errors: Vec<String>,
        /// Who changed what, for a submission that lost against others.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub conflict: Option<Conflict>,
    }
}

impl Problem {
    pub(crate) fn new(
        status: http::StatusCode,
        title: impl Into<String>,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            status: status.as_u16(),
            title: title.into(),
            detail: detail.into(),
            errors: Vec::new(),
            conflict: None,
        }
    }
}
