//! Requests under suspicion of killing the engines that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, NodeId};
use eelgrassmill_peer::{Item, Suspect};
use eelgrassmill_route::{
    CRASH_TTL, ClearedRecord, CrashId, CrashRecord, CrashedRun, Fingerprint, SuspectStatus,
    SuspectTracker, SuspectUpdate, TrialRecord, crash_id,
};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

/// Most requests of one death that are told; a record must stay below the peers' bound.
const MAX_TOLD: usize = 80;

/// What travels between nodes, as the record of a suspect item.
#[derive(Serialize, Deserialize)]
enum News {
    Death {
        id: CrashId,
        domain: FailureDomain,
        running: Vec<Fingerprint>,
    },
    State {
        /// With their ages in milliseconds.
        cleared: Vec<(Fingerprint, u64)>,
        trials: Vec<(Fingerprint, GroupId)>,
    },
}

struct OwnDeath {
    domain: FailureDomain,
    at: Instant,
    running: BTreeSet<Fingerprint>,
}

/// What this node knows and tells of suspects.
#[derive(Default)]
pub(crate) struct Guard {
    suspects: SuspectTracker,
    /// What this node itself saw; only that is told, so that news don't go in circles.
    own: BTreeMap<CrashId, OwnDeath>,
    /// Trials that other nodes told of last.
    heard: BTreeMap<NodeId, Vec<(Fingerprint, GroupId)>>,
    untold: bool,
}

impl Guard {
    pub(crate) fn judge(&self, fingerprint: Fingerprint, now: Instant) -> SuspectStatus {
        self.suspects.status(fingerprint, now)
    }

    /// Groups that a suspect has to keep away from.
    pub(crate) fn on_trial(&self, now: Instant) -> Vec<GroupId> {
        self.suspects.groups_on_trial(now).cloned().collect()
    }

    pub(crate) fn begin_trial(
        &mut self,
        fingerprint: Fingerprint,
        group: &GroupId,
        now: Instant,
    ) -> bool {
        let began = self.suspects.begin_trial(fingerprint, group, now);
        self.untold |= began;
        began
    }

    pub(crate) fn end_trial(&mut self, fingerprint: Fingerprint, group: &GroupId) {
        self.suspects.end_trial(fingerprint, group);
        self.untold = true;
    }

    /// A request ran to its end.
    pub(crate) fn survived(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.suspects.status(fingerprint, now) != SuspectStatus::Clear {
            self.untold = true;
        }
        self.suspects.on_completed(fingerprint, now);
    }

    /// An epoch of a group died with `running` on it; gives in how many deaths each was.
    pub(crate) fn died(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        domain: &FailureDomain,
        running: Fingerprint,
        now: Instant,
    ) -> u32 {
        self.suspects.on_crash(group, epoch, domain, [running], now);
        self.own
            .retain(|_, d| now.saturating_duration_since(d.at) < CRASH_TTL);
        let death = self.own.entry(crash_id(group, epoch));
        let death = death.or_insert_with(|| OwnDeath {
            domain: domain.clone(),
            at: now,
            running: BTreeSet::new(),
        });
        death.running.insert(running);
        self.untold = true;
        self.deaths_of(running, now)
    }

    /// Deaths known in which the request was running.
    pub(crate) fn deaths_of(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        let news = self.suspects.export(now);
        let with = news
            .crashes
            .iter()
            .filter(|d| d.running.iter().any(|r| r.fingerprint == fingerprint));
        with.count() as u32
    }

    /// Each suspect with its deaths, for operators.
    pub(crate) fn listed(&self, now: Instant) -> Vec<(Fingerprint, u32, bool)> {
        let news = self.suspects.export(now);
        let mut deaths: BTreeMap<Fingerprint, u32> = BTreeMap::new();
        for run in news.crashes.iter().flat_map(|d| &d.running) {
            *deaths.entry(run.fingerprint).or_default() += 1;
        }
        let named = |fingerprint| {
            matches!(
                self.suspects.status(fingerprint, now),
                SuspectStatus::Quarantined { .. }
            )
        };
        let listed = deaths.into_iter().map(|(p, n)| (p, n, named(p)));
        listed.collect()
    }

    /// Items to publish, each with its life, when there is news.
    pub(crate) fn take_news(&mut self, now: Instant) -> Vec<(Item, Duration)> {
        if !std::mem::take(&mut self.untold) {
            return Vec::new();
        }
        let mut items: Vec<(Item, Duration)> = Vec::new();
        for (id, death) in &self.own {
            let age = now.saturating_duration_since(death.at);
            let news = News::Death {
                id: *id,
                domain: death.domain.clone(),
                running: death.running.iter().copied().take(MAX_TOLD).collect(),
            };
            let name = format_smolstr!("death-{id:016x}");
            items.extend(item(name, &news).map(|i| (i, CRASH_TTL.saturating_sub(age))));
        }
        let all = self.suspects.export(now);
        let cleared = all.cleared.iter().take(MAX_TOLD / 2);
        let news = News::State {
            cleared: cleared
                .map(|c| (c.fingerprint, c.age.as_millis() as u64))
                .collect(),
            trials: all
                .trials
                .into_iter()
                .take(MAX_TOLD / 4)
                .map(|t| (t.fingerprint, t.group))
                .collect(),
        };
        items.extend(item("state".into(), &news).map(|i| (i, CRASH_TTL)));
        items
    }

    /// Takes what another node tells; it held at `as_of`.
    pub(crate) fn hear(&mut self, from: &NodeId, suspect: &Suspect, as_of: Instant, now: Instant) {
        let Ok(news) = serde_json::from_slice::<News>(&suspect.record) else {
            return;
        };
        let age = now.saturating_duration_since(as_of);
        let mut taken = SuspectUpdate::default();
        match news {
            News::Death {
                id,
                domain,
                running,
            } => taken.crashes.push(CrashRecord {
                id,
                failure_domain: domain,
                age,
                running: running.into_iter().map(CrashedRun::from).collect(),
            }),
            News::State { cleared, trials } => {
                self.end_heard(from, &trials);
                taken
                    .cleared
                    .extend(cleared.into_iter().map(|(fingerprint, ms)| ClearedRecord {
                        fingerprint,
                        age: age + Duration::from_millis(ms),
                    }));
                let trials = trials.into_iter();
                taken
                    .trials
                    .extend(trials.map(|(fingerprint, group)| TrialRecord { fingerprint, group }));
            }
        }
        self.suspects.merge(taken, now);
    }

    /// Ends the trials that a node no longer tells of.
    fn end_heard(&mut self, from: &NodeId, trials: &[(Fingerprint, GroupId)]) {
        let before = self.heard.insert(from.clone(), trials.to_vec());
        for (fingerprint, group) in before.unwrap_or_default() {
            if !trials.contains(&(fingerprint, group.clone())) {
                self.suspects.end_trial(fingerprint, &group);
            }
        }
    }

    /// Ends the trials of a node that is gone.
    pub(crate) fn forget(&mut self, node: &NodeId) {
        self.end_heard(node, &[]);
        self.heard.remove(node);
    }
}

fn item(fingerprint: smol_str::SmolStr, news: &News) -> Option<Item> {
    let record = serde_json::to_vec(news).ok()?;
    Some(Item::Suspect(Suspect {
        fingerprint,
        record,
    }))
}
