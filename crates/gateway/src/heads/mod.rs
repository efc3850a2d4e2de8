//! Heads of serving replicas, with the load and health that this node knows of each.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, HostId, ModelName, NodeId, ServiceName};
use eelgrassmill_fleet::{
    Catalog, ColdStart, EjectionBackoff, Fleet, HeadKey, Host, HostPresence, StallThreshold,
    StreamActivity,
};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::crash_detection::UsedHost;
use crate::pacing::PacedRequest;
use crate::ports::Platform;
use crate::scheduler::ScheduledLoad;
use crate::scheduler_client::Permit;

/// How long a replica counts as lost. If it really is, the planner has given it up by then or its
/// head's entry has expired; otherwise this node only couldn't reach it, and may reach it again.
const LOST_HEAD_RETRY_AFTER: Duration = Duration::from_secs(4);

/// How long a response that is waited for over a lost link stands still until it counts as dead:
/// most events come within 50 ms.
const MIN_LINK_SILENCE: Duration = Duration::from_millis(250);

/// How long another node's suspicion counts. A node that suspects a head repeats that with each
/// request for a slot, several a second.
const ELSEWHERE_SUSPICION_TTL: Duration = Duration::from_millis(400);

/// The head of a replica in one epoch.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) host: HostId,
    /// Start time of the host, 0 if unknown.
    pub(crate) started_ms: u64,
    pub(crate) address: SmolStr,
    pub(crate) service: ServiceName,
    pub(crate) model: ModelName,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) replica: GroupId,
    pub(crate) epoch: Epoch,
    /// Members of the replica that were listed when this node learned of the head and haven't left
    /// it since.
    members: Mutex<SmallVec<[UsedHost; 8]>>,
    /// Its slots by its newest entry.
    slots: AtomicUsize,
    /// Requests of this node that run there.
    running: AtomicUsize,
    /// The subset of them that this node placed without a scheduler.
    unscheduled: AtomicUsize,
    reports: Mutex<LoadReports>,
    stream_activity: Mutex<StreamActivity>,
    /// Ejection of the head from unscheduled placement after it rejected or failed requests.
    backoff: Mutex<EjectionBackoff>,
    /// Set if it is or was cold, with the end of its cold phase.
    cold: Mutex<Option<(ColdStart, Instant)>>,
    /// Set once a member was found to be lost, after which no events arrive. Reset by
    /// [`HeadTable::retry_lost`].
    lost: watch::Sender<Option<Loss>>,
    /// Whether members give no answer, so that it may be lost.
    suspected: watch::Sender<bool>,
    /// Until when it counts as suspected because another node suspects it.
    suspected_elsewhere: Mutex<Option<Instant>>,
    /// Whether its members are being checked.
    is_checked: AtomicBool,
    /// Number of calls of [`Head::break_direct_responses`].
    link_losses: watch::Sender<u64>,
}

/// The loss of a replica's member.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// When it was found.
    at: Instant,
    /// Since when the replica had sent no events.
    pub(crate) silent_since: Instant,
    /// Members that gave no answer or, by the host list, have crashed.
    pub(crate) silent: SmallVec<[UsedHost; 2]>,
}

/// Load reports of nodes on one head.
#[derive(Debug, Default)]
struct LoadReports {
    /// Requests that each other node placed without a scheduler.
    unscheduled: BTreeMap<NodeId, usize>,
    /// The newest report of a scheduler. After a change of schedulers the former one's report stays
    /// until the new one's arrives, so that the two are never added up.
    assigned: Option<SchedulerReport>,
}

/// A scheduler's load report on one head.
#[derive(Debug)]
struct SchedulerReport {
    scheduler: NodeId,
    requests: usize,
    /// This head's share of the requests that wait at the scheduler.
    queued: usize,
    is_ejected: bool,
    as_of: Instant,
}

impl Head {
    fn new(host: &Host, model: ModelName, fleet: &Fleet) -> Option<Head> {
        let membership = host.membership.as_ref()?;
        let members = fleet
            .hosts()
            .filter(|h| h.belongs_to(&membership.replica, membership.epoch));
        Some(Head {
            host: host.id.clone(),
            started_ms: host.started_ms,
            address: host.address.clone(),
            service: host.service.clone(),
            model,
            failure_domain: host.failure_domain.clone(),
            replica: membership.replica.clone(),
            epoch: membership.epoch,
            members: Mutex::new(members.map(UsedHost::from).collect()),
            slots: AtomicUsize::new(host.slots),
            running: AtomicUsize::new(0),
            unscheduled: AtomicUsize::new(0),
            reports: Mutex::default(),
            stream_activity: Mutex::default(),
            backoff: Mutex::default(),
            cold: Mutex::default(),
            lost: watch::Sender::new(None),
            suspected: watch::Sender::new(false),
            suspected_elsewhere: Mutex::default(),
            is_checked: AtomicBool::new(false),
            link_losses: watch::Sender::new(0),
        })
    }

    /// Requests of this node that run there.
    pub(crate) fn running_here(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Requests that this node placed there without a scheduler.
    pub(crate) fn unscheduled_here(&self) -> usize {
        self.unscheduled.load(Ordering::Relaxed)
    }

    /// Requests of all nodes that run there, by their reports.
    pub(crate) fn load(&self) -> usize {
        self.unscheduled() + self.assigned()
    }

    /// Requests that nodes placed there without a scheduler, by their reports.
    pub(crate) fn unscheduled(&self) -> usize {
        let elsewhere: usize = locked(&self.reports).unscheduled.values().sum();
        self.unscheduled_here() + elsewhere
    }

    /// Requests that a scheduler assigned to it, by its report.
    pub(crate) fn assigned(&self) -> usize {
        let reports = locked(&self.reports);
        reports.assigned.as_ref().map_or(0, |a| a.requests)
    }

    /// Requests that wait at its scheduler, divided equally among the scheduler's heads.
    pub(crate) fn queued(&self) -> usize {
        let reports = locked(&self.reports);
        reports.assigned.as_ref().map_or(0, |a| a.queued)
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots.load(Ordering::Relaxed)
    }

    /// Its slots; one while it is ejected, for probe requests.
    pub(crate) fn usable_slots(&self) -> usize {
        if self.is_ejected() { 1 } else { self.slots() }
    }

    /// Whether its scheduler reported that it rejects all requests.
    pub(crate) fn is_ejected(&self) -> bool {
        let reports = locked(&self.reports);
        reports.assigned.as_ref().is_some_and(|a| a.is_ejected)
    }

    /// Whether half of its slots are taken, by the reports of nodes.
    pub(crate) fn is_half_full(&self) -> bool {
        self.load() * 2 >= self.slots()
    }

    /// Records another node's report of the requests that it placed without a scheduler.
    pub(crate) fn report_unscheduled(&self, node: &NodeId, requests: usize) {
        let mut reports = locked(&self.reports);
        if requests == 0 {
            reports.unscheduled.remove(node);
        } else {
            reports.unscheduled.insert(node.clone(), requests);
        }
    }

    /// Records the report of a scheduler, which may be this node; an empty load if it schedules
    /// nothing there.
    pub(crate) fn report_assigned(&self, scheduler: &NodeId, load: ScheduledLoad, as_of: Instant) {
        let mut reports = locked(&self.reports);
        let known = reports.assigned.as_ref();
        let is_same = known.is_some_and(|a| a.scheduler == *scheduler);
        let is_newer = known.is_none_or(|a| a.as_of < as_of);
        if load == ScheduledLoad::default() && is_same {
            reports.assigned = None;
        } else if load != ScheduledLoad::default() && (is_same || is_newer) {
            reports.assigned = Some(SchedulerReport {
                scheduler: scheduler.clone(),
                requests: load.assigned,
                queued: load.queued,
                is_ejected: load.is_ejected,
                as_of,
            });
        }
    }

    /// Forgets the reports of a node that left or died.
    pub(crate) fn forget_node(&self, node: &str) {
        let mut reports = locked(&self.reports);
        reports.unscheduled.remove(node);
        reports.assigned.take_if(|a| a.scheduler == node);
    }

    /// Counts one more request until the guard is dropped.
    pub(crate) fn enter<P: Platform>(self: &Arc<Head>, permit: Option<Permit<P>>) -> SlotGuard<P> {
        if self.running.fetch_add(1, Ordering::Relaxed) == 0 {
            self.stream_activity().on_work_resumed(Instant::now());
        }
        if permit.is_none() {
            self.unscheduled.fetch_add(1, Ordering::Relaxed);
        }
        SlotGuard {
            is_scheduled: permit.is_some(),
            is_resting: false,
            link_losses: self.link_losses.subscribe(),
            is_relayed: false,
            waiting_since: Instant::now(),
            is_malformed: false,
            head: Arc::clone(self),
            permit,
            sent: Instant::now(),
            responded_at: None,
            events: None,
            paced: None,
        }
    }

    pub(crate) fn stream_activity(&self) -> MutexGuard<'_, StreamActivity> {
        locked(&self.stream_activity)
    }

    /// Marks its replica as lost: no more events will arrive from it. It had sent none since
    /// `silent_since`, and the members in `silent` gave no answer.
    pub(crate) fn set_lost(
        &self,
        silent_since: Option<Instant>,
        silent: impl IntoIterator<Item = UsedHost>,
    ) {
        self.lost.send_if_modified(|lost| {
            let first = lost.is_none();
            lost.get_or_insert_with(|| {
                let at = Instant::now();
                Loss {
                    at,
                    silent_since: silent_since.unwrap_or(at),
                    silent: silent.into_iter().collect(),
                }
            });
            first
        });
    }

    /// Its cold start limits; `None` while it isn't cold.
    pub(crate) fn cold(&self, now: Instant) -> Option<ColdStart> {
        let cold = *locked(&self.cold);
        cold.filter(|(_, until)| now < *until).map(|(cold, _)| cold)
    }

    /// Ejects it for a while from unscheduled placement at this node.
    fn eject(&self, sent: Instant) {
        locked(&self.backoff).eject(sent, Instant::now());
    }

    /// Whether this node may place a request there without a scheduler.
    pub(crate) fn accepts_unscheduled(&self, now: Instant) -> bool {
        locked(&self.backoff).is_due(now)
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.lost.borrow().is_some()
    }

    /// The loss of a member, if there was one.
    pub(crate) fn loss(&self) -> Option<Loss> {
        self.lost.borrow().clone()
    }

    /// Begins a check of its members, unless one is in progress.
    pub(crate) fn begin_check(&self) -> bool {
        !self.is_checked.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_check(&self) {
        self.is_checked.store(false, Ordering::Relaxed);
    }

    /// Whether members give this node no answer, so that it may be lost.
    pub(crate) fn is_suspected(&self) -> bool {
        *self.suspected.borrow()
    }

    /// Whether it gets new requests only if all heads of its model are avoided: this node suspects
    /// it, or another node does and no event shows the contrary here.
    fn is_avoided(&self, now: Instant) -> bool {
        let until = *locked(&self.suspected_elsewhere);
        let is_suspected_elsewhere = until.is_some_and(|until| now < until);
        let has_event = || {
            let threshold = StallThreshold::default();
            self.stream_activity().has_recent_event(&threshold, now)
        };
        self.is_suspected() || is_suspected_elsewhere && !has_event()
    }

    /// Marks it as suspected, unless events have arrived since `since`.
    pub(crate) fn suspect(&self, since: Instant) {
        let has_event = self.stream_activity().last_event() > Some(since);
        self.set_suspected(!has_event);
    }

    /// Ends a suspicion.
    pub(crate) fn trust(&self) {
        if self.is_suspected() {
            self.set_suspected(false);
        }
    }

    fn set_suspected(&self, is_suspected: bool) {
        self.suspected
            .send_if_modified(|known| std::mem::replace(known, is_suspected) != is_suspected);
    }

    /// Waits until it is suspected, or no longer is.
    pub(crate) async fn wait_until_suspected(&self, is_suspected: bool) {
        let mut rx = self.suspected.subscribe();
        // The sender lives as long as `self`, so the channel can't close before.
        let _ = rx.wait_for(|known| *known == is_suspected).await;
    }

    /// Forgets members that the host list shows outside the replica: they left it.
    fn forget_left_members(&self, fleet: &Fleet) {
        locked(&self.members).retain(|member| {
            let (id, started_ms) = &member.start;
            let is_member = |h: &Host| h.belongs_to(&self.replica, self.epoch);
            match fleet.presence(id, *started_ms) {
                HostPresence::Listed => fleet.host(id).is_some_and(is_member),
                HostPresence::Left => false,
                HostPresence::Vanished | HostPresence::Restarted => true,
            }
        });
    }

    /// Members that crashed, by the host list.
    pub(crate) fn crashed_members(&self, fleet: &Fleet) -> SmallVec<[UsedHost; 2]> {
        let has_crashed = |member: &&UsedHost| {
            let (id, started_ms) = &member.start;
            let presence = fleet.presence(id, *started_ms);
            matches!(presence, HostPresence::Vanished | HostPresence::Restarted)
        };
        let members = locked(&self.members);
        members.iter().filter(has_crashed).cloned().collect()
    }

    /// The members of the given names.
    pub(crate) fn members_named(&self, names: &[HostId]) -> SmallVec<[UsedHost; 2]> {
        let members = locked(&self.members);
        let named = members.iter().filter(|m| names.contains(&m.start.0));
        named.cloned().collect()
    }

    fn may_retry_lost(&self, now: Instant) -> bool {
        let is_expired =
            |loss: &Loss| now.saturating_duration_since(loss.at) >= LOST_HEAD_RETRY_AFTER;
        self.lost.borrow().as_ref().is_some_and(is_expired)
    }

    /// Waits until it is lost.
    pub(crate) async fn wait_until_lost(&self) {
        let mut rx = self.lost.subscribe();
        // The sender lives as long as `self`, so the channel can't close before the value is set.
        let _ = rx.wait_for(Option::is_some).await;
    }

    /// Breaks the responses that stand still over direct connections: this node has lost its link to
    /// the head, while the replica works.
    pub(crate) fn break_direct_responses(&self) {
        self.link_losses.send_modify(|losses| *losses += 1);
    }
}

/// A request's slot at a head; the head counts it until this is dropped.
pub(crate) struct SlotGuard<P: Platform> {
    pub(crate) head: Arc<Head>,
    /// `None` if it was placed without a scheduler.
    permit: Option<Permit<P>>,
    is_scheduled: bool,
    /// Whether the head rejected it and asked for rest.
    is_resting: bool,
    sent: Instant,
    /// When its response's headers arrived.
    responded_at: Option<Instant>,
    /// When its first and its last event so far arrived.
    events: Option<(Instant, Instant)>,
    /// Set if its times count for the head's pace.
    paced: Option<PacedRequest>,
    link_losses: watch::Receiver<u64>,
    /// Whether its connection leads through another node.
    is_relayed: bool,
    /// Since when the next part of its response is waited for.
    waiting_since: Instant,
    /// Whether its response is none, so that the head is at fault.
    is_malformed: bool,
}

impl<P: Platform> SlotGuard<P> {
    /// Sets where its times count for the head's pace.
    pub(crate) fn set_paced(&mut self, paced: Option<PacedRequest>) {
        self.paced = paced;
    }

    /// Records whether its connection leads through another node.
    pub(crate) fn set_relayed(&mut self, is_relayed: bool) {
        self.is_relayed = is_relayed;
    }

    /// Records that its response's headers have arrived.
    pub(crate) fn on_response(&mut self) {
        self.responded_at = Some(Instant::now());
    }

    /// Records that the next part of its response is waited for.
    pub(crate) fn await_chunk(&mut self) {
        self.waiting_since = Instant::now();
    }

    /// How long the part of its response that has just come was waited for.
    pub(crate) fn waited(&self) -> Duration {
        self.waiting_since.elapsed()
    }

    /// Records that its response has bytes that are none.
    pub(crate) fn on_malformed(&mut self) {
        self.is_malformed = true;
    }

    pub(crate) fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// When this node last received a part of any response from the head.
    pub(crate) fn last_received(&self) -> Option<Instant> {
        self.responded_at
            .max(self.head.stream_activity().last_event())
    }

    /// Records that a complete event has arrived.
    pub(crate) fn on_event(&mut self, now: Instant) {
        self.head.stream_activity().on_event(now);
        self.head.trust();
        if let Some(paced) = &mut self.paced {
            paced.on_event(now);
        }
        match &mut self.events {
            Some((_, last)) => *last = now,
            None => {
                self.events = Some((now, now));
                self.on_first_event();
            }
        }
    }

    fn on_first_event(&mut self) {
        locked(&self.head.backoff).accepted(self.sent);
        if let Some(permit) = &self.permit {
            permit.started();
        }
    }

    /// When it got the slot, just before it was sent.
    pub(crate) fn sent(&self) -> Instant {
        self.sent
    }

    pub(crate) fn has_started(&self) -> bool {
        self.events.is_some()
    }

    /// Time from its first event to its last one so far.
    pub(crate) fn wrote_for(&self) -> Duration {
        let span = self
            .events
            .map(|(first, last)| last.saturating_duration_since(first));
        span.unwrap_or_default()
    }

    /// Records that the head asked for rest. It works, so that its rejection doesn't count.
    pub(crate) fn on_rest(&mut self) {
        self.is_resting = true;
        self.permit = None;
    }

    /// Whether the head rejected it and asked for rest.
    pub(crate) fn is_resting(&self) -> bool {
        self.is_resting
    }

    /// Records that the head rejected it.
    pub(crate) fn rejected(&mut self) {
        if self.is_resting {
            return;
        }
        self.head.eject(self.sent);
        self.paced.iter().for_each(PacedRequest::on_failed);
        if let Some(permit) = self.permit.take() {
            permit.rejected();
        }
    }

    /// Takes the report that the head gave it no response.
    pub(crate) fn take_failure(&mut self) -> HeadFailure<P> {
        self.paced.iter().for_each(PacedRequest::on_failed);
        HeadFailure {
            head: Arc::clone(&self.head),
            sent: self.sent,
            permit: self.permit.take(),
        }
    }

    /// Waits until the head is lost or the connection to it is found to be dead.
    pub(crate) async fn wait_until_broken(&self) -> &'static str {
        let mut link_losses = self.link_losses.clone();
        let link_lost = async {
            // The sender lives as long as the head.
            while link_losses.changed().await.is_ok() && !self.is_dead() {}
        };
        tokio::select! {
            () = self.head.wait_until_lost() => "its replica was lost",
            () = link_lost => "its connection was lost",
        }
    }

    /// Whether nothing came for long over a link that is lost.
    fn is_dead(&self) -> bool {
        !self.is_relayed && self.waiting_since.elapsed() >= MIN_LINK_SILENCE
    }
}

/// A failure of a head that is not reported yet. Dropping it releases the slot alone.
pub(crate) struct HeadFailure<P: Platform> {
    pub(crate) head: Arc<Head>,
    sent: Instant,
    permit: Option<Permit<P>>,
}

impl<P: Platform> HeadFailure<P> {
    /// Reports that the head failed the request before its first event.
    pub(crate) fn report_failed(self) {
        self.head.eject(self.sent);
        if let Some(permit) = self.permit {
            permit.failed();
        }
    }

    /// Reports that the head didn't take the request.
    pub(crate) fn report_rejected(self) {
        self.head.eject(self.sent);
        if let Some(permit) = self.permit {
            permit.rejected();
        }
    }
}

impl<P: Platform> Drop for SlotGuard<P> {
    fn drop(&mut self) {
        self.head.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_scheduled {
            self.head.unscheduled.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// The heads that take requests, and those that are draining.
#[derive(Debug, Default)]
pub(crate) struct HeadTable {
    /// Invariant: each head reported that it is open, and the planner opens only complete replicas.
    /// None is in an evacuated failure domain.
    open: BTreeMap<HeadKey, Arc<Head>>,
    /// Heads that take no new requests but still run some of this node.
    draining: BTreeMap<HeadKey, Arc<Head>>,
    /// Number of hosts by service.
    hosts: BTreeMap<ServiceName, usize>,
}

impl HeadTable {
    /// Rebuilds the table from the host list.
    pub(crate) fn update(&mut self, fleet: &Fleet, catalog: &Catalog) {
        self.hosts.clear();
        for host in fleet.hosts() {
            *self.hosts.entry(host.service.clone()).or_default() += 1;
        }
        let mut open = BTreeMap::new();
        for host in fleet
            .hosts()
            .filter(|h| h.is_open_head() && fleet.takes_requests(h))
        {
            let (Some(m), Some(model)) = (&host.membership, &host.model) else {
                continue;
            };
            let key = (m.replica.clone(), m.epoch);
            let known = self
                .open
                .remove(&key)
                .or_else(|| self.draining.remove(&key));
            let head = known.or_else(|| Head::new(host, model.clone(), fleet).map(Arc::new));
            if let Some(head) = head {
                let cold = catalog.service(&host.service).and_then(|s| s.cold);
                let until = |cold: ColdStart| Some((cold, fleet.cold_until(host, &cold)?));
                *locked(&head.cold) = cold.and_then(until);
                head.slots.store(host.slots, Ordering::Relaxed);
                open.insert(key, head);
            }
        }
        let closed = std::mem::replace(&mut self.open, open);
        self.draining.extend(closed);
        self.draining.retain(|_, head| head.running_here() > 0);
        for head in self.all() {
            head.forget_left_members(fleet);
        }
    }

    /// Makes heads available again that were lost [`LOST_HEAD_RETRY_AFTER`] ago and still serve by
    /// their entries. No requests run at them: those moved to other heads at the loss.
    pub(crate) fn retry_lost(&self, now: Instant) {
        for head in self.open.values().filter(|h| h.may_retry_lost(now)) {
            head.lost.send_replace(None);
        }
    }

    /// Records that another node suspects a replica.
    pub(crate) fn suspect_elsewhere(&self, replica: &str, now: Instant) {
        for head in self.open.values().filter(|h| h.replica == replica) {
            *locked(&head.suspected_elsewhere) = Some(now + ELSEWHERE_SUSPICION_TTL);
        }
    }

    /// Number of hosts of a service.
    pub(crate) fn hosts_of(&self, service: &str) -> usize {
        self.hosts.get(service).copied().unwrap_or_default()
    }

    /// Heads of a model that can take a request: those that aren't avoided, if there are any.
    pub(crate) fn of_model<'t>(
        &'t self,
        service: &'t str,
        model: &'t str,
    ) -> impl Iterator<Item = &'t Arc<Head>> {
        let takes = move |h: &&Arc<Head>| h.service == service && h.model == model && !h.is_lost();
        let now = Instant::now();
        let may_avoid = self.open.values().filter(takes).any(|h| !h.is_avoided(now));
        let takes_now = move |h: &&Arc<Head>| takes(h) && !(may_avoid && h.is_avoided(now));
        self.open.values().filter(takes_now)
    }

    /// All heads, open or draining.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Head>> {
        self.open.values().chain(self.draining.values())
    }

    /// The head of a replica's epoch, if it takes requests.
    pub(crate) fn open(&self, replica: &str, epoch: Epoch) -> Option<&Arc<Head>> {
        self.open.get(&(replica.into(), epoch))
    }

    /// The head of a replica's epoch, open or draining.
    pub(crate) fn get(&self, replica: &str, epoch: Epoch) -> Option<&Arc<Head>> {
        let key = (replica.into(), epoch);
        self.open.get(&key).or_else(|| self.draining.get(&key))
    }
}

/// Locks a mutex, ignoring poison: no holder leaves the value inconsistent if it panics.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
