//! Acceptance under any order of submissions, repeats, lost answers and late writes.

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

/// What the table does with a transaction.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Commits it if its conditions hold, and answers.
    Answered,
    /// The same, but the answer is lost.
    AnswerLost,
    /// Gives no answer and may commit it at any later time.
    Late,
    /// Refuses it for good.
    Refused,
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator looks at the accepted version and starts a new submission from it.
    Look(usize),
    /// An operator submits, or repeats its submission, through some node.
    Submit(usize, Fate),
    /// One of the late transactions reaches the table now.
    Arrive(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Refused),
    ];
    prop_oneof![
        2 => (0..OPERATORS).prop_map(Step::Look),
        4 => (0..OPERATORS, fate).prop_map(|(operator, fate)| Step::Submit(operator, fate)),
        2 => any::<usize>().prop_map(Step::Arrive),
    ]
}

/// The table, the operators, and what they were told.
#[derive(Default)]
struct World {
    rows: Rows,
    late: Vec<Vec<RowWrite>>,
    /// The submission that each version came from: the oracle.
    history: Vec<SmolStr>,
    /// Number of the submission and version looked at, by operator.
    open: BTreeMap<usize, (usize, u64)>,
    /// The version that each submission was made from.
    bases: BTreeMap<SmolStr, u64>,
    told_accepted: BTreeMap<SmolStr, u64>,
    told_conflict: Vec<SmolStr>,
    submissions: usize,
}

impl World {
    fn current(&self) -> Option<(u64, CurrentRow)> {
        self.rows.read(CURRENT_KEY)
    }

    fn take(&mut self, step: &Step) -> std::result::Result<(), TestCaseError> {
        match *step {
            Step::Look(operator) => {
                self.submissions += 1;
                let version = self.current().map_or(0, |(_, row)| row.version);
                self.open.insert(operator, (self.submissions, version));
            }
            Step::Submit(operator, fate) => self.submit(operator, fate),
            Step::Arrive(any) if !self.late.is_empty() => {
                let writes = self.late.swap_remove(any % self.late.len());
                self.rows.commit(&writes);
            }
            Step::Arrive(_) => {}
        }
        self.check()
    }

    fn submit(&mut self, operator: usize, fate: Fate) {
        let (number, base) = *self.open.entry(operator).or_insert((1_000 + operator, 0));
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
            Decision::Accept(a) => match fate {
                Fate::Answered if self.rows.commit(&a.writes) => {
                    self.told_accepted.insert(id, a.version);
                }
                Fate::AnswerLost => {
                    self.rows.commit(&a.writes);
                }
                Fate::Late => self.late.push(a.writes.clone()),
                Fate::Answered | Fate::Refused => {}
            },
            Decision::AlreadyAccepted(version) => {
                self.told_accepted.insert(id, version);
            }
            Decision::Conflict(_) => self.told_conflict.push(id),
            Decision::Invalid(errors) => panic!("{errors}"),
        }
    }

    /// Every version is one more than the last, from one submission, for good.
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
                prop_assert_eq!(base, known, "undoes a change that its author never saw");
                self.history.push(row.submit_id.clone());
            }
            prop_assert_eq!(&self.history[row.version as usize - 1], &row.submit_id);
        }
        for (id, version) in &self.told_accepted {
            prop_assert_eq!(&self.history[*version as usize - 1], id);
        }
        let wrong = self
            .told_conflict
            .iter()
            .find(|id| self.history.contains(id));
        prop_assert!(wrong.is_none(), "told a conflict, but accepted: {wrong:?}");
        Ok(())
    }
}

/// Three operators submit through nodes whose table loses answers and makes
/// writes late. Whatever happens, no operator is told something of a
/// submission that turns out untrue, and no version is ever taken back.
#[gtest]
fn what_operators_are_told_stays_true() {
    let steps = prop::collection::vec(step(), 1..60);
    let tested = runner(7).run(&steps, |steps| {
        let mut world = World::default();
        for step in &steps {
            world.take(step)?;
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}
