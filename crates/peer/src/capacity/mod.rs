//! The arithmetic of `docs/CAPACITY.md`: from measured slopes to what a node needs.
//!
//! The example `capacity` measures the [`Inputs`] and prints them with the totals; the
//! page keeps both, and a test holds the page's totals against its inputs.

mod inputs;
mod roles;

pub use crate::capacity::inputs::{Inputs, InputsError, Line};
pub use crate::capacity::roles::{Budget, Role, Size, Usage, store_load, table, total};
