//! The capacity model of `docs/CAPACITY.md`: computes a node's resource usage from measured costs.
//!
//! The example `capacity` measures the [`Inputs`] and prints them with the totals. The
//! page lists both, and a test checks the page's totals against its inputs.

mod inputs;
mod roles;

pub use crate::capacity::inputs::{Inputs, InputsError, LinearCost};
pub use crate::capacity::roles::{Budget, Role, Size, Usage, store_load, table, total};
