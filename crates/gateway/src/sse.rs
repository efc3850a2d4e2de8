//! Cutting a byte stream into whole events.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Gathers bytes of an event stream and gives out whole events only.
///
/// A host that breaks off in the middle of an event must not leave half of it with the
/// caller: the run that goes on elsewhere begins with that event anew.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    last_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Takes bytes; gives all events that are whole now, or nothing.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let end = last_boundary(&self.buf)?;
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Whether bytes of an unfinished event are held back.
    pub(crate) fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the unfinished event before another run goes on.
    pub(crate) fn restart(&mut self) {
        self.buf.clear();
    }
}

/// The end of the last empty line.
fn last_boundary(buf: &[u8]) -> Option<usize> {
    let lf = find_last(buf, b"\n\n").map(|at| at + 2);
    let crlf = find_last(buf, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).rposition(|w| w == what)
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
