//! The steps of the ownership model.

use super::{
    BrokenAt, EPOCHS, FRESH, Group, Guard, HOSTS, Kind, Late, OBSERVED, OLD, OUTLIVED, Order,
    Ownership, Phase, Size, State, Step, TERM, TRANSIT, UNDER_WAY,
};

/// Gathers what can follow one state.
pub(crate) struct Successors<'a> {
    pub(crate) model: &'a Ownership,
    pub(crate) state: &'a State,
    pub(crate) found: Vec<(Step, State)>,
}

impl Successors<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut next = self.state.clone();
        change(&mut next);
        forget(self.model.size, &mut next);
        self.found.push((step, next));
    }

    pub(crate) fn time(&mut self) {
        let due = self.state.orders.iter().flatten().any(|o| o.age >= TRANSIT);
        // A node that runs sends what it has checked at once.
        let held = self
            .state
            .nodes
            .iter()
            .any(|n| n.hand.is_some() && !n.paused);
        if !due && !held {
            let model = *self.model;
            self.add(Step::Tick, |s| tick(&model, s));
        }
        for node in 0..2 {
            if !self.model.size.has_leases() {
                continue;
            }
            let paused = self.state.nodes[node].paused;
            // Pausing matters to a node that believes it plans.
            if !paused && self.state.nodes[node].acts {
                self.add(Step::Pause { node }, |s| s.nodes[node].paused = true);
            } else if paused {
                self.add(Step::Resume { node }, |s| s.nodes[node].paused = false);
            }
        }
    }

    pub(crate) fn leases(&mut self) {
        if !self.model.size.has_leases() {
            return;
        }
        let planner = self.state.planner as usize;
        let other = 1 - planner;
        let holder = &self.state.nodes[planner];
        if !holder.paused && holder.renewing.is_none() && holder.lease > 0 {
            self.add(Step::Renew, |s| {
                s.nodes[planner].renewing = Some(0);
                s.nodes[other].unchanged = 0;
            });
        }
        for node in 0..2 {
            let Some(sent) = self.state.nodes[node].renewing else {
                continue;
            };
            if !self.state.nodes[node].paused {
                let from_send = self.model.has(Guard::CountsFromSend);
                self.add(Step::RenewalAnswered { node }, |s| {
                    s.nodes[node].renewing = None;
                    s.nodes[node].lease = if from_send { sent } else { 0 };
                });
            }
        }
        let waited = self.state.nodes[other].unchanged >= OBSERVED;
        let waited = waited || !self.model.has(Guard::ObserverWaits);
        if self.state.term < self.model.size.takeovers() && waited {
            self.add(Step::TakeOver, |s| {
                s.planner = other as u8;
                s.term += 1;
                s.nodes[other].acts = true;
                s.nodes[other].lease = 0;
                s.nodes[other].since = 0;
                // It does not know what the planner before has sent.
                s.rows.iter_mut().for_each(|row| row.joined = OLD);
            });
        }
    }

    /// Transactions of the planner in the table; those of a node replaced fail.
    pub(crate) fn writes(&mut self) {
        let s = self.state;
        if !s.nodes[s.planner as usize].paused {
            self.forms();
            self.endings();
            self.frees();
        }
        if let Some(late) = s.late {
            self.late_form(late);
        }
    }

    fn forms(&mut self) {
        let s = self.state;
        let Some(epoch) = s.groups.iter().position(|g| g.phase == Phase::None) else {
            return;
        };
        for members in self.model.size.members().iter().copied() {
            let free = hosts_in(members).all(|h| s.rows[h].bound == 0);
            let empty = hosts_in(members).all(|h| s.hosts[h].up && s.hosts[h].placed == 0);
            let quiet = members & 0b10 != 0 && self.is_quiet();
            if !free || !empty || quiet {
                continue;
            }
            let model = *self.model;
            self.add(Step::Form { members }, |s| form(&model, s, epoch, members));
            if s.late.is_none() && self.model.size.writes_late() {
                self.add(Step::FormUnanswered { members }, |s| {
                    s.late = Some(Late {
                        by: s.planner,
                        term: s.term,
                        members,
                        versions: [s.rows[0].version, s.rows[1].version],
                    });
                });
            }
        }
    }

    fn late_form(&mut self, late: Late) {
        let s = self.state;
        let Some(epoch) = s.groups.iter().position(|g| g.phase == Phase::None) else {
            return;
        };
        let current = s.planner == late.by && s.term == late.term;
        if !current && self.model.has(Guard::ConditionalOnLease) {
            return;
        }
        let same = hosts_in(late.members).all(|h| s.rows[h].version == late.versions[h]);
        if !same && self.model.has(Guard::ConditionalOnRows) {
            return;
        }
        let model = *self.model;
        self.add(Step::LateForm, |s| {
            s.late = None;
            form(&model, s, epoch, late.members);
            if !current {
                s.broken = Some(BrokenAt::Write);
            }
        });
    }

    fn endings(&mut self) {
        for epoch in 0..EPOCHS {
            if self.state.groups[epoch].phase != Phase::Formed {
                continue;
            }
            let raises = self.model.has(Guard::RaisesFence);
            self.add(Step::End { epoch }, |s| {
                s.groups[epoch].phase = Phase::Ending;
                s.groups[epoch].ended = 0;
                for host in hosts_in(s.groups[epoch].held) {
                    s.rows[host].fence += u8::from(raises);
                    s.rows[host].version += 1;
                }
            });
        }
    }

    fn frees(&mut self) {
        for host in 0..HOSTS {
            let Some(epoch) = (self.state.rows[host].bound as usize).checked_sub(1) else {
                continue;
            };
            let ending = self.state.groups[epoch].phase == Phase::Ending;
            let allowed = self.may_free(host, epoch) || !self.model.has(Guard::FreedWhenConfirmed);
            if ending && allowed {
                self.add(Step::Free { host }, |s| {
                    s.rows[host].bound = 0;
                    s.rows[host].version += 1;
                    s.groups[epoch].held &= !(1 << host);
                });
            }
        }
    }

    fn may_free(&self, host: usize, epoch: usize) -> bool {
        let s = self.state;
        let (row, state) = (s.rows[host], s.hosts[host]);
        if !state.up {
            return s.groups[epoch].ended >= OUTLIVED;
        }
        let obeyed = if checks(host) {
            state.fence >= row.fence
        } else {
            row.joined > TRANSIT && !self.is_quiet()
        };
        state.placed == 0 && obeyed
    }

    /// Whether an order of the planner before may be under way.
    fn is_quiet(&self) -> bool {
        let since = self.state.nodes[self.state.planner as usize].since;
        since <= TRANSIT && self.model.has(Guard::QuietAfterTakeover)
    }

    pub(crate) fn orders(&mut self) {
        if self.model.size.under_way() == 0 {
            return;
        }
        for node in 0..2 {
            self.checks_of(node);
            let Some(mut order) = self.state.nodes[node].hand else {
                continue;
            };
            let slots = &self.state.orders[..self.model.size.under_way()];
            let slot = slots.iter().position(Option::is_none);
            if let Some(slot) = slot.filter(|_| !self.state.nodes[node].paused) {
                self.add(Step::Send { node }, |s| {
                    order.stray = order.age > 0;
                    order.age = 0;
                    s.nodes[node].hand = None;
                    s.orders[slot] = Some(order);
                });
            }
        }
        for slot in 0..UNDER_WAY {
            let Some(order) = self.state.orders[slot] else {
                continue;
            };
            self.add(Step::Lose, |s| s.orders[slot] = None);
            if self.state.hosts[order.host as usize].up {
                self.add(Step::Deliver, |s| {
                    s.orders[slot] = None;
                    deliver(s, order);
                });
            }
        }
    }

    fn checks_of(&mut self, node: usize) {
        let n = self.state.nodes[node];
        // A node that was replaced plans from what it read before; it learns of the
        // takeover at its next transaction, and its lease has lapsed by then.
        let reads = node == self.state.planner as usize;
        if n.paused || !n.acts || n.hand.is_some() || n.lease >= TERM || !reads {
            return;
        }
        for host in 0..HOSTS {
            let row = self.state.rows[host];
            let Some(epoch) = (row.bound as usize).checked_sub(1) else {
                continue;
            };
            if !checks(host) && self.is_quiet() {
                continue;
            }
            let join = self.state.groups[epoch].phase == Phase::Formed;
            let placed = self.state.hosts[host].placed == row.bound;
            let needed = if join {
                !placed
            } else {
                placed || checks(host)
            };
            if !needed {
                continue;
            }
            self.add(Step::Check { node, join, host }, |s| {
                s.nodes[node].hand = Some(Order {
                    kind: if join { Kind::Join } else { Kind::Leave },
                    host: host as u8,
                    epoch: row.bound,
                    fence: row.fence,
                    age: 0,
                    stray: false,
                });
                if join {
                    s.rows[host].joined = 0;
                }
            });
        }
    }

    pub(crate) fn hosts(&mut self) {
        let members = self.model.size.members().iter().fold(0, |a, b| a | b);
        let failing = if self.model.size.hosts_fail() {
            members
        } else {
            0
        };
        for host in hosts_in(failing) {
            if self.state.hosts[host].up {
                self.add(Step::HostGone { host }, |s| s.hosts[host].up = false);
            } else {
                self.add(Step::HostBack { host }, |s| s.hosts[host].up = true);
            }
        }
        for epoch in 0..EPOCHS {
            let group = self.state.groups[epoch];
            if group.phase != Phase::Formed || !self.model.size.probes() {
                continue;
            }
            let whole = if self.model.has(Guard::ReadsBack) {
                is_whole(self.state, epoch)
            } else {
                self.looks_whole(epoch)
            };
            let truly = is_whole(self.state, epoch);
            self.add(Step::Probe { epoch }, |s| {
                s.groups[epoch].evidence = if whole { 0 } else { OLD };
                if truly {
                    s.groups[epoch].hollow = 0;
                }
            });
        }
    }

    /// A watcher that compares placements once only, before the group first serves.
    fn looks_whole(&self, epoch: usize) -> bool {
        let group = self.state.groups[epoch];
        let up = hosts_in(group.members).all(|h| self.state.hosts[h].up);
        up && (group.evidence < OLD || is_whole(self.state, epoch))
    }
}

/// Drops what can no longer make a difference, so that states that differ in nothing else
/// count as one.
fn forget(size: Size, s: &mut State) {
    let last = s.term == size.takeovers();
    for (i, node) in s.nodes.iter_mut().enumerate() {
        if i == s.planner as usize || last {
            node.unchanged = 0;
        }
        if !size.has_leases() {
            node.lease = 0;
        }
        node.unchanged = node.unchanged.min(OBSERVED);
        node.lease = node.lease.min(TERM);
        node.since = node.since.min(TRANSIT + 1);
        node.renewing = node.renewing.map(|age| age.min(TERM));
    }
    for row in &mut s.rows {
        if row.bound == 0 {
            row.joined = OLD;
        }
        row.joined = row.joined.min(TRANSIT + 1);
        if s.late.is_none() {
            row.version = 0;
        }
    }
    for group in &mut s.groups {
        if group.held == 0 {
            group.ended = OLD;
        }
        if group.evidence >= FRESH && group.phase == Phase::Ending {
            group.evidence = group.evidence.max(OLD - 1);
        }
    }
    s.orders.sort_unstable_by_key(|order| {
        order.map(|o| {
            (
                o.host,
                o.epoch,
                o.age,
                o.fence,
                o.stray,
                o.kind == Kind::Join,
            )
        })
    });
    s.orders.reverse();
}

fn checks(host: usize) -> bool {
    host == 0
}

fn hosts_in(members: u8) -> impl Iterator<Item = usize> {
    (0..HOSTS).filter(move |h| members & (1 << h) != 0)
}

fn is_whole(s: &State, epoch: usize) -> bool {
    let placed = |h: usize| s.hosts[h].up && s.hosts[h].placed as usize == epoch + 1;
    hosts_in(s.groups[epoch].members).all(placed)
}

fn is_served(model: &Ownership, group: &Group) -> bool {
    let fresh = group.evidence < FRESH;
    let ever = group.evidence < OLD;
    fresh || (ever && !model.has(Guard::EvidenceExpires))
}

fn form(model: &Ownership, s: &mut State, epoch: usize, members: u8) {
    s.groups[epoch] = Group {
        phase: Phase::Formed,
        members,
        held: members,
        ended: OLD,
        evidence: OLD,
        hollow: 0,
    };
    for host in hosts_in(members) {
        s.rows[host].bound = epoch as u8 + 1;
        s.rows[host].fence += u8::from(model.has(Guard::RaisesFence));
        s.rows[host].version += 1;
    }
}

fn deliver(s: &mut State, order: Order) {
    let host = order.host as usize;
    if checks(host) && order.fence < s.hosts[host].fence {
        return;
    }
    if checks(host) {
        s.hosts[host].fence = order.fence;
    }
    let settled = s.hosts[host].placed;
    match order.kind {
        Kind::Leave if settled == order.epoch => s.hosts[host].placed = 0,
        Kind::Leave => {}
        Kind::Join => {
            let back = settled == s.rows[host].bound && order.epoch < settled;
            let excused = order.stray && !checks(host);
            if back && !excused {
                s.broken = Some(BrokenAt::Order);
            }
            s.hosts[host].placed = order.epoch;
        }
    }
}

fn tick(model: &Ownership, s: &mut State) {
    let older = |age: &mut u8| *age = (*age + 1).min(OLD);
    for node in &mut s.nodes {
        older(&mut node.lease);
        older(&mut node.since);
        older(&mut node.unchanged);
        node.renewing.iter_mut().for_each(older);
        if let Some(order) = &mut node.hand {
            older(&mut order.age);
        }
    }
    for order in s.orders.iter_mut().flatten() {
        order.age += 1;
    }
    for row in &mut s.rows {
        older(&mut row.joined);
    }
    for epoch in 0..EPOCHS {
        older(&mut s.groups[epoch].ended);
        let served = is_served(model, &s.groups[epoch]);
        let hollow = served && !is_whole(s, epoch);
        let group = &mut s.groups[epoch];
        group.hollow = if hollow { group.hollow + 1 } else { 0 };
        // Evidence stays in memory until the watcher takes it back, however old it is.
        group.evidence = if group.evidence < OLD {
            (group.evidence + 1).min(OLD - 1)
        } else {
            OLD
        };
    }
}
