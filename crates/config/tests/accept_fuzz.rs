//! Property test: acceptance under any order of submissions, retries, lost responses and delayed writes.

mod common;

use std::collections::BTreeMap;

use common::rows::Rows;
use common::{TEXT, runner};
use eelgrassmill_config::{CURRENT_KEY, CurrentRow, Decision, RowWrite, Submit, decide_submit};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use smol_str::SmolStr;

const OPERATORS: usize = 3;

/// Outcome of a transaction at the table.
#[derive(Clone, Copy, Debug)]
enum TxnOutcome {
    /// Commits if its conditions hold, and responds.
    Responded,
    /// Commits if its conditions hold, but the response is lost.
    ResponseLost,
    /// Doesn't respond, and may commit at any later time.
    Delayed,
    /// Never commits.
    Rejected,
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator reads the accepted version and bases a new submission on it.
    Read(usize),
    /// An operator submits, or retries its submission, through any node.
    Submit(usize, TxnOutcome),
    /// A delayed transaction reaches the table.
    Deliver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        3 => Just(TxnOutcome::Responded),
        2 => Just(TxnOutcome::ResponseLost),
        2 => Just(TxnOutcome::Delayed),
        1 => Just(TxnOutcome::Rejected),
    ];
    prop_oneof![
        2 => (0..OPERATORS).prop_map(Step::Read),
        4 => (0..OPERATORS, outcome).prop_map(|(operator, outcome)| Step::Submit(operator, outcome)),
        2 => any::<usize>().prop_map(Step::Deliver),
    ]
}

/// The table, the operators and the results reported to them.
#[derive(Default)]
struct Simulation {
    rows: Rows,
    delayed: Vec<Vec<RowWrite>>,
    /// The submission of each version, used as the oracle.
    history: Vec<SmolStr>,
    /// Submission number and base version, by operator.
    pending: BTreeMap<usize, (usize, u64)>,
    /// Base version of each submission.
    bases: BTreeMap<SmolStr, u64>,
    reported_accepted: BTreeMap<SmolStr, u64>,
    reported_conflict: Vec<SmolStr>,
    submissions: usize,
}

impl Simulation {
    fn current(&self) -> Option<(u64, CurrentRow)> {
        self.rows.read(CURRENT_KEY)
    }

    fn run_step(&mut self, step: &Step) -> std::result::Result<(), TestCaseError> {
        match *step {
            Step::Read(operator) => {
                self.submissions += 1;
                let version = self.current().map_or(0, |(_, row)| row.version);
                self.pending.insert(operator, (self.submissions, version));
            }
            Step::Submit(operator, outcome) => self.submit(operator, outcome),
            Step::Deliver(any) if !self.delayed.is_empty() => {
                let writes = self.delayed.swap_remove(any % self.delayed.len());
                self.rows.commit(&writes);
            }
            Step::Deliver(_) => {}
        }
        self.check()
    }

    fn submit(&mut self, operator: usize, outcome: TxnOutcome) {
        let (number, base) = *self
            .pending
            .entry(operator)
            .or_insert((1_000 + operator, 0));
        let id: SmolStr = format!("s-{number}").into();
        self.bases.insert(id.clone(), base);
        let author = format!("operator-{operator}").into();
        let submit = Submit {
            id: id.clone(),
            base,
            author,
            text: TEXT.to_owned(),
        };
        let current = self.current();
        let current = current.as_ref().map(|(version, row)| (*version, row));
        match decide_submit(current, None, &submit) {
            Decision::Accept(a) => match outcome {
                TxnOutcome::Responded if self.rows.commit(&a.writes) => {
                    self.reported_accepted.insert(id, a.version);
                }
                TxnOutcome::ResponseLost => {
                    self.rows.commit(&a.writes);
                }
                TxnOutcome::Delayed => self.delayed.push(a.writes.clone()),
                TxnOutcome::Responded | TxnOutcome::Rejected => {}
            },
            Decision::AlreadyAccepted(version) => {
                self.reported_accepted.insert(id, version);
            }
            Decision::Conflict(_) => self.reported_conflict.push(id),
            Decision::Invalid(errors) => panic!("{errors}"),
        }
    }

    /// Each version follows its predecessor, comes from one submission and never changes.
    fn check(&mut self) -> std::result::Result<(), TestCaseError> {
        if let Some((_, row)) = self.current() {
            let known = self.history.len() as u64;
            prop_assert!(
                row.version == known || row.version == known + 1,
                "reverted or skipped"
            );
            if row.version > known {
                prop_assert!(!self.history.contains(&row.submit_id), "accepted twice");
                let base = self.bases[&row.submit_id];
                prop_assert_eq!(base, known, "reverts a change that its author had not seen");
                self.history.push(row.submit_id.clone());
            }
            prop_assert_eq!(&self.history[row.version as usize - 1], &row.submit_id);
        }
        for (id, version) in &self.reported_accepted {
            prop_assert_eq!(&self.history[*version as usize - 1], id);
        }
        let contradicted = self
            .reported_conflict
            .iter()
            .find(|id| self.history.contains(id));
        prop_assert!(
            contradicted.is_none(),
            "reported as a conflict, but accepted: {contradicted:?}"
        );
        Ok(())
    }
}

/// Operators submit while the table loses responses and delays writes. The result
/// reported for a submission must stay true, and no version may be reverted.
#[gtest]
fn reported_results_stay_true() {
    let steps = prop::collection::vec(step(), 1..60);
    let tested = runner(7).run(&steps, |steps| {
        let mut sim = Simulation::default();
        for step in &steps {
            sim.run_step(step)?;
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}
