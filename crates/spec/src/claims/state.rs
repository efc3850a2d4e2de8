//! State of the claim model, and the steps that no rule has a say in.

use super::ATTEMPTS;

/// State part of the claim row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RowState {
    Claimed,
    Answered,
    Unknown,
    Released,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Row {
    pub(super) attempt: u8,
    pub(super) state: RowState,
}

/// A conditional write on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Write {
    pub(super) condition: u8,
    pub(super) row: Row,
}

/// The store's answer on its way to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Reply {
    Committed,
    /// With the row that is there, and its version.
    Conflict(Option<Row>, u8),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Channel {
    #[default]
    Idle,
    Write(Write),
    Reply(Reply),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    #[default]
    Unused,
    Claiming,
    Held,
    Dispatched,
    Closed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Target {
    #[default]
    Idle,
    /// The request is on its way.
    Arriving,
    Ran,
    Refused,
}

/// What the caller of an attempt was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Told {
    NotRun,
    Unknown,
    Answer,
    Replay,
    InProgress,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) dead: bool,
    pub(super) lapsed: bool,
    /// The version that its claim's write is conditional on.
    pub(super) condition: u8,
    /// Set once the claim was given up on a lost answer.
    pub(super) abandoned: bool,
    pub(super) claim: Channel,
    /// The write of the final state.
    pub(super) close: Channel,
    pub(super) target: Target,
    pub(super) dispatches: u8,
    pub(super) runs: u8,
    pub(super) told: Option<Told>,
}

/// One state of the whole system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) version: u8,
    pub(super) row: Option<Row>,
    pub(super) attempts: [Attempt; ATTEMPTS],
}

pub(super) fn write(condition: u8, attempt: usize, state: RowState) -> Channel {
    let attempt = attempt as u8;
    Channel::Write(Write {
        condition,
        row: Row { attempt, state },
    })
}

pub(super) fn final_state(attempt: &Attempt) -> RowState {
    match attempt.told {
        Some(Told::Answer) => RowState::Answered,
        Some(Told::NotRun) => RowState::Released,
        _ => RowState::Unknown,
    }
}

/// The store takes a pending write, also long after its sender gave up on it.
pub(super) fn take_write(
    state: &mut State,
    i: usize,
    channel: fn(&mut Attempt) -> &mut Channel,
    unconditional: bool,
) -> Option<()> {
    let (version, row) = (state.version, state.row);
    let channel = channel(&mut state.attempts[i]);
    let Channel::Write(w) = *channel else {
        return None;
    };
    if w.condition != version && !unconditional {
        *channel = Channel::Reply(Reply::Conflict(row, version));
        return Some(());
    }
    *channel = Channel::Reply(Reply::Committed);
    state.version += 1;
    state.row = Some(w.row);
    Some(())
}

pub(super) fn release(state: &mut State, i: usize) -> Option<()> {
    if state.attempts[i].phase != Phase::Held {
        return None;
    }
    close(state, i, RowState::Released, Told::NotRun);
    Some(())
}

pub(super) fn arrive(attempt: &mut Attempt, outcome: Target) -> Option<()> {
    if attempt.target != Target::Arriving {
        return None;
    }
    attempt.target = outcome;
    Some(())
}

pub(super) fn hear_dispatch(state: &mut State, i: usize) -> Option<()> {
    let attempt = &mut state.attempts[i];
    if attempt.phase != Phase::Dispatched {
        return None;
    }
    match attempt.target {
        Target::Ran => close(state, i, RowState::Answered, Told::Answer),
        Target::Refused => attempt.phase = Phase::Held,
        Target::Idle | Target::Arriving => return None,
    }
    Some(())
}

/// Ends the attempt; its final state goes over the version that its claim made.
pub(super) fn close(state: &mut State, i: usize, row: RowState, told: Told) {
    let attempt = &mut state.attempts[i];
    attempt.phase = Phase::Closed;
    attempt.told = Some(told);
    attempt.close = write(attempt.condition + 1, i, row);
}
