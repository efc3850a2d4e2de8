//! One eelgrassmill node: its ports, its loops and the wiring between policy and I/O.
