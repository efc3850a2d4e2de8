//! Reads the sections of a settings text into [`Settings`].

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eelgrassmill_config::{Key, Problems, Reader, Section};

use crate::admin_token::{MIN_TOKEN, TokenHash};
use crate::settings::{Limits, LogSettings, PlatformAddresses, Settings, Timing};
use crate::settings_keys as keys;

/// Reads an empty section, so that each default stands in the table of keys alone.
pub(crate) fn defaults<T>(
    name: &str,
    table: &'static [Key],
    read: impl Fn(&Reader<'_>, &mut Problems) -> T,
) -> T {
    let mut problems = Problems::new("defaults");
    let section = empty_section(name);
    read(
        &Reader::new(&section, &[table], &mut problems),
        &mut problems,
    )
}

fn empty_section(name: &str) -> Section {
    Section {
        name: name.to_owned(),
        line: 1,
        entries: Vec::new(),
    }
}

/// The sections of a settings text, each at most once, empty ones where they are left out.
pub(crate) struct Sections {
    node: Section,
    listen: Section,
    platform: Section,
    admin: Section,
    peers: Section,
    timing: Section,
    limits: Section,
    log: Section,
}

impl Sections {
    pub(crate) fn take(found: Vec<Section>, problems: &mut Problems) -> Sections {
        let mut sections = Sections {
            node: empty_section("node"),
            listen: empty_section("listen"),
            platform: empty_section("platform"),
            admin: empty_section("admin"),
            peers: empty_section("peers"),
            timing: empty_section("timing"),
            limits: empty_section("limits"),
            log: empty_section("log"),
        };
        let mut seen: Vec<(String, usize)> = Vec::new();
        for section in found {
            if let Some((_, first)) = seen.iter().find(|(name, _)| *name == section.name) {
                let what = format!("[{}] again after line {first}, write it once", section.name);
                problems.add(section.line, what);
                continue;
            }
            seen.push((section.name.clone(), section.line));
            match sections.slot(&section.name) {
                Some(slot) => *slot = section,
                None => {
                    let known: Vec<&str> =
                        keys::SETTINGS_SECTIONS.iter().map(|s| s.section).collect();
                    let what = format!(
                        "[{}] is unknown, write one of {}",
                        section.name,
                        known.join(", ")
                    );
                    problems.add(section.line, what);
                }
            }
        }
        sections
    }

    fn slot(&mut self, name: &str) -> Option<&mut Section> {
        match name {
            "node" => Some(&mut self.node),
            "listen" => Some(&mut self.listen),
            "platform" => Some(&mut self.platform),
            "admin" => Some(&mut self.admin),
            "peers" => Some(&mut self.peers),
            "timing" => Some(&mut self.timing),
            "limits" => Some(&mut self.limits),
            "log" => Some(&mut self.log),
            _ => None,
        }
    }

    pub(crate) fn settings(
        &self,
        read_file: &impl Fn(&str) -> io::Result<String>,
        problems: &mut Problems,
    ) -> Settings {
        let node = Reader::new(&self.node, &[keys::NODE], problems);
        let admin = Reader::new(&self.admin, &[keys::ADMIN], problems);
        let peers = Reader::new(&self.peers, &[keys::PEERS], problems);
        let listen = Reader::new(&self.listen, &[keys::LISTEN], problems);
        let settings = Settings {
            node: node.name("id", problems),
            region: node.name("region", problems),
            failure_domain: node.name("failure_domain", problems),
            callers: own_address(&listen, "callers", problems),
            admin: own_address(&listen, "admin", problems),
            peers: own_address(&listen, "peers", problems),
            platform: platform(
                &Reader::new(&self.platform, &[keys::PLATFORM], problems),
                problems,
            ),
            admin_token: admin_token(&admin, read_file, problems),
            admin_connections: admin.number("connections", problems),
            seeds: peers.addresses("seeds", problems),
            timing: timing(
                &Reader::new(&self.timing, &[keys::TIMING], problems),
                problems,
            ),
            limits: limits(
                &Reader::new(&self.limits, &[keys::LIMITS], problems),
                problems,
            ),
            log: log(&Reader::new(&self.log, &[keys::LOG], problems), problems),
        };
        check_ports_differ(&settings, &listen, problems);
        settings
    }
}

const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An address that others are told: one that nobody can connect to would lose their calls.
fn own_address(reader: &Reader<'_>, key: &str, problems: &mut Problems) -> SocketAddr {
    let Some(address) = reader.address(key, problems) else {
        return NO_ADDRESS;
    };
    if address.port() == 0 || address.ip().is_unspecified() {
        let what = format!("`{key} = {address}` can't be connected to, write its own IP and port");
        problems.add(reader.line(key), what);
    }
    address
}

fn check_ports_differ(settings: &Settings, listen: &Reader<'_>, problems: &mut Problems) {
    let all = [
        ("callers", settings.callers),
        ("admin", settings.admin),
        ("peers", settings.peers),
    ];
    for (i, (key, address)) in all.iter().enumerate() {
        let earlier = all[..i]
            .iter()
            .find(|(_, a)| a == address && *a != NO_ADDRESS);
        if let Some((other, _)) = earlier {
            let what = format!("`{key}` has the address of `{other}`, write another port");
            problems.add(listen.line(key), what);
        }
    }
}

fn platform(reader: &Reader<'_>, problems: &mut Problems) -> PlatformAddresses {
    let table = reader.address("table", problems).unwrap_or(NO_ADDRESS);
    PlatformAddresses {
        table,
        objects: reader.address("objects", problems).unwrap_or(table),
        weights: reader.address("weights", problems).unwrap_or(table),
        hosts: reader.address("hosts", problems).unwrap_or(table),
    }
}

fn admin_token(
    reader: &Reader<'_>,
    read_file: &impl Fn(&str) -> io::Result<String>,
    problems: &mut Problems,
) -> TokenHash {
    let inline = reader.sha256("token_sha256", problems);
    let path = reader.path("token_file", problems);
    let line = reader.line("token_file");
    match (inline, path) {
        (Some(digits), None) => TokenHash::from_hex(&digits).unwrap_or_else(|| TokenHash::of("")),
        (None, Some(path)) => match read_file(&path) {
            Ok(token) if token.trim().len() >= MIN_TOKEN => TokenHash::of(token.trim()),
            Ok(_) => {
                let what = format!("{path} holds no token, write at least {MIN_TOKEN} characters");
                problems.add(line, what);
                TokenHash::of("")
            }
            Err(e) => {
                problems.add(
                    line,
                    format!("{path} can't be read ({e}), write a readable file"),
                );
                TokenHash::of("")
            }
        },
        (Some(_), Some(_)) => {
            problems.add(line, "two admin tokens, write token_sha256 or token_file");
            TokenHash::of("")
        }
        (None, None) => {
            problems.add(
                line,
                "[admin] has no token, write token_sha256 or token_file",
            );
            TokenHash::of("")
        }
    }
}

pub(crate) fn timing(reader: &Reader<'_>, problems: &mut Problems) -> Timing {
    let timing = Timing {
        lease_term: reader.duration("lease_term", problems),
        clock_margin: reader.duration("clock_margin", problems),
        order_time: reader.duration("order_time", problems),
        probe_interval: reader.duration("probe_interval", problems),
        address_keep: reader.duration("address_keep", problems),
        stop_time: reader.duration("stop_time", problems),
    };
    let term = timing.lease_term;
    // Zero stands for a value that is wrong by itself and was told.
    if !term.is_zero() && term < 2 * timing.clock_margin {
        let what = "`clock_margin` is over half of `lease_term`, write a shorter one";
        problems.add(reader.line("clock_margin"), what);
    }
    timing
}

pub(crate) fn limits(reader: &Reader<'_>, problems: &mut Problems) -> Limits {
    Limits {
        connections: reader.number("connections", problems),
    }
}

pub(crate) fn log(reader: &Reader<'_>, problems: &mut Problems) -> LogSettings {
    LogSettings {
        json: reader.choice("format", problems) == "json",
        level: reader.choice("level", problems),
    }
}
