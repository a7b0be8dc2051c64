//! Finding the route of a request.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use super::Credential;
use super::Document;
use super::Limits;
use super::Organisation;
use super::Route;
use super::Service;
use super::document;
use crate::id;
use crate::unit::Version;

/// A document made ready for lookups.
#[derive(Debug, Default)]
pub struct Table {
    version: Version,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    /// The first rank among the routes to each service.
    first_ranks: HashMap<String, u8>,
    organisations: Option<Organisations>,
    limits: Limits,
}

/// The organisations of a document, by what their callers show and by name.
#[derive(Debug, Default)]
struct Organisations {
    by_credential: HashMap<Credential, Arc<Organisation>>,
    by_name: HashMap<id::Owner, Arc<Organisation>>,
}

impl Organisations {
    fn new(all: &[Organisation]) -> Self {
        let mut organisations = Self::default();
        for organisation in all {
            let organisation = Arc::new(organisation.clone());
            for credential in &organisation.credentials {
                organisations.by_credential.insert(*credential, organisation.clone());
            }
            organisations.by_name.insert(organisation.name.clone(), organisation);
        }
        organisations
    }
}

impl Table {
    /// The table of a document.
    pub fn new(document: &Document) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut first_ranks: HashMap<String, u8> = HashMap::new();
        for route in &document.routes {
            let rank = first_rank(document, route);
            for target in &route.targets {
                let first = first_ranks.entry(target.service.clone()).or_insert(rank);
                *first = rank.min(*first);
            }
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = document.services.iter();
        let services =
            services.map(|service| (service.name.clone(), Arc::new(service.clone()))).collect();
        let (version, limits) = (document.version, document.limits.clone());
        let organisations = document.organisations.as_deref().map(Organisations::new);
        Self { version, hosts, services, first_ranks, organisations, limits }
    }

    /// The document's number.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// What callers may send.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route with the longest prefix that begins the path. A port after the host doesn't count.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The regions that may serve most of the host's routes that are bound; empty where none is.
    pub fn homes(&self, host: &str) -> BTreeSet<id::Region> {
        document::homes(self.routes(host).into_iter().flatten().map(Arc::as_ref))
    }

    fn routes(&self, host: &str) -> Option<&Vec<Arc<Route>>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))
    }

    /// Whether no request to the service goes before one of that rank.
    pub fn goes_first(&self, rank: u8, service: &str) -> bool {
        self.first_ranks.get(service).is_none_or(|first| rank <= *first)
    }

    /// Whether callers of that route must show a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.organisations.is_some() && !route.public
    }

    /// Whether callers of any route must show a key.
    pub const fn has_organisations(&self) -> bool {
        self.organisations.is_some()
    }

    /// The organisation that holds the key.
    pub fn holder(&self, credential: &Credential) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.by_credential.get(credential)
    }

    /// The organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        let all = self.organisations.iter().flat_map(|all| all.by_name.values());
        all.map(Arc::as_ref)
    }

    /// The organisation of that name.
    pub fn organisation(&self, name: &id::Owner) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.by_name.get(name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// The first rank that a request on the route may have; an organisation's own goes before the route's.
fn first_rank(document: &Document, route: &Route) -> u8 {
    let organisations = document.organisations.as_deref().filter(|_| !route.public);
    let ranks = organisations.unwrap_or_default().iter();
    ranks.map(|organisation| organisation.rank.unwrap_or(route.rank)).min().unwrap_or(route.rank)
}

#[cfg(test)]
mod tests;
