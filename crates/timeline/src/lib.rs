//! The time line: bounded event logs ordered by a hybrid logical clock, merged over all nodes.
