//! What the tests of this crate share.
#![allow(dead_code)]

pub(crate) mod net;
