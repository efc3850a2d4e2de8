//! Asking the node that places a model's requests for a place.
//!
//! Each model of few replicas is placed by one node, one of many by one node for the heads of
//! each failure domain, chosen by rendezvous. Where that node gives no answer, this one places
//! its requests itself by what nodes tell of their loads.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, HostId, ModelName, NodeId, ServiceName};
use eelgrassmill_fleet::{DomainLoad, choose_domain, ranked_for_role};
use eelgrassmill_peer::{
    PlaceDecision, PlaceEvent, PlaceNotice, PlaceRequest, ScheduleReply, ScheduleRequest,
};
use tracing::info;

use crate::call::Call;
use crate::core::Core;
use crate::heads::{Head, InProgress, locked};
use crate::ports::Platform;
use crate::scheduler::{self, Scope};

/// Replicas of a model beyond which one node for all would have too much to do: each of them
/// has some 20 requests a second and each request is three messages. Reckoned with 50 us a
/// message, which is not measured, ten replicas are 3% of a core.
const MOST_FOR_ONE: f64 = 10.0;
/// Longest that one question waits for a decision. A node that died shows only as a question
/// without an answer, and a request that waits for it is late soon.
const WAIT: Duration = Duration::from_millis(150);
/// An answer may take this long beyond its wait: 1 to 5 ms on the way, and a packet that is
/// lost comes again after some 200 ms, which is too late to wait for.
const ANSWER_TIME: Duration = Duration::from_millis(80);
/// How long a scheduler that timed out stays ejected: until it counts as dead or is well.
const EJECTION_PERIOD: Duration = Duration::from_secs(2);
/// Choices of schedulers for a scope. A node that has ejected all of them is likely cut off
/// itself, and must not become a scheduler that knows of no other node's requests.
const MAX_SCHEDULER_CHOICES: usize = 2;
/// What becomes of requests is told this much later, with all else until then.
const GATHER: Duration = Duration::from_millis(5);
/// A notice that doesn't arrive within this is not sent again: its request's place lapses.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Grants for heads that this node knows to be lost, or not yet to be open, before it places
/// the request itself.
const MOST_USELESS: usize = 2;

/// What this node knows of the nodes that place requests.
#[derive(Debug, Default)]
pub(crate) struct Placing {
    ejected: Mutex<BTreeMap<NodeId, Instant>>,
    /// What has yet to be told.
    notices: Mutex<HashMap<(NodeId, Scope), Vec<PlaceNotice>>>,
}

/// A request for a place, or a place that was granted. Dropped, it is told to have ended, also
/// where its caller left while it waited: its place would be missing until it lapses.
pub(crate) struct Ticket<P: Platform> {
    core: Arc<Core<P>>,
    node: NodeId,
    scope: Scope,
    number: u64,
    /// Whether the other node knows that it has ended.
    is_over: bool,
}

impl<P: Platform> Drop for Ticket<P> {
    fn drop(&mut self) {
        if !self.is_over {
            self.tell(PlaceEvent::Ended);
        }
    }
}

impl<P: Platform> Ticket<P> {
    /// Tells that the request's first event has come.
    pub(crate) fn began(&self) {
        self.tell(PlaceEvent::Began);
    }

    /// Tells that the head refused the request, or is none to send one to.
    pub(crate) fn refused(mut self) {
        self.tell(PlaceEvent::Refused);
        self.is_over = true;
    }

    /// With a little delay.
    fn tell(&self, event: PlaceEvent) {
        let notice = PlaceNotice {
            number: self.number,
            event: event.into(),
        };
        let to = (self.node.clone(), self.scope.clone());
        let first = {
            let mut notices = locked(&self.core.placing.notices);
            let list = notices.entry(to.clone()).or_default();
            list.push(notice);
            list.len() == 1
        };
        if first {
            let core = Arc::clone(&self.core);
            tokio::spawn(async move {
                tokio::time::sleep(GATHER).await;
                send_notices(&core, to).await;
            });
        }
    }
}

async fn send_notices<P: Platform>(core: &Arc<Core<P>>, to: (NodeId, Scope)) {
    let notices = take_notices(core, &to);
    if notices.is_empty() {
        return;
    }
    let req = request(core, &to.1, None, notices);
    // Unheard, it costs a place until that lapses.
    let _ = send(core, &to.0, req, NOTICE_TIME).await;
}

fn take_notices<P: Platform>(core: &Core<P>, to: &(NodeId, Scope)) -> Vec<PlaceNotice> {
    locked(&core.placing.notices).remove(to).unwrap_or_default()
}

fn request<P: Platform>(
    core: &Core<P>,
    scope: &Scope,
    ask: Option<PlaceRequest>,
    notices: Vec<PlaceNotice>,
) -> ScheduleRequest {
    ScheduleRequest {
        from: core.cfg.node.to_string(),
        failure_domain: core.cfg.failure_domain.to_string(),
        service: scope.service.to_string(),
        model: scope.model.to_string(),
        heads_in: scope.heads_in.as_deref().unwrap_or_default().to_owned(),
        ask,
        notices,
    }
}

/// Tells a node, which may be this one. `None` without an answer.
async fn send<P: Platform>(
    core: &Arc<Core<P>>,
    node: &NodeId,
    req: ScheduleRequest,
    timeout: Duration,
) -> Option<ScheduleReply> {
    if *node == core.cfg.node {
        return Some(scheduler::answer(Arc::clone(core), req).await);
    }
    let peer = core.peer()?;
    peer.schedule_at(node, req, timeout).await.ok()
}

/// What came of asking for a place.
pub(crate) enum Placed<P: Platform> {
    /// It has one.
    At(InProgress<P>),
    /// There was none in time.
    Full,
    /// Nobody can say: it has to be placed by what is known here.
    Unknown,
}

/// A request that wants a place.
pub(crate) struct Wanted<'w> {
    pub(crate) call: &'w Call,
    pub(crate) service: &'w ServiceName,
    pub(crate) model: &'w ModelName,
    /// It goes on after its replica was lost.
    pub(crate) resumed: bool,
    pub(crate) avoid: &'w [HostId],
    /// Until then it is worth waiting.
    pub(crate) until: Instant,
}

/// Asks for a place.
pub(crate) async fn place<P: Platform>(core: &Arc<Core<P>>, wanted: &Wanted<'_>) -> Placed<P> {
    let Some((scope, node)) = scheduler_for(core, wanted.service, wanted.model) else {
        return Placed::Unknown;
    };
    let mut useless = 0;
    let mut ticket = fresh_ticket(core, &node, &scope);
    loop {
        let ask = ask(wanted, ticket.number);
        let notices = take_notices(core, &(node.clone(), scope.clone()));
        let wait = Duration::from_millis(ask.wait_ms.into());
        let req = request(core, &scope, Some(ask), notices);
        let Some(reply) = send(core, &node, req, wait + ANSWER_TIME).await else {
            eject(core, &node, &scope);
            return Placed::Unknown;
        };
        match reply.decision() {
            PlaceDecision::Waiting => continue,
            PlaceDecision::Full => {
                ticket.is_over = true;
                return Placed::Full;
            }
            PlaceDecision::Unknown => return Placed::Unknown,
            PlaceDecision::Granted => {}
        }
        if let Some(head) = usable(core, &reply) {
            return Placed::At(head.enter(Some(ticket)));
        }
        ticket.refused();
        useless += 1;
        if useless >= MOST_USELESS {
            return Placed::Unknown;
        }
        ticket = fresh_ticket(core, &node, &scope);
    }
}

/// The granted head, unless this node knows that it is lost or takes nothing new, or doesn't
/// know it at all.
///
/// The node that places requests may be cut off from the store and not know that a host is
/// leaving. Those that do know must not send it anything.
fn usable<P: Platform>(core: &Core<P>, reply: &ScheduleReply) -> Option<Arc<Head>> {
    let (replica, epoch) = scheduler::granted(reply)?;
    let heads = locked(&core.heads);
    let head = heads.open(&replica, epoch)?;
    (!head.is_lost()).then(|| Arc::clone(head))
}

fn fresh_ticket<P: Platform>(core: &Arc<Core<P>>, node: &NodeId, scope: &Scope) -> Ticket<P> {
    Ticket {
        core: Arc::clone(core),
        node: node.clone(),
        scope: scope.clone(),
        // Unlike a count it can't be one that this node used before it was started again.
        number: fastrand::u64(..),
        is_over: false,
    }
}

fn ask(wanted: &Wanted<'_>, number: u64) -> PlaceRequest {
    let now = Instant::now();
    let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let call = wanted.call;
    let on_time = (call.arrived + call.route.aim).saturating_duration_since(now);
    let patience = wanted.until.saturating_duration_since(now);
    PlaceRequest {
        number,
        prompt: call.head.prompt_tokens,
        resumed: wanted.resumed,
        urgency: call.urgency().into(),
        on_time_ms: ms(on_time),
        patience_ms: ms(patience),
        pause_ms: ms(call
            .route
            .stream
            .as_ref()
            .map_or(call.route.aim, |s| s.pause)),
        avoid: wanted.avoid.iter().map(ToString::to_string).collect(),
        wait_ms: ms(WAIT),
    }
}

fn eject<P: Platform>(core: &Core<P>, node: &NodeId, scope: &Scope) {
    info!(event = "no-scheduler", %node, model = %scope.model, outcome = "no answer");
    let now = Instant::now();
    let mut ejected = locked(&core.placing.ejected);
    ejected.retain(|_, at| now.saturating_duration_since(*at) < EJECTION_PERIOD);
    ejected.insert(node.clone(), now);
}

/// The scope of a request, and the node that schedules it; `None` where no such node answers.
///
/// Models of many replicas have a scope for each failure domain, with a scheduler there.
fn scheduler_for<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
) -> Option<(Scope, NodeId)> {
    let domains = open_domains(core, service, model);
    let scope = |heads_in: Option<FailureDomain>| Scope {
        service: service.clone(),
        model: model.clone(),
        heads_in,
    };
    if domains.is_empty() {
        return None;
    }
    if !is_sharded(core, service, model) {
        let scope = scope(None);
        let node = scheduler_of(core, &scope)?;
        return Some((scope, node));
    }
    let sharded = domains.iter().filter_map(|(domain, load)| {
        let scope = scope(Some(domain.clone()));
        let node = scheduler_of(core, &scope)?;
        Some((domain, load, scope, node))
    });
    let mut shards: Vec<_> = sharded.collect();
    let loads = shards.iter().map(|(failure_domain, load, ..)| DomainLoad {
        failure_domain,
        load: load.0,
        slots: load.1,
    });
    let home = &core.cfg.failure_domain;
    let chosen = choose_domain(home, loads, fastrand::f64(), fastrand::f64())?;
    let index = shards.iter().position(|(domain, ..)| *domain == chosen)?;
    let (_, _, scope, node) = shards.swap_remove(index);
    Some((scope, node))
}

/// Whether a model has so many replicas that one scheduler for all would saturate its node.
fn is_sharded<P: Platform>(core: &Core<P>, service: &ServiceName, model: &ModelName) -> bool {
    let catalog = core.catalog();
    let Some((_, spec)) = catalog.model(service, model) else {
        return false;
    };
    let hosts = locked(&core.heads).hosts_of(service) as f64;
    hosts * spec.share.get() / spec.size.max(1) as f64 > MOST_FOR_ONE
}

/// The failure domains in which a model has heads, with their requests and slots.
fn open_domains<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
) -> BTreeMap<FailureDomain, (usize, usize)> {
    let mut domains: BTreeMap<FailureDomain, (usize, usize)> = BTreeMap::new();
    let heads = locked(&core.heads);
    for head in heads.of_model(service, model) {
        let domain = domains.entry(head.failure_domain.clone()).or_default();
        domain.0 += head.load();
        domain.1 += head.slots;
    }
    domains
}

/// The node that schedules a scope; `None` while its first choices are all ejected.
fn scheduler_of<P: Platform>(core: &Core<P>, scope: &Scope) -> Option<NodeId> {
    let now = Instant::now();
    let nodes = locked(&core.nodes);
    let own = (!core.is_leaving()).then(|| core.as_candidate());
    let key = format!(
        "{}/{}/{}",
        scope.service,
        scope.model,
        scope.heads_in.as_deref().unwrap_or_default()
    );
    let near = scope.heads_in.as_ref();
    let ranked = ranked_for_role(&key, near, nodes.alive(now).chain(own));
    let ejected = locked(&core.placing.ejected);
    let lately = |at: &Instant| now.saturating_duration_since(*at) < EJECTION_PERIOD;
    let mut choices = ranked.into_iter().take(MAX_SCHEDULER_CHOICES);
    let chosen = choices.find(|id| !ejected.get(*id).is_some_and(lately));
    chosen.cloned()
}
