//! What makes a document invalid, beyond what its decoder finds.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::Credential;
use super::Document;
use super::Invalid;
use super::Organisation;
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
    check_organisations(document.organisations.as_deref().unwrap_or_default(), &mut found);
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

/// Names and keys must tell organisations apart, and what they may ask for must be a number that can be counted to.
fn check_organisations(organisations: &[Organisation], found: &mut Vec<Finding>) {
    let mut names = BTreeSet::new();
    let mut holders: HashMap<Credential, usize> = HashMap::new();
    for (nth, organisation) in organisations.iter().enumerate() {
        let place = format!("organisations[{nth}]");
        if !names.insert(&organisation.name) {
            let text =
                format!("{:?} is the name of another one already", organisation.name.as_str());
            found.push(Finding::new(&place, text));
        }
        for (key, credential) in organisation.credentials.iter().enumerate() {
            if let Some(holder) = holders.insert(*credential, nth) {
                let text = format!("organisations[{holder}] has the same key");
                found.push(Finding::new(format!("{place}.keys[{key}]"), text));
            }
        }
        if let Some(allowance) = &organisation.allowance
            && !(allowance.rate.get().is_finite()
                && (0.0..f64::INFINITY).contains(&allowance.burst))
        {
            let text = "the rate and the burst must be finite, and the burst not negative";
            found.push(Finding::new(format!("{place}.allowance"), text));
        }
    }
}

#[cfg(test)]
mod tests;
