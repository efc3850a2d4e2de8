//! What the tests of this crate share.
#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod net;
