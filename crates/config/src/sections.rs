//! The sections of a settings text.

use crate::diagnostics::Diagnostics;
use crate::document::{Section, read_sections};
use crate::schema::SectionKeys;

/// The sections of a settings text, without duplicates; an omitted section is empty.
#[derive(Debug)]
pub struct Sections {
    sections: Vec<Section>,
}

impl Sections {
    /// Parses `text` into the sections of `known`; unknown and duplicate ones are reported.
    pub fn read(text: &str, known: &[SectionKeys], diagnostics: &mut Diagnostics) -> Sections {
        let mut sections: Vec<Section> = Vec::new();
        for section in read_sections(text, diagnostics) {
            if let Some(first) = sections.iter().find(|s| s.name == section.name) {
                let (name, line) = (&section.name, first.line);
                let message = format!("duplicate section [{name}], first defined on line {line}");
                diagnostics.add(section.line, message);
            } else if !known.iter().any(|k| k.name() == section.name) {
                let names: Vec<&str> = known.iter().map(|k| k.section).collect();
                let message = format!(
                    "unknown section [{}], expected one of {}",
                    section.name,
                    names.join(", ")
                );
                diagnostics.add(section.line, message);
            } else {
                sections.push(section);
            }
        }
        for keys in known {
            if !sections.iter().any(|s| s.name == keys.name()) {
                sections.push(Section::empty(keys.name()));
            }
        }
        Sections { sections }
    }

    /// Returns the section `name`.
    pub fn get(&self, name: &str) -> &Section {
        let section = self.sections.iter().find(|s| s.name == name);
        section.expect("`name` is a section of `known`")
    }
}
