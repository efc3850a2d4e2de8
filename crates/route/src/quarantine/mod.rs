//! Quarantine at the nodes of a fleet that share no requests.
//!
//! A crashing request may be sent to a different node each time, so no node sees enough of its
//! crashes. Sending each crash to all nodes would cost nodes times crashes. Instead, nodes report
//! crashes to the [`QuarantineCoordinator`] of the service, which finds the cause and sends its
//! decisions, which are few, to all nodes. Each node applies them from its [`QuarantineTable`].
//!
//! A request, or a part of prompts, that was quarantined by mistake is cleared by a trial: after some
//! seconds one attempt is permitted in the whole fleet. Each failed trial lengthens the quarantine.
//! Quarantining a part rejects all requests with it, so nodes are first asked whether any completed.

mod coordinator;
mod evidence;
mod saved;
mod table;

pub use crate::quarantine::coordinator::{QuarantineCoordinator, SuspectNotice, TrialDenied};
pub use crate::quarantine::evidence::{SavedCrash, SavedEvidence};
pub use crate::quarantine::saved::{SavedDecision, are_same_decisions};
pub use crate::quarantine::table::{QuarantineRecord, QuarantineStatus, QuarantineTable};
