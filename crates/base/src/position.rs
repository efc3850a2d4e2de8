//! Positions in the changes of a store that can come back from an older copy.

use crate::{RowVersion, value};

/// How often a store has come back from an older copy of itself. Versions that it had given out
/// since the copy are given out again.
pub type StoreEra = u64;

value! { copy
    /// A position in a store's changes. Ordered by era first: a later era replaces what the store
    /// held at any version of an earlier one. The default is before everything.
    #[derive(Default)]
    pub struct StorePosition {
        /// The era in which `version` was given out; 0 for a store that names none.
        pub era: StoreEra,
        /// The version; 0 before the first one.
        pub version: RowVersion,
    }
}
