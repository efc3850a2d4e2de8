//! A small specification of ownership, formations, configuration and at-most-once claims, for model checking and as a test oracle.

pub mod acceptance;
pub mod check;
pub mod claims;
pub mod formation;
pub mod ownership;
