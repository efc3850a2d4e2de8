//! What one process is told at its start: who it is, where it listens, whom it asks.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use eelgrassmill_base::{FailureDomain, NodeId, Region, value};
use eelgrassmill_config::{ConfigErrors, Diagnostics, Sections};

use crate::admin_token::TokenHash;
use crate::settings_keys as keys;
use crate::settings_read as read;

value! {
    /// Settings of one node. They stay the same while it runs.
    pub struct Settings {
        /// The node's name, unique over all nodes.
        pub node: NodeId,
        /// Its region.
        pub region: Region,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Where callers reach it.
        pub callers: SocketAddr,
        /// Where operators reach it.
        pub admin: SocketAddr,
        /// Where other nodes reach it.
        pub peers: SocketAddr,
        /// Where the platform's services are.
        pub platform: PlatformAddresses,
        /// Hash of the operators' token.
        pub admin_token: TokenHash,
        /// Connections of operators at a time.
        pub admin_connections: u32,
        /// Peer addresses of some other nodes.
        pub seeds: Vec<SocketAddr>,
        /// Terms and intervals.
        pub timing: Timing,
        /// Bounds against slow and hostile callers.
        pub limits: Limits,
        /// How it logs.
        pub log: LogSettings,
    }

    /// Addresses of the platform's services.
    pub struct PlatformAddresses {
        /// The table service.
        pub table: SocketAddr,
        /// The object store.
        pub objects: SocketAddr,
        /// The weight store.
        pub weights: SocketAddr,
        /// The host list.
        pub hosts: SocketAddr,
    }

    /// Terms and intervals.
    ///
    /// Invariant: `clock_margin` is at most half of `lease_term`.
    pub struct Timing {
        /// How long the node's lease counts from before the renewal that succeeded.
        pub lease_term: Duration,
        /// Added to another node's term before its lease counts as lapsed.
        pub clock_margin: Duration,
        /// Longest time that an order can be under way to a host.
        pub order_time: Duration,
        /// Time between two probes of a host by one watcher.
        pub probe_interval: Duration,
        /// How long callers may keep addresses.
        pub address_keep: Duration,
        /// Longest time that a stopping node waits for requests in progress.
        pub stop_time: Duration,
    }

    /// Bounds against slow and hostile callers.
    pub struct Limits {
        /// Connections of callers at a time.
        pub connections: u32,
        /// Memory that the process may use, in MB.
        pub memory_mb: u32,
    }

    /// How a node logs.
    pub struct LogSettings {
        /// Whether lines are JSON.
        pub json: bool,
        /// The least important lines to write: `error`, `warn`, `info` or `debug`.
        pub level: &'static str,
    }
}

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}:1: can't be read ({error}), write the path of a settings file")]
    File {
        /// The file.
        file: String,
        /// Why.
        error: io::Error,
    },
    /// Its text is wrong.
    #[error(transparent)]
    Text(#[from] ConfigErrors),
}

impl Settings {
    /// Settings for tests and embedding: loopback, ports chosen by the system,
    /// platform at `platform`; change what differs in the fields.
    pub fn loopback(node: impl Into<NodeId>, platform: SocketAddr, token: &str) -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            node: node.into(),
            region: "local".into(),
            failure_domain: "local-1".into(),
            callers: any,
            admin: any,
            peers: any,
            platform: PlatformAddresses {
                table: platform,
                objects: platform,
                weights: platform,
                hosts: platform,
            },
            admin_token: TokenHash::of(token),
            admin_connections: 32,
            seeds: Vec::new(),
            timing: Timing::default(),
            limits: Limits::default(),
            log: LogSettings::default(),
        }
    }

    /// Reads and checks a settings file, and the token file that it names.
    ///
    /// # Errors
    /// When a file can't be read, or with all mistakes and their lines.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let file = path.as_ref().display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|error| SettingsError::File {
            file: file.clone(),
            error,
        })?;
        Ok(Settings::parse(&text, &file, |path| {
            std::fs::read_to_string(path)
        })?)
    }

    /// Reads and checks a settings text; `read_file` gives the token file.
    ///
    /// # Errors
    /// All mistakes with their lines.
    pub fn parse(
        text: &str,
        file: &str,
        read_file: impl Fn(&str) -> io::Result<String>,
    ) -> Result<Settings, ConfigErrors> {
        let mut diagnostics = Diagnostics::new(file);
        let sections = Sections::read(text, keys::SETTINGS_SECTIONS, &mut diagnostics);
        let settings = read::settings(&sections, &read_file, &mut diagnostics);
        diagnostics.finish(settings)
    }
}

impl Default for Timing {
    /// The defaults of the settings file.
    fn default() -> Timing {
        read::defaults("timing", keys::TIMING, read::timing)
    }
}

impl Default for Limits {
    /// The defaults of the settings file.
    fn default() -> Limits {
        read::defaults("limits", keys::LIMITS, read::limits)
    }
}

impl Default for LogSettings {
    /// The defaults of the settings file.
    fn default() -> LogSettings {
        read::defaults("log", keys::LOG, read::log)
    }
}
