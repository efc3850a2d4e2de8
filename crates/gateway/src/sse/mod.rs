//! Splits a byte stream into complete server-sent events.

#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Most bytes without a complete event, in bytes: events of sound hosts have some hundred.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// How long the bytes of one event may be waited for. A host may be silent within an event, but not
/// send it in parts for ever.
const MAX_EVENT_TIME: Duration = Duration::from_millis(500);
/// Longest part of one wait that counts: a sound host may fall silent for a second within an event.
const MAX_COUNTED_WAIT: Duration = Duration::from_millis(250);
/// Bytes of an event's end that may lie before the newest bytes.
const END_OVERLAP: usize = b"\r\n\r\n".len() - 1;

/// Why a byte stream has no further events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EventError {
    /// An event doesn't end.
    #[error("event longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event comes in parts for too long.
    #[error("event incomplete after {} ms", MAX_EVENT_TIME.as_millis())]
    TooSlow,
    /// An event has no field of one.
    #[error("bytes that are no event")]
    NoEvent,
}

/// Complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Events {
    pub(crate) bytes: Bytes,
    /// Whether none has more than comments and settings, so that the stream makes no progress.
    pub(crate) are_empty: bool,
}

/// Buffers an event stream and returns only complete events.
///
/// If a host's stream breaks in the middle of an event, the caller must not get half of it: the
/// stream resumes at another replica with that event from its start.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    /// How long the bytes of the incomplete event were waited for.
    waited: Duration,
    /// Bytes of empty events since the last one that isn't.
    empty_bytes: usize,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// A splitter of a stream that goes on after the event `last_id`.
    pub(crate) fn resumed(last_id: Option<SmolStr>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes that were waited for that long, and returns all events that are complete by now.
    ///
    /// # Errors
    /// If an event doesn't end or is none. The stream is of no further use.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
        waited: Duration,
    ) -> Result<Option<Events>, EventError> {
        // The bytes before were searched when they came.
        let searched = self.buf.len().saturating_sub(END_OVERLAP);
        if self.has_partial_event() {
            self.waited += waited.min(MAX_COUNTED_WAIT);
        }
        self.buf.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buf[searched..]) else {
            return self.check_partial_event().map(|()| None);
        };
        let complete = self.buf.split_to(searched + end).freeze();
        self.waited = Duration::ZERO;
        let are_empty = are_empty(&complete)?;
        self.empty_bytes = if are_empty {
            self.empty_bytes + complete.len()
        } else {
            0
        };
        self.check_partial_event()?;
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(Some(Events {
            bytes: complete,
            are_empty,
        }))
    }

    fn check_partial_event(&self) -> Result<(), EventError> {
        if self.empty_bytes + self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        if self.waited > MAX_EVENT_TIME {
            return Err(EventError::TooSlow);
        }
        Ok(())
    }

    /// The id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Whether bytes of an incomplete event are buffered.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards the incomplete event before the stream resumes.
    pub(crate) fn discard_partial_event(&mut self) {
        self.buf = BytesMut::new();
        self.waited = Duration::ZERO;
        self.empty_bytes = 0;
    }
}

/// The offset behind the last empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = rfind(buf, b"\n\n").map(|at| at + 2);
    let crlf = rfind(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn rfind(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).rposition(|w| w == what)
}

/// Whether all events are empty.
///
/// # Errors
/// If one has lines, but none with a field or a comment.
fn are_empty(events: &[u8]) -> Result<bool, EventError> {
    let mut are_empty = true;
    let (mut has_lines, mut has_fields) = (false, false);
    for line in events.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if has_lines && !has_fields {
                return Err(EventError::NoEvent);
            }
            (has_lines, has_fields) = (false, false);
            continue;
        }
        has_lines = true;
        // A comment has an empty name.
        match line.split(|b| *b == b':').next() {
            Some(b"data" | b"id" | b"event") => (are_empty, has_fields) = (false, true),
            Some(b"retry" | b"") => has_fields = true,
            _ => {}
        }
    }
    Ok(are_empty)
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
