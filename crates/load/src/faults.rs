//! Switching faults while a run goes on, and asking targets what ran.

use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::value;
use http::{Method, Request, header};
use http_body_util::Full;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::http::call;
use crate::report::RunChecks;
use crate::scenario::FaultAt;

const CALL_TIME: Duration = Duration::from_secs(5);
const ENTRY: &str = "entry-";

value! {
    /// A fault of an entry, which is for whoever runs the entries to bring about.
    pub struct EntryFault {
        /// Which of the entries given, from 0.
        pub entry: usize,
        /// What is to be done, as the scenario names it.
        pub name: SmolStr,
        /// For how long.
        pub time: Option<Duration>,
    }
}

/// Switches every fault at its time; gives what could not be switched.
pub(crate) async fn switch_all(
    faults: Vec<FaultAt>,
    control: Option<SmolStr>,
    entries: Option<Sender<EntryFault>>,
    start: Instant,
) -> Vec<String> {
    let mut errors = Vec::new();
    for fault in faults {
        tokio::time::sleep_until((start + fault.at).into()).await;
        let switched = match entry_fault(&fault) {
            Some(entry) => tell(&entries, entry),
            None => switch(&fault, control.as_deref()).await,
        };
        if let Err(why) = switched {
            errors.push(format!("{} of {}: {why}", fault.name, fault.target));
        }
    }
    errors
}

fn entry_fault(fault: &FaultAt) -> Option<EntryFault> {
    let entry = fault.target.strip_prefix(ENTRY)?.parse().ok()?;
    Some(EntryFault {
        entry,
        name: fault.name.clone(),
        time: fault.time,
    })
}

fn tell(entries: &Option<Sender<EntryFault>>, fault: EntryFault) -> Result<(), String> {
    let tx = entries.as_ref().ok_or("nobody here keeps the entries")?;
    tx.send(fault).map_err(|e| e.to_string())
}

async fn switch(fault: &FaultAt, control: Option<&str>) -> Result<(), String> {
    let control = control.ok_or("no address of the switches was given")?;
    let mut path = format!("/fault?target={}&name={}", fault.target, fault.name);
    if let Some(time) = fault.time {
        path.push_str(&format!("&ms={}", time.as_millis()));
    }
    if let Some(n) = fault.n {
        path.push_str(&format!("&n={n}"));
    }
    ask(control, Method::POST, &path).await.map(drop)
}

/// Compares what ran at the targets with what callers were told.
pub(crate) async fn check_runs(control: &str, told_not_run: &[SmolStr]) -> Option<RunChecks> {
    let description = ask_json(control, "/").await?;
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for target in description["targets"].as_array()? {
        let id = target["host"]["id"].as_str()?;
        let report = ask_json(control, &format!("/runs?target={id}")).await?;
        for (key, count) in report["by_key"].as_object()? {
            *runs.entry(key.clone()).or_default() += count.as_u64()?;
        }
    }
    let ran = |key: &&SmolStr| runs.contains_key(key.as_str());
    Some(RunChecks {
        keys: runs.len() as u64,
        double_runs: runs.values().filter(|count| **count > 1).count() as u64,
        false_not_run: told_not_run.iter().filter(ran).count() as u64,
    })
}

async fn ask_json(control: &str, path: &str) -> Option<Value> {
    let body = ask(control, Method::GET, path).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn ask(control: &str, method: Method, path: &str) -> Result<Bytes, String> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, control)
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let asked = async {
        let answer = call(control, req).await.map_err(|e| e.to_string())?;
        let status = answer.head.status();
        let body = answer.whole().await.ok_or("answer cut off")?;
        if status.is_success() {
            return Ok(body);
        }
        Err(format!(
            "{status}: {}",
            String::from_utf8_lossy(&body).trim()
        ))
    };
    timeout(CALL_TIME, asked)
        .await
        .unwrap_or(Err("no answer in time".to_owned()))
}
