//! Second runs of streams whose head is suspected, or slow before their first event.
//!
//! The first run isn't given up before the second one has sent its next event. If the first goes on
//! before, the second is dropped; if the first breaks, the second goes on. A request that has got no response yet moves as soon as it has a
//! slot elsewhere.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::HostId;
use http::StatusCode;
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::admission;
use crate::crash_detection;
use crate::heads::{Head, SlotGuard, locked};
use crate::pacing;
use crate::ports::Platform;
use crate::sse::EventSplitter;
use crate::stream::{AttemptError, MAX_REFUSALS, StartedResponse, StreamCall};

/// How often a stream of a suspected head checks for another head: two passes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A stream that goes on at another head.
pub(super) struct Moved<P: Platform> {
    pub(super) call: StreamCall<P>,
    pub(super) started: StartedResponse<P>,
    /// Its first events there.
    pub(super) events: Bytes,
}

impl<P: Platform> StreamCall<P> {
    /// Waits until the stream, which runs at `head`, has gone on at another one.
    pub(super) async fn go_on_elsewhere(
        &self,
        head: &Arc<Head>,
        late_at: Option<Instant>,
    ) -> Moved<P> {
        if !self.is_resumable() {
            return std::future::pending().await;
        }
        let mut avoid = self.avoid_also(head);
        for _ in 0..MAX_REFUSALS {
            let slot = self.slot_elsewhere(head, &avoid, late_at).await;
            let host = slot.head.host.clone();
            let moved = self.resume_at(slot, &avoid).await;
            self.second_run.send_replace(false);
            if let Some(moved) = moved {
                return moved;
            }
            avoid.push(host);
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
        std::future::pending().await
    }

    /// Waits until no second run is in progress.
    pub(super) async fn wait_for_second_run(&self) {
        let mut rx = self.second_run.subscribe();
        // The sender lives as long as `self`, so the channel can't close before.
        let _ = rx.wait_for(|is_running| !*is_running).await;
    }

    /// Waits until `head` is suspected, or no first event has come by `late_at` and the head is slow,
    /// and the call has got a slot at another head, if possible none in `avoid`, and may run there.
    pub(super) async fn slot_elsewhere(
        &self,
        head: &Arc<Head>,
        avoid: &[HostId],
        mut late_at: Option<Instant>,
    ) -> SlotGuard<P> {
        loop {
            if !self.may_run_twice() {
                return std::future::pending().await;
            }
            tokio::select! {
                () = head.wait_until_suspected(true) => {}
                () = self.wait_until_slow(head, late_at) => {}
            }
            if self.has_other_head(head) {
                let (core, call) = (&self.core, &self.call);
                let admitted =
                    admission::admit(core, call, &self.service, &self.model, true, avoid).await;
                // A head that is slow may be granted again, unlike one that is suspected.
                let is_same =
                    |slot: &SlotGuard<P>| late_at.is_some() && Arc::ptr_eq(&slot.head, head);
                let is_usable = |slot: &SlotGuard<P>| !slot.head.is_suspected() && !is_same(slot);
                let usable = admitted.ok().filter(is_usable);
                if let Some(slot) = usable {
                    if core.try_retry(&self.service, self.retry_reason()) {
                        return slot;
                    }
                    drop(slot);
                    late_at = None;
                    head.wait_until_suspected(false).await;
                }
            }
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// When the first event of a request that is sent now is late, if it then goes on elsewhere.
    pub(super) fn late_at(&self, slot: &SlotGuard<P>) -> Option<Instant> {
        let is_hedged = self.core.cfg.policies.adaptive_pacing && !slot.has_started();
        is_hedged.then(|| slot.sent() + self.call.route.latency_objective)
    }

    /// Waits until after `late_at` the head answers more slowly than others.
    async fn wait_until_slow(&self, head: &Head, late_at: Option<Instant>) {
        let Some(late_at) = late_at else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until(late_at.into()).await;
        while !pacing::is_slower(&self.core, head) {
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Whether it may run once more while it runs at a host.
    fn may_run_twice(&self) -> bool {
        let runs = self.runs + self.second_runs.load(Ordering::Relaxed) + 1;
        self.call.is_idempotent() && runs < self.call.route.attempts
    }

    fn has_other_head(&self, head: &Arc<Head>) -> bool {
        let heads = locked(&self.core.heads);
        let mut others = heads.of_model(&self.service, &self.model);
        others.any(|h| !Arc::ptr_eq(h, head) && !h.is_suspected())
    }

    pub(super) fn avoid_also(&self, head: &Head) -> SmallVec<[HostId; 4]> {
        let mut avoid = self.avoid.clone();
        avoid.push(head.host.clone());
        avoid
    }

    /// Runs the rest of the stream at another head until its first event there. `None` if it isn't
    /// run or fails.
    async fn resume_at(&self, slot: SlotGuard<P>, avoid: &[HostId]) -> Option<Moved<P>> {
        let mut call = StreamCall {
            core: Arc::clone(&self.core),
            call: Arc::clone(&self.call),
            admission: self.admission,
            service: self.service.clone(),
            model: self.model.clone(),
            avoid: avoid.iter().cloned().collect(),
            runs: self.runs + self.second_runs.load(Ordering::Relaxed) + 1,
            second_runs: AtomicU32::new(0),
            second_run: watch::Sender::new(false),
            deliveries: self.deliveries,
            refusals: self.refusals,
            events: EventSplitter::resumed(self.events.last_id().cloned()),
        };
        call.check_quarantine().ok()?;
        self.second_runs.fetch_add(1, Ordering::Relaxed);
        self.second_run.send_replace(true);
        let mut started = match call.attempt(slot).await {
            Ok(started) if started.response.status == StatusCode::OK => started,
            Err(AttemptError::NotRun) => {
                self.second_runs.fetch_sub(1, Ordering::Relaxed);
                return None;
            }
            _ => return None,
        };
        let events = call.first_events(&mut started).await?;
        Some(Moved {
            call,
            started,
            events,
        })
    }

    /// The first events of a resumed stream; `None` if it breaks or ends before.
    async fn first_events(&mut self, started: &mut StartedResponse<P>) -> Option<Bytes> {
        loop {
            started.slot.await_chunk();
            let chunk = tokio::select! {
                chunk = started.response.chunk() => chunk,
                _ = started.slot.wait_until_broken() => return None,
            };
            let bytes = chunk.ok()??;
            let events = match self.events.push(&bytes, started.slot.waited()) {
                Ok(events) => events,
                Err(_) => {
                    started.slot.on_malformed();
                    self.failed(&mut started.slot);
                    return None;
                }
            };
            // The first run is given up for events that take the stream further.
            if let Some(events) = events.filter(|e| !e.are_empty) {
                started.slot.on_event(Instant::now());
                return Some(events.bytes);
            }
        }
    }

    /// Checks, once it is known whether the head of a run that was given up is lost, for crashes
    /// under that run.
    pub(super) fn check_for_crash_later(&self, slot: &SlotGuard<P>) {
        let (core, call) = (Arc::clone(&self.core), Arc::clone(&self.call));
        let (head, broken) = (Arc::clone(&slot.head), Self::broken_at(slot));
        tokio::spawn(async move {
            head.wait_until_suspected(false).await;
            let Some(loss) = head.loss() else { return };
            crash_detection::on_lost(&core, &call, loss, broken);
        });
    }
}
