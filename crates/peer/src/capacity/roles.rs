//! The resource usage of each role of a node at a given system size.

use std::fmt::Write;

use eelgrassmill_base::value;

use crate::capacity::Inputs;

/// Probes of a host per second by one watcher.
const PROBES_PER_S: f64 = 2.0;
/// Health reports on a group per second by one watcher.
const HEALTH_REPORTS_PER_S: f64 = 8.0;
/// Watchers of a group.
const WATCHERS_PER_GROUP: f64 = 3.0;
/// Rounds of reading and of planning per second.
const ROUNDS_PER_S: f64 = 2.0;
/// Updates of the candidate groups per second.
const CANDIDATE_UPDATES_PER_S: f64 = 20.0;
/// Nodes per failure domain that read the table at each round.
const READERS_PER_DOMAIN: f64 = 4.0;
/// Nodes per region that may become its planner, and therefore read node rows at each round.
const TAKEOVER_CANDIDATES_PER_REGION: f64 = 3.0;
/// Rounds per second of the other nodes.
const INFREQUENT_ROUNDS_PER_S: f64 = 0.1;
/// Scans of host rows and of group rows per second by a planner while nothing changes.
const PLANNER_SCANS_PER_S: f64 = 0.5;
/// Demands for slots per second for a group at which the entry host runs requests.
const BUSY_DEMANDS_PER_S: f64 = 4.0;
/// Demands for slots per second for a group at which it runs none: every third round.
const IDLE_DEMANDS_PER_S: f64 = BUSY_DEMANDS_PER_S / 3.0;
/// Renewals of a node's lease per second: three in a TTL of six seconds.
const LEASE_RENEWALS_PER_S: f64 = 0.5;
/// Planner's probes of a host per second: every other round.
const PLANNER_PROBES_PER_S: f64 = 1.0;
/// Timeline events per request.
const EVENTS_PER_REQUEST: f64 = 3.0;
/// Request events that an event log keeps by its default bounds.
const MAX_REQUEST_EVENTS: f64 = 10_000.0;
/// Seconds for which a caller caches a list of addresses.
const ADDRESS_TTL_S: f64 = 60.0;
/// Rows written for an at-most-once request: its claim and its completion.
const WRITES_PER_CLAIM: f64 = 2.0;
/// Reads per second of the row that defines which claims have expired.
const ERA_READS_PER_S: f64 = 0.05;
/// Node restarts per day, counting all restarts of the design size as those of nodes.
const NODE_RESTARTS_PER_DAY: f64 = 180.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A system size.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Nodes.
    pub nodes: f64,
    /// Hosts available for groups.
    pub hosts: f64,
    /// Groups.
    pub groups: f64,
    /// Hosts per group.
    pub hosts_per_group: f64,
    /// Failure domains.
    pub failure_domains: f64,
    /// Concurrently running requests over all groups.
    pub running_requests: f64,
    /// Regions.
    pub regions: f64,
    /// Tenants.
    pub tenants: f64,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Configuration changes per day.
    pub config_changes_per_day: f64,
    /// Callers that query addresses; an assumption, not part of the design size.
    pub callers: f64,
    /// Share of at-most-once requests; an assumption, not part of the design size.
    pub at_most_once_share: f64,
    /// Requests queued at one node at peak load; an assumption.
    pub queued_requests: f64,
}

impl Size {
    /// The size that the system is designed for.
    pub const DESIGN: Size = Size {
        nodes: 370.0,
        hosts: 880.0,
        groups: 110.0,
        hosts_per_group: 8.0,
        failure_domains: 6.0,
        running_requests: 880.0,
        regions: 3.0,
        tenants: 100.0,
        requests_per_s: 5_200.0,
        config_changes_per_day: 2_100.0,
        callers: 5_200.0,
        at_most_once_share: 0.05,
        queued_requests: 200.0,
    };

    /// Groups that one node watches, on average.
    pub fn watched(&self) -> f64 {
        self.groups * WATCHERS_PER_GROUP / self.nodes
    }

    /// Nodes that read the table at each round.
    pub fn readers(&self) -> f64 {
        (self.failure_domains * READERS_PER_DOMAIN).min(self.nodes)
    }

    /// Expected number of nodes from which one entry host requests slots: the first watchers of all
    /// groups, chosen by hashing.
    pub fn issuers(&self) -> f64 {
        let unused = (1.0 - 1.0 / self.nodes).powf(self.groups);
        self.nodes * (1.0 - unused)
    }
}

/// Upper limit of a node's resource usage for the control plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// CPU usage in cores.
    pub cores: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Bytes per second, both directions.
    pub bytes_per_s: f64,
}

impl Budget {
    /// The budget at the design size.
    pub const DESIGN: Budget = Budget {
        cores: 0.027,
        memory_bytes: 32.0 * 1024.0 * 1024.0,
        bytes_per_s: 16.0 * 1024.0,
    };
}

value! { copy
    /// A role of a node.
    pub enum Role {
        /// Disseminates soft state.
        Dissemination,
        /// Probes the groups that it watches.
        Watcher,
        /// Determines which groups may receive requests.
        Evidence,
        /// Renews its lease.
        Lease,
        /// Reads the table and the host list infrequently.
        InfrequentReader,
        /// Reads them at each round; a few nodes per failure domain.
        Reader,
        /// Handles expired leases; a few readers per region.
        TakeoverCandidate,
        /// Plans a region; one node per region.
        Planner,
        /// Requests slots of all groups, and grants those of the groups that it watches first.
        Quotas,
        /// Admits requests and picks groups.
        Entry,
        /// Answers queries for entry host addresses.
        Addresses,
        /// Claims at-most-once requests.
        Claims,
        /// Keeps events.
        Timeline,
    }
}

/// Resource usage of a role at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Messages sent and received per second.
    pub messages_per_s: f64,
    /// Bytes sent and received per second.
    pub bytes_per_s: f64,
    /// CPU usage in cores.
    pub cores: f64,
    /// Table reads per second.
    pub reads_per_s: f64,
    /// Table writes per second.
    pub writes_per_s: f64,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 13] = [
        Role::Dissemination,
        Role::Watcher,
        Role::Evidence,
        Role::Lease,
        Role::InfrequentReader,
        Role::Quotas,
        Role::Entry,
        Role::Addresses,
        Role::Claims,
        Role::Timeline,
        Role::Reader,
        Role::TakeoverCandidate,
        Role::Planner,
    ];

    /// Its name on the capacity page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Dissemination => "dissemination",
            Role::Watcher => "watcher",
            Role::Evidence => "evidence",
            Role::Lease => "lease",
            Role::InfrequentReader => "seldom reader",
            Role::Reader => "reader",
            Role::TakeoverCandidate => "contender",
            Role::Quotas => "quotas",
            Role::Planner => "planner",
            Role::Entry => "entry",
            Role::Addresses => "addresses",
            Role::Claims => "claims",
            Role::Timeline => "time line",
        }
    }

    /// Whether every node has this role.
    ///
    /// Each region has one planner. A reader replaces the infrequent reader at its node. Takeover
    /// candidates are readers.
    pub fn is_everywhere(self) -> bool {
        !matches!(self, Role::Planner | Role::Reader | Role::TakeoverCandidate)
    }

    /// Its resource usage at one node.
    pub fn usage(self, size: &Size, inputs: &Inputs) -> Usage {
        match self {
            Role::Dissemination => dissemination(size, inputs),
            Role::Watcher => watcher(size, inputs),
            Role::Evidence => Usage {
                memory_bytes: inputs.evidence_state.at(size.groups),
                cores: CANDIDATE_UPDATES_PER_S * inputs.pulse_core.at(size.groups),
                ..Usage::default()
            },
            Role::Lease => Usage {
                messages_per_s: 2.0 * LEASE_RENEWALS_PER_S,
                bytes_per_s: LEASE_RENEWALS_PER_S * inputs.node_row.at(1.0),
                writes_per_s: LEASE_RENEWALS_PER_S,
                ..Usage::default()
            },
            Role::InfrequentReader => infrequent_reader(size, inputs),
            Role::Reader => reader(size, inputs),
            Role::TakeoverCandidate => takeover_candidate(size, inputs),
            Role::Quotas => quotas(size, inputs),
            Role::Planner => planner(size, inputs),
            Role::Entry => entry(size, inputs),
            Role::Addresses => addresses(size, inputs),
            Role::Claims => claims(size, inputs),
            Role::Timeline => timeline(size, inputs),
        }
    }
}

fn dissemination(size: &Size, inputs: &Inputs) -> Usage {
    let calls = inputs.spread_calls.at(size.nodes);
    Usage {
        memory_bytes: inputs.spread_state.at(size.nodes)
            + size.groups * inputs.group_item.at(size.hosts_per_group),
        // Each node answers as many calls as it makes; a call is two messages.
        messages_per_s: 4.0 * calls,
        bytes_per_s: inputs.spread_bytes.at(size.nodes) + 2.0 * calls * inputs.call_bytes.at(1.0),
        cores: inputs.spread_core.at(size.nodes) + calls * inputs.call_core.at(1.0),
        ..Usage::default()
    }
}

fn watcher(size: &Size, inputs: &Inputs) -> Usage {
    let hosts = size.hosts_per_group;
    let probes = size.watched() * hosts * PROBES_PER_S;
    Usage {
        memory_bytes: size.watched() * inputs.watch_state.at(hosts),
        messages_per_s: 2.0 * probes,
        bytes_per_s: probes * inputs.probe_bytes.at(hosts),
        cores: probes * inputs.probe_core.at(hosts)
            + size.watched() * HEALTH_REPORTS_PER_S * inputs.judge_core.at(hosts)
            + choices(size) * inputs.watchers_core.at(size.nodes),
        ..Usage::default()
    }
}

/// Bytes that a node reads in a round.
struct Round {
    nodes: f64,
    groups: f64,
    hosts: f64,
    /// The configuration's head row and the region's planner row.
    small: f64,
}

impl Round {
    fn new(size: &Size, inputs: &Inputs) -> Round {
        Round {
            nodes: size.nodes * inputs.node_row.at(1.0),
            groups: size.groups * inputs.group_row.at(size.hosts_per_group),
            hosts: size.hosts * inputs.host_entry.at(1.0),
            small: inputs.head_row.at(1.0) + inputs.planner_row.at(1.0),
        }
    }

    fn sum(&self) -> f64 {
        self.nodes + self.groups + self.hosts + self.small
    }
}

fn infrequent_reader(size: &Size, inputs: &Inputs) -> Usage {
    let round = Round::new(size, inputs).sum();
    Usage {
        // One copy of the data read, counted at its encoded size.
        memory_bytes: round,
        // Two rows and two ranges of the table, and the host list.
        messages_per_s: 2.0 * 5.0 * INFREQUENT_ROUNDS_PER_S,
        bytes_per_s: INFREQUENT_ROUNDS_PER_S * round,
        reads_per_s: 4.0 * INFREQUENT_ROUNDS_PER_S,
        ..Usage::default()
    }
}

/// Watcher selections per second: for all groups whenever a node leaves or joins.
fn choices(size: &Size) -> f64 {
    2.0 * size.groups * NODE_RESTARTS_PER_DAY / SECONDS_PER_DAY
}

fn reader(size: &Size, inputs: &Inputs) -> Usage {
    let round = Round::new(size, inputs);
    let texts = size.config_changes_per_day / SECONDS_PER_DAY;
    // The readers of a domain take turns reading the ranges.
    let turns = ROUNDS_PER_S / READERS_PER_DOMAIN;
    Usage {
        memory_bytes: round.sum(),
        messages_per_s: 2.0 * (2.0 * ROUNDS_PER_S + 3.0 * turns),
        bytes_per_s: ROUNDS_PER_S * round.small
            + turns * (round.nodes + round.groups + round.hosts)
            + texts * inputs.config_row.at(size.groups),
        reads_per_s: 2.0 * ROUNDS_PER_S + 2.0 * turns + texts,
        ..Usage::default()
    }
}

/// Usage in addition to a reader's: node rows at the rounds in which it has no turn.
fn takeover_candidate(size: &Size, inputs: &Inputs) -> Usage {
    let more = ROUNDS_PER_S - ROUNDS_PER_S / READERS_PER_DOMAIN;
    Usage {
        messages_per_s: 2.0 * more,
        bytes_per_s: more * size.nodes * inputs.node_row.at(1.0),
        reads_per_s: more,
        ..Usage::default()
    }
}

fn planner(size: &Size, inputs: &Inputs) -> Usage {
    let groups = size.groups / size.regions;
    let probes = size.hosts / size.regions * PLANNER_PROBES_PER_S;
    // The rows of all regions are read, since the keys don't contain the region.
    let scan = size.hosts * inputs.host_row.at(1.0)
        + size.groups * inputs.group_row.at(size.hosts_per_group);
    let reads_per_s = ROUNDS_PER_S + 2.0 * PLANNER_SCANS_PER_S;
    Usage {
        memory_bytes: inputs.plan_state.at(groups),
        messages_per_s: 2.0 * (reads_per_s + probes),
        bytes_per_s: ROUNDS_PER_S * inputs.planner_row.at(1.0)
            + PLANNER_SCANS_PER_S * scan
            + probes * inputs.probe_bytes.at(size.hosts_per_group),
        cores: ROUNDS_PER_S * inputs.plan_core.at(groups)
            + probes * inputs.probe_core.at(size.hosts_per_group),
        reads_per_s,
        ..Usage::default()
    }
}

/// Every entry host sends demands for every group; a node answers as many as it sends.
fn quotas(size: &Size, inputs: &Inputs) -> Usage {
    let busy = (size.running_requests / size.nodes).min(size.groups)
        * (BUSY_DEMANDS_PER_S - IDLE_DEMANDS_PER_S);
    let calls = size.issuers() * IDLE_DEMANDS_PER_S + busy;
    let demands = size.groups * IDLE_DEMANDS_PER_S + busy;
    Usage {
        messages_per_s: 4.0 * calls,
        bytes_per_s: 2.0
            * (calls * inputs.call_bytes.at(1.0) + demands * inputs.quota_demand.at(1.0)),
        cores: calls * inputs.call_core.at(1.0) + demands * inputs.issue_core.at(size.nodes),
        ..Usage::default()
    }
}

fn entry(size: &Size, inputs: &Inputs) -> Usage {
    let requests = size.requests_per_s / size.nodes;
    let each = inputs.admit_core.at(size.tenants) + inputs.pick_core.at(size.groups);
    Usage {
        memory_bytes: inputs.waiting_state.at(size.queued_requests),
        cores: requests * each,
        ..Usage::default()
    }
}

fn addresses(size: &Size, inputs: &Inputs) -> Usage {
    let answers = size.callers / ADDRESS_TTL_S / size.nodes;
    Usage {
        messages_per_s: 2.0 * answers,
        cores: answers * inputs.address_core.at(size.nodes),
        ..Usage::default()
    }
}

fn claims(size: &Size, inputs: &Inputs) -> Usage {
    let writes_per_s =
        size.requests_per_s * size.at_most_once_share * WRITES_PER_CLAIM / size.nodes;
    Usage {
        messages_per_s: 2.0 * writes_per_s,
        bytes_per_s: writes_per_s * inputs.claim_row.at(1.0),
        reads_per_s: ERA_READS_PER_S,
        writes_per_s,
        ..Usage::default()
    }
}

fn timeline(size: &Size, inputs: &Inputs) -> Usage {
    let events = size.requests_per_s / size.nodes * EVENTS_PER_REQUEST;
    Usage {
        memory_bytes: inputs.event_state.at(MAX_REQUEST_EVENTS),
        cores: events * inputs.event_core.at(1.0),
        ..Usage::default()
    }
}

/// Total usage of a node that is neither planner nor reader.
pub fn total(size: &Size, inputs: &Inputs) -> Usage {
    let roles = Role::ALL.into_iter().filter(|role| role.is_everywhere());
    roles.fold(Usage::default(), |sum, role| {
        let usage = role.usage(size, inputs);
        Usage {
            memory_bytes: sum.memory_bytes + usage.memory_bytes,
            messages_per_s: sum.messages_per_s + usage.messages_per_s,
            bytes_per_s: sum.bytes_per_s + usage.bytes_per_s,
            cores: sum.cores + usage.cores,
            reads_per_s: sum.reads_per_s + usage.reads_per_s,
            writes_per_s: sum.writes_per_s + usage.writes_per_s,
        }
    })
}

/// Reads and writes per second of the table service by all nodes together.
pub fn store_load(size: &Size, inputs: &Inputs) -> (f64, f64) {
    let per_node = total(size, inputs);
    let planner = Role::Planner.usage(size, inputs);
    let candidate = Role::TakeoverCandidate.usage(size, inputs).reads_per_s;
    let frequent = Role::Reader.usage(size, inputs).reads_per_s;
    let infrequent = Role::InfrequentReader.usage(size, inputs).reads_per_s;
    let reads = size.nodes * per_node.reads_per_s
        + size.readers() * (frequent - infrequent)
        + size.regions * (planner.reads_per_s + TAKEOVER_CANDIDATES_PER_REGION * candidate);
    let changes = size.config_changes_per_day / SECONDS_PER_DAY;
    (reads, size.nodes * per_node.writes_per_s + changes)
}

/// The table of totals on the capacity page.
pub fn table(size: &Size, inputs: &Inputs) -> String {
    let mut out = String::new();
    let head = "| role | state, KB | messages/s | bytes/s | core, % | reads/s | writes/s |";
    let rule = "| --- | ---: | ---: | ---: | ---: | ---: | ---: |";
    let _ = writeln!(out, "{head}\n{rule}");
    for role in Role::ALL {
        row(&mut out, role.name(), &role.usage(size, inputs));
    }
    row(
        &mut out,
        "**all but reader and planner**",
        &total(size, inputs),
    );
    let budget = Usage {
        memory_bytes: Budget::DESIGN.memory_bytes,
        bytes_per_s: Budget::DESIGN.bytes_per_s,
        cores: Budget::DESIGN.cores,
        ..Usage::default()
    };
    row(&mut out, "**budget**", &budget);
    let (reads, writes) = store_load(size, inputs);
    let _ = writeln!(
        out,
        "\nAll nodes together: {reads:.0} table reads and {writes:.0} writes a second."
    );
    out
}

fn row(out: &mut String, name: &str, usage: &Usage) {
    let _ = writeln!(
        out,
        "| {name} | {:.1} | {:.1} | {:.0} | {:.3} | {:.2} | {:.2} |",
        usage.memory_bytes / 1024.0,
        usage.messages_per_s,
        usage.bytes_per_s,
        usage.cores * 100.0,
        usage.reads_per_s,
        usage.writes_per_s,
    );
}
