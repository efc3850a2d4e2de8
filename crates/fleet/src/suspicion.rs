//! Tells a replica that lost a member from one whose member is silent for a moment.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

use crate::stall::StallThreshold;

/// Silence after which a replica counts as lost without further evidence: twice the second or so
/// for which sound hosts fall silent, and well before callers give up streams or the host list
/// shows a death.
pub const MAX_SILENCE: Duration = Duration::from_millis(2000);
/// The same if a member also leaves new connections unanswered. A host that only stands still
/// accepts them, since its kernel does; one that is down or cut off doesn't.
pub const MAX_UNREACHABLE_SILENCE: Duration = Duration::from_millis(1000);
/// Consecutive connection attempts without an answer after which a member counts as unreachable. A
/// single packet may be lost, and is sent again only after a second.
const MIN_UNANSWERED_CONNECTS: u8 = 2;
/// Pause between two checks of a suspected replica.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

value! { copy
    /// What a check of all members of a stalled replica showed.
    pub enum MemberCheck {
        /// All are in the replica.
        Sound,
        /// A member gave no answer, which shows nothing else.
        Silent,
        /// A member is gone or the replica is broken.
        Lost,
    }

    /// What to do after a check.
    pub enum SuspicionStep {
        /// It takes requests as before.
        Trust,
        /// It gets no new requests and is checked again after this time.
        Suspect(Duration),
        /// It is lost.
        Lose,
    }
}

/// State of one replica from the check of a stall until it is trusted or lost.
///
/// Taking a replica apart costs seconds of loading, and breaks streams that would go on. A host
/// that only falls silent loses nothing, so silence alone leads to a loss only once it is long.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    silent_since: Instant,
    /// Latest consecutive connection attempts that a silent member left unanswered.
    unanswered_connects: u8,
    /// Whether all silent members have accepted a connection.
    accepts_connections: bool,
}

impl Suspicion {
    /// Begins to check a replica that has sent no event since `last_event`.
    pub fn new(last_event: Option<Instant>, now: Instant) -> Suspicion {
        // A replica of slow streams has sent nothing for longer than its members were silent.
        let min_silence = StallThreshold::default().min_silence;
        let since = now.checked_sub(min_silence).unwrap_or(now);
        Suspicion {
            silent_since: last_event.map_or(since, |last| last.max(since)),
            unanswered_connects: 0,
            accepts_connections: false,
        }
    }

    /// Whether another connection attempt to the silent members may show more.
    pub fn needs_connect(&self) -> bool {
        !self.accepts_connections && self.unanswered_connects < MIN_UNANSWERED_CONNECTS
    }

    /// Handles the result of a connection attempt to each silent member: whether all accepted it.
    pub fn on_connect(&mut self, accepted: bool) {
        self.accepts_connections = accepted;
        self.unanswered_connects = if accepted {
            0
        } else {
            self.unanswered_connects.saturating_add(1)
        };
    }

    /// Handles the result of a check.
    pub fn on_check(&self, check: MemberCheck, now: Instant) -> SuspicionStep {
        let is_unreachable = self.unanswered_connects >= MIN_UNANSWERED_CONNECTS;
        let max_silence = if is_unreachable {
            MAX_UNREACHABLE_SILENCE
        } else {
            MAX_SILENCE
        };
        let left = max_silence.saturating_sub(now.saturating_duration_since(self.silent_since));
        match check {
            MemberCheck::Sound => SuspicionStep::Trust,
            MemberCheck::Lost => SuspicionStep::Lose,
            MemberCheck::Silent if left.is_zero() => SuspicionStep::Lose,
            MemberCheck::Silent => SuspicionStep::Suspect(left.min(CHECK_INTERVAL)),
        }
    }
}
