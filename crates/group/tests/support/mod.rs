//! A simulated cluster around the real policy: two nodes, a table with lost responses and delayed
//! writes, hosts and one entry host.

#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod oracle;
