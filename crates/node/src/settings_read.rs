//! Reads the sections of a settings text into [`Settings`].

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eelgrassmill_config::{Key, Problems, Reader, Section, Sections};

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
    let section = Section::empty(name);
    read(
        &Reader::new(&section, &[table], &mut problems),
        &mut problems,
    )
}

/// The settings that a text holds.
pub(crate) fn settings(
    sections: &Sections,
    read_file: &impl Fn(&str) -> io::Result<String>,
    problems: &mut Problems,
) -> Settings {
    let node = Reader::new(sections.get("node"), &[keys::NODE], problems);
    let admin = Reader::new(sections.get("admin"), &[keys::ADMIN], problems);
    let peers = Reader::new(sections.get("peers"), &[keys::PEERS], problems);
    let listen = Reader::new(sections.get("listen"), &[keys::LISTEN], problems);
    let settings = Settings {
        node: node.name("id", problems),
        region: node.name("region", problems),
        failure_domain: node.name("failure_domain", problems),
        callers: own_address(&listen, "callers", problems),
        admin: own_address(&listen, "admin", problems),
        peers: own_address(&listen, "peers", problems),
        platform: platform(
            &Reader::new(sections.get("platform"), &[keys::PLATFORM], problems),
            problems,
        ),
        admin_token: admin_token(&admin, read_file, problems),
        admin_connections: admin.number("connections", problems),
        seeds: peers.addresses("seeds", problems),
        timing: timing(
            &Reader::new(sections.get("timing"), &[keys::TIMING], problems),
            problems,
        ),
        limits: limits(
            &Reader::new(sections.get("limits"), &[keys::LIMITS], problems),
            problems,
        ),
        log: log(
            &Reader::new(sections.get("log"), &[keys::LOG], problems),
            problems,
        ),
    };
    check_ports_differ(&settings, &listen, problems);
    settings
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
