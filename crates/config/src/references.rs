//! Checks of what services and tenants say about each other.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;
use crate::model::{Service, ServiceKind};
use crate::parse::Draft;

pub(crate) fn check(draft: &Draft, diagnostics: &mut Diagnostics) {
    check_tokens(draft, diagnostics);
    for service in draft.config.services.values() {
        check_names(draft, service, diagnostics);
    }
    check_cycles(draft, diagnostics);
}

/// Two tenants with one token couldn't be told apart by their requests.
fn check_tokens(draft: &Draft, diagnostics: &mut Diagnostics) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in draft
        .config
        .tenants
        .values()
        .filter(|t| !t.token_sha256.is_empty())
    {
        if let Some(other) = owners.insert(&tenant.token_sha256, &tenant.name) {
            let line = draft.token_lines[&tenant.name];
            let what = format!("tenant {other} has the same token, write each tenant's own");
            diagnostics.add(line, what);
        }
    }
}

fn check_names(draft: &Draft, service: &Service, diagnostics: &mut Diagnostics) {
    let services = &draft.config.services;
    let lines = &draft.lines[&service.name];
    for name in service
        .depends_on
        .iter()
        .filter(|n| !services.contains_key(*n))
    {
        let what =
            format!("no service {name} in this text, write one that is or add [service {name}]");
        diagnostics.add(lines.depends_on, what);
    }
    let ServiceKind::Adapter { base, .. } = &service.kind else {
        return;
    };
    if base.is_empty() {
        return;
    }
    match services.get(base).map(|s| &s.kind) {
        Some(ServiceKind::Model(_)) => {}
        Some(_) => diagnostics.add(
            lines.base,
            format!("{base} is no model service, write one that is"),
        ),
        // Its own mistake is told at its own line.
        None if draft.has_service_section(base) => {}
        None => {
            let what = format!("no service {base} in this text, write a model service of it");
            diagnostics.add(lines.base, what);
        }
    }
}

/// Services in a cycle wait for each other and none of them would ever serve.
fn check_cycles(draft: &Draft, diagnostics: &mut Diagnostics) {
    let services = &draft.config.services;
    let mut done: BTreeSet<&SmolStr> = BTreeSet::new();
    for start in services.keys() {
        let mut path: Vec<(&SmolStr, Vec<&SmolStr>)> = Vec::new();
        if !done.contains(start) {
            path.push((start, needs(&services[start])));
        }
        // Depth first with a list of its own: a long chain in the text must not
        // run out of call stack.
        while let Some((name, todo)) = path.last_mut() {
            let Some(next) = todo.pop() else {
                done.insert(name);
                path.pop();
                continue;
            };
            if let Some(at) = path.iter().position(|(n, _)| *n == next) {
                report_cycle(
                    draft,
                    path[at..].iter().map(|(n, _)| *n).collect(),
                    diagnostics,
                );
            } else if !done.contains(next) && services.contains_key(next) {
                path.push((next, needs(&services[next])));
            }
        }
    }
}

fn needs(service: &Service) -> Vec<&SmolStr> {
    let base = match &service.kind {
        ServiceKind::Adapter { base, .. } => Some(base),
        _ => None,
    };
    service.depends_on.iter().chain(base).collect()
}

fn report_cycle(draft: &Draft, cycle: Vec<&SmolStr>, diagnostics: &mut Diagnostics) {
    let (first, last) = (cycle[0], cycle[cycle.len() - 1]);
    let mut shown: Vec<&str> = cycle.iter().map(|n| n.as_str()).collect();
    shown.push(first);
    let lines = &draft.lines[last];
    let by_list = draft.config.services[last].depends_on.contains(first);
    let line = if by_list {
        lines.depends_on
    } else {
        lines.base
    };
    let what = format!(
        "{} need each other in a cycle, break it here",
        shown.join(" -> ")
    );
    diagnostics.add(line, what);
}
