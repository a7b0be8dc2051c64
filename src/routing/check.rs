//! What makes a document invalid, beyond what its decoder finds.

use std::collections::BTreeSet;

use super::Document;
use super::Invalid;
use super::Route;
use super::errors::Finding;

/// Looks for all that is wrong with a document.
pub fn check(document: &Document) -> Result<(), Invalid> {
    let mut found = Vec::new();
    let services: BTreeSet<&str> =
        document.services.iter().map(|service| service.name.as_str()).collect();
    let mut places = BTreeSet::new();
    for (nth, route) in document.routes.iter().enumerate() {
        let place = format!("routes[{nth}]");
        check_route(route, &services, &place, &mut found);
        if !places.insert((&route.host, &route.prefix)) {
            let text = format!("{}{} has a route already", route.host, route.prefix);
            found.push(Finding::new(&place, text));
        }
    }
    if found.is_empty() { Ok(()) } else { Err(Invalid(found)) }
}

fn check_route(route: &Route, services: &BTreeSet<&str>, place: &str, found: &mut Vec<Finding>) {
    let mut note = |text: String| found.push(Finding::new(place, text));
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            note(format!("{:?} is none of the document's services", target.service));
        }
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        note("the weights of its services add up to 0".to_owned());
    }
    if route.timeout.is_zero() {
        note("the timeout is 0".to_owned());
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        note(format!("{:?} must begin and end with a slash", route.prefix));
    }
}

#[cfg(test)]
mod tests;
