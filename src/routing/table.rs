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
    /// The ranks of organisations, each with each rank of routes, in order.
    ranks: Vec<(u8, u8)>,
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
            for target in &route.targets {
                let first = first_ranks.entry(target.service.clone()).or_insert(route.rank);
                *first = route.rank.min(*first);
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
        let ranks = ranks(document);
        Self { version, hosts, services, first_ranks, organisations, ranks, limits }
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

    /// Whether no other route to the service goes before this one.
    pub fn goes_first(&self, route: &Route, service: &str) -> bool {
        self.first_ranks.get(service).is_none_or(|first| route.rank <= *first)
    }

    /// The rank of an organisation's requests on the route: the organisation's own comes before the route's, which orders
    /// what is of the same organisation's rank.
    pub fn rank(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        let Some(organisation) = organisation else { return route.rank };
        let pair = (organisation.rank.unwrap_or(route.rank), route.rank);
        let before = self.ranks.partition_point(|other| *other < pair);
        u8::try_from(before).unwrap_or(u8::MAX)
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

/// All pairs of an organisation's and a route's rank that requests may have, in order.
fn ranks(document: &Document) -> Vec<(u8, u8)> {
    let routes: BTreeSet<u8> = document.routes.iter().map(|route| route.rank).collect();
    let organisations = document.organisations.iter().flatten();
    let own: BTreeSet<Option<u8>> = organisations.map(|organisation| organisation.rank).collect();
    let pairs = own.iter().flat_map(|own| routes.iter().map(|rank| (own.unwrap_or(*rank), *rank)));
    pairs.collect::<BTreeSet<_>>().into_iter().collect()
}

#[cfg(test)]
mod tests;
