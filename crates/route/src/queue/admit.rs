//! Who gets into the queue, and who is told at once that it won't work.

use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Urgency};

use crate::queue::account::{Account, Queued};
use crate::queue::{AdmissionRequest, Refusal, RefusalReason, ServiceQueue, Ticket};

/// Largest part by which `retry_after` is lengthened at random.
const JITTER: f64 = 0.5;

impl<T> ServiceQueue<T> {
    /// Admits a request, or refuses it at once.
    ///
    /// # Errors
    /// When a queue is full or the deadline can't be met at the measured pace.
    pub fn admit(
        &mut self,
        offer: AdmissionRequest,
        payload: T,
        now: Instant,
    ) -> Result<Ticket, Refusal> {
        // An idle service tries whatever comes: its pace may be an old one, and
        // refusing by it would keep it from ever being measured anew.
        let idle = self.running.is_empty() && self.waiting.is_empty();
        let needs = match idle {
            true => Duration::ZERO,
            false => self.time_alone(&offer),
        };
        let wait = self.wait(&offer);
        let left = offer.deadline.saturating_duration_since(now);
        let due = wait.saturating_add(needs);
        if left.is_zero() || due > left {
            let late = due.saturating_sub(left);
            return Err(self.refusal(RefusalReason::DeadlineTooNear, late));
        }
        self.make_room(&offer, wait)?;
        let give_up_at = offer.deadline.checked_sub(needs).unwrap_or(now);
        Ok(self.enqueue_new(offer, payload, give_up_at))
    }

    fn enqueue_new(&mut self, offer: AdmissionRequest, payload: T, give_up_at: Instant) -> Ticket {
        let queued = Queued {
            tokens: offer.tokens,
            give_up_at,
            resumed: false,
            payload,
        };
        self.enqueue(offer.tenant, offer.weight, offer.urgency, queued)
    }

    pub(super) fn enqueue(
        &mut self,
        tenant: TenantId,
        weight: u32,
        urgency: Urgency,
        queued: Queued<T>,
    ) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let position = (urgency, ticket);
        self.queued_tokens += queued.tokens;
        if urgency.is_urgent() {
            self.queued_urgent_tokens += queued.tokens;
        }
        self.give_up.insert((queued.give_up_at, ticket));
        let earliest = self.earliest_finish(weight);
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| Account::new(weight, earliest));
        self.change(&tenant, |account| {
            account.weight = weight.max(1);
            // A tenant that was idle has no claim on all the time it left unused.
            if account.queued.is_empty() {
                account.finish = account.finish.max(earliest);
            }
            account.push(position, queued);
        });
        self.waiting.insert(ticket, (tenant, position));
        ticket
    }

    fn time_alone(&self, offer: &AdmissionRequest) -> Duration {
        match offer.urgency.is_urgent() {
            true => self.urgent_pace.time_for(offer.tokens, 1),
            false => self.normal_pace.time_for(offer.tokens, 1),
        }
    }

    /// How long the request would wait for its start at the measured pace.
    fn wait(&self, offer: &AdmissionRequest) -> Duration {
        let urgent = self.queued_urgent_tokens;
        if offer.urgency.is_urgent() {
            return self.urgent_pace.time_for(urgent, self.running_urgent);
        }
        let weight = u64::from(offer.weight.max(1));
        let (own, others) = match self.tenants.get(&offer.tenant) {
            Some(a) if !a.queued.is_empty() => {
                (a.queued_tokens, self.backlog_weight - u64::from(a.weight))
            }
            _ => (0, self.backlog_weight),
        };
        // In fair order the others get at most their weights' worth of what the tenant gets.
        let shared = own.saturating_mul(weight + others) / weight;
        let ahead = shared.min(self.queued_tokens).max(urgent);
        self.normal_pace.time_for(ahead, self.running.len())
    }

    fn make_room(&mut self, offer: &AdmissionRequest, wait: Duration) -> Result<(), Refusal> {
        let own = self.tenants.get(&offer.tenant);
        if own.map_or(0, |a| a.queued.len()) >= offer.max_tenant_queue as usize {
            return Err(self.refusal(RefusalReason::TenantQueueFull, wait));
        }
        if self.waiting.len() < self.opts.max_queue {
            return Ok(());
        }
        // A greedy tenant may fill the queue; without displacing it, the
        // others would be refused for a load that isn't theirs.
        let held = own.unwrap_or(&Account::new(offer.weight, 0)).held(1);
        match self.largest_holder() {
            Some((most, tenant)) if most > held => self.displace(&tenant),
            Some((_, tenant)) if tenant == offer.tenant => {
                Err(self.refusal(RefusalReason::OverFairShare, wait))
            }
            _ => Err(self.refusal(RefusalReason::QueueFull, wait)),
        }
    }

    fn largest_holder(&self) -> Option<(u64, TenantId)> {
        let holders = self.tenants.iter().map(|(t, a)| (a.held(0), t));
        holders.max().map(|(held, t)| (held, t.clone()))
    }

    fn displace(&mut self, tenant: &TenantId) -> Result<(), Refusal> {
        let tail = self.tenants.get(tenant).and_then(|a| a.tail());
        if let Some(queued) = tail.and_then(|(_, ticket)| self.take(ticket)) {
            let wait = self
                .normal_pace
                .time_for(self.queued_tokens, self.running.len());
            let refusal = self.refusal(RefusalReason::OverFairShare, wait);
            self.given_up.push((queued.payload, refusal));
        }
        Ok(())
    }

    /// Moves out what can't be answered in time any more, even when started now.
    pub(super) fn give_up_late(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.give_up.first().copied() {
            if at > now {
                return;
            }
            let Some(queued) = self.take(ticket) else {
                self.give_up.remove(&(at, ticket));
                continue;
            };
            let wait = self
                .normal_pace
                .time_for(self.queued_tokens, self.running.len());
            let refusal = self.refusal(RefusalReason::DeadlineTooNear, wait);
            self.given_up.push((queued.payload, refusal));
        }
    }

    fn refusal(&mut self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.opts.min_retry_after, self.opts.max_retry_after);
        let retry_after = wait.mul_f64(1.0 + JITTER * self.rng.f64());
        Refusal {
            reason,
            retry_after,
        }
    }
}
