//! The result of a run.

use std::collections::BTreeMap;
use std::fmt;

use eelgrassmill_base::{TenantId, Tokens};
use serde::Serialize;
use smol_str::SmolStr;

use crate::histogram::Quantiles;

/// Reasons told apart.
const MAX_REASONS: usize = 32;
const OTHER_REASONS: &str = "other reasons";

/// What became of the requests. Invariant, once a run is over: `sent` is the
/// sum of `whole`, `not_run`, `unknown`, `wrong` and `cut`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests sent, each counted once however often it was sent again.
    pub sent: u64,
    /// Arrivals that were due and not sent, as too many were under way.
    pub unsent: u64,
    /// Answered whole and right.
    pub whole: u64,
    /// Told that they did not run, or never reached an entry.
    pub not_run: u64,
    /// May have run, for all their callers know.
    pub unknown: u64,
    /// Answered wrongly.
    pub wrong: u64,
    /// Broken off, and seen to be.
    pub cut: u64,
    /// Times that a request was sent again after `Retry-After`.
    pub retries: u64,
    /// Times that a caller went on to its next address, as one could not be reached.
    pub moved: u64,
    /// Tokens asked for by the requests that were answered whole.
    pub useful_tokens: Tokens,
    /// All ends but whole ones by what the last answer said or what broke.
    pub failures: BTreeMap<SmolStr, u64>,
}

/// One tenant and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportRow {
    /// The tenant.
    pub tenant: TenantId,
    /// The class.
    pub class: SmolStr,
    /// What became of its requests.
    pub counts: Counts,
    /// From the due arrival to the first token, or to the whole answer where it doesn't stream.
    pub first_token: Quantiles,
    /// Between two tokens at the caller.
    pub between_tokens: Quantiles,
    /// From the due arrival to the end of a whole answer.
    pub whole_answer: Quantiles,
}

/// What the targets say about keys, compared with what callers were told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunChecks {
    /// Keys that ran at least once.
    pub keys: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Keys whose callers were told "not run" and that ran all the same.
    pub false_not_run: u64,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: SmolStr,
    /// Seed of the run.
    pub seed: u64,
    /// Seconds over which requests arrived.
    pub seconds: f64,
    /// By tenant and class.
    pub rows: Vec<ReportRow>,
    /// All together.
    pub all: ReportRow,
    /// `None` when the targets could not be asked.
    pub checks: Option<RunChecks>,
    /// Faults that could not be switched, with the reason.
    pub fault_errors: Vec<String>,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.unsent += other.unsent;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.cut += other.cut;
        self.retries += other.retries;
        self.moved += other.moved;
        self.useful_tokens += other.useful_tokens;
        for (reason, count) in &other.failures {
            self.add_failures(reason, *count);
        }
    }

    /// Counts failures; reasons beyond a bound go together, since texts may differ each time.
    pub(crate) fn add_failures(&mut self, reason: &SmolStr, count: u64) {
        let known = self.failures.contains_key(reason) || self.failures.len() < MAX_REASONS;
        let reason = if known {
            reason.clone()
        } else {
            OTHER_REASONS.into()
        };
        *self.failures.entry(reason).or_default() += count;
    }
}

impl Report {
    /// Whether no promise was broken, as far as callers and targets can tell.
    pub fn promises_kept(&self) -> bool {
        let runs_once = self
            .checks
            .is_none_or(|c| c.double_runs == 0 && c.false_not_run == 0);
        self.all.counts.wrong == 0 && runs_once
    }

    /// The report as JSON.
    ///
    /// # Errors
    /// Never in practice; it is what serde says.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

impl fmt::Display for Report {
    /// A table for people.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.seconds;
        writeln!(
            f,
            "scenario {}, {seconds:.0} s, seed {}; times in ms",
            self.scenario, self.seed
        )?;
        writeln!(f, "{HEADER}")?;
        for row in self.rows.iter().chain([&self.all]) {
            writeln!(f, "{row}")?;
        }
        let rate = self.all.counts.useful_tokens as f64 / seconds.max(f64::EPSILON);
        writeln!(f, "useful tokens per second: {rate:.0}")?;
        if self.all.counts.unsent > 0 {
            writeln!(
                f,
                "not sent, too many under way: {}",
                self.all.counts.unsent
            )?;
        }
        match &self.checks {
            Some(checks) => writeln!(
                f,
                "keys that ran: {}, more than once: {}, though told not run: {}",
                checks.keys, checks.double_runs, checks.false_not_run
            )?,
            None => writeln!(f, "runs at the targets: not checked")?,
        }
        for (reason, count) in &self.all.counts.failures {
            writeln!(f, "{count:>6} x {reason}")?;
        }
        for error in &self.fault_errors {
            writeln!(f, "fault not switched: {error}")?;
        }
        Ok(())
    }
}

const HEADER: &str = "tenant         class          sent  whole not-run unknown wrong  cut retry \
                      moved first p50     p95 between p50     p95 whole p95";

impl fmt::Display for ReportRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = &self.counts;
        write!(
            f,
            "{:<14} {:<12} {:>6} {:>6} ",
            self.tenant, self.class, c.sent, c.whole
        )?;
        write!(
            f,
            "{:>7} {:>7} {:>5} {:>4} ",
            c.not_run, c.unknown, c.wrong, c.cut
        )?;
        let (first, between) = (&self.first_token, &self.between_tokens);
        write!(
            f,
            "{:>5} {:>5} {:>9.1} {:>7.1} ",
            c.retries, c.moved, first.p50_ms, first.p95_ms
        )?;
        write!(f, "{:>11.1} {:>7.1} ", between.p50_ms, between.p95_ms)?;
        write!(f, "{:>9.1}", self.whole_answer.p95_ms)
    }
}
