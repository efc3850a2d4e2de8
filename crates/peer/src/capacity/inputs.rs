//! Measured costs as linear functions.

use std::fmt;

use eelgrassmill_base::value;

/// A cost that grows linearly with a number: `fixed + per_unit * n`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearCost {
    /// The cost at 0.
    pub fixed: f64,
    /// The cost of each further unit.
    pub per_unit: f64,
}

impl LinearCost {
    /// Least-squares fit through points of `(n, cost)`; a constant for one point.
    pub fn fit(points: &[(f64, f64)]) -> LinearCost {
        let count = points.len().max(1) as f64;
        let mean_n = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.1).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|p| (p.0 - mean_n).powi(2)).sum();
        if variance == 0.0 {
            return LinearCost {
                fixed: mean_cost,
                per_unit: 0.0,
            };
        }
        let covariance: f64 = points
            .iter()
            .map(|p| (p.0 - mean_n) * (p.1 - mean_cost))
            .sum();
        let per_unit = covariance / variance;
        LinearCost {
            fixed: mean_cost - per_unit * mean_n,
            per_unit,
        }
    }

    /// The cost at `n`.
    pub fn at(self, n: f64) -> f64 {
        self.fixed + self.per_unit * n
    }
}

impl fmt::Display for LinearCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4e} {:+.4e}", self.fixed, self.per_unit)
    }
}

value! {
    /// A text isn't a valid set of inputs: the name of the missing or malformed input.
    pub struct InputsError(pub String);
}

impl fmt::Display for InputsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid or missing input: {}", self.0)
    }
}

impl std::error::Error for InputsError {}

/// Declares the inputs with the units that they grow with, and parses and prints them by name.
macro_rules! inputs {
    ($($(#[doc = $doc:literal])+ $name:ident by $unit:literal,)+) => {
        /// All measured costs.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Inputs {
            $($(#[doc = $doc])+ pub $name: LinearCost,)+
        }

        impl Inputs {
            /// Parses the format that [`Inputs`] prints.
            ///
            /// # Errors
            /// If a line is malformed or an input is missing.
            pub fn parse(text: &str) -> Result<Inputs, InputsError> {
                let mut inputs = Inputs::default();
                $(inputs.$name = read(text, stringify!($name))?;)+
                Ok(inputs)
            }
        }

        impl fmt::Display for Inputs {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(
                    f,
                    "{:<16} = {} per {}",
                    stringify!($name),
                    self.$name,
                    $unit
                )?;)+
                Ok(())
            }
        }
    };
}

fn read(text: &str, name: &str) -> Result<LinearCost, InputsError> {
    let missing = || InputsError(name.to_string());
    // The page also has measured points under the same names, without an equals sign.
    let is_input = |line: &&str| {
        let mut words = line.split_whitespace();
        words.next() == Some(name) && words.next() == Some("=")
    };
    let line = text.lines().find(is_input).ok_or_else(missing)?;
    let mut numbers = line.split_whitespace().skip(2);
    let mut next = || {
        let number = numbers.next().and_then(|n| n.parse().ok());
        number.ok_or_else(missing)
    };
    Ok(LinearCost {
        fixed: next()?,
        per_unit: next()?,
    })
}

inputs! {
    /// Bytes of batches per second at one node, both directions.
    spread_bytes by "node",
    /// Calls per second that one node makes.
    spread_calls by "node",
    /// CPU seconds per second at one node, without the transport.
    spread_core by "node",
    /// Bytes of memory of one node's dissemination state.
    spread_state by "node",
    /// Bytes of a call without its batches, both directions.
    call_bytes by "call",
    /// CPU seconds of one call, at both ends together.
    call_core by "call",
    /// Bytes of one probe of a host, both directions.
    probe_bytes by "host of a group",
    /// CPU seconds of one probe at the prober.
    probe_core by "host of a group",
    /// CPU seconds of one health check of a group.
    judge_core by "host of a group",
    /// Bytes of memory of one watched group.
    watch_state by "host of a group",
    /// Bytes of memory of the evidence on all groups.
    evidence_state by "group",
    /// CPU seconds to determine which groups may receive requests and to update the picker.
    pulse_core by "group",
    /// CPU seconds of one plan of a region.
    plan_core by "group",
    /// Bytes of memory of the planner's view.
    plan_state by "group",
    /// Bytes of a node row as read.
    node_row by "node row",
    /// Bytes of a group row as read.
    group_row by "host of a group",
    /// Bytes of the configuration's head row.
    head_row by "row",
    /// Bytes of a planner row as read.
    planner_row by "row",
    /// Bytes of a group row with its hosts as published by the planner.
    group_item by "host of a group",
    /// Bytes of one demand for slots and its grant, without the call.
    quota_demand by "demand",
    /// CPU seconds to decide on one demand for slots.
    issue_core by "entry",
    /// CPU seconds to choose the watchers of one group.
    watchers_core by "node",
    /// Bytes of a host row as read.
    host_row by "host row",
    /// Bytes of a line of the host list as read.
    host_entry by "line",
    /// Bytes of the row of the accepted configuration.
    config_row by "group",
    /// CPU seconds to admit, start and settle a request.
    admit_core by "tenant",
    /// CPU seconds to pick a group for a request.
    pick_core by "group",
    /// Bytes of memory of queued requests.
    waiting_state by "request",
    /// CPU seconds of one reply to an address query.
    address_core by "node",
    /// Bytes of a claim row as written.
    claim_row by "claim",
    /// CPU seconds of one event.
    event_core by "event",
    /// Bytes of memory of the event log.
    event_state by "event",
}
