//! Simulates the loss of a node's links to targets.

use std::sync::Arc;

use tokio::sync::watch;

/// How links to targets fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// They work.
    #[default]
    None,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Connections transfer nothing, and new ones are not established.
    Hang,
    /// Connections go on, and new ones are refused.
    RefuseNew,
}

/// The links of a node to all targets. Clones share their state.
#[derive(Clone, Debug)]
pub struct BlockedTargets(Arc<watch::Sender<LinkFault>>);

impl Default for BlockedTargets {
    fn default() -> BlockedTargets {
        BlockedTargets(Arc::new(watch::Sender::new(LinkFault::None)))
    }
}

impl BlockedTargets {
    /// Sets how the links fail from now on.
    pub fn set(&self, fault: LinkFault) {
        self.0.send_replace(fault);
    }

    pub(crate) fn fault(&self) -> LinkFault {
        *self.0.borrow()
    }

    /// Waits until connections that are open no longer work.
    pub(crate) async fn wait_broken(&self) -> LinkFault {
        let mut rx = self.0.subscribe();
        let breaks = |fault: &LinkFault| matches!(fault, LinkFault::Reset | LinkFault::Hang);
        // The sender lives as long as `self`.
        rx.wait_for(breaks)
            .await
            .map_or(LinkFault::None, |fault| *fault)
    }
}
