//! The callers' port.

pub(crate) mod addresses;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod call;
pub(crate) mod ending;
pub(crate) mod handler;
pub(crate) mod listen;
pub(crate) mod parse;
pub(crate) mod problem;
pub(crate) mod relay;
pub(crate) mod trial;
