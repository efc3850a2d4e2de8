//! Two nodes, a table with lost and late answers, hosts and one entry, over the real policy.

#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod oracle;
