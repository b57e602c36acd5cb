//! Consistency checks across the sections of a declaration.

use std::collections::BTreeSet;

use sailtrack_settings::{Document, Fault};
use sailtrack_units::ServiceName;

use crate::declaration::Declaration;

/// Reports references to undeclared services, and routes that more than one kind claims.
pub(crate) fn report_contradictions(declaration: &Declaration, document: &Document) {
    let services: BTreeSet<&ServiceName> = declaration
        .services
        .iter()
        .map(|service| &service.name)
        .collect();
    report_unknown_services(declaration, document, &services);
    report_shared_routes(declaration, document);
}

fn undeclared(service: &ServiceName, services: &BTreeSet<&ServiceName>) -> Fault {
    let declared: Vec<String> = services.iter().map(ToString::to_string).collect();
    Fault::Value {
        value: service.to_string(),
        reason: "the service is not declared".to_owned(),
        allowed: declared.join(", "),
    }
}

fn report_unknown_services(
    declaration: &Declaration,
    document: &Document,
    services: &BTreeSet<&ServiceName>,
) {
    for kind in &declaration.kinds {
        if !services.contains(&kind.service) {
            let section = format!("kind {}", kind.name);
            document.report(
                &section,
                Some("service"),
                undeclared(&kind.service, services),
            );
        }
    }
    for event in &declaration.events {
        for service in &event.services {
            if !services.contains(service) {
                let section = format!("event {}", event.name);
                document.report(&section, Some("services"), undeclared(service, services));
            }
        }
    }
}

fn report_shared_routes(declaration: &Declaration, document: &Document) {
    for (index, kind) in declaration.kinds.iter().enumerate() {
        let earlier = &declaration.kinds[..index];
        let Some(first) = earlier.iter().find(|other| other.route == kind.route) else {
            continue;
        };
        let section = format!("kind {}", kind.name);
        let fault = Fault::Contradiction(format!("kind {} has this route already", first.name));
        document.report(&section, Some("route"), fault);
    }
}
