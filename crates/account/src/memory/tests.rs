use super::*;

const MIB: usize = 1 << 20;

fn limit(resident: usize, usage: &AccountUsage) -> usize {
    let memory = MemoryLimit { process: 256 * MIB };
    memory.client_bytes_beside(resident * MIB, usage) / MIB
}

/// Guards against a process that exceeds its memory by what the allocator keeps.
#[test]
fn memory_that_is_used_otherwise_is_not_held_for_clients() {
    let nothing = AccountUsage::default();
    let table = [20, 96, 150, 230].map(|resident| (resident, limit(resident, &nothing)));
    assert_eq!(table, [(20, 128), (96, 128), (150, 74), (230, 32)]);
}

/// Guards against lowering the limit by what is held within it, and against counting what was
/// only announced as held.
#[test]
fn what_is_stored_for_clients_is_not_counted_twice() {
    let mut usage = AccountUsage::default();
    usage.held[crate::HeldKind::RequestBody as usize] = 90 * MIB;
    assert_eq!(limit(110, &usage), 128);
    usage.reserved = 80 * MIB;
    assert_eq!(limit(160, &usage), 74);
}
