//! Carrying orders to hosts, each between two checks of the lease.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use crossbeam::channel::{Sender, TrySendError, bounded};
use eelgrassmill_base::{Order, OrderReply};
use eelgrassmill_timeline::EventKind;
use smol_str::{SmolStr, format_smolstr};

use crate::metrics::Promise;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Orders under way at a time.
const ORDER_THREADS: usize = 16;
/// Orders that wait for a thread; more are given again by the next plan.
const ORDERS_WAITING: usize = 256;

/// Threads that carry orders to hosts.
pub(crate) struct OrderPool {
    tx: Option<Sender<(Order, SmolStr)>>,
    threads: Vec<JoinHandle<()>>,
}

impl OrderPool {
    pub(crate) fn start(core: &Arc<Core>) -> OrderPool {
        let (tx, rx) = bounded::<(Order, SmolStr)>(ORDERS_WAITING);
        let threads = (0..ORDER_THREADS).map(|_| {
            let rx = rx.clone();
            let core = core.clone();
            std::thread::spawn(move || {
                while let Ok((order, address)) = rx.recv() {
                    deliver(&core, &order, &address);
                }
            })
        });
        OrderPool {
            tx: Some(tx),
            threads: threads.collect(),
        }
    }

    /// Hands an order over; false when there is no room now.
    pub(crate) fn send(&self, order: Order, address: SmolStr) -> bool {
        let Some(tx) = &self.tx else { return false };
        match tx.try_send((order, address)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Waits until no order is under way. None can be sent after it.
    pub(crate) fn finish(&mut self) {
        self.tx = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Sends one order between the two checks of the lease.
fn deliver(core: &Core, order: &Order, address: &str) {
    // The last step before the bytes leave: an order that waited here while
    // the lease lapsed must not be sent, since another planner may have given
    // the host to another group.
    let Ok(proof) = lock(&core.lease).check(Instant::now()) else {
        core.metrics.promise_guarded(Promise::HostInOneGroup);
        return;
    };
    core.journal.note(EventKind::OrderSent {
        host: order.host.clone(),
        group: order.placement.group.clone(),
        epoch: order.placement.epoch,
        fence: order.fence,
        order: order.kind,
    });
    let sent = Instant::now();
    let reply = core.control.order(address, order);
    let confirmed = lock(&core.lease).confirm(proof, Instant::now());
    let refused = |reason: SmolStr| EventKind::OrderRefused {
        host: order.host.clone(),
        group: order.placement.group.clone(),
        fence: order.fence,
        reason,
    };
    let event = match (reply, confirmed) {
        (Ok(OrderReply::Obeyed(report)), Ok(())) => {
            core.reports.put(report, sent);
            EventKind::OrderConfirmed {
                host: order.host.clone(),
                group: order.placement.group.clone(),
                fence: order.fence,
            }
        }
        (Ok(OrderReply::Fenced(fence)), _) => {
            core.metrics.promise_guarded(Promise::HostInOneGroup);
            refused(format_smolstr!("the host has obeyed fence {fence}"))
        }
        // Not counted as obeyed: the host's state is read back by probes.
        (Ok(OrderReply::Obeyed(_)), Err(err)) => {
            core.metrics.promise_guarded(Promise::HostInOneGroup);
            refused(format_smolstr!("{err}"))
        }
        (Err(err), _) => refused(format_smolstr!("{err}")),
    };
    core.journal.note(event);
}
