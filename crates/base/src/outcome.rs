//! Request outcomes and request urgency.

use crate::value;

value! { wire copy
    /// Whether a request ran, as reported to the caller with a response that is not a plain answer.
    pub enum Outcome {
        /// No byte of it was sent to a target, or the target reported that it refused it.
        NotRun,
        /// It may have run; this cannot be determined.
        Unknown,
        /// It ran, and the response carries its answer.
        Answered,
    }
}

value! { wire copy
    /// Urgency of a request as RFC 9218 defines it: 0 is the most urgent, 7 the least.
    #[serde(transparent)]
    pub struct Urgency(pub u8);
}

impl Urgency {
    /// Urgency of a request without a `Priority` header.
    pub const DEFAULT: Urgency = Urgency(3);
    /// Requests at least this urgent may use the slots reserved for urgent requests.
    pub const URGENT: Urgency = Urgency(1);

    /// Returns whether the request may use the slots reserved for urgent requests.
    pub fn is_urgent(self) -> bool {
        self <= Urgency::URGENT
    }
}

impl Default for Urgency {
    fn default() -> Urgency {
        Urgency::DEFAULT
    }
}
