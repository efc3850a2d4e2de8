//! Schema of the configuration text.

use std::time::Duration;

use crate::schema::{Key, SectionKeys, ValueType, defaulted, optional, required};

const YES_NO: ValueType = ValueType::Choice(&["yes", "no"]);
const MAX_LIST_ITEMS: usize = 1_000;
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(24 * 3_600);

pub(crate) const FLEET: &[Key] = &[defaulted(
    "repair",
    ValueType::Choice(&["downtime", "stranded"]),
    "downtime",
    "What repair saves first when it can't have both: group downtime or stranded accelerators.",
)];

pub(crate) const TENANT: &[Key] = &[
    required(
        "token_sha256",
        ValueType::Sha256,
        "SHA-256 of the tenant's bearer token.",
    ),
    defaulted(
        "weight",
        ValueType::number(1, 10_000),
        "1",
        "Its share relative to other tenants'.",
    ),
    defaulted(
        "max_queue",
        ValueType::number(1, 100_000),
        "200",
        "Longest queue of its requests at one node and service, in requests.",
    ),
];

pub(crate) const TARGET: &[Key] = &[
    defaulted(
        "checks_orders",
        YES_NO,
        "no",
        "Whether the target refuses old fencing numbers.",
    ),
    defaulted(
        "drain",
        YES_NO,
        "no",
        "Whether the target is to be emptied.",
    ),
];

pub(crate) const NODE: &[Key] = &[defaulted(
    "drain",
    YES_NO,
    "no",
    "Whether callers are to be sent to other nodes.",
)];

pub(crate) const KIND: &str = "kind";

pub(crate) const SERVICE: &[Key] = &[
    required(
        KIND,
        ValueType::Choice(&["model", "plain", "adapter"]),
        "What the service is made of.",
    ),
    defaulted(
        "depends_on",
        ValueType::Names {
            max: MAX_LIST_ITEMS,
        },
        "",
        "Services that must be able to serve for this one to serve.",
    ),
    optional(
        "repeatable",
        YES_NO,
        "yes; no for kind = plain",
        "Whether a call may be run again when nobody knows if it ran.",
    ),
    defaulted(
        "keep_answers",
        ValueType::duration(SECOND, DAY),
        "10m",
        "How long the answer of a call that runs at most once is kept for repeats.",
    ),
    defaulted(
        "timeout",
        ValueType::duration(SECOND, HOUR),
        "60s",
        "Longest time of a request whose caller names no deadline.",
    ),
    defaulted(
        "max_queue",
        ValueType::number(1, 100_000),
        "1000",
        "Longest queue of the service at one node, in requests.",
    ),
];

pub(crate) const MODEL: &[Key] = &[
    required("model", ValueType::Name, "The model in the weight store."),
    required(
        "version",
        ValueType::Name,
        "The model's version in the weight store.",
    ),
    required(
        "groups",
        ValueType::number(0, 1_000),
        "How many model groups are wanted.",
    ),
    required(
        "hosts_per_group",
        ValueType::number(1, 64),
        "Hosts in each group.",
    ),
    optional(
        "floor",
        ValueType::number(0, 1_000),
        "one less than groups",
        "A rollout keeps at least this many groups able to serve.",
    ),
    defaulted(
        "slots",
        ValueType::number(1, 10_000),
        "32",
        "Requests that one group runs at a time.",
    ),
    optional(
        "urgent_slots",
        ValueType::number(0, 9_999),
        "an eighth of slots",
        "Slots of each group that only urgent requests may use.",
    ),
];

pub(crate) const PLAIN: &[Key] = &[
    required(
        "targets",
        ValueType::Names {
            max: MAX_LIST_ITEMS,
        },
        "The hosts that run it.",
    ),
    defaulted(
        "slots",
        ValueType::number(1, 10_000),
        "32",
        "Calls that one target runs at a time.",
    ),
];

pub(crate) const ADAPTER: &[Key] = &[
    required(
        "base",
        ValueType::Name,
        "The model service whose groups serve it.",
    ),
    required(
        "adapter",
        ValueType::Name,
        "The adapter's name in the weight store.",
    ),
];

/// Schema of every section of the configuration text, in the order of the reference page.
pub const CONFIG_SECTIONS: &[SectionKeys] = &[
    SectionKeys {
        section: "[fleet]",
        keys: FLEET,
    },
    SectionKeys {
        section: "[tenant NAME]",
        keys: TENANT,
    },
    SectionKeys {
        section: "[service NAME]",
        keys: SERVICE,
    },
    SectionKeys {
        section: "[service NAME] with kind = model",
        keys: MODEL,
    },
    SectionKeys {
        section: "[service NAME] with kind = plain",
        keys: PLAIN,
    },
    SectionKeys {
        section: "[service NAME] with kind = adapter",
        keys: ADAPTER,
    },
    SectionKeys {
        section: "[target HOST]",
        keys: TARGET,
    },
    SectionKeys {
        section: "[node NODE]",
        keys: NODE,
    },
];
