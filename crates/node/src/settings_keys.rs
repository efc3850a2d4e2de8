//! The keys of a node's settings file.

use std::time::Duration;

use eelgrassmill_config::{Key, SectionKeys, ValueType, defaulted, optional, required};

const MAX_ADDRESSES: usize = 64;
const MILLIS_50: Duration = Duration::from_millis(50);
const MILLIS_100: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

/// Half of the age at which a host's report no longer counts: with a longer
/// interval one lost probe would stop the host's group.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(750);

pub(crate) const NODE: &[Key] = &[
    required(
        "id",
        ValueType::Name,
        "The node's name, unique over all nodes.",
    ),
    required("region", ValueType::Name, "Its region."),
    required("failure_domain", ValueType::Name, "Its failure domain."),
];

pub(crate) const LISTEN: &[Key] = &[
    required(
        "callers",
        ValueType::Address,
        "Where callers reach it; told to them as it stands.",
    ),
    required(
        "admin",
        ValueType::Address,
        "Where operators and the metrics collector reach it.",
    ),
    required(
        "peers",
        ValueType::Address,
        "Where other nodes reach it; told to them as it stands.",
    ),
];

pub(crate) const PLATFORM: &[Key] = &[
    required("table", ValueType::Address, "The table service."),
    optional(
        "objects",
        ValueType::Address,
        "same as table",
        "The object store.",
    ),
    optional(
        "weights",
        ValueType::Address,
        "same as table",
        "The weight store.",
    ),
    optional(
        "hosts",
        ValueType::Address,
        "same as table",
        "The host list.",
    ),
];

pub(crate) const ADMIN: &[Key] = &[
    optional(
        "token_sha256",
        ValueType::Sha256,
        "token_file counts",
        "SHA-256 of the operators' bearer token.",
    ),
    optional(
        "token_file",
        ValueType::Path,
        "token_sha256 counts",
        "File that holds the operators' bearer token alone; read at the start.",
    ),
    defaulted(
        "connections",
        ValueType::number(1, 1_000),
        "32",
        "Connections at a time; more are closed at once.",
    ),
];

pub(crate) const PEERS: &[Key] = &[defaulted(
    "seeds",
    ValueType::Addresses { max: MAX_ADDRESSES },
    "",
    "Peer addresses of some other nodes, to learn of the rest when the table is down.",
)];

pub(crate) const TIMING: &[Key] = &[
    defaulted(
        "lease_term",
        ValueType::duration(SECOND, MINUTE),
        "10s",
        "How long the node's lease counts from before the renewal that succeeded.",
    ),
    defaulted(
        "clock_margin",
        ValueType::duration(MILLIS_100, MINUTE),
        "1s",
        "Added to another node's term before its lease counts as lapsed.",
    ),
    defaulted(
        "order_time",
        ValueType::duration(MILLIS_100, MINUTE),
        "5s",
        "Longest time that an order can be under way to a host.",
    ),
    defaulted(
        "probe_interval",
        ValueType::duration(MILLIS_50, MAX_PROBE_INTERVAL),
        "500ms",
        "Time between two probes of a host by one watcher.",
    ),
    defaulted(
        "address_keep",
        ValueType::duration(MILLIS_100, HOUR),
        "5s",
        "How long callers may keep the answer to which address to use.",
    ),
    defaulted(
        "stop_time",
        ValueType::duration(SECOND, HOUR),
        "60s",
        "Longest time that a stopping node waits for requests in progress. Where a service's timeout is longer, a stop refuses calls.",
    ),
];

pub(crate) const LIMITS: &[Key] = &[
    defaulted(
        "connections",
        ValueType::number(1, 100_000),
        "4096",
        "Connections of callers at a time, at most two fifths of the process's descriptors. When all are taken, the one that waits longest for its caller is closed for another one.",
    ),
    defaulted(
        "memory_mb",
        ValueType::number(32, 1_048_576),
        "256",
        "Memory that the process may use, in MB. Half of it is for what the process holds for callers.",
    ),
];

pub(crate) const LOG: &[Key] = &[
    defaulted(
        "format",
        ValueType::Choice(&["text", "json"]),
        "text",
        "Form of the lines.",
    ),
    defaulted(
        "level",
        ValueType::Choice(&["error", "warn", "info", "debug"]),
        "info",
        "The least important lines to write.",
    ),
];

/// Every section of the settings file with its keys, in the order of the reference page.
pub const SETTINGS_SECTIONS: &[SectionKeys] = &[
    SectionKeys {
        section: "[node]",
        keys: NODE,
    },
    SectionKeys {
        section: "[listen]",
        keys: LISTEN,
    },
    SectionKeys {
        section: "[platform]",
        keys: PLATFORM,
    },
    SectionKeys {
        section: "[admin]",
        keys: ADMIN,
    },
    SectionKeys {
        section: "[peers]",
        keys: PEERS,
    },
    SectionKeys {
        section: "[timing]",
        keys: TIMING,
    },
    SectionKeys {
        section: "[limits]",
        keys: LIMITS,
    },
    SectionKeys {
        section: "[log]",
        keys: LOG,
    },
];
