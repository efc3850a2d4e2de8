//! Running a scenario against entries.

use std::io::IsTerminal;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::runtime::Builder;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::addresses::AddressBook;
use crate::attempt::{Callers, Ending, Outcome};
use crate::faults::{EntryFault, check_runs, switch_all};
use crate::plan::{Planned, plan};
use crate::report::Report;
use crate::scenario::Scenario;
use crate::tally::Tally;

const THREADS: usize = 2;
const PROGRESS_TIME: Duration = Duration::from_millis(500);
/// How often a run that is over looks whether the last answers have come.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// Where a scenario is run.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// `IP:PORT` of entries that callers know beforehand; they ask these for addresses.
    pub entries: Vec<SmolStr>,
    /// `IP:PORT` of the stand-ins' switches, for faults and for checking runs.
    pub control: Option<SmolStr>,
    /// Who brings about the faults of entries; without it they are reported as not switched.
    pub entry_faults: Option<Sender<EntryFault>>,
    /// Whether to show progress on standard error, when that is a terminal.
    pub progress: bool,
}

/// Why a scenario can't be run.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// No runtime can be had.
    #[error("load can't start: {0}")]
    Runtime(#[from] std::io::Error),
    /// There is nobody to ask.
    #[error("no entry given; give the address of at least one")]
    NoEntries,
}

/// Runs `scenario` to its end, on threads of its own; blocks meanwhile.
///
/// # Errors
/// When it can't start. What goes wrong later is in the report.
pub fn run(scenario: &Scenario, targets: &Targets) -> Result<Report, LoadError> {
    if targets.entries.is_empty() {
        return Err(LoadError::NoEntries);
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("load")
        .enable_all()
        .build()?;
    let run = || runtime.block_on(run_all(scenario, targets));
    // On a thread of its own, as the caller's may belong to another runtime.
    let report = std::thread::scope(|scope| scope.spawn(run).join());
    runtime.shutdown_background();
    Ok(report.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
}

async fn run_all(scenario: &Scenario, targets: &Targets) -> Report {
    let tally = Arc::new(Tally::new(scenario));
    let start = Instant::now();
    let faults = tokio::spawn(switch_all(
        scenario.faults.clone(),
        targets.control.clone(),
        targets.entry_faults.clone(),
        start,
    ));
    let progress = targets.progress && std::io::stderr().is_terminal();
    let shown = progress.then(|| tokio::spawn(show_progress(Arc::clone(&tally), start)));
    send_all(scenario, targets, &tally, start).await;
    if let Some(shown) = shown {
        shown.abort();
        eprintln!();
    }
    let fault_errors = faults.await.unwrap_or_default();
    let told = tally.told_not_run();
    let checks = match &targets.control {
        Some(control) => check_runs(control, &told).await,
        None => None,
    };
    Report {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.time.as_secs_f64(),
        rows: tally.rows(),
        all: tally.totals(),
        checks,
        fault_errors,
    }
}

/// Sends every request at its time and waits for the ends.
async fn send_all(scenario: &Scenario, targets: &Targets, tally: &Arc<Tally>, start: Instant) {
    let book = AddressBook::new(targets.entries.clone());
    let callers = Arc::new(Callers {
        scenario: scenario.clone(),
        book,
    });
    let room = Arc::new(Semaphore::new(scenario.max_in_flight));
    let mut under_way = JoinSet::new();
    for arrival in plan(scenario) {
        let due = start + arrival.due;
        tokio::time::sleep_until(due.into()).await;
        while under_way.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            tally.unsent(&arrival.request);
            continue;
        };
        tally.sent(&arrival.request);
        let end = UnderWay {
            tally: Arc::clone(tally),
            request: arrival.request,
            due,
            ended: false,
        };
        let callers = Arc::clone(&callers);
        under_way.spawn(async move {
            let _permit = permit;
            end.carry(callers).await;
        });
    }
    let last = Instant::now() + scenario.patience;
    while !under_way.is_empty() && Instant::now() < last {
        while under_way.try_join_next().is_some() {}
        tokio::time::sleep(DRAIN_STEP).await;
    }
    under_way.shutdown().await;
}

/// One request under way. Dropped before its end, it counts as unknown.
struct UnderWay {
    tally: Arc<Tally>,
    request: Arc<Planned>,
    due: Instant,
    ended: bool,
}

impl UnderWay {
    async fn carry(mut self, callers: Arc<Callers>) {
        let outcome = callers.carry(Arc::clone(&self.request), self.due).await;
        self.ended = true;
        self.tally.ended(&self.request, &outcome);
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let outcome = Outcome {
            ending: Ending::Unknown,
            reason: "run was over".into(),
            retries: 0,
            moved: 0,
            first: None,
            between: Vec::new(),
            total: self.due.elapsed(),
        };
        self.tally.ended(&self.request, &outcome);
    }
}

async fn show_progress(tally: Arc<Tally>, start: Instant) {
    loop {
        let (sent, ended) = tally.progress();
        let seconds = start.elapsed().as_secs();
        eprint!(
            "\r{seconds:>4} s  sent {sent:>7}  under way {:>6} ",
            sent - ended.min(sent)
        );
        tokio::time::sleep(PROGRESS_TIME).await;
    }
}
