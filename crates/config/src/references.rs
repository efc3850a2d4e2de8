//! Validates references between services and the uniqueness of tenant tokens.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::diagnostics::Diagnostics;
use crate::model::{Service, ServiceKind};
use crate::parse::ConfigBuilder;

pub(crate) fn check(builder: &ConfigBuilder, diagnostics: &mut Diagnostics) {
    check_tokens(builder, diagnostics);
    for service in builder.config.services.values() {
        check_references(builder, service, diagnostics);
    }
    check_cycles(builder, diagnostics);
}

/// A request's token must identify a single tenant.
fn check_tokens(builder: &ConfigBuilder, diagnostics: &mut Diagnostics) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in builder
        .config
        .tenants
        .values()
        .filter(|t| !t.token_sha256.is_empty())
    {
        if let Some(other) = owners.insert(&tenant.token_sha256, &tenant.name) {
            let line = builder.token_lines[&tenant.name];
            let message = format!("tenant {other} has the same token, each tenant needs its own");
            diagnostics.add(line, message);
        }
    }
}

fn check_references(builder: &ConfigBuilder, service: &Service, diagnostics: &mut Diagnostics) {
    let services = &builder.config.services;
    let lines = &builder.lines[&service.name];
    for name in service
        .depends_on
        .iter()
        .filter(|n| !services.contains_key(*n))
    {
        let message =
            format!("unknown service {name}, use an existing one or add [service {name}]");
        diagnostics.add(lines.depends_on, message);
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
            format!("{base} is not a model service, `base` must name one"),
        ),
        // The errors of that section were already reported.
        None if builder.has_service_section(base) => {}
        None => {
            let message = format!("unknown service {base}, `base` must name a model service");
            diagnostics.add(lines.base, message);
        }
    }
}

/// Reports dependency cycles: their services would wait for each other forever.
fn check_cycles(builder: &ConfigBuilder, diagnostics: &mut Diagnostics) {
    let services = &builder.config.services;
    let mut visited: BTreeSet<&SmolStr> = BTreeSet::new();
    for start in services.keys() {
        let mut path: Vec<(&SmolStr, Vec<&SmolStr>)> = Vec::new();
        if !visited.contains(start) {
            path.push((start, dependencies(&services[start])));
        }
        // Depth-first search with an explicit stack: a long dependency chain must
        // not overflow the call stack.
        while let Some((name, pending)) = path.last_mut() {
            let Some(next) = pending.pop() else {
                visited.insert(name);
                path.pop();
                continue;
            };
            if let Some(at) = path.iter().position(|(n, _)| *n == next) {
                report_cycle(
                    builder,
                    path[at..].iter().map(|(n, _)| *n).collect(),
                    diagnostics,
                );
            } else if !visited.contains(next) && services.contains_key(next) {
                path.push((next, dependencies(&services[next])));
            }
        }
    }
}

fn dependencies(service: &Service) -> Vec<&SmolStr> {
    let base = match &service.kind {
        ServiceKind::Adapter { base, .. } => Some(base),
        _ => None,
    };
    service.depends_on.iter().chain(base).collect()
}

fn report_cycle(builder: &ConfigBuilder, cycle: Vec<&SmolStr>, diagnostics: &mut Diagnostics) {
    let (first, last) = (cycle[0], cycle[cycle.len() - 1]);
    let mut names: Vec<&str> = cycle.iter().map(|n| n.as_str()).collect();
    names.push(first);
    let lines = &builder.lines[last];
    let in_depends_on = builder.config.services[last].depends_on.contains(first);
    let line = if in_depends_on {
        lines.depends_on
    } else {
        lines.base
    };
    let message = format!("dependency cycle {}, break it here", names.join(" -> "));
    diagnostics.add(line, message);
}
