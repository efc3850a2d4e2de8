//! Simulates eight entries that share the slots of eight groups, in virtual time.
//!
//! First, one entry gets five times the callers of each other. The slots are shared equally
//! or by demand with quotas, compared with a single queue for all entries as the optimum.
//! Then, one tenant sends ten times its share to all entries, and each other tenant
//! sends to one entry only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, NodeId, Urgency};
use eelgrassmill_route::{
    AdmissionRequest, Candidate, GroupPicker, Pick, QueueOptions, QuotaHolder, QuotaIssuer,
    ServiceQueue, Slots, TenantUsage, Ticket, fallback_share,
};

const ENTRIES: usize = 8;
const TENANTS: usize = 10;
const GROUPS: usize = 8;
const SLOTS: Slots = Slots {
    normal: 16,
    urgent: 0,
};
const TICK: Duration = Duration::from_millis(50);
/// Ticks between an entry's demands to each issuer.
const DEMAND_INTERVAL: u64 = 5;
/// Ticks between the usage reports of an entry to the others.
const USAGE_INTERVAL: u64 = 20;
const TICKS: u64 = 12_000;
const WARM_UP: u64 = 2_000;
const PER_TOKEN: Duration = Duration::from_millis(25);
const TIMEOUT: Duration = Duration::from_secs(60);
/// Load of the first entry relative to each other entry's.
const SKEW: f64 = 5.0;

/// The load on the entries.
#[derive(Clone, Copy)]
enum Load {
    /// Ten tenants with this fraction of the capacity together, most of it to the first entry.
    Skewed(f64),
    /// Tenant 0 with this multiple of its share to all entries; each other with 0.8 times
    /// its share to its own entry.
    Greedy(f64),
}

#[derive(Clone, Copy, PartialEq)]
enum Sharing {
    OneQueue,
    Equal,
    Quotas,
}

#[derive(Clone, Copy)]
struct Request {
    at: u64,
    tenant: usize,
    tokens: u64,
}

struct Running {
    entry: usize,
    req: Request,
    ticket: Ticket,
    pick: Pick,
}

struct Entry {
    queue: ServiceQueue<Request>,
    picker: GroupPicker,
    holders: BTreeMap<GroupId, QuotaHolder>,
    in_flight: BTreeMap<GroupId, u32>,
}

struct Fleet {
    sharing: Sharing,
    /// Whether entries report the usage of tenants to each other.
    reports_usage: bool,
    entries: Vec<Entry>,
    issuers: BTreeMap<GroupId, QuotaIssuer>,
    ends: BTreeMap<u64, Vec<Running>>,
    start_time: Instant,
    latencies: BTreeMap<usize, Vec<u64>>,
    tokens: BTreeMap<usize, u64>,
    refused: u64,
    max_excess: u32,
}

fn group(i: usize) -> GroupId {
    format!("draft/{i}").into()
}

fn node(i: usize) -> NodeId {
    format!("entry-{i}").into()
}

fn entry(i: usize, slots: Slots, now: Instant) -> Entry {
    let candidate = |g| Candidate {
        group: group(g),
        epoch: 1,
        distance: 0,
        slots: SLOTS.normal,
        quota: slots,
        leaving: false,
    };
    let mut picker = GroupPicker::new(i as u64);
    picker.set_candidates((0..GROUPS).map(candidate), now);
    let holder = |g| {
        let mut holder = QuotaHolder::new(node(i), 1, group(g), 1, SLOTS, ENTRIES as u32);
        holder.set_issuer(&"issuer".into());
        (group(g), holder)
    };
    Entry {
        queue: ServiceQueue::new(QueueOptions::default().seed(i as u64)),
        picker,
        holders: (0..GROUPS).map(holder).collect(),
        in_flight: BTreeMap::new(),
    }
}

impl Fleet {
    fn new(sharing: Sharing, reports_usage: bool) -> Fleet {
        let start_time = Instant::now();
        let (entries, slots) = match sharing {
            Sharing::OneQueue => (1, SLOTS),
            Sharing::Equal | Sharing::Quotas => (ENTRIES, fallback_share(SLOTS, ENTRIES as u32)),
        };
        let issuer = |g| {
            let entries = (0..ENTRIES).map(node);
            let issuer = QuotaIssuer::new("issuer".into(), group(g), 1, SLOTS, entries, start_time);
            (group(g), issuer)
        };
        Fleet {
            sharing,
            reports_usage,
            entries: (0..entries).map(|i| entry(i, slots, start_time)).collect(),
            issuers: (0..GROUPS).map(issuer).collect(),
            ends: BTreeMap::new(),
            start_time,
            latencies: BTreeMap::new(),
            tokens: BTreeMap::new(),
            refused: 0,
            max_excess: 0,
        }
    }

    fn now(&self, tick: u64) -> Instant {
        self.start_time + TICK * tick as u32
    }

    fn run(mut self, load: Load) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(11);
        for tick in 0..TICKS {
            self.end(tick);
            for entry in 0..ENTRIES {
                for (tenant, mean) in arrivals(load, entry) {
                    if rng.f64() < mean {
                        let tokens = rng.u64(200..600);
                        self.admit(
                            entry,
                            Request {
                                at: tick,
                                tenant,
                                tokens,
                            },
                        );
                    }
                }
            }
            if self.sharing == Sharing::Quotas {
                self.exchange_quotas(tick);
            }
            if self.reports_usage && tick.is_multiple_of(USAGE_INTERVAL) {
                self.report_usage();
            }
            for entry in 0..self.entries.len() {
                self.start(entry, tick);
            }
            self.record_excess();
        }
        self
    }

    fn report_usage(&mut self) {
        let used: Vec<Vec<TenantUsage>> = self
            .entries
            .iter_mut()
            .map(|e| e.queue.take_usage())
            .collect();
        for (i, entry) in self.entries.iter_mut().enumerate() {
            let others = used.iter().enumerate().filter(|(from, _)| *from != i);
            for usage in others.flat_map(|(_, usages)| usages) {
                entry.queue.charge_remote_usage(usage);
            }
        }
    }

    fn admit(&mut self, entry: usize, req: Request) {
        let now = self.now(req.at);
        let admission = AdmissionRequest {
            tenant: format!("tenant-{}", req.tenant).into(),
            weight: 1,
            urgency: Urgency::DEFAULT,
            tokens: req.tokens,
            deadline: now + TIMEOUT,
            max_tenant_queue: 1000,
        };
        let entry = entry.min(self.entries.len() - 1);
        if self.entries[entry]
            .queue
            .admit(admission, req, now)
            .is_err()
        {
            self.refuse(req);
        }
    }

    fn refuse(&mut self, req: Request) {
        self.refused += u64::from(req.at >= WARM_UP);
    }

    fn start(&mut self, i: usize, tick: u64) {
        let now = self.now(tick);
        let entry = &mut self.entries[i];
        while let Some(dequeued) = entry.queue.dequeue(entry.picker.free_slots(now), now) {
            let Some(pick) = entry.picker.pick(dequeued.slot, &[], &[], now) else {
                return;
            };
            *entry.in_flight.entry(pick.group.clone()).or_default() += 1;
            let req = dequeued.payload;
            let took = (PER_TOKEN * req.tokens as u32).as_millis() / TICK.as_millis();
            let ticket = dequeued.ticket;
            let run = Running {
                entry: i,
                req,
                ticket,
                pick,
            };
            self.ends.entry(tick + took as u64).or_default().push(run);
        }
        let refused = entry.queue.take_refused(now);
        refused.into_iter().for_each(|(req, _)| self.refuse(req));
    }

    fn end(&mut self, tick: u64) {
        let now = self.now(tick);
        for run in self.ends.remove(&tick).unwrap_or_default() {
            let entry = &mut self.entries[run.entry];
            entry.picker.release(&run.pick);
            entry.queue.complete(run.ticket, run.req.tokens, now);
            if let Some(n) = entry.in_flight.get_mut(&run.pick.group) {
                *n -= 1;
            }
            if run.req.at >= WARM_UP {
                let latencies = self.latencies.entry(run.req.tenant).or_default();
                latencies.push(tick - run.req.at);
                *self.tokens.entry(run.req.tenant).or_default() += run.req.tokens;
            }
        }
    }

    /// Entries take turns sending demands to all issuers; waiting requests are spread over the
    /// groups.
    fn exchange_quotas(&mut self, tick: u64) {
        let now = self.now(tick);
        for (i, entry) in self.entries.iter_mut().enumerate() {
            let sends_demand = (tick + i as u64).is_multiple_of(DEMAND_INTERVAL);
            for (group, holder) in &mut entry.holders {
                if sends_demand {
                    let running = entry.in_flight.get(group).copied().unwrap_or_default();
                    let waiting = (entry.queue.len() as u32).div_ceil(GROUPS as u32);
                    let of = |normal| Slots { normal, urgent: 0 };
                    let demand = holder.next_demand(of(running), of(waiting), now);
                    let issuer = self.issuers.get_mut(group);
                    if let Some(grant) = issuer.and_then(|x| x.on_demand(&demand, now)) {
                        holder.on_grant(&grant);
                    }
                }
                entry.picker.set_quota(group, 1, holder.quota(now));
            }
        }
    }

    /// Records the largest excess of requests over a group's slots.
    fn record_excess(&mut self) {
        for g in 0..GROUPS {
            let in_flight = self
                .entries
                .iter()
                .filter_map(|e| e.in_flight.get(&group(g)));
            let excess = in_flight.sum::<u32>().saturating_sub(SLOTS.normal);
            self.max_excess = self.max_excess.max(excess);
        }
    }

    fn answered(&self, of: impl Fn(usize) -> bool) -> Vec<u64> {
        let chosen = self.latencies.iter().filter(|(t, _)| of(**t));
        chosen.flat_map(|(_, list)| list.iter().copied()).collect()
    }

    fn p95(&self, of: impl Fn(usize) -> bool) -> f64 {
        let mut all = self.answered(of);
        all.sort();
        all.get(all.len() * 95 / 100)
            .map_or(f64::NAN, |t| *t as f64)
    }

    fn tokens(&self, of: impl Fn(usize) -> bool) -> f64 {
        let chosen = self.tokens.iter().filter(|(t, _)| of(**t));
        chosen.map(|(_, n)| *n as f64).sum()
    }

    fn refused(&self) -> f64 {
        let refused = self.refused as f64;
        refused / (refused + self.answered(|_| true).len() as f64)
    }
}

/// Returns the requests per tick of each tenant at the entry.
fn arrivals(load: Load, entry: usize) -> Vec<(usize, f64)> {
    // Requests have 400 tokens on average.
    let capacity = f64::from(SLOTS.normal) * GROUPS as f64 / (PER_TOKEN * 400).as_secs_f64();
    let full = capacity * TICK.as_secs_f64();
    match load {
        Load::Skewed(fraction) => {
            let weight = if entry == 0 { SKEW } else { 1.0 };
            let mean = fraction * full * weight / (SKEW + ENTRIES as f64 - 1.0);
            (0..TENANTS).map(|t| (t, mean / TENANTS as f64)).collect()
        }
        Load::Greedy(times) => {
            let share = full / (ENTRIES + 1) as f64;
            vec![
                (0, times * share / ENTRIES as f64),
                (entry + 1, 0.8 * share),
            ]
        }
    }
}

fn skewed() {
    println!(
        "load | slots shared | p95 over one queue | tokens over one queue | refused | max excess over a group's slots"
    );
    for fraction in [0.5, 0.8, 1.2] {
        let run = |sharing| Fleet::new(sharing, false).run(Load::Skewed(fraction));
        let ideal = run(Sharing::OneQueue);
        for (name, fleet) in [
            ("equally", run(Sharing::Equal)),
            ("by demand", run(Sharing::Quotas)),
            ("one queue", run(Sharing::OneQueue)),
        ] {
            println!(
                "{fraction:4} | {name:12} | {:18.2} | {:21.2} | {:7.2} | {}",
                fleet.p95(|_| true) / ideal.p95(|_| true),
                fleet.tokens(|_| true) / ideal.tokens(|_| true),
                fleet.refused(),
                fleet.max_excess,
            );
        }
    }
}

fn greedy() {
    println!(
        "usage reported | others' p95 with the greedy tenant over without | others' tokens, same ratio"
    );
    for reported in [false, true] {
        let run = |times| Fleet::new(Sharing::Quotas, reported).run(Load::Greedy(times));
        let (without, with) = (run(0.0), run(10.0));
        let others = |tenant| tenant != 0;
        println!(
            "{reported:14} | {:48.2} | {:.2}",
            with.p95(others) / without.p95(others),
            with.tokens(others) / without.tokens(others),
        );
    }
}

fn main() {
    skewed();
    greedy();
}
