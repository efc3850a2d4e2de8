//! Which requests arrive when, all from one seed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::{TenantId, Tokens, stable_hash};
use smol_str::{SmolStr, format_smolstr};

use crate::scenario::{Api, Class, Scenario};

const WORDS: [&str; 12] = [
    "the", "guest", "claim", "review", "pool", "court", "refund", "hearing", "campsite", "filing",
    "summary", "register",
];

/// One request and the time at which it is due.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) due: Duration,
    pub(crate) request: Arc<Planned>,
}

/// One request, the same however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Planned {
    pub(crate) tenant: TenantId,
    /// Which of the tenant's callers sends it.
    pub(crate) caller: u32,
    pub(crate) class: SmolStr,
    pub(crate) prompt: String,
    pub(crate) tokens: Tokens,
    pub(crate) key: Option<SmolStr>,
}

/// All arrivals of `scenario` in the order of their times.
pub(crate) fn plan(scenario: &Scenario) -> VecDeque<Arrival> {
    let mut arrivals = Vec::new();
    for class in scenario.classes.values() {
        for (tenant, rate) in &class.rates {
            arrivals.extend(stream(scenario, class, tenant, *rate));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.due);
    arrivals.into()
}

/// The arrivals of one tenant and class: a Poisson process of its own, so that
/// a change of one class leaves the others as they were.
fn stream(scenario: &Scenario, class: &Class, tenant: &TenantId, rate: f64) -> Vec<Arrival> {
    let seed = scenario.seed ^ stable_hash([class.name.as_str(), tenant]);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut due = 0.0;
    let mut arrivals = Vec::new();
    loop {
        // Between two arrivals of a Poisson process lies an exponential time.
        due += -(1.0 - rng.f64()).ln() / rate;
        if due >= scenario.time.as_secs_f64() {
            return arrivals;
        }
        let name = format_smolstr!("{}/{}/{}", class.name, tenant, arrivals.len());
        let request = request(scenario, class, tenant, &name, &mut rng);
        let due = Duration::from_secs_f64(due);
        arrivals.push(Arrival {
            due,
            request: Arc::new(request),
        });
    }
}

fn request(
    scenario: &Scenario,
    class: &Class,
    tenant: &TenantId,
    name: &str,
    rng: &mut fastrand::Rng,
) -> Planned {
    let length = class.prompt_bytes.draw(rng);
    let drawn = class.tokens.draw(rng);
    // A plain service makes no tokens.
    let tokens = if class.api == Api::Call { 0 } else { drawn };
    let family = rng.u64(0..class.families);
    let key = class.at_most_once.then(|| {
        format_smolstr!(
            "{:016x}",
            stable_hash([&scenario.name, name, &scenario.seed.to_string()])
        )
    });
    let own = if class.same { &class.name } else { name };
    Planned {
        tenant: tenant.clone(),
        caller: rng.u32(0..scenario.tenants[tenant].callers),
        class: class.name.clone(),
        prompt: prompt(
            class,
            own,
            family,
            usize::try_from(length).unwrap_or(usize::MAX),
        ),
        tokens,
        key,
    }
}

/// A prompt of `length` bytes: the family's shared start, then words of its own.
fn prompt(class: &Class, own: &str, family: u64, length: usize) -> String {
    let mut text = words(
        &format!("family {family} of {}", class.name),
        class.shared_bytes,
    );
    if !class.mark.is_empty() {
        text.push_str(&class.mark);
        text.push(' ');
    }
    let rest = length.saturating_sub(text.len());
    text.push_str(&words(own, rest.max(own.len() + 1)));
    text
}

/// `length` bytes of text that begin with `start`.
fn words(start: &str, length: usize) -> String {
    let mut rng = fastrand::Rng::with_seed(stable_hash([start]));
    let mut text = if length == 0 {
        String::new()
    } else {
        format!("{start} ")
    };
    while text.len() < length {
        text.push_str(WORDS[rng.usize(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(length);
    text
}
