//! Reads the sections of a settings text into [`Settings`].

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eelgrassmill_config::{Diagnostics, Key, Section, SectionReader, Sections};

use crate::admin_token::{MIN_TOKEN, TokenHash};
use crate::settings::{Limits, LogSettings, PlatformAddresses, Settings, Timing};
use crate::settings_keys as keys;

/// Reads an empty section, so that each default stands in the table of keys alone.
pub(crate) fn defaults<T>(
    name: &str,
    table: &'static [Key],
    read: impl Fn(&SectionReader<'_>, &mut Diagnostics) -> T,
) -> T {
    let mut diagnostics = Diagnostics::new("defaults");
    let section = Section::empty(name);
    read(
        &SectionReader::new(&section, &[table], &mut diagnostics),
        &mut diagnostics,
    )
}

/// The settings that a text holds.
pub(crate) fn settings(
    sections: &Sections,
    read_file: &impl Fn(&str) -> io::Result<String>,
    diagnostics: &mut Diagnostics,
) -> Settings {
    let node = SectionReader::new(sections.get("node"), &[keys::NODE], diagnostics);
    let admin = SectionReader::new(sections.get("admin"), &[keys::ADMIN], diagnostics);
    let peers = SectionReader::new(sections.get("peers"), &[keys::PEERS], diagnostics);
    let listen = SectionReader::new(sections.get("listen"), &[keys::LISTEN], diagnostics);
    let settings = Settings {
        node: node.name("id", diagnostics),
        region: node.name("region", diagnostics),
        failure_domain: node.name("failure_domain", diagnostics),
        callers: own_address(&listen, "callers", diagnostics),
        admin: own_address(&listen, "admin", diagnostics),
        peers: own_address(&listen, "peers", diagnostics),
        platform: platform(
            &SectionReader::new(sections.get("platform"), &[keys::PLATFORM], diagnostics),
            diagnostics,
        ),
        admin_token: admin_token(&admin, read_file, diagnostics),
        admin_connections: admin.number("connections", diagnostics),
        seeds: peers.addresses("seeds", diagnostics),
        timing: timing(
            &SectionReader::new(sections.get("timing"), &[keys::TIMING], diagnostics),
            diagnostics,
        ),
        limits: limits(
            &SectionReader::new(sections.get("limits"), &[keys::LIMITS], diagnostics),
            diagnostics,
        ),
        log: log(
            &SectionReader::new(sections.get("log"), &[keys::LOG], diagnostics),
            diagnostics,
        ),
    };
    check_ports_differ(&settings, &listen, diagnostics);
    settings
}

const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An address that others are told: one that nobody can connect to would lose their calls.
fn own_address(reader: &SectionReader<'_>, key: &str, diagnostics: &mut Diagnostics) -> SocketAddr {
    let Some(address) = reader.address(key, diagnostics) else {
        return NO_ADDRESS;
    };
    if address.port() == 0 || address.ip().is_unspecified() {
        let what = format!("`{key} = {address}` can't be connected to, write its own IP and port");
        diagnostics.add(reader.line(key), what);
    }
    address
}

fn check_ports_differ(
    settings: &Settings,
    listen: &SectionReader<'_>,
    diagnostics: &mut Diagnostics,
) {
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
            diagnostics.add(listen.line(key), what);
        }
    }
}

fn platform(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> PlatformAddresses {
    let table = reader.address("table", diagnostics).unwrap_or(NO_ADDRESS);
    PlatformAddresses {
        table,
        objects: reader.address("objects", diagnostics).unwrap_or(table),
        weights: reader.address("weights", diagnostics).unwrap_or(table),
        hosts: reader.address("hosts", diagnostics).unwrap_or(table),
    }
}

fn admin_token(
    reader: &SectionReader<'_>,
    read_file: &impl Fn(&str) -> io::Result<String>,
    diagnostics: &mut Diagnostics,
) -> TokenHash {
    let inline = reader.sha256("token_sha256", diagnostics);
    let path = reader.path("token_file", diagnostics);
    let line = reader.line("token_file");
    match (inline, path) {
        (Some(digits), None) => TokenHash::from_hex(&digits).unwrap_or_else(|| TokenHash::of("")),
        (None, Some(path)) => match read_file(&path) {
            Ok(token) if token.trim().len() >= MIN_TOKEN => TokenHash::of(token.trim()),
            Ok(_) => {
                let what = format!("{path} holds no token, write at least {MIN_TOKEN} characters");
                diagnostics.add(line, what);
                TokenHash::of("")
            }
            Err(e) => {
                diagnostics.add(
                    line,
                    format!("{path} can't be read ({e}), write a readable file"),
                );
                TokenHash::of("")
            }
        },
        (Some(_), Some(_)) => {
            diagnostics.add(line, "two admin tokens, write token_sha256 or token_file");
            TokenHash::of("")
        }
        (None, None) => {
            diagnostics.add(
                line,
                "[admin] has no token, write token_sha256 or token_file",
            );
            TokenHash::of("")
        }
    }
}

pub(crate) fn timing(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> Timing {
    let timing = Timing {
        lease_term: reader.duration("lease_term", diagnostics),
        clock_margin: reader.duration("clock_margin", diagnostics),
        order_time: reader.duration("order_time", diagnostics),
        probe_interval: reader.duration("probe_interval", diagnostics),
        address_keep: reader.duration("address_keep", diagnostics),
        stop_time: reader.duration("stop_time", diagnostics),
    };
    let term = timing.lease_term;
    // Zero stands for a value that is wrong by itself and was told.
    if !term.is_zero() && term < 2 * timing.clock_margin {
        let what = "`clock_margin` is over half of `lease_term`, write a shorter one";
        diagnostics.add(reader.line("clock_margin"), what);
    }
    timing
}

pub(crate) fn limits(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> Limits {
    Limits {
        connections: reader.number("connections", diagnostics),
        memory_mb: reader.number("memory_mb", diagnostics),
    }
}

pub(crate) fn log(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> LogSettings {
    LogSettings {
        json: reader.choice("format", diagnostics) == "json",
        level: reader.choice("level", diagnostics),
    }
}
