//! The switches for faults, and the description of all stand-ins.

use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_base::HostState;
use http::{Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::faults::{FAULTS, Fault, PLATFORM_FAULTS, by_name};
use crate::host::Host;
use crate::http::{Answer, CutOff, json as json_answer, query, query_number, text};
use crate::platform::Platform;
use crate::world::World;

/// What the platform is called among the targets.
const PLATFORM: &str = "platform";

/// Answers one request at the control address, which has no faults of its own.
///
/// # Errors
/// Never; the type is the one that all servers share.
pub(crate) async fn answer(
    world: Arc<World>,
    description: Arc<Value>,
    req: Request<Incoming>,
) -> Result<Answer, CutOff> {
    let path = req.uri().path();
    let target = query(req.uri(), "target").unwrap_or_default();
    let host = world.hosts.get(target.as_str());
    let answer = match (req.method(), path, host) {
        (&Method::GET, "/", _) => json_answer(StatusCode::OK, &*description),
        (&Method::POST, "/host-state", _) => set_host_state(&world, req.uri()),
        (&Method::POST, "/fault", Some(host)) => switch_target(host, req.uri()),
        (&Method::DELETE, "/fault", Some(host)) => unswitch_target(host, req.uri()),
        (&Method::GET, "/runs", Some(host)) => json_answer(StatusCode::OK, &host.runs.report()),
        (&Method::POST, "/fault", None) if target == PLATFORM => switch_platform(&world, req.uri()),
        (&Method::DELETE, "/fault", None) if target == PLATFORM => {
            unswitch_platform(&world.platform, req.uri())
        }
        _ => text(StatusCode::NOT_FOUND, "no such call or target"),
    };
    Ok(answer)
}

/// Switches a fault of a target on: `name`, and if wanted `ms` and `n`.
pub(crate) fn switch_target(host: &Host, uri: &Uri) -> Answer {
    let Some(fault) = query(uri, "name").and_then(|name| by_name(&FAULTS, &name)) else {
        return unknown_fault();
    };
    host.faults
        .switch_on(fault, time(uri), query_number(uri, "n"));
    if matches!(fault, Fault::Die | Fault::Restart) {
        host.changed.notify_one();
    }
    if fault == Fault::Leaving {
        host.leaving_ms();
    }
    done()
}

/// Switches the fault `name` of a target off, or all.
pub(crate) fn unswitch_target(host: &Host, uri: &Uri) -> Answer {
    match query(uri, "name") {
        None => host.faults.clear(),
        Some(name) => match by_name(&FAULTS, &name) {
            Some(fault) => host.faults.switch_off(fault),
            None => return unknown_fault(),
        },
    }
    done()
}

/// Switches a fault of the platform on: `name`, and if wanted `ms` and `n`.
pub(crate) fn switch_platform(world: &Arc<World>, uri: &Uri) -> Answer {
    let Some(fault) = query(uri, "name").and_then(|name| by_name(&PLATFORM_FAULTS, &name)) else {
        return unknown_fault();
    };
    let time = time(uri);
    world
        .platform
        .switch_on(fault, time, query_number(uri, "n"));
    if let Some(time) = time {
        let world = Arc::clone(world);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            world.platform.expire(fault);
        });
    }
    done()
}

/// Switches the fault `name` of the platform off, or all.
pub(crate) fn unswitch_platform(platform: &Platform, uri: &Uri) -> Answer {
    let faults = PLATFORM_FAULTS.iter();
    match query(uri, "name") {
        None => faults.for_each(|(_, fault)| platform.switch_off(*fault)),
        Some(name) => match by_name(&PLATFORM_FAULTS, &name) {
            Some(fault) => platform.switch_off(fault),
            None => return unknown_fault(),
        },
    }
    done()
}

/// Sets what the list says of `host`: `state` is `live`, `leaving` or `gone`.
pub(crate) fn set_host_state(world: &World, uri: &Uri) -> Answer {
    let id = query(uri, "host").unwrap_or_default();
    let state = query(uri, "state").unwrap_or_default();
    let Some(host) = world.hosts.get(id.as_str()) else {
        return text(StatusCode::NOT_FOUND, "no such host");
    };
    let state = match state.as_str() {
        "live" => Some(HostState::Live),
        "leaving" => Some(HostState::Leaving),
        "gone" => None,
        _ => return text(StatusCode::BAD_REQUEST, "state is live, leaving or gone"),
    };
    host.set_listed_leaving(state == Some(HostState::Leaving));
    world.platform.change_list(|list| {
        list.retain(|entry| entry.id != id);
        list.extend(state.map(|state| host.entry(state)));
        list.sort_by(|a, b| a.id.cmp(&b.id));
    });
    done()
}

/// All addresses and switches; `ms` and `n` may be added to a switch.
pub(crate) fn describe(control: &str, platform: &str, world: &World) -> Value {
    let switches = |target: &str, names: Vec<&str>| -> Value {
        let url = |name: &&str| format!("http://{control}/fault?target={target}&name={name}");
        names
            .iter()
            .map(|name| ((*name).to_owned(), Value::from(url(name))))
            .collect()
    };
    let target = |host: &Arc<Host>| {
        let names = FAULTS.iter().map(|(name, _)| *name).collect();
        json!({
            "host": host.entry(HostState::Live),
            "runs": format!("http://{}/runs", host.address),
            "faults": switches(&host.spec.id, names),
        })
    };
    let names = PLATFORM_FAULTS.iter().map(|(name, _)| *name).collect();
    json!({
        "control": format!("http://{control}/"),
        "host_state": format!("http://{control}/host-state?host=HOST&state=live|leaving|gone"),
        "platform": { "address": platform, "faults": switches(PLATFORM, names) },
        "targets": world.hosts.values().map(target).collect::<Vec<Value>>(),
    })
}

fn time(uri: &Uri) -> Option<Duration> {
    query_number(uri, "ms").map(Duration::from_millis)
}

fn done() -> Answer {
    text(StatusCode::OK, "done")
}

fn unknown_fault() -> Answer {
    text(StatusCode::BAD_REQUEST, "no fault of this name")
}
