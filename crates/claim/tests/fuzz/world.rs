//! Simulated callers, entries, targets and store around the real queue, claims and retries.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Outcome, Urgency};
use eelgrassmill_claim::*;
use eelgrassmill_route::*;

use crate::store::Store;

pub(crate) const ENTRIES: usize = 2;
const TENANT: &str = "lindach";
const RETENTION: Duration = Duration::from_secs(3600);

/// What was reported to the caller of one call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reported {
    NotRun,
    Unknown,
    /// The response of the run with this number.
    Response(u64),
    InProgress,
    Mismatch,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Run {
    pub(crate) key: usize,
    pub(crate) body: u8,
    pub(crate) generation: u32,
}

#[derive(Debug)]
pub(crate) struct Call {
    entry: usize,
    incarnation: u64,
    pub(crate) key: usize,
    pub(crate) body: u8,
    /// Retention periods that had passed when the call arrived.
    pub(crate) generation: u32,
    began: Instant,
    claim: Option<Claim>,
    abandoned: bool,
    attempts: u32,
    tries: u32,
    /// The step in progress, if any.
    awaits: Option<u32>,
    steps: u32,
    /// Runs at targets for this call.
    pub(crate) runs: u32,
    pub(crate) reported: Option<Reported>,
}

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Write {
        entry: usize,
        incarnation: u64,
        batch: Batch,
    },
    Written {
        entry: usize,
        incarnation: u64,
        batch: Batch,
        conflicts: Option<Vec<ConflictRow>>,
    },
    Request {
        call: usize,
        step: u32,
    },
    Reply {
        call: usize,
        step: u32,
        ran: Option<u64>,
    },
}

#[derive(Debug)]
struct Entry {
    incarnation: u64,
    queue: ServiceQueue<usize>,
    batcher: ClaimBatcher,
    budget: RetryBudget,
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Instant,
    store: Store,
    entries: Vec<Entry>,
    pub(crate) calls: Vec<Call>,
    pub(crate) messages: Vec<Message>,
    /// Entries and incarnations whose leases observers take as expired.
    expired_leases: BTreeSet<(usize, u64)>,
    /// All runs, in order.
    pub(crate) runs: Vec<Run>,
    generation: u32,
}

impl Entry {
    fn new(incarnation: u64) -> Entry {
        Entry {
            incarnation,
            queue: ServiceQueue::new(QueueOptions::default()),
            batcher: ClaimBatcher::default(),
            budget: RetryBudget::default(),
        }
    }
}

impl World {
    pub(crate) fn new() -> World {
        World {
            now: Instant::now(),
            store: Store::default(),
            entries: (0..ENTRIES).map(|_| Entry::new(1)).collect(),
            calls: Vec::new(),
            messages: Vec::new(),
            expired_leases: BTreeSet::new(),
            runs: Vec::new(),
            generation: 0,
        }
    }

    pub(crate) fn submit(&mut self, entry: usize, key: usize, body: u8) {
        let call = self.calls.len();
        let at = &mut self.entries[entry];
        at.budget.deposit(&TENANT.into());
        let admission = AdmissionRequest {
            tenant: TENANT.into(),
            weight: 1,
            urgency: Urgency::DEFAULT,
            tokens: 10,
            deadline: self.now + Duration::from_secs(20),
            max_tenant_queue: 4,
        };
        let rejected = at.queue.admit(admission, call, self.now).is_err();
        self.calls.push(Call {
            entry,
            incarnation: at.incarnation,
            key,
            body,
            generation: self.generation,
            began: self.now,
            claim: None,
            abandoned: false,
            attempts: 0,
            tries: 0,
            awaits: None,
            steps: 0,
            runs: 0,
            reported: rejected.then_some(Reported::NotRun),
        });
    }

    /// Advances the clock and runs what is due at every entry.
    pub(crate) fn tick(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for entry in 0..ENTRIES {
            for (call, _) in self.entries[entry].queue.take_refused(self.now) {
                self.calls[call].reported = Some(Reported::NotRun);
            }
            let free = Slots {
                normal: 1,
                urgent: 0,
            };
            if let Some(started) = self.entries[entry].queue.dequeue(free, self.now) {
                self.decide(started.payload);
                let now = self.now;
                self.entries[entry].queue.complete(started.ticket, 10, now);
            }
            if let Some(batch) = self.entries[entry].batcher.due(self.now) {
                self.send(entry, batch);
            }
        }
    }

    fn send(&mut self, entry: usize, batch: Batch) {
        let incarnation = self.entries[entry].incarnation;
        self.messages.push(Message::Write {
            entry,
            incarnation,
            batch,
        });
    }

    fn decide(&mut self, i: usize) {
        let call = &mut self.calls[i];
        call.attempts += 1;
        let req = ClaimRequest {
            key: claim_key(TENANT, "refunds", &call.key.to_string()),
            fingerprint: fingerprint("POST", "/refund", &[call.body]),
            owner: Owner {
                node: call.entry.to_string().into(),
                incarnation: call.incarnation,
            },
            attempt: format!("{i}.{}", call.attempts).into(),
            era: 0,
            retention: RETENTION,
        };
        let current = self.store.read(&req.key);
        let owner = current.as_ref().map_or(OwnerState::Alive, |s| {
            self.owner_state(&s.row, Some(&req.owner))
        });
        let reported = match decide(current.as_ref(), &req, owner) {
            Decision::MakeClaim(change) => return self.claim(i, change),
            Decision::ReplayResponse(stored) => Reported::Response(stored.length),
            Decision::InProgress { .. } => Reported::InProgress,
            Decision::ReportUnknown { update } => {
                let entry = self.calls[i].entry;
                update.into_iter().for_each(|c| self.write(entry, c));
                Reported::Unknown
            }
            Decision::FingerprintMismatch => Reported::Mismatch,
        };
        self.calls[i].reported = Some(reported);
    }

    fn owner_state(&self, row: &ClaimRow, me: Option<&Owner>) -> OwnerState {
        let call = &self.calls[call_index(row)];
        if Some(&row.owner) == me && call.abandoned {
            return OwnerState::Abandoned;
        }
        let dead = call.incarnation != self.entries[call.entry].incarnation;
        match dead
            || self
                .expired_leases
                .contains(&(call.entry, call.incarnation))
        {
            true => OwnerState::LeaseExpired,
            false => OwnerState::Alive,
        }
    }

    fn claim(&mut self, i: usize, change: RowChange) {
        let call = &mut self.calls[i];
        call.claim = Some(Claim::new(change.clone(), call.began).expect("change writes a claim"));
        call.awaits = Some(call.steps);
        match self.entries[call.entry].batcher.push(change, self.now) {
            Ok(None) => (),
            Ok(Some(batch)) => self.send(self.calls[i].entry, batch),
            Err(KeyBusy) => {
                self.calls[i].claim = None;
                self.calls[i].awaits = None;
                self.calls[i].reported = Some(Reported::InProgress);
            }
        }
    }

    fn write(&mut self, entry: usize, change: RowChange) {
        self.send(
            entry,
            Batch {
                changes: vec![change],
            },
        );
    }

    /// Delivers one message. `duplicate` leaves a copy in flight; `reject` makes a target reject
    /// the request without running it.
    pub(crate) fn deliver(&mut self, at: usize, duplicate: bool, reject: bool) {
        let message = match duplicate {
            true => self.messages[at].clone(),
            false => self.messages.remove(at),
        };
        match message {
            Message::Write {
                entry,
                incarnation,
                batch,
            } => {
                let conflicts = self.store.commit(&batch).err();
                self.messages.push(Message::Written {
                    entry,
                    incarnation,
                    batch,
                    conflicts,
                });
            }
            Message::Written {
                entry,
                incarnation,
                batch,
                conflicts,
            } => {
                if self.entries[entry].incarnation == incarnation {
                    self.on_batch_written(entry, batch, conflicts);
                }
            }
            Message::Request { call, step } => {
                let ran = (!reject).then(|| self.run(call));
                self.messages.push(Message::Reply { call, step, ran });
            }
            Message::Reply { call, step, ran } => self.on_reply(call, step, ran),
        }
    }

    fn run(&mut self, i: usize) -> u64 {
        let call = &mut self.calls[i];
        call.runs += 1;
        self.runs.push(Run {
            key: call.key,
            body: call.body,
            generation: call.generation,
        });
        self.runs.len() as u64
    }

    fn on_batch_written(
        &mut self,
        entry: usize,
        batch: Batch,
        conflicts: Option<Vec<ConflictRow>>,
    ) {
        let Some(rows) = conflicts else {
            for change in batch.changes {
                self.on_change_written(&change, WriteOutcome::Committed);
            }
            return;
        };
        let split = batch.split(rows);
        for batch in split.retry {
            self.send(entry, batch);
        }
        for (change, current) in split.conflicted {
            self.on_change_written(&change, WriteOutcome::Conflict(current));
        }
    }

    fn on_change_written(&mut self, change: &RowChange, outcome: WriteOutcome) {
        let row = change.row.as_ref().expect("entries write no deletions");
        let i = call_index(row);
        let call = &mut self.calls[i];
        if row.state != ClaimState::Claimed {
            let next = call.claim.as_mut().and_then(|c| c.on_written(outcome));
            let entry = call.entry;
            return next.into_iter().for_each(|c| self.write(entry, c));
        }
        if call
            .claim
            .as_ref()
            .is_some_and(|c| c.attempt() == row.attempt)
        {
            self.on_claim_written(i, outcome);
        }
    }

    fn on_claim_written(&mut self, i: usize, outcome: WriteOutcome) {
        let call = &mut self.calls[i];
        let Some(claim) = &mut call.claim else { return };
        match claim.on_claim_written(outcome) {
            ClaimResult::Ignored => (),
            ClaimResult::Held => self.dispatch(i),
            ClaimResult::Lost(_) => self.decide(i),
            ClaimResult::Abandoned(change) => {
                call.awaits = None;
                call.steps += 1;
                call.abandoned = true;
                call.reported = Some(Reported::NotRun);
                let entry = call.entry;
                change.into_iter().for_each(|c| self.write(entry, c));
            }
        }
    }

    fn dispatch(&mut self, i: usize) {
        let call = &mut self.calls[i];
        let allowed = call
            .claim
            .as_mut()
            .is_some_and(|c| c.begin_dispatch(self.now).is_ok());
        if !allowed {
            return self.release(i);
        }
        call.tries += 1;
        call.awaits = Some(call.steps);
        let step = call.steps;
        self.messages.push(Message::Request { call: i, step });
    }

    fn release(&mut self, i: usize) {
        let call = &mut self.calls[i];
        call.reported = Some(Reported::NotRun);
        let change = call.claim.as_mut().and_then(|c| c.release());
        let entry = call.entry;
        change.into_iter().for_each(|c| self.write(entry, c));
    }

    fn on_reply(&mut self, i: usize, step: u32, ran: Option<u64>) {
        let call = &mut self.calls[i];
        let alive = self.entries[call.entry].incarnation == call.incarnation;
        if !alive || call.awaits != Some(step) {
            return;
        }
        match ran {
            Some(run) => {
                let stored = StoredResponse::new("o", 200, "text/plain", &vec![b'x'; run as usize]);
                self.on_dispatched(
                    i,
                    DispatchOutcome::Answered(stored),
                    Some(Reported::Response(run)),
                );
            }
            None => {
                self.on_dispatched(i, DispatchOutcome::NotRun, None);
                self.retry(i, Outcome::NotRun);
            }
        }
    }

    fn on_dispatched(&mut self, i: usize, outcome: DispatchOutcome, reported: Option<Reported>) {
        let call = &mut self.calls[i];
        call.awaits = None;
        call.steps += 1;
        call.reported = reported;
        let change = call.claim.as_mut().and_then(|c| c.on_dispatched(outcome));
        let entry = call.entry;
        change.into_iter().for_each(|c| self.write(entry, c));
    }

    fn retry(&mut self, i: usize, outcome: Outcome) {
        let call = &mut self.calls[i];
        let budget = &mut self.entries[call.entry].budget;
        match may_retry(outcome, false, call.tries, &TENANT.into(), budget) {
            Ok(()) => self.dispatch(i),
            Err(_) if outcome == Outcome::NotRun => self.release(i),
            Err(_) => call.reported = Some(Reported::Unknown),
        }
    }

    /// The step that the call awaits times out at the entry.
    pub(crate) fn time_out(&mut self, i: usize) {
        let call = &mut self.calls[i];
        let alive = self.entries[call.entry].incarnation == call.incarnation;
        if !alive || call.awaits.is_none() {
            return;
        }
        if call.tries == 0 {
            return self.on_claim_written(i, WriteOutcome::Unknown);
        }
        self.on_dispatched(i, DispatchOutcome::Unknown, None);
        self.retry(i, Outcome::Unknown);
    }

    /// Crashes and restarts the entry; its callers lose their connections.
    pub(crate) fn kill(&mut self, entry: usize) {
        let next = self.entries[entry].incarnation + 1;
        self.entries[entry] = Entry::new(next);
    }

    /// Advances past the retention and deletes the rows that may be deleted.
    pub(crate) fn sweep(&mut self) {
        self.now += RETENTION + 2 * ERA_LENGTH;
        self.generation += 1;
        let mut clock = EraClock::default();
        clock.observe(Era::MAX, 1, self.now);
        for key in self.store.keys() {
            let Some(current) = self.store.read(&key) else {
                continue;
            };
            let owner = self.owner_state(&current.row, None);
            if let Some(change) = clock.sweep(&key, &current, owner) {
                let deleted = self.store.commit(&Batch {
                    changes: vec![change],
                });
                assert!(deleted.is_ok(), "no concurrent write");
            }
        }
    }

    /// Observers take the entry's lease as expired although the entry keeps running.
    pub(crate) fn seem_expired(&mut self, entry: usize) {
        self.expired_leases
            .insert((entry, self.entries[entry].incarnation));
    }
}

/// The call whose attempt wrote the row.
fn call_index(row: &ClaimRow) -> usize {
    let call = row.attempt.split('.').next();
    call.and_then(|c| c.parse().ok())
        .expect("attempt starts with a call index")
}
