//! What one node knows, in shards that each have their own lock.

pub(crate) mod config;
pub(crate) mod core;
pub(crate) mod directory;
pub(crate) mod fleet;
pub(crate) mod guard;
pub(crate) mod ident;
pub(crate) mod journal;
pub(crate) mod lock;
pub(crate) mod quotas;
pub(crate) mod reports;
pub(crate) mod running;
pub(crate) mod seat;
pub(crate) mod shard;
pub(crate) mod table;
pub(crate) mod usage;
pub(crate) mod wholeness;
