//! From a scenario's text to its checked values.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{TenantId, Urgency};
use ini::{Ini, Properties};
use smol_str::SmolStr;

use crate::scenario::{Api, Class, FaultAt, MAX_TOKENS, Scenario, Span, TenantToken};
use crate::section::{ScenarioError, Section, is_word};

const DEFAULT_TIME: Duration = Duration::from_secs(15);
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);
const DEFAULT_IN_FLIGHT: usize = 1_000;
const MAX_IN_FLIGHT: usize = 20_000;
const DEFAULT_CALLERS: u32 = 4;
const MAX_CALLERS: u32 = 10_000;
const DEFAULT_TOKENS: Span = Span {
    least: 16,
    greatest: 16,
};
const DEFAULT_PROMPT: Span = Span {
    least: 200,
    greatest: 200,
};
const MAX_PROMPT: u64 = 1 << 20;
/// What a request takes beside its prompt, roughly.
const REQUEST_BYTES: f64 = 500.0;
const MAX_BYTES: f64 = (1_u64 << 30) as f64;
const MAX_RATE: f64 = 10_000.0;

impl Scenario {
    /// Parses the text of a scenario.
    ///
    /// # Errors
    /// The first thing that is wrong with it, and what to write.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let ini = Ini::load_from_str(text).map_err(|e| ScenarioError::Syntax {
            line: e.line + 1,
            what: e.msg.to_string(),
        })?;
        let mut scenario = Scenario {
            name: SmolStr::default(),
            time: DEFAULT_TIME,
            patience: DEFAULT_PATIENCE,
            seed: 1,
            max_in_flight: DEFAULT_IN_FLIGHT,
            tenants: BTreeMap::new(),
            classes: BTreeMap::new(),
            faults: Vec::new(),
        };
        for (title, props) in ini.iter() {
            let title = title.unwrap_or_default();
            if !title.is_empty() || !props.is_empty() {
                scenario.add(title, props)?;
            }
        }
        scenario.check()?;
        scenario.faults.sort_by_key(|fault| fault.at);
        Ok(scenario)
    }

    fn add(&mut self, title: &str, props: &Properties) -> Result<(), ScenarioError> {
        if !title.split(' ').all(is_word) {
            return Err(bad_section(
                title,
                "write names of letters, digits and any of -._~/",
            ));
        }
        let mut section = Section::new(title, props);
        match title
            .split_once(' ')
            .map(|(kind, name)| (kind, name.trim()))
        {
            None if title == "scenario" => self.read_head(&mut section)?,
            Some(("tenant", name)) => {
                let token = section.word("token")?;
                let callers = section.number_or("callers", DEFAULT_CALLERS, 1, MAX_CALLERS)?;
                let before = self
                    .tenants
                    .insert(name.into(), TenantToken { token, callers });
                refuse_second(title, before.is_some())?;
            }
            Some(("class", name)) => {
                let class = read_class(name, &mut section)?;
                let before = self.classes.insert(name.into(), class);
                refuse_second(title, before.is_some())?;
            }
            Some(("fault", _)) => self.faults.push(read_fault(&mut section)?),
            _ => {
                let what = "unknown; write [scenario], [tenant NAME], [class NAME] or [fault NAME]";
                return Err(bad_section(title, what));
            }
        }
        section.finish()
    }

    fn read_head(&mut self, section: &mut Section<'_>) -> Result<(), ScenarioError> {
        refuse_second("scenario", !self.name.is_empty())?;
        self.name = section.text("name")?;
        self.time = section.seconds("seconds")?.unwrap_or(DEFAULT_TIME);
        self.patience = section.seconds("patience")?.unwrap_or(DEFAULT_PATIENCE);
        self.seed = section.number_or("seed", 1, 0, u64::MAX)?;
        self.max_in_flight = section.number_or("in_flight", DEFAULT_IN_FLIGHT, 1, MAX_IN_FLIGHT)?;
        Ok(())
    }

    fn check(&self) -> Result<(), ScenarioError> {
        if self.name.is_empty() {
            return Err(bad_section("scenario", "is missing; write it with a name"));
        }
        if self.classes.is_empty() {
            return Err(bad_section("class NAME", "is missing; write at least one"));
        }
        for class in self.classes.values() {
            let unknown = class
                .rates
                .keys()
                .find(|tenant| !self.tenants.contains_key(*tenant));
            if let Some(tenant) = unknown {
                let what = format!("no section [tenant {tenant}]; write one with its token");
                return Err(bad_section(&format!("class {}", class.name), &what));
            }
        }
        self.check_size()
    }

    /// All requests are made before the first is sent, so they have to fit into memory.
    fn check_size(&self) -> Result<(), ScenarioError> {
        let seconds = self.time.as_secs_f64();
        let bytes = |class: &Class| {
            let requests = class.rates.values().sum::<f64>() * seconds;
            requests
                * (REQUEST_BYTES + class.prompt_bytes.greatest as f64 + class.shared_bytes as f64)
        };
        if self.classes.values().map(bytes).sum::<f64>() > MAX_BYTES {
            let what = "all prompts together are over 1 GiB; write less seconds, rates or bytes";
            return Err(bad_section("scenario", what));
        }
        Ok(())
    }
}

fn read_class(name: &str, section: &mut Section<'_>) -> Result<Class, ScenarioError> {
    let api = match section.text_or("api", "completions").as_str() {
        "completions" => Api::Completions,
        "chat" => Api::Chat,
        "call" => Api::Call,
        _ => return Err(section.bad("api", "unknown; write completions, chat or call")),
    };
    let urgency = section.number_or("urgency", Urgency::DEFAULT.0, 0, 7)?;
    Ok(Class {
        name: name.into(),
        service: section.word("service")?,
        api,
        path: section.word_or_empty("path")?,
        stream: section.flag("stream")?,
        rates: read_rates(section)?,
        prompt_bytes: section.span_or("prompt_bytes", DEFAULT_PROMPT, MAX_PROMPT)?,
        shared_bytes: section.number_or("shared_bytes", 0, 0, MAX_PROMPT as usize)?,
        families: section.number_or("families", 1, 1, 1_000_000)?,
        mark: section.text_or("mark", ""),
        same: section.flag("same")?,
        tokens: section.span_or("tokens", DEFAULT_TOKENS, MAX_TOKENS)?,
        urgency: Urgency(urgency),
        deadline: section.seconds("deadline")?,
        at_most_once: section.flag("at_most_once")?,
        retries: section.number_or("retries", 0, 0, 100)?,
    })
}

/// `TENANT:RATE TENANT:RATE ...`, in requests per second.
fn read_rates(section: &mut Section<'_>) -> Result<BTreeMap<TenantId, f64>, ScenarioError> {
    let text = section.text("rates")?;
    let mut rates = BTreeMap::new();
    for item in text.split_whitespace() {
        let rate = item.split_once(':').and_then(|(tenant, rate)| {
            let rate: f64 = rate.parse().ok()?;
            (rate > 0.0 && rate <= MAX_RATE).then_some((tenant, rate))
        });
        let Some((tenant, rate)) = rate else {
            let what = format!("{item:?}; write TENANT:RATE, above 0 and up to {MAX_RATE}");
            return Err(section.bad("rates", &what));
        };
        rates.insert(tenant.into(), rate);
    }
    Ok(rates)
}

fn read_fault(section: &mut Section<'_>) -> Result<FaultAt, ScenarioError> {
    let n = section.text_or("n", "");
    let n = if n.is_empty() {
        None
    } else {
        Some(
            n.parse()
                .map_err(|_| section.bad("n", "write a whole number"))?,
        )
    };
    Ok(FaultAt {
        at: section.seconds("at")?.unwrap_or_default(),
        target: section.word("target")?,
        name: section.word("name")?,
        time: section.seconds("for")?,
        n,
    })
}

fn refuse_second(title: &str, second: bool) -> Result<(), ScenarioError> {
    if second {
        return Err(bad_section(title, "is there twice; write it once"));
    }
    Ok(())
}

fn bad_section(title: &str, what: &str) -> ScenarioError {
    ScenarioError::Section {
        section: title.into(),
        what: what.to_owned(),
    }
}
