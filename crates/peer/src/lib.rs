//! The protocol between nodes: membership, dissemination, quotas and events, over tonic.
