//! A simulated fleet whose hosts crash for known causes.
//!
//! Nodes report crashes and completions to one coordinator and learn of its decisions and notices
//! after a delay, as the gateway does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::ServiceName;
use eelgrassmill_route::*;
use fastrand::Rng;

pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Time from the arrival at a host to its first output.
const PROMPT_TIME: Duration = Duration::from_millis(150);
/// The first part of all prompts.
pub(crate) const COMMON: PartId = 1;
/// Ids of crashing parts begin here.
pub(crate) const CRASHING: PartId = 0xbad0_0000;
/// How often decisions are saved.
const SAVE_INTERVAL: Duration = ms(1000);
/// How long after a restart they are read.
const RESTORE_DELAY: Duration = ms(500);
/// The node that is the coordinator.
const COORDINATOR: usize = 0;
/// Names of the services, as many as the day has.
const SERVICES: [&str; 2] = ["draft", "review"];
/// How long after its fifth crash requests with a part may still reach hosts freely.
pub(crate) const NOTICE_TIME: Duration = Duration::from_secs(3);

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a simulated day has.
#[derive(Clone, Debug)]
pub(crate) struct Day {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) hosts: usize,
    pub(crate) domains: usize,
    /// Services, each with hosts of its own.
    pub(crate) services: usize,
    pub(crate) slots: usize,
    pub(crate) lasts: Duration,
    /// Sound requests a second, and the subjects that they share.
    pub(crate) sound_per_s: f64,
    pub(crate) subjects: u64,
    /// Longest run of a sound request.
    pub(crate) longest_run: Duration,
    /// Requests a second with each crashing part, and when they come.
    pub(crate) crashing_parts: u64,
    pub(crate) crashing_per_s: f64,
    pub(crate) attack: (Duration, Duration),
    /// When they come again.
    pub(crate) second_attack: Option<(Duration, Duration)>,
    /// Whether the crashing part is the first one, in place of the common one.
    pub(crate) first_part_crashes: bool,
    /// Whether the part that all requests share crashes hosts.
    pub(crate) common_part_crashes: bool,
    /// Random parts that some requests hold besides.
    pub(crate) flood_parts: usize,
    /// Hosts that crash for other reasons, a second.
    pub(crate) other_crashes_per_s: f64,
    /// When all hosts of a domain crash within two seconds.
    pub(crate) domain_fails_at: Option<Duration>,
    /// How long a crashed host is down, at least and at most.
    pub(crate) down: (Duration, Duration),
    /// When all nodes restart.
    pub(crate) restart_at: Option<Duration>,
    /// Whether decisions are saved where they outlive the nodes.
    pub(crate) saves_decisions: bool,
    /// Share of the nodes whose reports come a second late.
    pub(crate) late_reporters: f64,
    /// Nodes, the last ones, that reach no other node but all hosts, and when.
    pub(crate) cut_nodes: usize,
    pub(crate) cut: (Duration, Duration),
    /// Longest time until a decision has reached a node.
    pub(crate) spread: Duration,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            seed: 1,
            nodes: 8,
            hosts: 12,
            domains: 3,
            services: 1,
            slots: 26,
            lasts: ms(40_000),
            sound_per_s: 60.0,
            subjects: 40,
            longest_run: ms(2000),
            crashing_parts: 1,
            crashing_per_s: 2.5,
            attack: (ms(5_000), ms(35_000)),
            second_attack: None,
            first_part_crashes: false,
            common_part_crashes: false,
            flood_parts: 0,
            other_crashes_per_s: 0.0,
            domain_fails_at: None,
            down: (ms(600), ms(3000)),
            restart_at: None,
            saves_decisions: false,
            late_reporters: 0.0,
            cut_nodes: 0,
            cut: (ms(0), ms(0)),
            spread: ms(300),
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    node: usize,
    service: &'static str,
    request: Fingerprint,
    parts: Vec<PartId>,
    sent: Instant,
    length: Duration,
    attempts: u32,
    /// The part that crashes hosts, if the prompt has one.
    cause: Option<PartId>,
    trial: Option<Fingerprint>,
    has_survived: bool,
}

struct Host {
    name: String,
    service: &'static str,
    domain: String,
    starts: u64,
    up_at: Instant,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Node {
    table: QuarantineTable,
    received: usize,
    completions: BTreeMap<Fingerprint, Instant>,
    watched: BTreeSet<Fingerprint>,
}

#[derive(Clone)]
enum Message {
    Decision(QuarantineRecord),
    Notice(SuspectNotice),
}

enum Report {
    Crash(ServiceName, CrashRecord),
    Completed(ServiceName, Fingerprint, Instant),
}

/// What happened in a day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Arrivals at hosts of requests with each crashing part, and crashes under it.
    pub(crate) arrivals: BTreeMap<PartId, Vec<Instant>>,
    pub(crate) crashes: BTreeMap<PartId, Vec<Instant>>,
    pub(crate) sound_sent: usize,
    /// Sound requests that were rejected as quarantined.
    pub(crate) sound_rejected: usize,
    /// Time for which a node rejected requests with the common part.
    pub(crate) common_quarantined: Duration,
    pub(crate) reports: usize,
    pub(crate) messages: usize,
}

impl Outcome {
    /// Arrivals later than [`NOTICE_TIME`] after the fifth crash, and after `from` if it is given.
    pub(crate) fn late_arrivals(&self, part: PartId, from: Option<Instant>) -> usize {
        let fifth = self.crashes.get(&part).and_then(|c| c.get(4));
        let Some(fifth) = fifth else { return 0 };
        let after = (*fifth + NOTICE_TIME).max(from.unwrap_or(*fifth));
        let arrivals = self.arrivals.get(&part);
        arrivals.map_or(0, |a| a.iter().filter(|at| **at > after).count())
    }
}

pub(crate) struct Fleet {
    day: Day,
    rng: Rng,
    start: Instant,
    now: Instant,
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    coordinator: QuarantineCoordinator,
    table: QuarantineTable,
    saved: Vec<SavedDecision>,
    saved_at: Instant,
    published: Vec<(Instant, Message)>,
    reports: VecDeque<(Instant, Report)>,
    next_request: u64,
    out: Outcome,
}

impl Fleet {
    pub(crate) fn new(day: Day) -> Fleet {
        let start = Instant::now() + Duration::from_secs(3600);
        let hosts = (0..day.hosts).map(|n| Host {
            name: format!("h{n}"),
            service: SERVICES[n % day.services],
            domain: format!("d{}", n % day.domains),
            starts: 0,
            up_at: start,
            runs: Vec::new(),
        });
        Fleet {
            rng: Rng::with_seed(day.seed),
            start,
            now: start,
            hosts: hosts.collect(),
            nodes: (0..day.nodes).map(|_| Node::default()).collect(),
            coordinator: QuarantineCoordinator::default(),
            table: QuarantineTable::default(),
            saved: Vec::new(),
            saved_at: start,
            published: Vec::new(),
            reports: VecDeque::new(),
            next_request: 0,
            out: Outcome::default(),
            day,
        }
    }

    /// Plays the day. Returns when it began and what happened.
    pub(crate) fn play(mut self) -> (Instant, Outcome) {
        while self.now < self.start + self.day.lasts {
            self.now += STEP;
            self.spread();
            self.restart_nodes();
            self.save_decisions();
            self.arrivals();
            self.run_hosts();
            self.crash_for_other_reasons();
            self.coordinate();
            self.check_common();
        }
        (self.start, self.out)
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.f64() < per_s * STEP.as_secs_f64()
    }

    fn arrivals(&mut self) {
        let mut left = self.day.sound_per_s * STEP.as_secs_f64();
        while left > 0.0 {
            if self.rng.f64() < left.min(1.0) {
                let subject = 0x1000 + self.rng.u64(..self.day.subjects);
                let mut parts = vec![COMMON, subject];
                for _ in 0..self.day.flood_parts {
                    parts.push(self.rng.u64(1 << 40..1 << 50));
                }
                let cause = self.day.common_part_crashes.then_some(COMMON);
                let cause = cause.filter(|_| self.is_attack());
                self.send_new(parts, cause);
            }
            left -= 1.0;
        }
        for part in CRASHING..CRASHING + self.day.crashing_parts {
            if self.is_attack() && self.happens(self.day.crashing_per_s) {
                let subject = 0x1000 + self.rng.u64(..self.day.subjects);
                let parts = match self.day.first_part_crashes {
                    true => vec![part, subject],
                    false => vec![COMMON, part, subject],
                };
                self.send_new(parts, Some(part));
            }
        }
    }

    fn is_attack(&self) -> bool {
        let at = self.now - self.start;
        let attacks = [Some(self.day.attack), self.day.second_attack];
        let is_within = |(from, until)| from <= at && at < until;
        attacks.into_iter().flatten().any(is_within)
    }

    fn send_new(&mut self, parts: Vec<PartId>, cause: Option<PartId>) {
        self.next_request += 1;
        let shortest = PROMPT_TIME + ms(if cause.is_some() { 250 } else { 100 });
        let length = shortest + (self.day.longest_run - shortest).mul_f64(self.rng.f64());
        if cause.is_none() {
            self.out.sound_sent += 1;
        }
        let run = Run {
            node: self.rng.usize(..self.nodes.len()),
            service: self.draw_service(),
            request: self.next_request,
            parts,
            sent: self.now,
            length,
            attempts: 0,
            cause,
            trial: None,
            has_survived: false,
        };
        self.send(run);
    }

    fn draw_service(&mut self) -> &'static str {
        match self.day.services {
            1 => SERVICES[0],
            services => SERVICES[self.rng.usize(..services)],
        }
    }

    fn send(&mut self, mut run: Run) {
        let now = self.now;
        let candidates = crash_candidates(run.request, run.service, &run.parts);
        if run.node == COORDINATOR && run.attempts == 0 {
            self.coordinator
                .on_request(&run.service.into(), &candidates);
        }
        run.trial = None;
        match self.nodes[run.node].table.status_of_all(&candidates, now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::TrialDue if run.attempts == 0 => {
                let table = &self.nodes[run.node].table;
                let due = table.trial_due(&candidates, now).expect("one is due");
                if self.is_cut(run.node) {
                    return self.reject(&run);
                }
                let trial = self.coordinator.request_trial(
                    &run.service.into(),
                    due,
                    ms(3000),
                    &self.table,
                    now,
                );
                let Ok(decided) = trial else {
                    return self.reject(&run);
                };
                self.publish(decided);
                run.trial = Some(due);
            }
            _ => return self.reject(&run),
        }
        let may_run = |host: &Host| {
            host.service == run.service && host.up_at <= now && host.runs.len() < self.day.slots
        };
        let up = (0..self.hosts.len()).filter(|h| may_run(&self.hosts[*h]));
        let up: Vec<usize> = up.collect();
        let Some(host) = self.rng.choice(up) else {
            return;
        };
        run.attempts += 1;
        run.sent = now;
        run.has_survived = false;
        let is_in_touch = !self.is_cut(run.node);
        if let Some(part) = run.cause.filter(|_| is_in_touch) {
            self.out.arrivals.entry(part).or_default().push(now);
        }
        self.hosts[host].runs.push(run);
    }

    fn is_cut(&self, node: usize) -> bool {
        let at = self.now - self.start;
        let (from, until) = self.day.cut;
        node + self.day.cut_nodes >= self.nodes.len() && (from..until).contains(&at)
    }

    fn reject(&mut self, run: &Run) {
        self.out.sound_rejected += usize::from(run.cause.is_none());
    }

    fn run_hosts(&mut self) {
        for h in 0..self.hosts.len() {
            let now = self.now;
            let mut cause = None;
            for run in &self.hosts[h].runs {
                let written = now.saturating_duration_since(run.sent + PROMPT_TIME);
                if run.cause.is_some() && written >= ms(20 + run.request % 120) {
                    cause = run.cause;
                }
            }
            if let Some(part) = cause {
                self.out.crashes.entry(part).or_default().push(now);
                self.crash(h);
                continue;
            }
            let mut runs = std::mem::take(&mut self.hosts[h].runs);
            for run in &mut runs {
                let written = now.saturating_duration_since(run.sent + PROMPT_TIME);
                if !run.has_survived && written >= MAX_TIME_TO_CRASH {
                    run.has_survived = true;
                    self.clear(run, 1);
                }
            }
            let ended = runs.extract_if(.., |run| now >= run.sent + run.length);
            let ended: Vec<Run> = ended.collect();
            self.hosts[h].runs = runs;
            for run in ended {
                self.clear(&run, 0);
            }
        }
    }

    /// Reports that candidates of this breadth and above have completed, where that is awaited.
    fn clear(&mut self, run: &Run, min_breadth: u8) {
        let now = self.now;
        let candidates = crash_candidates(run.request, run.service, &run.parts);
        for candidate in candidates.iter().filter(|c| c.breadth >= min_breadth) {
            let fingerprint = candidate.fingerprint;
            let node = &mut self.nodes[run.node];
            node.completions.insert(fingerprint, now);
            let is_quarantined = node.table.status(fingerprint, now) != QuarantineStatus::Clear;
            if node.watched.remove(&fingerprint) || is_quarantined {
                let report = Report::Completed(run.service.into(), fingerprint, now);
                self.report(run.node, report);
            }
        }
    }

    fn crash(&mut self, h: usize) {
        let now = self.now;
        let (least, most) = self.day.down;
        let down = least + (most - least).mul_f64(self.rng.f64());
        let host = &mut self.hosts[h];
        host.up_at = now + down;
        host.starts += 1;
        let runs = std::mem::take(&mut host.runs);
        let (id, domain) = (crash_id(&host.name, host.starts), host.domain.clone());
        let service = host.service;
        for node in 0..self.nodes.len() {
            let broken: Vec<BrokenRun> = runs
                .iter()
                .filter(|run| run.node == node)
                .map(|run| {
                    let ran_for = now - run.sent;
                    let wrote_for = ran_for.saturating_sub(PROMPT_TIME);
                    BrokenRun {
                        candidates: crash_candidates(run.request, run.service, &run.parts),
                        ran_for,
                        started: !wrote_for.is_zero(),
                        wrote_for,
                    }
                })
                .collect();
            if broken.is_empty() {
                continue;
            }
            let running = crashed_runs(&broken);
            let parts: Vec<Fingerprint> = running
                .iter()
                .filter(|r| r.breadth > 0)
                .map(|r| r.fingerprint)
                .collect();
            let crash = CrashRecord {
                id,
                failure_domain: domain.as_str().into(),
                age: Duration::ZERO,
                running,
            };
            let fingerprints: Vec<Fingerprint> =
                crash.running.iter().map(|r| r.fingerprint).collect();
            self.report(node, Report::Crash(service.into(), crash));
            self.nodes[node].watched.extend(fingerprints);
            for part in parts {
                if let Some(at) = self.nodes[node].completions.get(&part).copied() {
                    self.report(node, Report::Completed(service.into(), part, at));
                }
            }
        }
        for run in runs {
            if run.attempts < 4 && run.trial.is_none() {
                self.send(run);
            }
        }
    }

    fn report(&mut self, node: usize, mut report: Report) {
        let is_late = (node as f64) < self.nodes.len() as f64 * self.day.late_reporters;
        let delay = if is_late {
            ms(1000)
        } else {
            ms(self.rng.u64(10..100))
        };
        let sent = match self.is_cut(node) {
            true => self.start + self.day.cut.1,
            false => self.now,
        };
        if let Report::Crash(_, crash) = &mut report {
            crash.age = sent - self.now;
        }
        self.out.reports += 1;
        self.reports.push_back((sent + delay, report));
    }

    fn crash_for_other_reasons(&mut self) {
        if self.happens(self.day.other_crashes_per_s) {
            let host = self.rng.usize(..self.hosts.len());
            if self.hosts[host].up_at <= self.now {
                self.crash(host);
            }
        }
        let Some(at) = self.day.domain_fails_at else {
            return;
        };
        let since = (self.now - self.start).checked_sub(at);
        if since.is_some_and(|since| since < ms(2000)) && self.happens(5.0) {
            let up = |h: &&Host| h.domain == "d0" && h.up_at <= self.now;
            let failing = self.hosts.iter().position(|h| up(&h));
            if let Some(host) = failing {
                self.crash(host);
            }
        }
    }

    fn coordinate(&mut self) {
        let now = self.now;
        let due = self.reports.iter().filter(|(at, _)| *at <= now).count();
        if due > 0 {
            let (ready, later): (Vec<_>, Vec<_>) =
                self.reports.drain(..).partition(|(at, _)| *at <= now);
            self.reports.extend(later);
            for (_, report) in ready {
                self.handle(report);
            }
        }
        if self.coordinator.next_decision().is_some_and(|at| at <= now) {
            let decided = self.coordinator.decide(&self.table, now);
            for notice in self.coordinator.take_notices() {
                self.published.push((now, Message::Notice(notice)));
            }
            self.publish(decided);
        }
    }

    fn handle(&mut self, report: Report) {
        let now = self.now;
        match report {
            Report::Crash(service, crash) => {
                let decided = self.coordinator.on_crash(&service, crash, &self.table, now);
                self.publish(decided);
            }
            Report::Completed(service, fingerprint, at) => {
                let age = now.saturating_duration_since(at);
                let decided =
                    self.coordinator
                        .on_completed(&service, fingerprint, age, &self.table, now);
                self.publish(decided);
            }
        }
    }

    fn publish(&mut self, decided: impl IntoIterator<Item = QuarantineRecord>) {
        for record in decided {
            self.table.merge(&record, self.now);
            self.published.push((self.now, Message::Decision(record)));
        }
    }

    fn spread(&mut self) {
        self.out.messages = self.published.len();
        let now = self.now;
        for n in 0..self.nodes.len() {
            let delay = self.day.spread.mul_f64(n as f64 / self.nodes.len() as f64);
            while let Some((at, message)) = self.published.get(self.nodes[n].received).cloned() {
                if at + delay > now || self.is_cut(n) {
                    break;
                }
                self.nodes[n].received += 1;
                match message {
                    Message::Decision(record) => self.on_decision(n, record, now - at),
                    Message::Notice(notice) => {
                        self.report_completion(n, notice.fingerprint, &notice.service);
                        self.nodes[n].watched.insert(notice.fingerprint);
                    }
                }
            }
        }
    }

    fn on_decision(&mut self, n: usize, record: QuarantineRecord, age: Duration) {
        let record = QuarantineRecord {
            age: record.age + age,
            retry_after: record.retry_after.saturating_sub(age),
            ..record
        };
        let is_first = self.nodes[n].table.offences(record.fingerprint, self.now) == 0;
        if self.nodes[n].table.merge(&record, self.now) && is_first && record.offences > 0 {
            self.report_completion(n, record.fingerprint, &record.service);
        }
    }

    fn report_completion(&mut self, n: usize, fingerprint: Fingerprint, service: &ServiceName) {
        if let Some(at) = self.nodes[n].completions.get(&fingerprint).copied() {
            self.report(n, Report::Completed(service.clone(), fingerprint, at));
        }
    }

    fn restart_nodes(&mut self) {
        let at = self.now - self.start;
        if self.day.restart_at.is_none_or(|r| at < r || at >= r + STEP) {
            return;
        }
        for node in &mut self.nodes {
            *node = Node::default();
        }
        for host in &mut self.hosts {
            host.runs.clear();
        }
        self.coordinator = QuarantineCoordinator::default();
        self.table = QuarantineTable::default();
        self.published.clear();
        self.reports.clear();
    }

    fn save_decisions(&mut self) {
        if !self.day.saves_decisions {
            return;
        }
        let clock = self.now - self.start;
        let restored_at = self.day.restart_at.map(|at| at + RESTORE_DELAY);
        if restored_at.is_some_and(|at| at <= clock && clock < at + STEP) {
            let records = self.saved.iter().map(|d| d.to_record(clock));
            let records: Vec<QuarantineRecord> = records.collect();
            self.publish(records);
            self.saved_at = self.now;
        }
        // Nothing is saved between a restart and its end.
        let restarts = |at: Duration| at <= clock && clock < at + RESTORE_DELAY;
        let is_due = self.now >= self.saved_at + SAVE_INTERVAL;
        if is_due && !self.day.restart_at.is_some_and(restarts) {
            self.saved = self.table.to_saved(self.now, clock);
            self.saved_at = self.now;
        }
    }

    fn check_common(&mut self) {
        let services = SERVICES.iter().take(self.day.services);
        let mut common = services.map(|s| crash_candidates(0, s, [COMMON])[1].fingerprint);
        let is_quarantined = |n: &Node, common| {
            let status = n.table.status(common, self.now);
            status != QuarantineStatus::Clear
        };
        let is_stopped = common.any(|c| self.nodes.iter().any(|n| is_quarantined(n, c)));
        self.out.common_quarantined += STEP * u32::from(is_stopped);
    }
}
