//! Counting ends and times by tenant and class while a run goes on.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{TenantId, Tokens};
use smol_str::SmolStr;

use crate::attempt::{Ending, Outcome};
use crate::histogram::Times;
use crate::plan::Planned;
use crate::report::{Counts, ReportRow};
use crate::scenario::Scenario;

/// One counter with its lock for each tenant and class.
pub(crate) struct Tally {
    cells: BTreeMap<(TenantId, SmolStr), Mutex<Cell>>,
    told_not_run: Mutex<Vec<SmolStr>>,
    sent: AtomicU64,
    ended: AtomicU64,
}

#[derive(Clone)]
struct Cell {
    counts: Counts,
    first: Times,
    between: Times,
    total: Times,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Tally {
        let classes = scenario.classes.values();
        let pairs = classes.flat_map(|class| {
            class
                .rates
                .keys()
                .map(|tenant| (tenant.clone(), class.name.clone()))
        });
        Tally {
            cells: pairs.map(|pair| (pair, Mutex::new(Cell::new()))).collect(),
            told_not_run: Mutex::default(),
            sent: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }
    }

    pub(crate) fn sent(&self, request: &Planned) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.cell(request).counts.sent += 1;
    }

    pub(crate) fn unsent(&self, request: &Planned) {
        self.cell(request).counts.unsent += 1;
    }

    pub(crate) fn ended(&self, request: &Planned, outcome: &Outcome) {
        self.ended.fetch_add(1, Ordering::Relaxed);
        if outcome.ending == Ending::NotRun {
            let mut keys = self
                .told_not_run
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            keys.extend(request.key.clone());
        }
        self.cell(request).add(outcome, request.tokens);
    }

    /// Requests sent and ended so far.
    pub(crate) fn progress(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.ended.load(Ordering::Relaxed),
        )
    }

    /// Keys of the requests whose callers were told in the end that they did not run.
    pub(crate) fn told_not_run(&self) -> Vec<SmolStr> {
        self.told_not_run
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// One row for each tenant and class.
    pub(crate) fn rows(&self) -> Vec<ReportRow> {
        let row = |((tenant, class), cell): (&(TenantId, SmolStr), &Mutex<Cell>)| {
            lock(cell).clone().row(tenant, class)
        };
        self.cells.iter().map(row).collect()
    }

    /// All rows as one.
    pub(crate) fn totals(&self) -> ReportRow {
        let mut all = Cell::new();
        for cell in self.cells.values() {
            let cell = lock(cell);
            all.counts.add(&cell.counts);
            all.first.add(&cell.first);
            all.between.add(&cell.between);
            all.total.add(&cell.total);
        }
        all.row("all", "all")
    }

    fn cell(&self, request: &Planned) -> MutexGuard<'_, Cell> {
        lock(&self.cells[&(request.tenant.clone(), request.class.clone())])
    }
}

fn lock(cell: &Mutex<Cell>) -> MutexGuard<'_, Cell> {
    cell.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Cell {
    fn new() -> Cell {
        Cell {
            counts: Counts::default(),
            first: Times::new(),
            between: Times::new(),
            total: Times::new(),
        }
    }

    fn add(&mut self, outcome: &Outcome, tokens: Tokens) {
        let counts = &mut self.counts;
        counts.retries += u64::from(outcome.retries);
        counts.moved += u64::from(outcome.moved);
        match outcome.ending {
            Ending::Whole => {
                counts.whole += 1;
                counts.useful_tokens += tokens;
                self.total.record(outcome.total);
            }
            Ending::NotRun => counts.not_run += 1,
            Ending::Unknown => counts.unknown += 1,
            Ending::Wrong => counts.wrong += 1,
            Ending::Cut => counts.cut += 1,
        }
        if outcome.ending != Ending::Whole {
            counts.add_failures(&outcome.reason, 1);
        }
        if let Some(first) = outcome.first {
            self.first.record(first);
        }
        for gap in &outcome.between {
            self.between.record(*gap);
        }
    }

    fn row(self, tenant: &str, class: &str) -> ReportRow {
        ReportRow {
            tenant: tenant.into(),
            class: class.into(),
            counts: self.counts,
            first_token: self.first.quantiles(),
            between_tokens: self.between.quantiles(),
            whole_answer: self.total.quantiles(),
        }
    }
}
