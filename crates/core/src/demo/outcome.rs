//! What the demonstration shows at its end.

use std::fmt;

use eelgrassmill_load::Report;
use eelgrassmill_node::GroupInfo;
use smol_str::SmolStr;

use crate::error::CliError;

pub(crate) struct Outcome {
    pub(crate) report: Report,
    /// The host that died.
    pub(crate) victim: SmolStr,
    pub(crate) events: Vec<SmolStr>,
    /// In seconds, over all groups, as the first node saw it.
    pub(crate) downtime: f64,
    /// In accelerator-seconds, as the first node saw it.
    pub(crate) stranded: f64,
    /// The groups that serve at the end.
    pub(crate) repaired: Vec<GroupInfo>,
}

impl Outcome {
    /// An error when a promise was broken.
    pub(crate) fn verdict(&self) -> Result<(), CliError> {
        if !self.report.promises_kept() {
            return Err(CliError::Failed("a promise was broken, see above".into()));
        }
        if self.report.all.counts.whole == 0 {
            return Err(CliError::Failed("nothing was answered".into()));
        }
        let with_dead = |group: &GroupInfo| group.members.contains(&self.victim);
        if self.repaired.iter().any(with_dead) {
            return Err(CliError::Failed("a group serves without its host".into()));
        }
        Ok(())
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{} died half way; what became of the groups:",
            self.victim
        )?;
        for event in &self.events {
            writeln!(f, "  {event}")?;
        }
        writeln!(f, "\n{}", self.report)?;
        writeln!(f, "group downtime, from the start: {:.1} s", self.downtime)?;
        writeln!(f, "stranded accelerator-seconds:   {:.1}", self.stranded)?;
        for group in &self.repaired {
            writeln!(
                f,
                "serving: {} epoch {} on {}",
                group.group,
                group.epoch,
                group.members.join(", ")
            )?;
        }
        Ok(())
    }
}
