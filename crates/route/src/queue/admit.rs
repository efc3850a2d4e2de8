//! Admission control: which requests enter the queue and which are refused.

use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Urgency};

use crate::queue::account::{Account, Queued};
use crate::queue::{AdmissionRequest, Refusal, RefusalReason, ServiceQueue, Ticket};

/// Maximum fraction added to `retry_after` at random.
const RETRY_JITTER: f64 = 0.5;

impl<T> ServiceQueue<T> {
    /// Admits a request, or refuses it immediately.
    ///
    /// # Errors
    /// If a queue is full or the deadline can't be met at the measured service time.
    pub fn admit(
        &mut self,
        req: AdmissionRequest,
        payload: T,
        now: Instant,
    ) -> Result<Ticket, Refusal> {
        // An idle service admits any request: its measured service time may be stale, and
        // if it refused all requests by it, no new measurement would replace it.
        let idle = self.running.is_empty() && self.waiting.is_empty();
        let run_time = match idle {
            true => Duration::ZERO,
            false => self.estimated_run_time(&req),
        };
        let wait = self.estimated_wait(&req);
        let remaining = req.deadline.saturating_duration_since(now);
        let total = wait.saturating_add(run_time);
        if remaining.is_zero() || total > remaining {
            let late = total.saturating_sub(remaining);
            return Err(self.refusal(RefusalReason::DeadlineTooNear, late));
        }
        self.make_room(&req, wait)?;
        let start_deadline = req.deadline.checked_sub(run_time).unwrap_or(now);
        Ok(self.enqueue_new(req, payload, start_deadline))
    }

    fn enqueue_new(
        &mut self,
        req: AdmissionRequest,
        payload: T,
        start_deadline: Instant,
    ) -> Ticket {
        let queued = Queued {
            tokens: req.tokens,
            start_deadline,
            requeued: false,
            payload,
        };
        self.enqueue(req.tenant, req.weight, req.urgency, queued)
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
        self.start_deadlines.insert((queued.start_deadline, ticket));
        let min_finish = self.min_finish(weight);
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| Account::new(weight, min_finish));
        self.update_account(&tenant, |account| {
            account.weight = weight.max(1);
            // A returning tenant gets credit for unused share only up to the burst.
            if account.queued.is_empty() {
                account.finish = account.finish.max(min_finish);
            }
            account.push(position, queued);
        });
        self.waiting.insert(ticket, (tenant, position));
        ticket
    }

    fn estimated_run_time(&self, req: &AdmissionRequest) -> Duration {
        match req.urgency.is_urgent() {
            true => self.urgent_service_time.estimate(req.tokens, 1),
            false => self.normal_service_time.estimate(req.tokens, 1),
        }
    }

    /// Estimates how long the request would wait in the queue.
    fn estimated_wait(&self, req: &AdmissionRequest) -> Duration {
        let urgent = self.queued_urgent_tokens;
        if req.urgency.is_urgent() {
            return self
                .urgent_service_time
                .estimate(urgent, self.running_urgent);
        }
        let weight = u64::from(req.weight.max(1));
        let (own, others) = match self.tenants.get(&req.tenant) {
            Some(a) if !a.queued.is_empty() => {
                (a.queued_tokens, self.backlog_weight - u64::from(a.weight))
            }
            _ => (0, self.backlog_weight),
        };
        // In fair order the other tenants get at most `others / weight` times what this one gets.
        let shared = own.saturating_mul(weight + others) / weight;
        let ahead = shared.min(self.queued_tokens).max(urgent);
        self.normal_service_time.estimate(ahead, self.running.len())
    }

    fn make_room(&mut self, req: &AdmissionRequest, wait: Duration) -> Result<(), Refusal> {
        let own = self.tenants.get(&req.tenant);
        if own.map_or(0, |a| a.queued.len()) >= req.max_tenant_queue as usize {
            return Err(self.refusal(RefusalReason::TenantQueueFull, wait));
        }
        if self.waiting.len() < self.opts.max_queue {
            return Ok(());
        }
        // One tenant may fill the queue; without displacing its requests, the
        // others would be refused for a load they didn't cause.
        let own_share = own.unwrap_or(&Account::new(req.weight, 0)).queue_share(1);
        match self.largest_queue_share() {
            Some((largest, tenant)) if largest > own_share => self.displace(&tenant),
            Some((_, tenant)) if tenant == req.tenant => {
                Err(self.refusal(RefusalReason::OverFairShare, wait))
            }
            _ => Err(self.refusal(RefusalReason::QueueFull, wait)),
        }
    }

    fn largest_queue_share(&self) -> Option<(u64, TenantId)> {
        let shares = self.tenants.iter().map(|(t, a)| (a.queue_share(0), t));
        shares.max().map(|(share, t)| (share, t.clone()))
    }

    fn displace(&mut self, tenant: &TenantId) -> Result<(), Refusal> {
        let tail = self.tenants.get(tenant).and_then(|a| a.tail());
        if let Some(queued) = tail.and_then(|(_, ticket)| self.remove_waiting(ticket)) {
            let wait = self
                .normal_service_time
                .estimate(self.queued_tokens, self.running.len());
            let refusal = self.refusal(RefusalReason::OverFairShare, wait);
            self.refused.push((queued.payload, refusal));
        }
        Ok(())
    }

    /// Refuses waiting requests that would miss their deadline even if started now.
    pub(super) fn refuse_expired(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.start_deadlines.first().copied() {
            if at > now {
                return;
            }
            let Some(queued) = self.remove_waiting(ticket) else {
                self.start_deadlines.remove(&(at, ticket));
                continue;
            };
            let wait = self
                .normal_service_time
                .estimate(self.queued_tokens, self.running.len());
            let refusal = self.refusal(RefusalReason::DeadlineTooNear, wait);
            self.refused.push((queued.payload, refusal));
        }
    }

    fn refusal(&mut self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.opts.min_retry_after, self.opts.max_retry_after);
        let retry_after = wait.mul_f64(1.0 + RETRY_JITTER * self.rng.f64());
        Refusal {
            reason,
            retry_after,
        }
    }
}
