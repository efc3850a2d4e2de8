//! Cancelling a draft at its engine so that someone else's turn can come, and resuming it.

use eelgrassmill_base::{TenantId, Tokens};

use crate::queue::account::Queued;
use crate::queue::{ServiceQueue, Slots, Ticket};

impl<T> ServiceQueue<T> {
    /// A running draft to cancel and resume later, where the engine can resume.
    ///
    /// Ask when `dequeue` gives nothing. There is one when an urgent request waits, or
    /// a tenant with unused share, while another runs more than its share: the
    /// youngest draft of that one. A draft is cancelled once at most, so that
    /// each makes progress. Only those for which `can` holds are considered. Give it
    /// back with [`ServiceQueue::requeue`].
    pub fn preemption_victim(&self, free: Slots, can: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        if free.normal > 0 {
            return None;
        }
        let claimant = self.claimant(free)?;
        let candidates = self.running.iter().rev();
        let mut drafts = candidates.filter(|(_, r)| !r.urgency.is_urgent() && !r.resumed);
        drafts
            .find(|(t, r)| r.tenant != *claimant && self.is_over(&r.tenant) && can(**t))
            .map(|(ticket, _)| *ticket)
    }

    /// The tenant for whom a draft may be cancelled.
    fn claimant(&self, free: Slots) -> Option<&TenantId> {
        if free.urgent == 0 && !self.urgent_backlog.is_empty() {
            let any = Slots {
                normal: 1,
                urgent: 0,
            };
            if self.next_urgent(any).is_some() {
                return self.urgent_backlog.first().map(|(_, t)| t);
            }
        }
        let (finish, tenant) = self.backlog.first()?;
        let within = *finish < self.virtual_now && !self.is_over(tenant);
        within.then_some(tenant)
    }

    /// Whether the tenant has used what it left unused and runs more than its share.
    fn is_over(&self, tenant: &TenantId) -> bool {
        self.tenants.get(tenant).is_some_and(|account| {
            let share = self.running.len() as u64 * u64::from(account.weight);
            account.finish >= self.virtual_now
                && u64::from(account.running) * self.active_weight > share
        })
    }

    /// Puts a cancelled draft back into the queue, to go on after `used` tokens.
    ///
    /// It keeps its deadline and is not subject to the bounds of the queue, since it was
    /// admitted before. `None` when the ticket isn't running.
    pub fn requeue(&mut self, ticket: Ticket, used: Tokens, payload: T) -> Option<Ticket> {
        let run = self.end(ticket)?;
        self.correct(&run, used);
        let queued = Queued {
            tokens: run.tokens.saturating_sub(used).max(1),
            give_up_at: run.give_up_at,
            resumed: true,
            payload,
        };
        let weight = run.weight;
        Some(self.enqueue(run.tenant, weight, run.urgency, queued))
    }
}
