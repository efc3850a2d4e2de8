//! Model groups: membership, wholeness evidence, node leases, fencing and the repair policy.
