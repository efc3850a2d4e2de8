//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Buffers an event stream and returns only complete events.
///
/// If a host's stream breaks in the middle of an event, the caller must not get half of it: the
/// stream resumes at another replica with that event from its start.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// For a stream that resumes after the event of this id.
    pub(crate) fn resumed(last_id: Option<SmolStr>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes and returns all events that are complete by now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let end = last_event_end(&self.buf)?;
        let complete = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
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
        self.buf.clear();
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

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
