//! Text format of timestamps, events and timelines.

use std::fmt;

use crate::event::Event;
use crate::fields;
use crate::hlc::Hlc;
use crate::query::Timeline;

const MS_PER_DAY: u64 = 86_400_000;

impl fmt::Display for Hlc {
    /// RFC 3339 with milliseconds, then `+` and the counter.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.wall_ms / MS_PER_DAY);
        let ms_of_day = self.wall_ms % MS_PER_DAY;
        let (hours, minutes) = (ms_of_day / 3_600_000, ms_of_day / 60_000 % 60);
        let (seconds, millis) = (ms_of_day / 1_000 % 60, ms_of_day % 1_000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{seconds:02}.{millis:03}Z"
        )?;
        write!(f, "+{}", self.counter)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}#{} {}",
            self.hlc,
            self.node,
            self.incarnation,
            self.kind.name()
        )?;
        let mut result = Ok(());
        fields::visit(&self.kind, &mut |name, field| {
            if result.is_ok() {
                result = write!(f, " {name}={field}");
            }
        });
        result
    }
}

impl fmt::Display for Timeline {
    /// One line per event, then one `#` line per node with missing events.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        for (node, count) in &self.dropped {
            writeln!(f, "# {node} no longer has its first {count} events")?;
        }
        for node in &self.silent {
            writeln!(f, "# {node} did not answer, its events are missing")?;
        }
        Ok(())
    }
}

/// Converts days since 1970-01-01 to year, month and day (proleptic Gregorian calendar).
///
/// Counts in 400-year eras whose years start in March, so that a leap
/// day is the last day of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days_since_era_0 = days + 719_468;
    let (era, day_of_era) = (days_since_era_0 / 146_097, days_since_era_0 % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
