//! Parses the configuration text into a [`Config`].

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::diagnostics::{ConfigErrors, Diagnostics};
use crate::document::{Section, read_sections};
use crate::model::ModelService;
use crate::model::{
    Config, NodeOptions, RepairObjective, Service, ServiceKind, TargetOptions, Tenant,
};
use crate::section_reader::SectionReader;
use crate::units::is_valid_name;
use crate::{config_schema, references};

/// Maximum number of sections; bounds the memory that a text takes at every node.
const MAX_SECTIONS: usize = 10_000;

const EXPECTED_SECTIONS: &str =
    "expected [fleet], [tenant NAME], [service NAME], [target HOST] or [node NODE]";

impl Config {
    /// Parses and validates the configuration text; `file` is the file name in errors.
    ///
    /// # Errors
    /// All errors, each with its line and what is expected.
    pub fn parse(text: &str, file: &str) -> Result<Config, ConfigErrors> {
        let mut diagnostics = Diagnostics::new(file);
        let sections = read_sections(text, &mut diagnostics);
        let mut builder = ConfigBuilder::default();
        for section in sections.iter().take(MAX_SECTIONS) {
            builder.add_section(section, &mut diagnostics);
        }
        if let Some(section) = sections.get(MAX_SECTIONS) {
            diagnostics.add(
                section.line,
                format!("too many sections, the limit is {MAX_SECTIONS}"),
            );
        }
        references::check(&builder, &mut diagnostics);
        diagnostics.finish(builder.config)
    }
}

/// A configuration under construction, with the line numbers for error messages.
#[derive(Default)]
pub(crate) struct ConfigBuilder {
    pub(crate) config: Config,
    /// Line of each section, by the section's name in the text.
    sections: BTreeMap<String, usize>,
    /// Lines of each service's references.
    pub(crate) lines: BTreeMap<SmolStr, ServiceLines>,
    /// Line of each tenant's token.
    pub(crate) token_lines: BTreeMap<SmolStr, usize>,
}

/// Lines of a service's references to other services.
pub(crate) struct ServiceLines {
    pub(crate) depends_on: usize,
    pub(crate) base: usize,
}

impl ConfigBuilder {
    /// Whether the text has a section for service `name`, valid or not.
    pub(crate) fn has_service_section(&self, name: &str) -> bool {
        self.sections.contains_key(&format!("service {name}"))
    }

    fn add_section(&mut self, section: &Section, diagnostics: &mut Diagnostics) {
        if let Some(first) = self.sections.get(&section.name) {
            let message = format!(
                "duplicate section [{}], first defined on line {first}",
                section.name
            );
            diagnostics.add(section.line, message);
            return;
        }
        self.sections.insert(section.name.clone(), section.line);
        let (kind, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
        match (kind, name) {
            ("fleet", "") => self.add_fleet(section, diagnostics),
            ("tenant" | "service" | "target" | "node", name) if !is_valid_name(name) => {
                let message = format!(
                    "[{}] has an invalid name, expected [{kind} NAME] with letters, digits, `.`, `_` and `-`",
                    section.name
                );
                diagnostics.add(section.line, message);
            }
            ("tenant", name) => self.add_tenant(name.into(), section, diagnostics),
            ("service", name) => self.add_service(name.into(), section, diagnostics),
            ("target", name) => self.add_target(name.into(), section, diagnostics),
            ("node", name) => self.add_node(name.into(), section, diagnostics),
            _ => diagnostics.add(
                section.line,
                format!("unknown section [{}], {EXPECTED_SECTIONS}", section.name),
            ),
        }
    }

    fn add_fleet(&mut self, section: &Section, diagnostics: &mut Diagnostics) {
        let reader = SectionReader::new(section, &[config_schema::FLEET], diagnostics);
        self.config.repair = match reader.choice("repair", diagnostics) {
            "stranded" => RepairObjective::Stranded,
            _ => RepairObjective::Downtime,
        };
    }

    fn add_tenant(&mut self, name: SmolStr, section: &Section, diagnostics: &mut Diagnostics) {
        let reader = SectionReader::new(section, &[config_schema::TENANT], diagnostics);
        let tenant = Tenant {
            name: name.clone(),
            token_sha256: reader
                .sha256("token_sha256", diagnostics)
                .unwrap_or_default(),
            weight: reader.number("weight", diagnostics),
            max_queue: reader.number("max_queue", diagnostics),
        };
        self.token_lines
            .insert(name.clone(), reader.line("token_sha256"));
        self.config.tenants.insert(name, tenant);
    }

    fn add_target(&mut self, name: SmolStr, section: &Section, diagnostics: &mut Diagnostics) {
        let reader = SectionReader::new(section, &[config_schema::TARGET], diagnostics);
        let options = TargetOptions {
            checks_orders: reader.boolean("checks_orders", diagnostics),
            drain: reader.boolean("drain", diagnostics),
        };
        self.config.targets.insert(name, options);
    }

    fn add_node(&mut self, name: SmolStr, section: &Section, diagnostics: &mut Diagnostics) {
        let reader = SectionReader::new(section, &[config_schema::NODE], diagnostics);
        let options = NodeOptions {
            drain: reader.boolean("drain", diagnostics),
        };
        self.config.nodes.insert(name, options);
    }

    fn add_service(&mut self, name: SmolStr, section: &Section, diagnostics: &mut Diagnostics) {
        let Some(kind_entry) = section
            .entries
            .iter()
            .find(|e| e.key == config_schema::KIND)
        else {
            let message = format!(
                "[{}] is missing the required key `kind`, expected model, plain or adapter",
                section.name
            );
            diagnostics.add(section.line, message);
            return;
        };
        let kind_keys = match kind_entry.value.as_str() {
            "model" => config_schema::MODEL,
            "plain" => config_schema::PLAIN,
            "adapter" => config_schema::ADAPTER,
            other => {
                let value: String = other.chars().take(80).collect();
                let message =
                    format!("`kind = {value}` is invalid, expected model, plain or adapter");
                diagnostics.add(kind_entry.line, message);
                return;
            }
        };
        let reader = SectionReader::new(section, &[config_schema::SERVICE, kind_keys], diagnostics);
        let kind = match kind_entry.value.as_str() {
            "model" => ServiceKind::Model(read_model(&reader, diagnostics)),
            "plain" => read_plain(&reader, diagnostics),
            _ => read_adapter(&reader, diagnostics),
        };
        let service = read_common(name.clone(), kind, &reader, diagnostics);
        let lines = ServiceLines {
            depends_on: reader.line("depends_on"),
            base: if kind_entry.value == "adapter" {
                reader.line("base")
            } else {
                section.line
            },
        };
        self.lines.insert(name.clone(), lines);
        self.config.services.insert(name, service);
    }
}

fn read_common(
    name: SmolStr,
    kind: ServiceKind,
    reader: &SectionReader<'_>,
    diagnostics: &mut Diagnostics,
) -> Service {
    // Calls of a plain service may have external side effects, so retries are
    // opt-in.
    let repeatable_default = !matches!(kind, ServiceKind::Plain { .. });
    Service {
        name,
        kind,
        depends_on: reader.names("depends_on", diagnostics),
        repeatable: reader
            .optional_boolean("repeatable", diagnostics)
            .unwrap_or(repeatable_default),
        keep_answers: reader.duration("keep_answers", diagnostics),
        timeout: reader.duration("timeout", diagnostics),
        max_queue: reader.number("max_queue", diagnostics),
    }
}

fn read_model(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> ModelService {
    let groups = reader.number("groups", diagnostics);
    let slots = reader.number("slots", diagnostics);
    let floor = reader
        .optional_number("floor", diagnostics)
        .unwrap_or(groups.saturating_sub(1));
    let urgent_slots = reader
        .optional_number("urgent_slots", diagnostics)
        .unwrap_or(slots / 8);
    if floor > groups {
        let message = format!("`floor` exceeds `groups`, expected at most {groups}");
        diagnostics.add(reader.line("floor"), message);
    }
    if urgent_slots >= slots {
        let message =
            format!("`urgent_slots` leaves no slot for other requests, expected less than {slots}");
        diagnostics.add(reader.line("urgent_slots"), message);
    }
    ModelService {
        model: reader.name("model", diagnostics),
        version: reader.name("version", diagnostics),
        groups,
        hosts_per_group: reader.number("hosts_per_group", diagnostics),
        floor,
        slots,
        urgent_slots,
    }
}

fn read_plain(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> ServiceKind {
    let targets = reader.names("targets", diagnostics);
    ServiceKind::Plain {
        targets,
        slots: reader.number("slots", diagnostics),
    }
}

fn read_adapter(reader: &SectionReader<'_>, diagnostics: &mut Diagnostics) -> ServiceKind {
    let base = reader.name("base", diagnostics);
    ServiceKind::Adapter {
        base,
        adapter: reader.name("adapter", diagnostics),
    }
}
