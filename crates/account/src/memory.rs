//! How much of a process's memory may be held for clients.

#[cfg(test)]
mod tests;

use eelgrassmill_base::value;
use rustix::param::page_size;

use crate::bytes_account::{AccountUsage, ByteAccount};

/// Part of the memory that is kept free, as 1 / this.
const FREE_SHARE: usize = 8;

value! { copy
    /// Memory that a process may use.
    pub struct MemoryLimit {
        /// Bytes of the whole process.
        pub process: usize,
    }
}

impl MemoryLimit {
    /// Most bytes that are held for clients. The rest is for the process itself, buffers of
    /// connections and what the allocator keeps.
    pub fn client_bytes(&self) -> usize {
        self.process / 2
    }

    /// Lowers the limit of `account` while the rest of the process takes more than its half, since the
    /// allocator keeps memory that was freed.
    pub fn apply(&self, account: &ByteAccount) {
        if let Some(resident) = resident_bytes() {
            account.set_limit(self.client_bytes_beside(resident, &account.usage()));
        }
    }

    /// Most bytes that may be held for clients while `resident` bytes of the process are in memory.
    fn client_bytes_beside(&self, resident: usize, usage: &AccountUsage) -> usize {
        let others = resident.saturating_sub(usage.resident());
        let free = self.process / FREE_SHARE;
        let left = self.process.saturating_sub(free + others);
        left.clamp(free, self.client_bytes())
    }
}

/// Memory of this process that is resident, in bytes; `None` where the system doesn't tell.
fn resident_bytes() -> Option<usize> {
    let counts = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = counts.split(' ').nth(1)?.parse().ok()?;
    Some(pages * page_size())
}
