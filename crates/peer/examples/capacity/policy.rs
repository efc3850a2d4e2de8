//! Measures the code of the policy crates.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostEntry, Urgency};
use eelgrassmill_config::{CURRENT_KEY, Config, Decision, RepairObjective, Submit, decide_submit};
use eelgrassmill_group::{
    Evidence, EvidenceStore, FleetView, GroupWatch, HostRow, RepairPolicy, Verdict, plan, watchers,
};
use eelgrassmill_peer::capacity::Inputs;
use eelgrassmill_route::{
    AdmissionRequest, Candidate, EntryView, GroupPicker, LoadLevel, QueueOptions, QuotaDemand,
    QuotaIssuer, ServiceQueue, SlotKind, Slots, choose_addresses,
};
use eelgrassmill_timeline::{EventKind, EventLog, LogCapacity};
use smol_str::{SmolStr, format_smolstr};

use crate::heap::{heap_bytes, seconds};
use crate::line;
use crate::rows::{group_row, host_entry, node_row, report_of, row_bytes};

/// A tenth, a third and all of the groups of the design size.
const GROUPS: [usize; 3] = [11, 37, 110];
const HOSTS_PER_GROUP: u32 = 8;
const SLOTS: Slots = Slots {
    normal: 7,
    urgent: 1,
};

pub(crate) fn measure(inputs: &mut Inputs) {
    println!("\npolicy, by size");
    watching(inputs);
    choosing(inputs);
    issuing(inputs);
    evidence(inputs);
    planning(inputs);
    config(inputs);
    queueing(inputs);
    picking(inputs);
    addresses(inputs);
    events(inputs);
}

fn watch(hosts: u32, now: Instant) -> GroupWatch {
    let row = group_row(3, hosts);
    let mut watch = GroupWatch::new(row.clone());
    for member in 0..row.members.len() {
        watch.on_report(&report_of(&row, member), now);
    }
    watch
}

fn watching(inputs: &mut Inputs) {
    let now = Instant::now();
    let (mut core, mut state) = (Vec::new(), Vec::new());
    for hosts in [2, 4, 8] {
        let n = f64::from(hosts);
        let row = group_row(3, hosts);
        let reports: Vec<_> = (0..row.members.len()).map(|i| report_of(&row, i)).collect();
        let mut watch = watch(hosts, now);
        let mut at = now;
        let one = || {
            at += Duration::from_millis(125);
            watch.set_row(row.clone());
            for report in &reports {
                watch.on_report(report, at);
            }
            black_box(watch.verdict(at));
        };
        core.push((n, seconds(2_000, one)));
        state.push((n, heap_bytes(|| self::watch(hosts, now))));
    }
    inputs.judge_core = line("judge_core", &core);
    inputs.watch_state = line("watch_state", &state);
}

/// Measures the selection of a group's watchers.
fn choosing(inputs: &mut Inputs) {
    let core = [60, 185, 370].map(|nodes| {
        let rows: Vec<_> = (0..nodes).map(node_row).collect();
        let one = || drop(black_box(watchers("drafting/17", rows.iter())));
        (nodes as f64, seconds(200, one))
    });
    inputs.watchers_core = line("watchers_core", &core);
}

/// Measures one demand of an idle entry host after all have sent demands.
fn issuing(inputs: &mut Inputs) {
    let core = [60, 185, 370].map(|nodes| {
        let names: Vec<SmolStr> = (0..nodes).map(|i| format_smolstr!("node-{i}")).collect();
        let mut now = Instant::now();
        let me = names[0].clone();
        let all = || names.iter().cloned();
        let mut issuer = QuotaIssuer::new(me, "drafting/17".into(), 1, SLOTS, all(), now);
        let mut seq = 0;
        let mut ask = |entry: &SmolStr, now| {
            seq += 1;
            let demand = QuotaDemand {
                entry: entry.clone(),
                incarnation: 1,
                group: "drafting/17".into(),
                epoch: 1,
                seq,
                held_seq: seq.saturating_sub(1),
                running: Slots::NONE,
                waiting: Slots::NONE,
            };
            issuer.set_entries(all());
            black_box(issuer.on_demand(&demand, now));
        };
        now += Duration::from_secs(3);
        names.iter().for_each(|entry| ask(entry, now));
        let mut next = names.iter().cycle();
        let one = || ask(next.next().expect("a cycle"), now);
        (f64::from(nodes), seconds(200, one))
    });
    inputs.issue_core = line("issue_core", &core);
}

fn store(groups: usize, now: Instant) -> EvidenceStore {
    let mut store = EvidenceStore::new();
    for index in 0..groups {
        let row = group_row(index, HOSTS_PER_GROUP);
        store.on_row(&row);
        for watcher in 0..3 {
            let evidence = Evidence {
                watcher: format_smolstr!("node-{watcher}"),
                incarnation: 1,
                sequence: 1,
                group: row.group.clone(),
                epoch: row.epoch,
                lead: row.members[0].clone(),
                verdict: Verdict::Whole,
                age: Duration::ZERO,
            };
            store.on_evidence(&evidence, now);
        }
    }
    store
}

fn candidate(group: SmolStr, epoch: u64) -> Candidate {
    Candidate {
        group,
        epoch,
        distance: 1,
        slots: SLOTS.total(),
        quota: SLOTS,
        leaving: false,
    }
}

/// Measures an update of the candidates: which groups may receive requests, and the picker's update.
fn evidence(inputs: &mut Inputs) {
    let now = Instant::now();
    let (mut state, mut core) = (Vec::new(), Vec::new());
    for groups in GROUPS {
        let n = groups as f64;
        state.push((n, heap_bytes(|| store(groups, now))));
        let store = store(groups, now);
        let names: Vec<SmolStr> = store.groups().cloned().collect();
        let mut picker = GroupPicker::new(1);
        let update = || {
            let serving = names.iter().filter_map(|name| {
                let serving = store.serving(name, now).ok()?;
                Some(candidate(name.clone(), serving.epoch))
            });
            picker.set_candidates(serving, now);
        };
        core.push((n, seconds(200, update)));
    }
    inputs.evidence_state = line("evidence_state", &state);
    inputs.pulse_core = line("pulse_core", &core);
}

fn view(groups: usize, now: Instant) -> FleetView {
    let text = text(groups, 10);
    let cfg = Arc::new(Config::parse(&text, "text").expect("a right text"));
    let mut view = FleetView::new("node-1", "region-0", cfg, now);
    let entries: Vec<HostEntry> = (0..groups * HOSTS_PER_GROUP as usize)
        .map(host_entry)
        .collect();
    view.on_host_list(&entries, now);
    for index in 0..groups {
        let row = group_row(index, HOSTS_PER_GROUP);
        for (member, host) in row.members.iter().enumerate() {
            let bound = HostRow {
                host: host.clone(),
                group: Some(row.group.clone()),
                epoch: row.epoch,
                fence: 1,
            };
            view.on_host_row(&bound, 1, now);
            view.on_report(&report_of(&row, member), now);
        }
        view.on_group_row(&row, 1, now);
        view.on_serving(&row.group, row.epoch, true, None, now);
    }
    view
}

/// Measures a plan of a healthy region, and of one with a silent host in every tenth group.
fn planning(inputs: &mut Inputs) {
    let now = Instant::now();
    let policy = RepairPolicy::new(RepairObjective::Downtime);
    let (mut core, mut broken, mut state) = (Vec::new(), Vec::new(), Vec::new());
    for groups in GROUPS {
        let n = groups as f64;
        state.push((n, heap_bytes(|| view(groups, now))));
        let healthy = view(groups, now);
        core.push((
            n,
            seconds(20, || drop(black_box(plan(&healthy, &policy, now)))),
        ));
        let mut degraded = view(groups, now);
        let later = now + Duration::from_secs(30);
        for index in 0..groups {
            let row = group_row(index, HOSTS_PER_GROUP);
            let silent = usize::from(index.is_multiple_of(10));
            for member in silent..row.members.len() {
                degraded.on_report(&report_of(&row, member), later);
            }
            degraded.on_serving(&row.group, row.epoch, silent == 0, None, later);
        }
        broken.push((
            n,
            seconds(20, || drop(black_box(plan(&degraded, &policy, later)))),
        ));
    }
    line("plan, calm", &core);
    inputs.plan_core = line("plan_core", &broken);
    inputs.plan_state = line("plan_state", &state);
}

fn text(groups: usize, tenants: usize) -> String {
    let tenant = |t| format!("[tenant t{t}]\ntoken_sha256 = {t:064x}\nweight = 2\n");
    let target = |h| format!("[target engine-{h}]\nchecks_orders = yes\n");
    let service = format!(
        "[service drafting]\nkind = model\nmodel = model\nversion = v1\n\
         groups = {groups}\nhosts_per_group = {HOSTS_PER_GROUP}\n"
    );
    let tenants = (0..tenants).map(tenant);
    let targets = (0..groups * HOSTS_PER_GROUP as usize).map(target);
    tenants.chain([service]).chain(targets).collect()
}

fn config(inputs: &mut Inputs) {
    let sizes = GROUPS.map(|groups| {
        let submit = Submit {
            id: "submit-1".into(),
            base: 0,
            author: "ada".into(),
            text: text(groups, groups),
        };
        let Decision::Accept(accepted) = decide_submit(None, None, &submit) else {
            unreachable!("nothing to conflict with")
        };
        (groups as f64, row_bytes(CURRENT_KEY, &accepted.current))
    });
    inputs.config_row = line("config_row", &sizes);
}

fn offer(tenant: usize, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        tenant: format_smolstr!("tenant-{tenant}"),
        weight: 1,
        urgency: Urgency::DEFAULT,
        tokens: 800,
        deadline: now + Duration::from_secs(3_600),
        max_tenant_queue: 10_000,
    }
}

fn queueing(inputs: &mut Inputs) {
    let now = Instant::now();
    let core = [10, 33, 100].map(|tenants| {
        let mut queue = ServiceQueue::new(QueueOptions::default().max_queue(10_000));
        for tenant in 0..tenants {
            let _ = queue.admit(offer(tenant, now), (), now);
        }
        let mut next = 0;
        let one = || {
            next = (next + 1) % tenants;
            let _ = queue.admit(offer(next, now), (), now);
            if let Some(started) = queue.dequeue(SLOTS, now) {
                queue.complete(started.ticket, 700, now);
            }
        };
        (tenants as f64, seconds(2_000, one))
    });
    inputs.admit_core = line("admit_core", &core);
    let state = [100, 1_000, 5_000].map(|waiting| {
        let make = || {
            let mut queue = ServiceQueue::new(QueueOptions::default().max_queue(10_000));
            for i in 0..waiting {
                queue.admit(offer(i % 100, now), (), now).expect("room");
            }
            queue
        };
        (waiting as f64, heap_bytes(make))
    });
    inputs.waiting_state = line("waiting_state", &state);
}

fn picking(inputs: &mut Inputs) {
    let now = Instant::now();
    let core = GROUPS.map(|groups| {
        let mut picker = GroupPicker::new(1);
        let all = (0..groups).map(|i| candidate(format_smolstr!("drafting/{i}"), 1));
        picker.set_candidates(all, now);
        let later = now + Duration::from_secs(600);
        let one = || {
            if let Some(pick) = picker.pick(SlotKind::Normal, &[1, 2, 3, 4], &[], later) {
                picker.release(&pick);
            }
        };
        (groups as f64, seconds(2_000, one))
    });
    inputs.pick_core = line("pick_core", &core);
}

fn addresses(inputs: &mut Inputs) {
    let core = [8, 60, 370].map(|nodes| {
        let entries: Vec<EntryView> = (0..nodes).map(entry).collect();
        let mut rng = fastrand::Rng::with_seed(1);
        let one = || {
            black_box(choose_addresses(
                "caller-1", "domain-1", &entries, None, &mut rng,
            ));
        };
        (nodes as f64, seconds(200, one))
    });
    inputs.address_core = line("address_core", &core);
}

fn entry(i: usize) -> EntryView {
    EntryView {
        node: format_smolstr!("node-{i}"),
        address: format_smolstr!("10.20.30.{}:8080", i % 250),
        failure_domain: format_smolstr!("domain-{}", i % 6),
        same_region: i.is_multiple_of(3),
        load: LoadLevel::Low,
        leaving: false,
        alive: true,
    }
}

fn events(inputs: &mut Inputs) {
    let log = |count: usize| {
        let log = EventLog::new("node-123", 1, LogCapacity::default());
        for i in 0..count {
            log.record(event(i), i as u64);
        }
        log
    };
    let state = [1_000, 3_000, 10_000].map(|n| (n as f64, heap_bytes(|| log(n))));
    inputs.event_state = line("event_state", &state);
    let core = [1_000, 3_000, 10_000].map(|n| {
        let log = log(n);
        (
            n as f64,
            seconds(2_000, || drop(log.record(event(n), n as u64))),
        )
    });
    line("event_core", &core);
    inputs.event_core.fixed = core.iter().map(|p| p.1).sum::<f64>() / core.len() as f64;
}

fn event(i: usize) -> EventKind {
    EventKind::RequestDispatched {
        request: format_smolstr!("node-123-1800000000000-{i}"),
        host: "engine-123".into(),
        group: Some("drafting/17".into()),
        attempt: 1,
    }
}
