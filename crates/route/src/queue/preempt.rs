//! Preemption: cancels a running request at its engine in favor of another tenant's.

use eelgrassmill_base::{TenantId, Tokens};

use crate::queue::account::Queued;
use crate::queue::{ServiceQueue, Slots, Ticket};

impl<T> ServiceQueue<T> {
    /// Returns a running non-urgent request to cancel and resume later.
    ///
    /// To be called when `dequeue` returns `None`. If an urgent request or a tenant
    /// with unused share waits while another tenant runs more than its share, the victim
    /// is that tenant's youngest non-urgent request. Each request is preempted at most
    /// once, so that all make progress. Only requests for which `can_resume` holds are
    /// considered. Requeue it with [`ServiceQueue::requeue`].
    pub fn preemption_victim(
        &self,
        free: Slots,
        can_resume: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        if free.normal > 0 {
            return None;
        }
        let preemptor = self.preemptor(free)?;
        let youngest_first = self.running.iter().rev();
        let mut preemptible = youngest_first.filter(|(_, r)| !r.urgency.is_urgent() && !r.requeued);
        preemptible
            .find(|(t, r)| {
                r.tenant != *preemptor && self.is_over_share(&r.tenant) && can_resume(**t)
            })
            .map(|(ticket, _)| *ticket)
    }

    /// Returns the tenant on whose behalf a request may be preempted.
    fn preemptor(&self, free: Slots) -> Option<&TenantId> {
        if free.urgent == 0 && !self.urgent_backlog.is_empty() {
            let one_normal = Slots {
                normal: 1,
                urgent: 0,
            };
            if self.next_urgent(one_normal).is_some() {
                return self.urgent_backlog.first().map(|(_, t)| t);
            }
        }
        let (finish, tenant) = self.backlog.first()?;
        let under_share = *finish < self.virtual_time && !self.is_over_share(tenant);
        under_share.then_some(tenant)
    }

    /// Returns whether the tenant has spent its burst and runs more than its fair share.
    fn is_over_share(&self, tenant: &TenantId) -> bool {
        self.tenants.get(tenant).is_some_and(|account| {
            let share = self.running.len() as u64 * u64::from(account.weight);
            account.finish >= self.virtual_time
                && u64::from(account.running) * self.active_weight > share
        })
    }

    /// Puts a preempted request back into the queue, to be resumed after `used` tokens.
    ///
    /// It keeps its deadline and is exempt from the queue limits, since it was
    /// admitted before. Returns `None` if the ticket isn't running.
    pub fn requeue(&mut self, ticket: Ticket, used: Tokens, payload: T) -> Option<Ticket> {
        let run = self.remove_running(ticket)?;
        self.correct_charge(&run, used);
        let queued = Queued {
            tokens: run.tokens.saturating_sub(used).max(1),
            start_deadline: run.start_deadline,
            requeued: true,
            payload,
        };
        let weight = run.weight;
        Some(self.enqueue(run.tenant, weight, run.urgency, queued))
    }
}
