//! Targets: the adapter to model engines and to plain services.
