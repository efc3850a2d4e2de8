//! Specification of claims: one idempotency key, several attempts of callers at entries.
//!
//! A pause is an owner that takes no step for a while; a lost message is one
//! that stays pending. Both need no step of their own. An observer may take an
//! owner for lapsed at any moment, rightly or not.

mod state;

use std::fmt;

use pathfinding::prelude::{bfs, bfs_reach};

pub use self::state::State;
use self::state::{
    Attempt, Channel, Phase, Reply, Row, RowState, Target, Told, arrive, close, final_state,
    hear_dispatch, release, take_write, write,
};

/// Attempts in the model. Attempts 0 and 2 are made at the same entry.
pub const ATTEMPTS: usize = 3;

/// A rule of the protocol that can be left out to see what it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The claim's write is conditional on the version read.
    ConditionalClaim,
    /// Nothing is dispatched on a write whose answer was lost.
    NoDispatchOnLostAnswer,
    /// An abandoned attempt ignores a late word that its write was made.
    AbandonedStaysClosed,
    /// An abandoned attempt is released on the claim's own condition, not on the version guessed to follow.
    ReleaseOnSameCondition,
    /// An abandoned attempt is released at all.
    ReleaseAbandoned,
    /// The final state is written over the attempt's own row only.
    OwnRowOnly,
    /// A dispatch without an answer counts as unknown, not as not run.
    TimeoutIsUnknown,
    /// The key of a lapsed owner isn't claimed anew.
    LapsedKeepsClaim,
    /// A row that says answered or unknown isn't claimed anew.
    FinalStateStays,
    /// The table never comes back from an older copy. No rule of the protocol makes up for it.
    TableKeepsWrites,
}

/// A step of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Begins,
    StoreTakesClaim,
    HearsOfClaim,
    GivesUpOnClaim,
    Dispatches,
    Releases,
    TargetRuns,
    TargetRefuses,
    HearsOfDispatch,
    GivesUpOnDispatch,
    StoreTakesClose,
    HearsOfClose,
    OwnerDies,
    OwnerSeemsLapsed,
    TableForgets,
}

const ACTIONS: [Action; 15] = [
    Action::Begins,
    Action::StoreTakesClaim,
    Action::HearsOfClaim,
    Action::GivesUpOnClaim,
    Action::Dispatches,
    Action::Releases,
    Action::TargetRuns,
    Action::TargetRefuses,
    Action::HearsOfDispatch,
    Action::GivesUpOnDispatch,
    Action::StoreTakesClose,
    Action::HearsOfClose,
    Action::OwnerDies,
    Action::OwnerSeemsLapsed,
    Action::TableForgets,
];

impl Action {
    /// Whether it is something that goes wrong, rather than progress.
    fn is_fault(self) -> bool {
        matches!(
            self,
            Action::OwnerDies | Action::OwnerSeemsLapsed | Action::TableForgets
        )
    }
}

/// How a state breaks what callers rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The request ran more than once.
    #[error("the request ran twice")]
    RanTwice,
    /// A caller was told `not-run`, and its attempt ran.
    #[error("a caller was told not-run, and its attempt ran")]
    FalseNotRun,
    /// A caller was given a kept answer although nothing ran.
    #[error("a caller was given an answer although nothing ran")]
    FalseAnswer,
    /// Repeats are told "in progress" for good, by a claim nobody works on.
    #[error("the claim stays with a live owner that does nothing")]
    Stranded,
}

/// The protocol, whole or with one rule left out.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    removed: Option<Guard>,
    bounds: Bounds,
}

/// How much may happen.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Dispatches that one attempt may make, one after the other.
    pub dispatches: u8,
    /// Owners that may die or seem lapsed.
    pub faults: u8,
}

/// A way to a violation, one line a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    steps: Vec<String>,
    violation: Violation,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(f, "{step}")?;
        }
        write!(f, "=> {}", self.violation)
    }
}

impl Model {
    /// The whole protocol within `bounds`.
    pub fn new(bounds: Bounds) -> Model {
        Model {
            removed: None,
            bounds,
        }
    }

    /// Leaves out one rule.
    pub fn without(mut self, guard: Guard) -> Model {
        self.removed = Some(guard);
        self
    }

    /// Visits every state that can be reached and counts them.
    ///
    /// # Errors
    /// The first violation found; [`Model::counterexample`] tells the way to it.
    pub fn check(&self) -> Result<usize, Violation> {
        let mut states = 0;
        for state in bfs_reach(State::default(), |s| self.successors(s)) {
            states += 1;
            if let Some(violation) = self.violation(&state) {
                return Err(violation);
            }
        }
        Ok(states)
    }

    /// The shortest way to a violation, if there is one.
    pub fn counterexample(&self) -> Option<Counterexample> {
        let start = State::default();
        let bad = |s: &State| self.violation(s).is_some();
        let path = bfs(&start, |s| self.successors(s), bad)?;
        let violation = self.violation(path.last()?)?;
        let steps = path.windows(2).map(|w| self.name(&w[0], &w[1])).collect();
        Some(Counterexample { steps, violation })
    }

    fn holds(&self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        self.steps(state).map(|(_, _, next)| next).collect()
    }

    fn steps(&self, state: &State) -> impl Iterator<Item = (usize, Action, State)> {
        let all = (0..ATTEMPTS).flat_map(|i| ACTIONS.map(|a| (i, a)));
        all.filter_map(|(i, a)| Some((i, a, self.step(state, i, a)?)))
    }

    fn name(&self, from: &State, to: &State) -> String {
        let step = self.steps(from).find(|(_, _, next)| next == to);
        step.map_or_else(String::new, |(i, a, next)| {
            let told = next.attempts[i].told;
            match told.filter(|_| told != from.attempts[i].told) {
                Some(told) => format!("attempt {i}: {a:?}, tells {told:?}"),
                None => format!("attempt {i}: {a:?}"),
            }
        })
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let runs: u8 = state.attempts.iter().map(|a| a.runs).sum();
        if runs > 1 {
            return Some(Violation::RanTwice);
        }
        if state
            .attempts
            .iter()
            .any(|a| a.told == Some(Told::NotRun) && a.runs > 0)
        {
            return Some(Violation::FalseNotRun);
        }
        if runs == 0 && state.attempts.iter().any(|a| a.told == Some(Told::Replay)) {
            return Some(Violation::FalseAnswer);
        }
        let row = state.row.filter(|r| r.state == RowState::Claimed)?;
        let owner = &state.attempts[row.attempt as usize];
        let idle = owner.phase == Phase::Closed && !owner.dead;
        let at_rest = || self.steps(state).all(|(_, a, _)| a.is_fault());
        (idle && at_rest()).then_some(Violation::Stranded)
    }

    fn step(&self, state: &State, i: usize, action: Action) -> Option<State> {
        let at = &state.attempts[i];
        let store = matches!(
            action,
            Action::StoreTakesClaim
                | Action::StoreTakesClose
                | Action::TargetRuns
                | Action::TargetRefuses
        );
        if at.dead && !store {
            return None;
        }
        let mut next = *state;
        match action {
            Action::Begins => self.begin(&mut next, i)?,
            Action::StoreTakesClaim => {
                let unconditional = !self.holds(Guard::ConditionalClaim);
                take_write(&mut next, i, |a| &mut a.claim, unconditional)?;
            }
            Action::HearsOfClaim => self.hear_claim(&mut next.attempts[i])?,
            Action::GivesUpOnClaim => self.abandon(&mut next, i)?,
            Action::Dispatches => self.dispatch(&mut next.attempts[i])?,
            Action::Releases => release(&mut next, i)?,
            Action::TargetRuns => {
                arrive(&mut next.attempts[i], Target::Ran)?;
                next.attempts[i].runs += 1;
            }
            Action::TargetRefuses => arrive(&mut next.attempts[i], Target::Refused)?,
            Action::HearsOfDispatch => hear_dispatch(&mut next, i)?,
            Action::GivesUpOnDispatch => self.give_up_dispatch(&mut next, i)?,
            Action::StoreTakesClose => take_write(&mut next, i, |a| &mut a.close, false)?,
            Action::HearsOfClose => self.hear_close(&mut next, i)?,
            Action::OwnerDies => self.fault(&mut next, i, true)?,
            Action::OwnerSeemsLapsed => self.fault(&mut next, i, false)?,
            Action::TableForgets => self.forget_row(&mut next, i)?,
        }
        Some(next)
    }

    /// The table comes back from a copy without the row. A step of no attempt, counted as one of the
    /// first.
    fn forget_row(&self, state: &mut State, i: usize) -> Option<()> {
        if self.holds(Guard::TableKeepsWrites) || i > 0 {
            return None;
        }
        state.row.take()?;
        state.version = 0;
        Some(())
    }

    /// Reads the row and decides, as one step; the write that follows is another.
    fn begin(&self, state: &mut State, i: usize) -> Option<()> {
        if state.attempts[i].phase != Phase::Unused {
            return None;
        }
        let told = match state.row {
            None => None,
            Some(row) => self.judge(state, row, i),
        };
        let (version, row) = (state.version, state.row);
        let attempt = &mut state.attempts[i];
        attempt.told = told;
        attempt.phase = Phase::Closed;
        match (told, row) {
            (None, _) => {
                attempt.phase = Phase::Claiming;
                attempt.condition = version;
                attempt.claim = write(version, i, RowState::Claimed);
            }
            (Some(Told::Unknown), Some(row)) if row.state == RowState::Claimed => {
                attempt.claim = write(version, row.attempt as usize, RowState::Unknown);
            }
            _ => (),
        }
        Some(())
    }

    /// What a repeat is told; nothing when it may claim.
    fn judge(&self, state: &State, row: Row, i: usize) -> Option<Told> {
        let owner = &state.attempts[row.attempt as usize];
        let same_entry = row.attempt as usize % 2 == i % 2 && !owner.dead;
        match row.state {
            RowState::Released => None,
            RowState::Answered => self.holds(Guard::FinalStateStays).then_some(Told::Replay),
            RowState::Unknown => self.holds(Guard::FinalStateStays).then_some(Told::Unknown),
            RowState::Claimed if same_entry && owner.abandoned => None,
            RowState::Claimed if owner.lapsed || owner.dead => {
                self.holds(Guard::LapsedKeepsClaim).then_some(Told::Unknown)
            }
            RowState::Claimed => Some(Told::InProgress),
        }
    }

    fn hear_claim(&self, attempt: &mut Attempt) -> Option<()> {
        let Channel::Reply(reply) = attempt.claim else {
            return None;
        };
        let late = attempt.abandoned && !self.holds(Guard::AbandonedStaysClosed);
        if attempt.phase != Phase::Claiming && !late {
            return None;
        }
        attempt.claim = Channel::Idle;
        match reply {
            Reply::Committed => attempt.phase = Phase::Held,
            Reply::Conflict(..) => {
                attempt.phase = Phase::Closed;
                attempt.told = Some(Told::NotRun);
            }
        }
        Some(())
    }

    /// The claim's answer is lost: nothing is dispatched, and the claim is released.
    fn abandon(&self, state: &mut State, i: usize) -> Option<()> {
        let attempt = &mut state.attempts[i];
        if attempt.phase != Phase::Claiming {
            return None;
        }
        if !self.holds(Guard::NoDispatchOnLostAnswer) {
            attempt.phase = Phase::Held;
            return Some(());
        }
        attempt.phase = Phase::Closed;
        attempt.abandoned = true;
        attempt.told = Some(Told::NotRun);
        if self.holds(Guard::ReleaseAbandoned) {
            let guessed = u8::from(!self.holds(Guard::ReleaseOnSameCondition));
            attempt.close = write(attempt.condition + guessed, i, RowState::Released);
        }
        Some(())
    }

    fn give_up_dispatch(&self, state: &mut State, i: usize) -> Option<()> {
        if state.attempts[i].phase != Phase::Dispatched {
            return None;
        }
        match self.holds(Guard::TimeoutIsUnknown) {
            true => close(state, i, RowState::Unknown, Told::Unknown),
            false => close(state, i, RowState::Released, Told::NotRun),
        }
        Some(())
    }

    fn hear_close(&self, state: &mut State, i: usize) -> Option<()> {
        let attempt = &mut state.attempts[i];
        let Channel::Reply(reply) = attempt.close else {
            return None;
        };
        attempt.close = Channel::Idle;
        let Reply::Conflict(Some(row), version) = reply else {
            return Some(());
        };
        let wanted = final_state(attempt);
        let better = match row.state {
            RowState::Claimed => true,
            RowState::Unknown => wanted != RowState::Unknown,
            RowState::Answered | RowState::Released => false,
        };
        let own = row.attempt as usize == i;
        if better && (own || !self.holds(Guard::OwnRowOnly)) {
            attempt.close = write(version, i, wanted);
        }
        Some(())
    }

    fn dispatch(&self, attempt: &mut Attempt) -> Option<()> {
        if attempt.phase != Phase::Held || attempt.dispatches == self.bounds.dispatches {
            return None;
        }
        attempt.phase = Phase::Dispatched;
        attempt.dispatches += 1;
        attempt.target = Target::Arriving;
        Some(())
    }

    /// The owner dies, or an observer takes it for lapsed.
    fn fault(&self, state: &mut State, i: usize, dies: bool) -> Option<()> {
        let faults = state.attempts.iter().filter(|a| a.lapsed).count();
        let attempt = &mut state.attempts[i];
        if attempt.lapsed || attempt.phase == Phase::Unused {
            return None;
        }
        attempt.lapsed = true;
        attempt.dead = dies;
        (faults < usize::from(self.bounds.faults)).then_some(())
    }
}
