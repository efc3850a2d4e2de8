//! Demand for a model's slots: measured at its schedulers, added up from their reports.
//!
//! Designed for load that varies by a fifth within 11 s and has bursts of 1.5 to 2.5 times the mean
//! for 3 to 7 s. Requests that wait or are rejected don't show in the slots in use, so demand is
//! the arrival rate times the mean time that a slot is held. Callers whose request was rejected
//! send it again; these repeats are not counted, since they would count a request twice just when
//! slots are scarce.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, ModelName, NodeId, SchedulerScope, ServiceName};

/// Time constant of all averages: long enough for a model with ten requests a second, and shorter
/// than bursts.
const SMOOTHING: Duration = Duration::from_secs(2);
/// How long a peak counts: longer than bursts last, so that capacity added for one isn't taken away
/// between its waves.
const PEAK_WINDOW: Duration = Duration::from_secs(8);
/// Ended requests per held slot from which on the mean time that a slot is held is known. The
/// first requests to end are those that hold their slot for the shortest time.
const MIN_ENDED_PER_HELD: f64 = 0.25;
/// Age at which a report no longer counts: three times the longest time between two reports.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Demand over this multiple of the slots is a fault of the report and not a burst.
const MAX_DEMAND_PER_SLOT: f64 = 100.0;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Slots in use; a full head may have some requests more than it has slots.
    pub used: f64,
    /// Slots that all requests would hold if none had to wait or was rejected.
    pub wanted: f64,
    /// Highest number of wanted slots in the last 8 s.
    pub peak: f64,
    /// Requests per second that got no slot.
    pub rejected_per_second: f64,
    /// Prompt tokens per second of all requests that are not repeats.
    pub prompt_tokens_per_second: f64,
}

impl ModelDemand {
    fn add(&mut self, other: &ModelDemand) {
        self.used += other.used;
        self.wanted += other.wanted;
        self.peak += other.peak;
        self.rejected_per_second += other.rejected_per_second;
        self.prompt_tokens_per_second += other.prompt_tokens_per_second;
    }

    fn is_plausible(&self, slots: f64) -> bool {
        let is_number = |v: f64| v.is_finite() && v >= 0.0;
        let max = MAX_DEMAND_PER_SLOT * slots.max(1.0);
        let in_slots = [self.used, self.wanted, self.peak];
        let rates = [self.rejected_per_second, self.prompt_tokens_per_second];
        is_number(slots)
            && in_slots.into_iter().all(|v| is_number(v) && v <= max)
            && rates.into_iter().all(is_number)
    }
}

/// Sum that decays with [`SMOOTHING`].
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    fn new(now: Instant) -> DecayingSum {
        DecayingSum { sum: 0.0, at: now }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.at(now) + amount;
        self.at = self.at.max(now);
    }

    fn at(&self, now: Instant) -> f64 {
        self.sum * decay(now.saturating_duration_since(self.at))
    }

    /// Amount per second, if the amounts since `started_at` are known.
    fn per_second(&self, started_at: Instant, now: Instant) -> f64 {
        let age = now.saturating_duration_since(started_at);
        let weight = SMOOTHING.as_secs_f64() * (1.0 - decay(age));
        if weight > 0.0 {
            self.at(now) / weight
        } else {
            0.0
        }
    }
}

/// Weight that is left of a sample of this age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
}

/// Measures the demand at one scheduler.
///
/// Takes constant time and memory, however many requests there are.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    started_at: Instant,
    last_request: Option<Instant>,
    arrivals: DecayingSum,
    prompt_tokens: DecayingSum,
    rejections: DecayingSum,
    /// Seconds for which requests that have ended held their slots, and the number of those requests
    /// that resume no other.
    held_time: DecayingSum,
    ended: DecayingSum,
    /// Undecayed number of requests that have ended.
    total_ended: u64,
    /// Number of held slots, and the sum of the seconds from `started_at` to their grants.
    held: usize,
    granted_at: f64,
    /// Integral of the slots in use, each second weighted by its age.
    used: DecayingSum,
    /// Slots in use since the last change.
    used_now: usize,
    used_since: Instant,
    /// Wanted slots in the last [`PEAK_WINDOW`]. Invariant: times rise and values fall.
    peaks: VecDeque<(Instant, f64)>,
}

impl DemandMeter {
    /// Creates a meter that knows no requests.
    pub fn new(now: Instant) -> DemandMeter {
        DemandMeter {
            started_at: now,
            last_request: None,
            arrivals: DecayingSum::new(now),
            prompt_tokens: DecayingSum::new(now),
            rejections: DecayingSum::new(now),
            held_time: DecayingSum::new(now),
            ended: DecayingSum::new(now),
            total_ended: 0,
            held: 0,
            granted_at: 0.0,
            used: DecayingSum::new(now),
            used_now: 0,
            used_since: now,
            peaks: VecDeque::new(),
        }
    }

    /// Records a request. `repeated` if it was counted before: its caller sends it again, or it
    /// needs another slot.
    pub fn on_arrival(&mut self, repeated: bool, prompt_tokens: u64, now: Instant) {
        self.last_request = Some(now);
        if !repeated {
            self.arrivals.add(1.0, now);
            self.prompt_tokens.add(prompt_tokens as f64, now);
        }
    }

    /// Records that a request got a slot.
    pub fn on_grant(&mut self, now: Instant) {
        self.held += 1;
        self.granted_at += self.offset(now);
    }

    /// Records that a request that has held its slot since `granted_at` has ended at its head. The
    /// time of a `resumed` one counts as a part of the request that it resumes.
    pub fn on_ended(&mut self, granted_at: Instant, resumed: bool, now: Instant) {
        let held = now.saturating_duration_since(granted_at);
        self.held_time.add(held.as_secs_f64(), now);
        // Without recent requests that it could be a part of, the mean would grow without bound.
        let is_part = resumed && self.ended.at(now) >= 1.0;
        self.ended.add(if is_part { 0.0 } else { 1.0 }, now);
        self.total_ended += 1;
    }

    /// Records that a slot that was granted at `granted_at` is free, whether its request was served
    /// or rejected by the head.
    pub fn on_release(&mut self, granted_at: Instant) {
        self.held = self.held.saturating_sub(1);
        self.granted_at -= self.offset(granted_at);
    }

    /// Records that requests got no slot.
    pub fn on_rejections(&mut self, count: usize, now: Instant) {
        self.rejections.add(count as f64, now);
    }

    /// Records the number of slots in use from now on.
    pub fn set_used(&mut self, used: usize, now: Instant) {
        self.used = self.used_until(now);
        self.used_now = used;
        self.used_since = self.used_since.max(now);
    }

    /// When the last request arrived, repeats included.
    pub fn last_request(&self) -> Option<Instant> {
        self.last_request
    }

    /// The demand; `None` until it is known.
    ///
    /// The peak is the highest demand of the calls of the last 8 s, so this is to be called several
    /// times a second.
    pub fn measure(&mut self, now: Instant) -> Option<ModelDemand> {
        if !self.is_known(now) {
            return None;
        }
        let per_second = |sum: &DecayingSum| sum.per_second(self.started_at, now);
        let wanted = per_second(&self.arrivals) * self.mean_held_time(now);
        let demand = ModelDemand {
            used: per_second(&self.used_until(now)),
            wanted,
            peak: 0.0,
            rejected_per_second: per_second(&self.rejections),
            prompt_tokens_per_second: per_second(&self.prompt_tokens),
        };
        let peak = self.update_peak(wanted, now);
        Some(ModelDemand { peak, ..demand })
    }

    /// Whether enough requests have ended that the mean time that a slot is held isn't that of the
    /// shortest ones.
    fn is_known(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        let ended = self.total_ended as f64;
        age >= PEAK_WINDOW || (age >= SMOOTHING && ended >= MIN_ENDED_PER_HELD * self.held as f64)
    }

    /// Mean time in seconds that a request holds its slot. Where requests take longer than this
    /// meter exists, the mean age of those that hold one is a lower bound.
    fn mean_held_time(&self, now: Instant) -> f64 {
        let age = if self.held == 0 {
            0.0
        } else {
            self.offset(now) - self.granted_at / self.held as f64
        };
        let ended = if self.ended.sum > 0.0 {
            // Both have the same decay; without it the quotient stays defined after a long idle
            // time.
            self.held_time.sum / self.ended.sum
        } else {
            0.0
        };
        ended.max(age)
    }

    fn update_peak(&mut self, wanted: f64, now: Instant) -> f64 {
        let is_old = |at: Instant| now.saturating_duration_since(at) > PEAK_WINDOW;
        while self.peaks.pop_front_if(|(at, _)| is_old(*at)).is_some() {}
        while self.peaks.pop_back_if(|(_, v)| *v <= wanted).is_some() {}
        self.peaks.push_back((now, wanted));
        self.peaks.front().map_or(wanted, |(_, peak)| *peak)
    }

    /// `used` with the time since the last change.
    fn used_until(&self, now: Instant) -> DecayingSum {
        let age = now.saturating_duration_since(self.used_since);
        let mut used = self.used;
        let weight = SMOOTHING.as_secs_f64() * (1.0 - decay(age));
        used.add(self.used_now as f64 * weight, now);
        used
    }

    fn offset(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }
}

/// A scheduler's report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandReport {
    /// The demand at the scheduler.
    pub demand: ModelDemand,
    /// Slots of its heads.
    pub slots: f64,
    /// When the demand was measured.
    pub measured_at: Instant,
    /// When the scheduler got its last request.
    pub last_request: Instant,
}

impl DemandReport {
    /// Order of reports on the same requests. A scheduler that nodes no longer use exists for some
    /// more seconds and still reports, so the one that got requests last counts.
    fn recency(&self) -> (Instant, Instant) {
        (self.last_request, self.measured_at)
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.measured_at) <= MAX_REPORT_AGE
    }
}

/// Reports on one model, by failure domain of the heads.
type ScopeReports = BTreeMap<Option<FailureDomain>, BTreeMap<NodeId, DemandReport>>;

/// Reports of all schedulers.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    /// Invariant: no map within it is empty.
    reports: BTreeMap<(ServiceName, ModelName), ScopeReports>,
}

impl DemandTable {
    /// Records the report of a node's scheduler in place of its previous one.
    pub fn on_report(&mut self, node: &NodeId, scope: &SchedulerScope, report: DemandReport) {
        let scopes = self.reports.entry(key(scope)).or_default();
        let reports = scopes.entry(scope.heads_in.clone()).or_default();
        reports.insert(node.clone(), report);
    }

    /// Forgets the report of a scheduler that has ended.
    pub fn remove(&mut self, node: &str, scope: &SchedulerScope) {
        if let Some(scopes) = self.reports.get_mut(&key(scope))
            && let Some(reports) = scopes.get_mut(&scope.heads_in)
        {
            reports.remove(node);
        }
        self.drop_empty();
    }

    /// Forgets all reports of a node.
    pub fn forget_node(&mut self, node: &str) {
        let scopes = self.reports.values_mut();
        for reports in scopes.flat_map(BTreeMap::values_mut) {
            reports.remove(node);
        }
        self.drop_empty();
    }

    fn drop_empty(&mut self) {
        for scopes in self.reports.values_mut() {
            scopes.retain(|_, reports| !reports.is_empty());
        }
        self.reports.retain(|_, scopes| !scopes.is_empty());
    }

    /// The demand for a model; `None` if reports on it are missing, old or contradictory.
    ///
    /// A model has either a scheduler of its own or one for each failure domain. Where there are
    /// reports of both kinds, those of the kind that got the last request count. A scope of which
    /// all reports are old makes the sum unknown: its scheduler may be lost, and not its demand.
    pub fn demand(&self, service: &str, model: &str, now: Instant) -> Option<ModelDemand> {
        let mut sum = ModelDemand::default();
        for (_, report) in self.counted(service, model)? {
            if !report.is_fresh(now) || !report.demand.is_plausible(report.slots) {
                return None;
            }
            sum.add(&report.demand);
        }
        Some(sum)
    }

    /// Whether each of these failure domains, in which a model's heads have requests, is part of
    /// its [`DemandTable::demand`]. A scheduler that doesn't report would make the sum too low.
    pub fn covers<'d>(
        &self,
        service: &str,
        model: &str,
        mut domains: impl Iterator<Item = &'d FailureDomain>,
    ) -> bool {
        let Some(counted) = self.counted(service, model) else {
            return false;
        };
        let counted: BTreeMap<_, _> = counted.collect();
        counted.contains_key(&None)
            || domains.all(|domain| counted.keys().any(|d| d.as_ref() == Some(domain)))
    }

    /// The newest report of each scope of the kind that counts.
    fn counted(
        &self,
        service: &str,
        model: &str,
    ) -> Option<impl Iterator<Item = (&Option<FailureDomain>, &DemandReport)>> {
        let scopes = self.reports.get(&(service.into(), model.into()))?;
        let newest = scopes.iter().filter_map(|(domain, reports)| {
            let report = reports.values().max_by_key(|r| r.recency())?;
            Some((domain, report))
        });
        let (kind, _) = newest.clone().max_by_key(|(_, r)| r.recency())?;
        let is_sharded = kind.is_some();
        Some(newest.filter(move |(domain, _)| domain.is_some() == is_sharded))
    }
}

fn key(scope: &SchedulerScope) -> (ServiceName, ModelName) {
    (scope.service.clone(), scope.model.clone())
}

/// The known demand for each model at one instant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSnapshot {
    models: BTreeMap<ServiceName, BTreeMap<ModelName, ModelDemand>>,
}

impl DemandSnapshot {
    /// The demand for a model; `None` if it is unknown.
    pub fn get(&self, service: &str, model: &str) -> Option<&ModelDemand> {
        self.models.get(service)?.get(model)
    }

    /// Sets the demand for a model.
    pub fn insert(
        &mut self,
        service: impl Into<ServiceName>,
        model: impl Into<ModelName>,
        demand: ModelDemand,
    ) {
        let models = self.models.entry(service.into()).or_default();
        models.insert(model.into(), demand);
    }
}
