//! Configuration: two operators, lost answers, late writes, and nodes that learn from each other.

use crate::check::Model;

/// Versions that are accepted in one history at most.
const VERSIONS: usize = 3;
const OPERATORS: usize = 2;
const NODES: usize = 3;
/// Times that an operator asks for one change.
const ASKS: u8 = 2;

/// Something that the system does so that the promises hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A change is conditional on the version that its operator saw.
    ConditionalOnVersion,
    /// A change carries an id, and is not made twice.
    SubmitIds,
    /// An operator is told of a refusal only when a late write can't follow.
    SettlesBeforeRefusal,
    /// Nodes apply only higher versions.
    RisingOnly,
}

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// Every accepted change was made on the version that its operator saw.
    NothingMergedSilently,
    /// No change is made twice.
    MadeOnce,
    /// A change that was told to be refused is not made.
    RefusedIsNotMade,
    /// A change that was told to be accepted is in the history.
    AcceptedIsMade,
    /// No running node goes back to a lower version.
    NeverReverts,
}

/// The model; see [`Acceptance::without`] for variants.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    missing: Option<Guard>,
}

impl Acceptance {
    /// The system as specified.
    pub fn new() -> Acceptance {
        Acceptance::default()
    }

    /// The system without one guard.
    pub fn without(guard: Guard) -> Acceptance {
        Acceptance {
            missing: Some(guard),
        }
    }

    fn has(&self, guard: Guard) -> bool {
        self.missing != Some(guard)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Accepted,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Operator {
    /// The version that the change was written against; `None` before it was read.
    base: Option<u8>,
    /// Transactions of it that the table may yet make.
    under_way: u8,
    asks: u8,
    told: Told,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Made {
    operator: u8,
    /// The version that the change was written against.
    base: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Node {
    applied: u8,
    /// A version read from the table or a peer that has not arrived yet.
    arriving: Option<u8>,
    /// Whether it went back to a lower version while it ran.
    reverted: bool,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    history: [Option<Made>; VERSIONS],
    operators: [Operator; OPERATORS],
    nodes: [Node; NODES],
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator reads the version in force and writes its change against it.
    Read {
        /// The operator.
        operator: usize,
    },
    /// An operator submits its change; the transaction is under way.
    Submit {
        /// The operator.
        operator: usize,
    },
    /// The table makes or refuses a transaction, and the answer arrives.
    Answered {
        /// The operator.
        operator: usize,
    },
    /// The table makes or refuses a transaction, and the answer is lost.
    Unanswered {
        /// The operator.
        operator: usize,
    },
    /// A submission timed out; what became of it is asked by a read, or settled by a write.
    Settle {
        /// The operator.
        operator: usize,
    },
    /// A node reads the table; the answer is under way.
    NodeReads {
        /// The node.
        node: usize,
    },
    /// A node asks a peer; the answer is under way.
    PeerAnswers {
        /// The node.
        node: usize,
        /// The peer.
        peer: usize,
    },
    /// What was under way to a node arrives.
    Arrives {
        /// The node.
        node: usize,
    },
    /// A node restarts and knows nothing.
    Restart {
        /// The node.
        node: usize,
    },
}

impl State {
    fn version(&self) -> u8 {
        self.history.iter().flatten().count() as u8
    }

    fn count(&self, operator: usize) -> usize {
        let made = self.history.iter().flatten();
        made.filter(|m| m.operator as usize == operator).count()
    }
}

impl Model for Acceptance {
    type State = State;
    type Step = Step;
    type Promise = Promise;

    fn start(&self) -> State {
        State {
            history: [None; VERSIONS],
            operators: [Operator {
                base: None,
                under_way: 0,
                asks: 0,
                told: Told::Nothing,
            }; OPERATORS],
            nodes: [Node {
                applied: 0,
                arriving: None,
                reverted: false,
            }; NODES],
        }
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut found = Vec::new();
        for operator in 0..OPERATORS {
            self.operator_steps(s, operator, &mut found);
        }
        for node in 0..NODES {
            self.node_steps(s, node, &mut found);
        }
        found
    }

    fn broken(&self, s: &State) -> Option<Promise> {
        if s.nodes.iter().any(|n| n.reverted) {
            return Some(Promise::NeverReverts);
        }
        let merged = |(v, made): (usize, &Made)| made.base as usize != v;
        if s.history.iter().flatten().enumerate().any(merged) {
            return Some(Promise::NothingMergedSilently);
        }
        for (operator, state) in s.operators.iter().enumerate() {
            match (state.told, s.count(operator)) {
                (Told::Accepted, 0) => return Some(Promise::AcceptedIsMade),
                (Told::Refused, 1..) => return Some(Promise::RefusedIsNotMade),
                (_, 2..) => return Some(Promise::MadeOnce),
                _ => {}
            }
        }
        None
    }
}

impl Acceptance {
    fn operator_steps(&self, s: &State, operator: usize, found: &mut Vec<(Step, State)>) {
        let mut add = |step, change: &dyn Fn(&mut State)| {
            let mut next = s.clone();
            change(&mut next);
            found.push((step, next));
        };
        let op = s.operators[operator];
        if op.base.is_none() {
            let base = s.version();
            add(Step::Read { operator }, &|s| {
                s.operators[operator].base = Some(base);
            });
            return;
        }
        let open = op.told == Told::Nothing;
        if open && op.asks < ASKS && op.under_way < 2 {
            add(Step::Submit { operator }, &|s| {
                s.operators[operator].asks += 1;
                s.operators[operator].under_way += 1;
                // Without an id the operator reads again and submits anew.
                if !self.has(Guard::SubmitIds) {
                    s.operators[operator].base = Some(s.version());
                }
            });
        }
        if op.under_way > 0 {
            add(Step::Answered { operator }, &|s| {
                s.operators[operator].under_way -= 1;
                let made = self.make(s, operator);
                if open {
                    s.operators[operator].told = made;
                }
            });
            add(Step::Unanswered { operator }, &|s| {
                s.operators[operator].under_way -= 1;
                self.make(s, operator);
            });
        }
        if open && op.asks > 0 {
            add(Step::Settle { operator }, &|s| self.settle(s, operator));
        }
    }

    /// What the table does with a transaction, and what it answers.
    fn make(&self, s: &mut State, operator: usize) -> Told {
        if self.has(Guard::SubmitIds) && s.count(operator) > 0 {
            return Told::Accepted;
        }
        let version = s.version();
        let base = s.operators[operator].base.unwrap_or(0);
        let stale = base != version && self.has(Guard::ConditionalOnVersion);
        if stale || version as usize == VERSIONS {
            return Told::Refused;
        }
        s.history[version as usize] = Some(Made {
            operator: operator as u8,
            base,
        });
        Told::Accepted
    }

    /// After a time-out. The id in the history proves acceptance. Its absence proves nothing
    /// while the version is still the base, since the transaction may be made later; once
    /// the version has risen, the transaction can only fail.
    fn settle(&self, s: &mut State, operator: usize) {
        let base = s.operators[operator].base.unwrap_or(0);
        if s.count(operator) > 0 {
            s.operators[operator].told = Told::Accepted;
        } else if s.version() > base || !self.has(Guard::SettlesBeforeRefusal) {
            s.operators[operator].told = Told::Refused;
        }
    }

    fn node_steps(&self, s: &State, node: usize, found: &mut Vec<(Step, State)>) {
        let mut add = |step, change: &dyn Fn(&mut State)| {
            let mut next = s.clone();
            change(&mut next);
            found.push((step, next));
        };
        match s.nodes[node].arriving {
            None => {
                add(Step::NodeReads { node }, &|s| {
                    s.nodes[node].arriving = Some(s.version());
                });
                for peer in (0..NODES).filter(|peer| *peer != node) {
                    let version = s.nodes[peer].applied;
                    add(Step::PeerAnswers { node, peer }, &|s| {
                        s.nodes[node].arriving = Some(version);
                    });
                }
            }
            Some(version) => add(Step::Arrives { node }, &|s| self.apply(s, node, version)),
        }
        add(Step::Restart { node }, &|s| {
            s.nodes[node] = Node {
                applied: 0,
                arriving: s.nodes[node].arriving,
                reverted: false,
            };
        });
    }

    fn apply(&self, s: &mut State, node: usize, version: u8) {
        let state = &mut s.nodes[node];
        state.arriving = None;
        let lower = version < state.applied;
        if lower && self.has(Guard::RisingOnly) {
            return;
        }
        state.reverted |= lower;
        state.applied = version;
    }
}
