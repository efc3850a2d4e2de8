//! The eelgrassmill command line.

fn main() {}
