//! Measured slopes.

use std::fmt;

use eelgrassmill_base::value;

/// A cost that grows with one number: `fixed + each * n`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// The cost at 0.
    pub fixed: f64,
    /// What one more adds.
    pub each: f64,
}

impl Line {
    /// The line of least squares through `(n, cost)`; through one point a constant.
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean_n = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_n).powi(2)).sum();
        if spread == 0.0 {
            return Line {
                fixed: mean_cost,
                each: 0.0,
            };
        }
        let common: f64 = points
            .iter()
            .map(|p| (p.0 - mean_n) * (p.1 - mean_cost))
            .sum();
        let each = common / spread;
        Line {
            fixed: mean_cost - each * mean_n,
            each,
        }
    }

    /// The cost at `n`.
    pub fn at(self, n: f64) -> f64 {
        self.fixed + self.each * n
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4e} {:+.4e}", self.fixed, self.each)
    }
}

value! {
    /// Why a text is not a set of inputs.
    pub struct InputsError(pub String);
}

impl fmt::Display for InputsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a set of inputs: {}", self.0)
    }
}

impl std::error::Error for InputsError {}

/// Declares the inputs with what each grows with, and reads and writes them by name.
macro_rules! inputs {
    ($($(#[doc = $doc:literal])+ $name:ident by $unit:literal,)+) => {
        /// All measured slopes.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Inputs {
            $($(#[doc = $doc])+ pub $name: Line,)+
        }

        impl Inputs {
            /// Reads what [`Inputs`] prints.
            ///
            /// # Errors
            /// When a line is not understood or an input is missing.
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

fn read(text: &str, name: &str) -> Result<Line, InputsError> {
    let missing = || InputsError(name.to_string());
    // The page has the points of the same names as well, without a sign of equality.
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
    Ok(Line {
        fixed: next()?,
        each: next()?,
    })
}

inputs! {
    /// Bytes of batches a second at one node, both ways.
    spread_bytes by "node",
    /// Calls a second that one node makes.
    spread_calls by "node",
    /// Seconds of a core a second at one node, without the transport.
    spread_core by "node",
    /// Bytes of memory of one node's dissemination state.
    spread_state by "node",
    /// Bytes of a call beside its batches, both ways.
    call_bytes by "call",
    /// Seconds of a core for one call, both ends together.
    call_core by "call",
    /// Bytes of one probe of a host, both ways.
    probe_bytes by "host of a group",
    /// Seconds of a core for one probe at the prober.
    probe_core by "host of a group",
    /// Seconds of a core for one finding on a group.
    judge_core by "host of a group",
    /// Bytes of memory of one watched group.
    watch_state by "host of a group",
    /// Bytes of memory of the evidence on all groups.
    evidence_state by "group",
    /// Seconds of a core to see which groups may serve and hand them to the picker.
    pulse_core by "group",
    /// Seconds of a core for one plan of a region.
    plan_core by "group",
    /// Bytes of memory of the planner's view.
    plan_state by "group",
    /// Bytes of a node row as read.
    node_row by "node row",
    /// Bytes of a group row as read.
    group_row by "host of a group",
    /// Bytes of the small row beside the configuration.
    head_row by "row",
    /// Bytes of a planner row as read.
    planner_row by "row",
    /// Bytes of a group row with its hosts as the planner tells it.
    group_item by "host of a group",
    /// Bytes of one demand for slots and its grant, without the call.
    quota_demand by "demand",
    /// Seconds of a core to decide on one demand for slots.
    issue_core by "entry",
    /// Seconds of a core to choose the watchers of one group.
    watchers_core by "node",
    /// Bytes of a host row as read.
    host_row by "host row",
    /// Bytes of a line of the host list as read.
    host_entry by "line",
    /// Bytes of the row of the accepted configuration.
    config_row by "group",
    /// Seconds of a core to admit, start and settle a request.
    admit_core by "tenant",
    /// Seconds of a core to pick a group for a request.
    pick_core by "group",
    /// Bytes of memory of the requests that wait.
    waiting_state by "request",
    /// Seconds of a core for one address answer.
    address_core by "node",
    /// Bytes of a claim row as written.
    claim_row by "claim",
    /// Seconds of a core for one event.
    event_core by "event",
    /// Bytes of memory of the event log.
    event_state by "event",
}
