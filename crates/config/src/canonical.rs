//! Canonical text, checksum and diff of configurations.

use std::collections::BTreeMap;
use std::fmt;

use eelgrassmill_base::{HostId, NodeId, ServiceName, TenantId, value};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::model::{
    Config, NodeOptions, RepairObjective, Service, ServiceKind, TargetOptions, Tenant,
};
use crate::units::format_duration;

/// Hexadecimal digits of a token's SHA-256 that a diff shows.
const SHOWN_HASH_DIGITS: usize = 8;

value! {
    /// Name of a section in the text.
    #[derive(PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum SectionName {
        /// `[fleet]`.
        Fleet,
        /// `[tenant NAME]`.
        Tenant(TenantId),
        /// `[service NAME]`.
        Service(ServiceName),
        /// `[target HOST]`.
        Target(HostId),
        /// `[node NODE]`.
        Node(NodeId),
    }
}

value! { wire
    /// One difference between two configurations.
    #[serde(rename_all = "kebab-case", tag = "change")]
    pub enum Change {
        /// A new section.
        Added {
            /// The section.
            section: SectionName,
        },
        /// A deleted section.
        Removed {
            /// The section.
            section: SectionName,
        },
        /// A key with a changed value.
        Set {
            /// The section.
            section: SectionName,
            /// The key.
            key: SmolStr,
            /// Its old value; `None` when it had none.
            from: Option<String>,
            /// Its new value; `None` when it has none.
            to: Option<String>,
        },
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionName::Fleet => write!(f, "[fleet]"),
            SectionName::Tenant(name) => write!(f, "[tenant {name}]"),
            SectionName::Service(name) => write!(f, "[service {name}]"),
            SectionName::Target(name) => write!(f, "[target {name}]"),
            SectionName::Node(name) => write!(f, "[node {name}]"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { section } => write!(f, "{section} added"),
            Change::Removed { section } => write!(f, "{section} removed"),
            Change::Set {
                section,
                key,
                from,
                to,
            } => {
                let from = from.as_deref().unwrap_or("(nothing)");
                let to = to.as_deref().unwrap_or("(nothing)");
                write!(f, "{section} {key}: {from} -> {to}")
            }
        }
    }
}

type Entries = Vec<(&'static str, String)>;

/// Text of `config` with every key written out, identical for equal configurations.
pub fn canonical(config: &Config) -> String {
    let mut text = String::new();
    for (section, entries) in sections(config) {
        if !text.is_empty() {
            text.push('\n');
        }
        text.push_str(&format!("{section}\n"));
        for (key, value) in entries {
            text.push_str(format!("{key} = {value}").trim_end());
            text.push('\n');
        }
    }
    text
}

/// SHA-256 of a text, as 64 lower-case hexadecimal digits.
pub fn checksum(text: &str) -> SmolStr {
    let digest = Sha256::digest(text.as_bytes());
    let digits: String = digest.iter().map(|b| format!("{b:02x}")).collect();
    digits.into()
}

/// Changes that turn `from` into `to`, ordered by section.
pub fn diff(from: &Config, to: &Config) -> Vec<Change> {
    let old = sections(from);
    let new = sections(to);
    let mut changes = Vec::new();
    let names: std::collections::BTreeSet<&SectionName> = old.keys().chain(new.keys()).collect();
    for section in names {
        match (old.get(section), new.get(section)) {
            (Some(old), Some(new)) => diff_section(section, old, new, &mut changes),
            (None, _) => changes.push(Change::Added {
                section: section.clone(),
            }),
            (_, None) => changes.push(Change::Removed {
                section: section.clone(),
            }),
        }
    }
    changes
}

fn diff_section(section: &SectionName, old: &Entries, new: &Entries, changes: &mut Vec<Change>) {
    let value = |entries: &Entries, key: &str| -> Option<String> {
        entries
            .iter()
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v.clone())
    };
    let removed = old.iter().filter(|(k, _)| value(new, k).is_none());
    for (key, _) in new.iter().chain(removed) {
        let (from, to) = (value(old, key), value(new, key));
        if from != to {
            changes.push(Change::Set {
                section: section.clone(),
                key: SmolStr::new_static(key),
                from: from.map(|v| redacted(key, v)),
                to: to.map(|v| redacted(key, v)),
            });
        }
    }
}

fn redacted(key: &str, mut value: String) -> String {
    if key == "token_sha256" {
        value.truncate(SHOWN_HASH_DIGITS);
        value.push_str("...");
    }
    value
}

fn sections(config: &Config) -> BTreeMap<SectionName, Entries> {
    let mut all = BTreeMap::new();
    all.insert(SectionName::Fleet, fleet_entries(config));
    for (name, tenant) in &config.tenants {
        all.insert(SectionName::Tenant(name.clone()), tenant_entries(tenant));
    }
    for (name, service) in &config.services {
        all.insert(SectionName::Service(name.clone()), service_entries(service));
    }
    for (name, options) in &config.targets {
        all.insert(SectionName::Target(name.clone()), target_entries(options));
    }
    for (name, options) in &config.nodes {
        all.insert(SectionName::Node(name.clone()), node_entries(options));
    }
    all
}

fn fleet_entries(config: &Config) -> Entries {
    let repair = match config.repair {
        RepairObjective::Downtime => "downtime",
        RepairObjective::Stranded => "stranded",
    };
    vec![("repair", repair.to_owned())]
}

fn tenant_entries(tenant: &Tenant) -> Entries {
    vec![
        ("token_sha256", tenant.token_sha256.to_string()),
        ("weight", tenant.weight.to_string()),
        ("max_queue", tenant.max_queue.to_string()),
    ]
}

fn target_entries(options: &TargetOptions) -> Entries {
    vec![
        ("checks_orders", yes_no(options.checks_orders)),
        ("drain", yes_no(options.drain)),
    ]
}

fn node_entries(options: &NodeOptions) -> Entries {
    vec![("drain", yes_no(options.drain))]
}

fn service_entries(service: &Service) -> Entries {
    let mut entries = kind_entries(&service.kind);
    entries.push(("depends_on", service.depends_on.join(", ")));
    entries.push(("repeatable", yes_no(service.repeatable)));
    entries.push(("keep_answers", format_duration(service.keep_answers)));
    entries.push(("timeout", format_duration(service.timeout)));
    entries.push(("max_queue", service.max_queue.to_string()));
    entries
}

fn kind_entries(kind: &ServiceKind) -> Entries {
    match kind {
        ServiceKind::Model(m) => vec![
            ("kind", "model".to_owned()),
            ("model", m.model.to_string()),
            ("version", m.version.to_string()),
            ("groups", m.groups.to_string()),
            ("hosts_per_group", m.hosts_per_group.to_string()),
            ("floor", m.floor.to_string()),
            ("slots", m.slots.to_string()),
            ("urgent_slots", m.urgent_slots.to_string()),
        ],
        ServiceKind::Plain { targets, slots } => vec![
            ("kind", "plain".to_owned()),
            ("targets", targets.join(", ")),
            ("slots", slots.to_string()),
        ],
        ServiceKind::Adapter { base, adapter } => vec![
            ("kind", "adapter".to_owned()),
            ("base", base.to_string()),
            ("adapter", adapter.to_string()),
        ],
    }
}

fn yes_no(value: bool) -> String {
    (if value { "yes" } else { "no" }).to_owned()
}
