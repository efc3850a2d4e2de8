//! A node's settings: an INI file, parsed by tables of keys that the reference page is also
//! generated from.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use eelgrassmill_config::{
    ConfigErrors, Diagnostics, Key, Reload, SectionKeys, SectionReader, Sections, ValueType,
    defaulted, optional, required,
};

use smol_str::{SmolStr, format_smolstr};

use crate::config::{Addresses, GatewayConfig, PolicySwitches, ProcessLimits, RetryBudgetConfig};

const ONE_MILLISECOND: Duration = Duration::from_millis(1);
const ONE_HOUR: Duration = Duration::from_secs(3_600);
const DURATION: ValueType = ValueType::duration(ONE_MILLISECOND, ONE_HOUR);
const MAX_SEEDS: usize = 64;
const MAX_CORES: u64 = 1024;
/// Bounds of the memory and descriptors that a process may use.
const MIN_MEMORY_MB: f64 = 32.0;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MIN_DESCRIPTORS: f64 = 256.0;
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// How long callers may cache addresses, unless the setting is shorter: each response costs a
/// little, and a stopping node waits until cached addresses have expired.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);

const NODE: &[Key] = &[
    required(
        "id",
        ValueType::Name,
        "The node's name, unique over all nodes.",
    ),
    required("region", ValueType::Name, "Its region."),
    required("failure_domain", ValueType::Name, "Its failure domain."),
    defaulted(
        "first_start",
        ValueType::Choice(&["no", "yes"]),
        "no",
        "Whether the whole system starts for the first time, so that loads are quick.",
    ),
    defaulted(
        "processor_share",
        ValueType::Decimal { max: 1 },
        "1",
        "The part of its processor that the node may use. Nodes with more take on roles for others.",
    ).live(),
    defaulted(
        "processor_cores",
        ValueType::Decimal { max: MAX_CORES },
        "1",
        "How fast that processor is, in cores.",
    ).live(),
];

const LISTEN: &[Key] = &[
    required(
        "callers",
        ValueType::Address,
        "For callers' requests; told to them as it stands.",
    ),
    required(
        "ready",
        ValueType::Address,
        "For questions whether the node is ready, and for metrics.",
    ),
    required(
        "directory",
        ValueType::Address,
        "For callers that ask which addresses to use.",
    ),
    required(
        "peers",
        ValueType::Address,
        "For other nodes; told to them as it stands.",
    ),
];

const PEERS: &[Key] = &[defaulted(
    "seeds",
    ValueType::Addresses { max: MAX_SEEDS },
    "",
    "Nodes to greet first.",
)
.live()];

const PLATFORM: &[Key] = &[required("store", ValueType::Address, "The platform's store.").live()];

const RETRIES: &[Key] = &[
    required(
        "window",
        DURATION,
        "Any span of this length counts for the bound on repeats.",
    )
    .live(),
    required(
        "ratio",
        ValueType::Decimal { max: 10 },
        "Repeats for each request of a caller.",
    )
    .live(),
    required(
        "slack",
        ValueType::Decimal { max: 1_000_000 },
        "Repeats beside that, of all nodes together.",
    )
    .live(),
];

const TIMES: &[Key] = &[
    required(
        "grace",
        DURATION,
        "From the signal to stop until the process is killed.",
    )
    .live_if_shorter(),
    required(
        "address_ttl_most",
        DURATION,
        "The longest time that callers may keep addresses.",
    )
    .live(),
];

const LIMITS: &[Key] = &[
    defaulted(
        "memory_mb",
        ValueType::Decimal { max: MAX_MEMORY_MB },
        "256",
        "Memory that the process may use, in MB, at least 32. Half of it is for what the process holds for callers.",
    ).live(),
    optional(
        "max_fds",
        ValueType::Decimal {
            max: MAX_DESCRIPTORS,
        },
        "the process's own limit",
        "Descriptors that the process may use, at least 256. Two fifths are for callers' connections.",
    ).live(),
];

const LOG: &[Key] = &[defaulted(
    "level",
    ValueType::Choice(&["info", "warn", "error", "debug"]),
    "info",
    "The least severe lines that are written.",
)];

const CAPACITY: &[Key] = &[defaulted(
    "follow_demand",
    ValueType::Choice(&["no", "yes"]),
    "no",
    "Whether the number of replicas of each model follows the measured demand.",
)];

const ADMISSION: &[Key] = &[defaulted(
    "fair_share",
    ValueType::Choice(&["no", "yes"]),
    "no",
    "Whether customers share a model's slots fairly while requests wait for them.",
)];

const PACING: &[Key] = &[defaulted(
    "adaptive",
    ValueType::Choice(&["no", "yes"]),
    "no",
    "Whether hosts get as many requests as their own answers show that they can handle.",
)];

/// All sections with their keys.
pub const SECTIONS: &[SectionKeys] = &[
    SectionKeys {
        section: "[node]",
        keys: NODE,
    },
    SectionKeys {
        section: "[listen]",
        keys: LISTEN,
    },
    SectionKeys {
        section: "[peers]",
        keys: PEERS,
    },
    SectionKeys {
        section: "[platform]",
        keys: PLATFORM,
    },
    SectionKeys {
        section: "[retries]",
        keys: RETRIES,
    },
    SectionKeys {
        section: "[times]",
        keys: TIMES,
    },
    SectionKeys {
        section: "[limits]",
        keys: LIMITS,
    },
    SectionKeys {
        section: "[capacity]",
        keys: CAPACITY,
    },
    SectionKeys {
        section: "[admission]",
        keys: ADMISSION,
    },
    SectionKeys {
        section: "[pacing]",
        keys: PACING,
    },
    SectionKeys {
        section: "[log]",
        keys: LOG,
    },
];

/// Why the settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has mistakes.
    #[error(transparent)]
    Invalid(#[from] ConfigErrors),
}

/// A node's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's configuration.
    pub gateway: GatewayConfig,
    /// The platform's store.
    pub store: SocketAddr,
    /// The minimum level of log lines.
    pub log_level: &'static str,
    /// The keys that are set, as `[section] key`, with their values.
    values: BTreeMap<SmolStr, SmolStr>,
}

impl Settings {
    /// Loads a file.
    ///
    /// # Errors
    /// If it can't be read or has mistakes; lists all mistakes with their lines.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Ok(Settings::parse(&path.display().to_string(), &text)?)
    }

    /// Parses a text; `name` stands for its file in error messages.
    ///
    /// # Errors
    /// Lists all mistakes with their lines.
    pub fn parse(name: &str, text: &str) -> Result<Settings, ConfigErrors> {
        let mut diagnostics = Diagnostics::new(name);
        let found = Sections::read(text, SECTIONS, &mut diagnostics);
        let mut reader = SettingsReader {
            found: &found,
            diagnostics: &mut diagnostics,
        };
        let settings = reader.settings();
        diagnostics.finish(settings)
    }
}

impl Settings {
    /// The keys, as `[section] key`, that `newer` has with another value, or one of both lacks.
    pub fn changed_keys(&self, newer: &Settings) -> Vec<SmolStr> {
        let keys = self.values.keys().chain(newer.values.keys());
        let changed = keys.filter(|key| self.values.get(*key) != newer.values.get(*key));
        let changed: BTreeSet<&SmolStr> = changed.collect();
        changed.into_iter().cloned().collect()
    }
}

/// When a change of a key, named as `[section] key`, takes effect.
pub(crate) fn reload_of(key: &str) -> Reload {
    let (section, name) = key.split_once(' ').unwrap_or_default();
    let keys = SECTIONS.iter().find(|s| s.section == section);
    let key = keys.and_then(|s| s.key(name));
    key.map_or(Reload::Restart, |k| k.reload)
}

/// The entries of all sections.
fn values(found: &Sections) -> BTreeMap<SmolStr, SmolStr> {
    let names = SECTIONS.iter().map(|s| s.section.trim_matches(['[', ']']));
    let entries = names.flat_map(|name| {
        let entries = found.get(name).entries.iter();
        entries.map(move |e| {
            let key = format_smolstr!("[{name}] {}", e.key);
            (key, SmolStr::new(&e.value))
        })
    });
    entries.collect()
}

struct SettingsReader<'a> {
    found: &'a Sections,
    diagnostics: &'a mut Diagnostics,
}

impl SettingsReader<'_> {
    fn read<T>(
        &mut self,
        name: &str,
        keys: &'static [Key],
        read: impl Fn(&SectionReader<'_>, &mut Diagnostics) -> T,
    ) -> T {
        let reader = SectionReader::new(self.found.get(name), &[keys], self.diagnostics);
        read(&reader, self.diagnostics)
    }

    fn settings(&mut self) -> Settings {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (node, region, failure_domain, first_start) = self.read("node", NODE, |r, p| {
            let names = (
                r.name("id", p),
                r.name("region", p),
                r.name("failure_domain", p),
            );
            (names.0, names.1, names.2, r.boolean("first_start", p))
        });
        let processor = self.read("node", NODE, |r, p| {
            let cores = r.decimal("processor_share", p) * r.decimal("processor_cores", p);
            (cores * 1000.0).round() as u32
        });
        let seeds = self.read("peers", PEERS, |r, p| r.addresses("seeds", p));
        let addresses = self.read("listen", LISTEN, |r, p| Addresses {
            callers: r.address("callers", p).unwrap_or(unset),
            ready: r.address("ready", p).unwrap_or(unset),
            directory: r.address("directory", p).unwrap_or(unset),
            peers: r.address("peers", p).unwrap_or(unset),
            seeds: seeds.clone(),
        });
        let retries = self.read("retries", RETRIES, |r, p| RetryBudgetConfig {
            window: r.duration("window", p),
            ratio: r.decimal("ratio", p),
            slack: r.decimal("slack", p),
        });
        let (grace, ttl) = self.read("times", TIMES, |r, p| {
            (r.duration("grace", p), r.duration("address_ttl_most", p))
        });
        let store = self.read("platform", PLATFORM, |r, p| {
            r.address("store", p).unwrap_or(unset)
        });
        let limits = self.read("limits", LIMITS, process_limits);
        let log_level = self.read("log", LOG, |r, p| r.choice("level", p));
        let policies = PolicySwitches {
            capacity_follows_demand: self
                .read("capacity", CAPACITY, |r, p| r.boolean("follow_demand", p)),
            fair_share: self.read("admission", ADMISSION, |r, p| r.boolean("fair_share", p)),
            adaptive_pacing: self.read("pacing", PACING, |r, p| r.boolean("adaptive", p)),
        };
        let gateway = GatewayConfig {
            node,
            region,
            failure_domain,
            processor,
            addresses,
            retries,
            grace,
            address_ttl: ttl.min(MAX_ADDRESS_TTL),
            first_start,
            limits,
            policies,
        };
        Settings {
            gateway,
            store,
            log_level,
            values: values(self.found),
        }
    }
}

fn process_limits(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> ProcessLimits {
    let mut read = |key: &str, min: f64| {
        let value = reader.optional_decimal(key, diagnostics);
        if let Some(value) = value.filter(|v| *v < min) {
            let what = format!("`{key} = {value}` is too low, write at least {min}");
            diagnostics.add(reader.line(key), what);
        }
        value
    };
    let memory_mb = read("memory_mb", MIN_MEMORY_MB).unwrap_or_default();
    let max_fds = read("max_fds", MIN_DESCRIPTORS);
    ProcessLimits {
        memory: (memory_mb * f64::from(1 << 20)) as usize,
        descriptors: max_fds.map(|n| n as usize),
    }
}
