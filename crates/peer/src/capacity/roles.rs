//! What each role of a node needs at a size.

use std::fmt::Write;

use eelgrassmill_base::value;

use crate::capacity::Inputs;

/// Probes of a host a second by one watcher.
const PROBES: f64 = 2.0;
/// Findings on a group a second by one watcher.
const FINDINGS: f64 = 8.0;
/// Watchers of a group.
const WATCHERS: f64 = 3.0;
/// Rounds of reading and of planning a second.
const ROUNDS: f64 = 2.0;
/// Times a second at which candidates are worked out.
const PULSES: f64 = 20.0;
/// Nodes of each failure domain that read the table at each round.
const READERS: f64 = 4.0;
/// Nodes of each region that may take it over, and so read node rows at each round.
const CONTENDERS: f64 = 3.0;
/// Rounds a second of the other nodes.
const SELDOM_ROUNDS: f64 = 0.1;
/// Scans of host rows and of group rows a second by a planner while nothing is in change.
const PLANNER_SCANS: f64 = 0.5;
/// Demands for slots a second for a group at which the entry runs something.
const BUSY_DEMANDS: f64 = 4.0;
/// Demands for slots a second for a group at which it runs nothing: each third round.
const IDLE_DEMANDS: f64 = BUSY_DEMANDS / 3.0;
/// Renewals of a node's lease a second: three in a term of six seconds.
const RENEWALS: f64 = 0.5;
/// Planner's probes of a host a second: every second round.
const PLANNER_PROBES: f64 = 1.0;
/// Events of a request.
const REQUEST_EVENTS: f64 = 3.0;
/// Events that a log keeps of requests, by its default bounds.
const KEPT_EVENTS: f64 = 10_000.0;
/// Seconds for which a caller keeps an address answer.
const ADDRESS_TERM: f64 = 60.0;
/// Rows written for a request that runs at most once: the claim and its end.
const CLAIM_WRITES: f64 = 2.0;
/// Reads a second of the row that says which claims are past their time.
const ERA_READS: f64 = 0.05;
/// Restarts of nodes a day, as if all restarts of the aim were of nodes.
const NODE_RESTARTS: f64 = 180.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// A size of the system.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Nodes.
    pub nodes: f64,
    /// Hosts that groups are formed of.
    pub hosts: f64,
    /// Groups.
    pub groups: f64,
    /// Hosts of a group.
    pub hosts_per_group: f64,
    /// Failure domains.
    pub failure_domains: f64,
    /// Requests that run at a time, over all groups.
    pub running: f64,
    /// Regions.
    pub regions: f64,
    /// Tenants.
    pub tenants: f64,
    /// Requests a second.
    pub requests: f64,
    /// Changes of the configuration a day.
    pub changes: f64,
    /// Callers that ask for addresses; assumed, since the aim does not say.
    pub callers: f64,
    /// Share of requests that run at most once; assumed, since the aim does not say.
    pub claimed: f64,
    /// Requests that wait at one node at the peak; assumed.
    pub waiting: f64,
}

impl Size {
    /// The size aimed at.
    pub const AIM: Size = Size {
        nodes: 370.0,
        hosts: 880.0,
        groups: 110.0,
        hosts_per_group: 8.0,
        failure_domains: 6.0,
        running: 880.0,
        regions: 3.0,
        tenants: 100.0,
        requests: 5_200.0,
        changes: 2_100.0,
        callers: 5_200.0,
        claimed: 0.05,
        waiting: 200.0,
    };

    /// Groups that one node watches, on average.
    pub fn watched(&self) -> f64 {
        self.groups * WATCHERS / self.nodes
    }

    /// Nodes that read the table often.
    pub fn readers(&self) -> f64 {
        (self.failure_domains * READERS).min(self.nodes)
    }

    /// Nodes that one entry asks for slots: each group's first watcher, chosen by hashing.
    pub fn issuers(&self) -> f64 {
        let spared = (1.0 - 1.0 / self.nodes).powf(self.groups);
        self.nodes * (1.0 - spared)
    }
}

/// What a node may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Share of a core.
    pub core: f64,
    /// Bytes of memory.
    pub state: f64,
    /// Bytes a second, both ways.
    pub bytes: f64,
}

impl Budget {
    /// The budget of the aim.
    pub const AIM: Budget = Budget {
        core: 0.027,
        state: 32.0 * 1024.0 * 1024.0,
        bytes: 16.0 * 1024.0,
    };
}

value! { copy
    /// A role of a node.
    pub enum Role {
        /// Handing soft state on.
        Dissemination,
        /// Probing the groups that it watches.
        Watcher,
        /// Working out which groups may serve.
        Evidence,
        /// Keeping its lease.
        Lease,
        /// Reading the table and the host list now and then.
        SeldomReader,
        /// Reading them at each round; a few nodes of each failure domain.
        Reader,
        /// Seeing to lapsed leases; a few readers of each region.
        Contender,
        /// Planning a region; one node of each.
        Planner,
        /// Asking for slots of all groups, and giving out those of its own.
        Quotas,
        /// Admitting requests and picking groups.
        Entry,
        /// Answering which entries to use.
        Addresses,
        /// Claiming requests that run at most once.
        Claims,
        /// Keeping events.
        TimeLine,
    }
}

/// What a role needs at one node, each a second where it is a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes of memory.
    pub state: f64,
    /// Messages sent and received.
    pub messages: f64,
    /// Bytes sent and received.
    pub bytes: f64,
    /// Share of a core.
    pub core: f64,
    /// Table reads.
    pub reads: f64,
    /// Table writes.
    pub writes: f64,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 13] = [
        Role::Dissemination,
        Role::Watcher,
        Role::Evidence,
        Role::Lease,
        Role::SeldomReader,
        Role::Quotas,
        Role::Entry,
        Role::Addresses,
        Role::Claims,
        Role::TimeLine,
        Role::Reader,
        Role::Contender,
        Role::Planner,
    ];

    /// Its name in the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Dissemination => "dissemination",
            Role::Watcher => "watcher",
            Role::Evidence => "evidence",
            Role::Lease => "lease",
            Role::SeldomReader => "seldom reader",
            Role::Reader => "reader",
            Role::Contender => "contender",
            Role::Quotas => "quotas",
            Role::Planner => "planner",
            Role::Entry => "entry",
            Role::Addresses => "addresses",
            Role::Claims => "claims",
            Role::TimeLine => "time line",
        }
    }

    /// Whether every node has it.
    ///
    /// A planner is one node of a region. A reader reads often in place of seldom. A
    /// contender is a reader.
    pub fn is_everywhere(self) -> bool {
        !matches!(self, Role::Planner | Role::Reader | Role::Contender)
    }

    /// What it needs at one node.
    pub fn usage(self, size: &Size, inputs: &Inputs) -> Usage {
        match self {
            Role::Dissemination => dissemination(size, inputs),
            Role::Watcher => watcher(size, inputs),
            Role::Evidence => Usage {
                state: inputs.evidence_state.at(size.groups),
                core: PULSES * inputs.pulse_core.at(size.groups),
                ..Usage::default()
            },
            Role::Lease => Usage {
                messages: 2.0 * RENEWALS,
                bytes: RENEWALS * inputs.node_row.at(1.0),
                writes: RENEWALS,
                ..Usage::default()
            },
            Role::SeldomReader => seldom_reader(size, inputs),
            Role::Reader => reader(size, inputs),
            Role::Contender => contender(size, inputs),
            Role::Quotas => quotas(size, inputs),
            Role::Planner => planner(size, inputs),
            Role::Entry => entry(size, inputs),
            Role::Addresses => addresses(size, inputs),
            Role::Claims => claims(size, inputs),
            Role::TimeLine => time_line(size, inputs),
        }
    }
}

fn dissemination(size: &Size, inputs: &Inputs) -> Usage {
    let calls = inputs.spread_calls.at(size.nodes);
    Usage {
        state: inputs.spread_state.at(size.nodes)
            + size.groups * inputs.group_item.at(size.hosts_per_group),
        // Each node makes and answers as many calls; a call is two messages.
        messages: 4.0 * calls,
        bytes: inputs.spread_bytes.at(size.nodes) + 2.0 * calls * inputs.call_bytes.at(1.0),
        core: inputs.spread_core.at(size.nodes) + calls * inputs.call_core.at(1.0),
        ..Usage::default()
    }
}

fn watcher(size: &Size, inputs: &Inputs) -> Usage {
    let hosts = size.hosts_per_group;
    let probes = size.watched() * hosts * PROBES;
    Usage {
        state: size.watched() * inputs.watch_state.at(hosts),
        messages: 2.0 * probes,
        bytes: probes * inputs.probe_bytes.at(hosts),
        core: probes * inputs.probe_core.at(hosts)
            + size.watched() * FINDINGS * inputs.judge_core.at(hosts)
            + choices(size) * inputs.watchers_core.at(size.nodes),
        ..Usage::default()
    }
}

/// Bytes of all that a node reads in a round.
struct Round {
    nodes: f64,
    groups: f64,
    hosts: f64,
    /// The head of the configuration and the region's planner row.
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

fn seldom_reader(size: &Size, inputs: &Inputs) -> Usage {
    let round = Round::new(size, inputs).sum();
    Usage {
        // One copy of what was read, counted as it travels.
        state: round,
        // Two rows and two ranges of the table, and the host list.
        messages: 2.0 * 5.0 * SELDOM_ROUNDS,
        bytes: SELDOM_ROUNDS * round,
        reads: 4.0 * SELDOM_ROUNDS,
        ..Usage::default()
    }
}

/// Choices of watchers a second: all groups' when a node goes and when it comes.
fn choices(size: &Size) -> f64 {
    2.0 * size.groups * NODE_RESTARTS / DAY
}

fn reader(size: &Size, inputs: &Inputs) -> Usage {
    let round = Round::new(size, inputs);
    let texts = size.changes / DAY;
    // The readers of a domain take turns at the ranges.
    let turns = ROUNDS / READERS;
    Usage {
        state: round.sum(),
        messages: 2.0 * (2.0 * ROUNDS + 3.0 * turns),
        bytes: ROUNDS * round.small
            + turns * (round.nodes + round.groups + round.hosts)
            + texts * inputs.config_row.at(size.groups),
        reads: 2.0 * ROUNDS + 2.0 * turns + texts,
        ..Usage::default()
    }
}

/// What comes on top of a reader's: node rows at the rounds in which it has no turn.
fn contender(size: &Size, inputs: &Inputs) -> Usage {
    let more = ROUNDS - ROUNDS / READERS;
    Usage {
        messages: 2.0 * more,
        bytes: more * size.nodes * inputs.node_row.at(1.0),
        reads: more,
        ..Usage::default()
    }
}

fn planner(size: &Size, inputs: &Inputs) -> Usage {
    let groups = size.groups / size.regions;
    let probes = size.hosts / size.regions * PLANNER_PROBES;
    // The rows of all regions are read, since the keys do not name the region.
    let scan = size.hosts * inputs.host_row.at(1.0)
        + size.groups * inputs.group_row.at(size.hosts_per_group);
    let reads = ROUNDS + 2.0 * PLANNER_SCANS;
    Usage {
        state: inputs.plan_state.at(groups),
        messages: 2.0 * (reads + probes),
        bytes: ROUNDS * inputs.planner_row.at(1.0)
            + PLANNER_SCANS * scan
            + probes * inputs.probe_bytes.at(size.hosts_per_group),
        core: ROUNDS * inputs.plan_core.at(groups)
            + probes * inputs.probe_core.at(size.hosts_per_group),
        reads,
        ..Usage::default()
    }
}

/// Every entry asks for every group; a node answers as many demands as it makes.
fn quotas(size: &Size, inputs: &Inputs) -> Usage {
    let busy = (size.running / size.nodes).min(size.groups) * (BUSY_DEMANDS - IDLE_DEMANDS);
    let calls = size.issuers() * IDLE_DEMANDS + busy;
    let demands = size.groups * IDLE_DEMANDS + busy;
    Usage {
        messages: 4.0 * calls,
        bytes: 2.0 * (calls * inputs.call_bytes.at(1.0) + demands * inputs.quota_demand.at(1.0)),
        core: calls * inputs.call_core.at(1.0) + demands * inputs.issue_core.at(size.nodes),
        ..Usage::default()
    }
}

fn entry(size: &Size, inputs: &Inputs) -> Usage {
    let requests = size.requests / size.nodes;
    let each = inputs.admit_core.at(size.tenants) + inputs.pick_core.at(size.groups);
    Usage {
        state: inputs.waiting_state.at(size.waiting),
        core: requests * each,
        ..Usage::default()
    }
}

fn addresses(size: &Size, inputs: &Inputs) -> Usage {
    let answers = size.callers / ADDRESS_TERM / size.nodes;
    Usage {
        messages: 2.0 * answers,
        core: answers * inputs.address_core.at(size.nodes),
        ..Usage::default()
    }
}

fn claims(size: &Size, inputs: &Inputs) -> Usage {
    let writes = size.requests * size.claimed * CLAIM_WRITES / size.nodes;
    Usage {
        messages: 2.0 * writes,
        bytes: writes * inputs.claim_row.at(1.0),
        reads: ERA_READS,
        writes,
        ..Usage::default()
    }
}

fn time_line(size: &Size, inputs: &Inputs) -> Usage {
    let events = size.requests / size.nodes * REQUEST_EVENTS;
    Usage {
        state: inputs.event_state.at(KEPT_EVENTS),
        core: events * inputs.event_core.at(1.0),
        ..Usage::default()
    }
}

/// What a node needs that is neither planner nor reader.
pub fn total(size: &Size, inputs: &Inputs) -> Usage {
    let roles = Role::ALL.into_iter().filter(|role| role.is_everywhere());
    roles.fold(Usage::default(), |sum, role| {
        let usage = role.usage(size, inputs);
        Usage {
            state: sum.state + usage.state,
            messages: sum.messages + usage.messages,
            bytes: sum.bytes + usage.bytes,
            core: sum.core + usage.core,
            reads: sum.reads + usage.reads,
            writes: sum.writes + usage.writes,
        }
    })
}

/// What all nodes together ask of the table service: reads and writes a second.
pub fn store_load(size: &Size, inputs: &Inputs) -> (f64, f64) {
    let everywhere = total(size, inputs);
    let planner = Role::Planner.usage(size, inputs);
    let contender = Role::Contender.usage(size, inputs).reads;
    let often = Role::Reader.usage(size, inputs).reads;
    let seldom = Role::SeldomReader.usage(size, inputs).reads;
    let reads = size.nodes * everywhere.reads
        + size.readers() * (often - seldom)
        + size.regions * (planner.reads + CONTENDERS * contender);
    let changes = size.changes / DAY;
    (reads, size.nodes * everywhere.writes + changes)
}

/// The totals as the page has them.
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
        state: Budget::AIM.state,
        bytes: Budget::AIM.bytes,
        core: Budget::AIM.core,
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
        usage.state / 1024.0,
        usage.messages,
        usage.bytes,
        usage.core * 100.0,
        usage.reads,
        usage.writes,
    );
}
