//! Calls that run at most once: the claim in the table before the dispatch.

mod run;
mod store;

pub(crate) use run::{Once, owner_state};
pub(crate) use store::ClaimStore;
