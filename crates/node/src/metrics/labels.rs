//! Values of labels, and the names that they are shown by.

use eelgrassmill_base::value;

value! { copy
    /// What must always hold.
    pub enum Promise {
        /// No group serves while a host of it is missing.
        GroupWhole,
        /// No host belongs to two groups.
        HostInOneGroup,
        /// Each caller gets the whole answer to its own request.
        WholeOwnAnswer,
        /// What was called not run was not run.
        NotRunIsTrue,
        /// What must not be repeated runs at most once.
        AtMostOnce,
        /// A leaving target gets no new work.
        LeavingGetsNothing,
        /// A planned stop cuts off no request.
        GracefulStop,
        /// An accepted configuration never reverts.
        ConfigNeverReverts,
    }

    /// How a request ended, for counting.
    pub enum RequestEnd {
        /// The whole answer went out.
        Answered,
        /// Told as not run.
        NotRun,
        /// Told as unknown.
        Unknown,
        /// The caller left.
        CallerLeft,
    }

    /// Why an admin call was refused.
    pub enum AdminRefusal {
        /// No bearer token.
        TokenMissing,
        /// Another token.
        TokenWrong,
        /// Headers or body too long.
        TooLarge,
        /// Headers or body took too long.
        TooSlow,
        /// Not HTTP, or a body that can't be read.
        Malformed,
        /// No such call.
        UnknownCall,
        /// Too many connections at a time.
        TooMany,
    }

    /// A call to the table service, for counting.
    pub enum TableCall {
        /// One row read.
        Get,
        /// Rows read by prefix.
        Scan,
        /// A transaction.
        Commit,
    }

    /// How a call to the table service ended, for counting.
    pub enum TableResult {
        /// Done.
        Ok,
        /// A condition failed.
        Conflict,
        /// Certainly without effect.
        Unavailable,
        /// No answer: it may have had an effect.
        Unknown,
    }
}

impl Promise {
    /// All of them.
    pub const ALL: [Promise; 8] = [
        Promise::GroupWhole,
        Promise::HostInOneGroup,
        Promise::WholeOwnAnswer,
        Promise::NotRunIsTrue,
        Promise::AtMostOnce,
        Promise::LeavingGetsNothing,
        Promise::GracefulStop,
        Promise::ConfigNeverReverts,
    ];

    /// The label's value.
    pub fn name(self) -> &'static str {
        match self {
            Promise::GroupWhole => "group-whole",
            Promise::HostInOneGroup => "host-in-one-group",
            Promise::WholeOwnAnswer => "whole-own-answer",
            Promise::NotRunIsTrue => "not-run-is-true",
            Promise::AtMostOnce => "at-most-once",
            Promise::LeavingGetsNothing => "leaving-gets-nothing",
            Promise::GracefulStop => "graceful-stop",
            Promise::ConfigNeverReverts => "config-never-reverts",
        }
    }
}

impl RequestEnd {
    pub(crate) fn name(self) -> &'static str {
        match self {
            RequestEnd::Answered => "answered",
            RequestEnd::NotRun => "not-run",
            RequestEnd::Unknown => "unknown",
            RequestEnd::CallerLeft => "caller-left",
        }
    }
}

impl AdminRefusal {
    /// The label's value.
    pub fn name(self) -> &'static str {
        match self {
            AdminRefusal::TokenMissing => "token-missing",
            AdminRefusal::TokenWrong => "token-wrong",
            AdminRefusal::TooLarge => "too-large",
            AdminRefusal::TooSlow => "too-slow",
            AdminRefusal::Malformed => "malformed",
            AdminRefusal::UnknownCall => "unknown-call",
            AdminRefusal::TooMany => "too-many",
        }
    }
}

impl TableCall {
    pub(crate) fn name(self) -> &'static str {
        match self {
            TableCall::Get => "get",
            TableCall::Scan => "scan",
            TableCall::Commit => "commit",
        }
    }
}

impl TableResult {
    pub(crate) fn name(self) -> &'static str {
        match self {
            TableResult::Ok => "ok",
            TableResult::Conflict => "conflict",
            TableResult::Unavailable => "unavailable",
            TableResult::Unknown => "unknown",
        }
    }
}
