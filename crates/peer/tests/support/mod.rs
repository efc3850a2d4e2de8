//! Helpers shared by the tests of this crate.
#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod net;
