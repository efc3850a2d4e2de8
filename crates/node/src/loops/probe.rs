//! Threads that ask hosts how they are.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use eelgrassmill_base::HostId;
use eelgrassmill_engine::HostControl;
use smol_str::SmolStr;

use crate::state::lock::lock;
use crate::state::reports::Reports;

/// Probes at a time. A dark domain's probes each hold a thread for the
/// time-out; the others' must not wait behind them.
const THREADS: usize = 24;
/// Probes that may wait for a thread.
const WAITING: usize = 1024;

struct Probe {
    host: HostId,
    address: SmolStr,
}

/// The pool.
pub(crate) struct ProbePool {
    /// `None` once it is closed.
    tx: Mutex<Option<Sender<Probe>>>,
    under_way: Arc<Mutex<BTreeSet<HostId>>>,
}

impl ProbePool {
    pub(crate) fn start(
        control: &Arc<HostControl>,
        reports: &Arc<Reports>,
    ) -> (ProbePool, Vec<JoinHandle<()>>) {
        let (tx, rx) = bounded(WAITING);
        let under_way = Arc::new(Mutex::new(BTreeSet::new()));
        let threads = (0..THREADS)
            .map(|_| {
                let worker = Worker {
                    rx: rx.clone(),
                    control: control.clone(),
                    reports: reports.clone(),
                    under_way: under_way.clone(),
                };
                std::thread::spawn(move || worker.run())
            })
            .collect();
        let tx = Mutex::new(Some(tx));
        (ProbePool { tx, under_way }, threads)
    }

    /// Asks a host soon, unless it is being asked already.
    pub(crate) fn ask(&self, host: &HostId, address: SmolStr) {
        if !lock(&self.under_way).insert(host.clone()) {
            return;
        }
        let probe = Probe {
            host: host.clone(),
            address,
        };
        let sent = match &*lock(&self.tx) {
            Some(tx) => tx.try_send(probe),
            None => return,
        };
        if let Err(TrySendError::Full(probe) | TrySendError::Disconnected(probe)) = sent {
            lock(&self.under_way).remove(&probe.host);
        }
    }

    /// Ends its threads once they have done what waits.
    pub(crate) fn close(&self) {
        *lock(&self.tx) = None;
    }
}

struct Worker {
    rx: Receiver<Probe>,
    control: Arc<HostControl>,
    reports: Arc<Reports>,
    under_way: Arc<Mutex<BTreeSet<HostId>>>,
}

impl Worker {
    fn run(&self) {
        while let Ok(probe) = self.rx.recv() {
            let sent = Instant::now();
            // A host that doesn't answer is seen by the age of its last report.
            if let Ok(report) = self.control.probe(&probe.address) {
                // An address may have been given to another host since the list was made.
                if report.host == probe.host {
                    self.reports.put(report, sent);
                }
            }
            lock(&self.under_way).remove(&probe.host);
        }
    }
}
