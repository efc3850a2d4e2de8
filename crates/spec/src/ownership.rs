//! Who owns a host: two planners in turn, leases, late writes, orders under way, evidence.
//!
//! Time is counted in ticks, and every age saturates, so the states are
//! finite. A node may be paused at any step, also between the check of its
//! lease and the sending of an order. Host 0 checks fencing numbers and host 1
//! does not. What may still go wrong for host 1 is said exactly: an order sent
//! by a planner that was paused between check and send ("stray") may move it at
//! any time. No wait closes that; reading the host's state back, all the time,
//! bounds how long a group is served without it.

mod steps;

use crate::check::Model;
use crate::ownership::steps::Successors;

/// Ticks that a lease lasts.
const TERM: u8 = 2;
/// Ticks that an observer waits; one more than the term, for the margin.
const OBSERVED: u8 = TERM + 1;
/// Ticks that an order can be under way after its check.
const TRANSIT: u8 = 2;
/// Ticks after which a silent host of an ended group is outlived.
const OUTLIVED: u8 = OBSERVED + TRANSIT;
/// Ticks that evidence serves.
const FRESH: u8 = 2;
/// Above every age that matters.
const OLD: u8 = OUTLIVED + 1;
/// Formations in one history.
const EPOCHS: usize = 2;
/// Most orders under way at once in any size.
const UNDER_WAY: usize = 2;
const HOSTS: usize = 2;

/// Something that the system does so that the promises hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// An observer waits until it has seen the row unchanged for term and margin.
    ObserverWaits,
    /// A holder counts its lease from before the renewal was sent.
    CountsFromSend,
    /// Transactions are conditional on the planner's lease row.
    ConditionalOnLease,
    /// Transactions are conditional on the versions of the host rows.
    ConditionalOnRows,
    /// A host is freed only when that is confirmed or outlived.
    FreedWhenConfirmed,
    /// After a takeover, hosts that don't check orders are left alone for a while.
    QuietAfterTakeover,
    /// Every binding and ending raises the host's fence.
    RaisesFence,
    /// Evidence has an age beyond which it does not serve.
    EvidenceExpires,
    /// Watchers go on comparing what hosts hold with the table.
    ReadsBack,
}

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// No host is held by two groups in the table.
    OneGroupPerHost,
    /// No two nodes both hold a valid lease to plan.
    OnePlanner,
    /// A planner that was replaced writes nothing.
    NoWriteAfterTakeover,
    /// A host that obeyed its newest binding obeys no older one later.
    NoOldOrderObeyed,
    /// No group is served without one of its hosts for longer than evidence lasts.
    WholeOrNotServed,
}

/// How much can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Two planners and formations that the table makes late, but no orders.
    Planners,
    /// One planner, a host that checks orders and comes and goes, two orders under way.
    OrdersChecked,
    /// The same with a host that doesn't check orders.
    OrdersUnchecked,
    /// Two planners, a host that checks no orders, two orders under way; too much to visit
    /// every state.
    Handover,
    /// One planner, a group of both hosts that come and go.
    Evidence,
    /// All of it, too much to visit every state.
    All,
}

impl Size {
    fn takeovers(self) -> u8 {
        u8::from(matches!(self, Size::Planners | Size::Handover | Size::All))
    }

    fn under_way(self) -> usize {
        match self {
            Size::Planners => 0,
            Size::Evidence => 1,
            _ => 2,
        }
    }

    /// Sets of hosts that are formed into groups, as bits.
    fn members(self) -> &'static [u8] {
        match self {
            Size::Planners => &[0b01],
            Size::OrdersChecked => &[0b01],
            Size::OrdersUnchecked => &[0b10],
            Size::Handover => &[0b10],
            Size::Evidence => &[0b11],
            Size::All => &[0b11, 0b10, 0b01],
        }
    }

    fn hosts_fail(self) -> bool {
        !matches!(self, Size::Planners | Size::Handover)
    }

    /// Whether nodes are paused and their leases lapse.
    fn has_leases(self) -> bool {
        self.takeovers() > 0
    }

    /// Whether watchers look.
    fn probes(self) -> bool {
        matches!(self, Size::Handover | Size::Evidence | Size::All)
    }

    fn writes_late(self) -> bool {
        matches!(self, Size::Planners | Size::All)
    }
}

/// The model; see [`Ownership::without`] for variants.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    size: Size,
    missing: Option<Guard>,
}

impl Ownership {
    /// The system as specified.
    pub fn new(size: Size) -> Ownership {
        Ownership {
            size,
            missing: None,
        }
    }

    /// The system without one guard.
    pub fn without(guard: Guard, size: Size) -> Ownership {
        Ownership {
            size,
            missing: Some(guard),
        }
    }

    fn has(&self, guard: Guard) -> bool {
        self.missing != Some(guard)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Join,
    Leave,
}

/// An order, from its check to its delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Order {
    kind: Kind,
    host: u8,
    epoch: u8,
    fence: u8,
    /// Ticks since the check, or since sending for a stray one.
    age: u8,
    /// Sent by a node that was paused between check and send.
    stray: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Node {
    paused: bool,
    /// Whether it believes that it plans.
    acts: bool,
    /// Ticks that it counts since its lease was renewed.
    lease: u8,
    /// Ticks since the sending of a renewal that has not been answered.
    renewing: Option<u8>,
    /// Ticks for which it has seen the planner's lease row unchanged.
    unchanged: u8,
    /// Ticks since it became planner.
    since: u8,
    /// An order that was checked and not yet sent.
    hand: Option<Order>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    None,
    Formed,
    Ending,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Group {
    phase: Phase,
    members: u8,
    /// Members whose rows have not been freed.
    held: u8,
    /// Ticks since it began to end.
    ended: u8,
    /// Ticks since a watcher found it whole.
    evidence: u8,
    /// Ticks for which it could be served though it was not whole, since it last was when
    /// a watcher looked.
    hollow: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Row {
    bound: u8,
    fence: u8,
    version: u8,
    /// Ticks since the planner last checked a `Join` for the host.
    joined: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Host {
    up: bool,
    placed: u8,
    fence: u8,
}

/// A formation whose answer was lost and that the table may make later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Late {
    by: u8,
    term: u8,
    members: u8,
    versions: [u8; HOSTS],
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    planner: u8,
    term: u8,
    nodes: [Node; 2],
    groups: [Group; EPOCHS],
    rows: [Row; HOSTS],
    hosts: [Host; HOSTS],
    orders: [Option<Order>; UNDER_WAY],
    late: Option<Late>,
    broken: Option<BrokenAt>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum BrokenAt {
    Write,
    Order,
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Tick,
    /// A node is paused.
    Pause {
        /// The node.
        node: usize,
    },
    /// A node goes on.
    Resume {
        /// The node.
        node: usize,
    },
    /// The planner sends a renewal, which the table makes.
    Renew,
    /// The answer to a renewal arrives.
    RenewalAnswered {
        /// The node.
        node: usize,
    },
    /// The other node becomes planner.
    TakeOver,
    /// The planner binds hosts to a new group.
    Form {
        /// The hosts, as bits.
        members: u8,
    },
    /// The planner sends a formation whose answer is lost.
    FormUnanswered {
        /// The hosts, as bits.
        members: u8,
    },
    /// The table makes a formation late.
    LateForm,
    /// The planner begins to end a group.
    End {
        /// Its epoch.
        epoch: usize,
    },
    /// The planner frees a host of an ended group.
    Free {
        /// The host.
        host: usize,
    },
    /// A node checks its lease and takes an order in hand.
    Check {
        /// The node.
        node: usize,
        /// `Join` rather than `Leave`.
        join: bool,
        /// The host.
        host: usize,
    },
    /// A node sends the order in its hand.
    Send {
        /// The node.
        node: usize,
    },
    /// An order reaches its host.
    Deliver,
    /// An order is lost.
    Lose,
    /// A host stops answering.
    HostGone {
        /// The host.
        host: usize,
    },
    /// A host goes on as if nothing had happened.
    HostBack {
        /// The host.
        host: usize,
    },
    /// A watcher probes a group.
    Probe {
        /// Its epoch.
        epoch: usize,
    },
}

impl Model for Ownership {
    type State = State;
    type Step = Step;
    type Promise = Promise;

    fn start(&self) -> State {
        let node = |acts| Node {
            paused: false,
            acts,
            lease: if acts { 0 } else { OLD },
            renewing: None,
            unchanged: 0,
            since: OLD,
            hand: None,
        };
        let group = Group {
            phase: Phase::None,
            members: 0,
            held: 0,
            ended: OLD,
            evidence: OLD,
            hollow: 0,
        };
        let row = Row {
            bound: 0,
            fence: 0,
            version: 0,
            joined: OLD,
        };
        let host = Host {
            up: true,
            placed: 0,
            fence: 0,
        };
        State {
            planner: 0,
            term: 0,
            nodes: [node(true), node(false)],
            groups: [group; EPOCHS],
            rows: [row; HOSTS],
            hosts: [host; HOSTS],
            orders: [None; UNDER_WAY],
            late: None,
            broken: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut all = Successors {
            model: self,
            state,
            found: Vec::new(),
        };
        all.time();
        all.leases();
        all.writes();
        all.orders();
        all.hosts();
        all.found
    }

    fn broken(&self, s: &State) -> Option<Promise> {
        match s.broken {
            Some(BrokenAt::Write) => return Some(Promise::NoWriteAfterTakeover),
            Some(BrokenAt::Order) => return Some(Promise::NoOldOrderObeyed),
            None => {}
        }
        let shared = s.groups.iter().enumerate().any(|(i, a)| {
            let later = s.groups[i + 1..].iter();
            later.fold(0, |mask, b| mask | (a.held & b.held)) != 0
        });
        if shared {
            return Some(Promise::OneGroupPerHost);
        }
        let valid = |n: &&Node| n.acts && n.lease < TERM;
        if s.nodes.iter().filter(valid).count() > 1 {
            return Some(Promise::OnePlanner);
        }
        let hollow = s.groups.iter().any(|g| g.hollow > FRESH);
        hollow.then_some(Promise::WholeOrNotServed)
    }
}
