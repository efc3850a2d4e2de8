//! Memory of one body.

use std::io;

use memmap2::MmapMut;

/// Longest body that is stored on the heap, in bytes. Longer ones are stored in mappings of their
/// own, whose pages go back to the system when they are dropped.
pub(crate) const MAX_HEAP_BYTES: usize = 16 << 10;

/// The bytes of a body that is being received, or was.
#[derive(Debug)]
pub(crate) enum Storage {
    Heap(Vec<u8>),
    /// The first `len` bytes of a private anonymous mapping; its other pages take no memory.
    Mapped {
        map: MmapMut,
        len: usize,
    },
}

impl Default for Storage {
    fn default() -> Storage {
        Storage::Heap(Vec::new())
    }
}

impl Storage {
    pub(crate) fn as_slice(&self) -> &[u8] {
        match self {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { map, len } => &map[..*len],
        }
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped { len, .. } => *len,
        }
    }

    /// Appends `bytes`; the total must be at most `max`.
    ///
    /// # Errors
    /// If the system has no address space for a mapping.
    pub(crate) fn append(&mut self, bytes: &[u8], max: usize) -> io::Result<()> {
        if let Storage::Heap(held) = self {
            if held.len() + bytes.len() <= MAX_HEAP_BYTES {
                held.extend_from_slice(bytes);
                return Ok(());
            }
            let mut map = MmapMut::map_anon(max)?;
            let len = held.len();
            map[..len].copy_from_slice(held);
            *self = Storage::Mapped { map, len };
        }
        if let Storage::Mapped { map, len } = self {
            map[*len..*len + bytes.len()].copy_from_slice(bytes);
            *len += bytes.len();
        }
        Ok(())
    }
}
