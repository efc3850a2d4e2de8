//! What nodes tell each other of suspects.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, GroupId, value};

use crate::suspects::{DeathId, RequestPrint, Suspects, TRIAL_LIFE, Trial};

#[derive(Clone, Debug)]
pub(crate) struct Death {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) at: Instant,
    pub(crate) running: BTreeSet<RequestPrint>,
}

impl Death {
    pub(crate) fn new(failure_domain: FailureDomain, at: Instant) -> Death {
        Death {
            failure_domain,
            at,
            running: BTreeSet::new(),
        }
    }
}

value! {
    /// A death and what ran, as far as the sender knows.
    pub struct DeathRecord {
        /// Which death.
        pub id: DeathId,
        /// Where the group was.
        pub failure_domain: FailureDomain,
        /// How long ago the sender saw it.
        pub age: Duration,
        /// Fingerprints of what ran there.
        pub running: Vec<RequestPrint>,
    }

    /// A request that ran to its end.
    pub struct ClearedRecord {
        /// The request.
        pub print: RequestPrint,
        /// How long ago.
        pub age: Duration,
    }

    /// A suspect that runs at a group now.
    pub struct TrialRecord {
        /// The suspect.
        pub print: RequestPrint,
        /// The group.
        pub group: GroupId,
    }

    /// All that a node tells of suspects. Empty at ordinary times.
    #[derive(Default)]
    pub struct SuspectNews {
        /// Deaths.
        pub deaths: Vec<DeathRecord>,
        /// Requests cleared since.
        pub cleared: Vec<ClearedRecord>,
        /// The sender's own trials.
        pub trials: Vec<TrialRecord>,
    }
}

impl Suspects {
    /// What this node tells others.
    pub fn export(&self, now: Instant) -> SuspectNews {
        let age = |at: Instant| now.saturating_duration_since(at);
        let deaths = self.deaths.iter().map(|(id, d)| DeathRecord {
            id: *id,
            failure_domain: d.failure_domain.clone(),
            age: age(d.at),
            running: d.running.iter().copied().collect(),
        });
        let cleared = self.cleared.iter().map(|(print, at)| ClearedRecord {
            print: *print,
            age: age(*at),
        });
        let own = self.trials.iter().filter(|(_, t)| t.local);
        let trials = own.map(|(group, t)| TrialRecord {
            print: t.print,
            group: group.clone(),
        });
        SuspectNews {
            deaths: deaths.collect(),
            cleared: cleared.collect(),
            trials: trials.collect(),
        }
    }

    /// Takes in what another node tells; doubled and reordered news change nothing.
    pub fn import(&mut self, news: SuspectNews, now: Instant) {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for death in news.deaths {
            self.merge_death(
                death.id,
                &death.failure_domain,
                at(death.age),
                death.running,
            );
        }
        for cleared in news.cleared {
            let known = self.cleared.entry(cleared.print).or_insert(at(cleared.age));
            *known = (*known).max(at(cleared.age));
        }
        for trial in news.trials {
            let heard = Trial {
                print: trial.print,
                until: now + TRIAL_LIFE,
                local: false,
            };
            let own = self.trials.get(&trial.group).is_some_and(|t| t.local);
            if !own {
                self.trials.insert(trial.group, heard);
            }
        }
        self.forget(now);
    }
}
