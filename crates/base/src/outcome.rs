//! What a caller is told of its request.

use crate::value;

value! { wire copy
    /// What became of a request that did not end in a plain answer.
    pub enum Outcome {
        /// No byte of it left for a target, or the target said that it refused it.
        NotRun,
        /// It may have run; nobody can tell.
        Unknown,
        /// It ran, and this is the answer.
        Answered,
    }
}

value! { wire copy
    /// Urgency of a request as RFC 9218 defines it: 0 is the most urgent, 7 the least.
    #[serde(transparent)]
    pub struct Urgency(pub u8);
}

impl Urgency {
    /// What a request without a `Priority` header has.
    pub const DEFAULT: Urgency = Urgency(3);
    /// Requests this urgent or more use the slots held back for urgent work.
    pub const URGENT: Urgency = Urgency(1);

    /// Whether the request counts as urgent.
    pub fn is_urgent(self) -> bool {
        self <= Urgency::URGENT
    }
}

impl Default for Urgency {
    fn default() -> Urgency {
        Urgency::DEFAULT
    }
}
