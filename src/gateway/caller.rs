//! Caller authentication, and the regions in which a caller's requests may run.

use std::sync::Arc;

use http::HeaderMap;

use super::Call;
use super::call::Authorization;
use super::headers;
use super::relay::Hop;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::routing::Credential;
use crate::routing::Organisation;
use crate::routing::Route;
use crate::routing::Table;

/// The sender of a request.
#[derive(Debug, Clone)]
pub enum Caller {
    /// The document defines no organisations, or the route is public.
    Anonymous,
    /// A caller that belongs to an organisation.
    Authenticated {
        /// The organisation.
        organisation: Arc<Organisation>,
        /// The presented credential; none if another VM has checked it.
        credential: Option<Credential>,
    },
}

impl Caller {
    /// Authenticates the sender. `forwarded_organisation` is the organisation named by the
    /// forwarding VM.
    pub fn identify(
        table: &Table,
        route: &Route,
        call: &Call,
        (hop, forwarded_organisation): (Hop, Option<&id::Owner>),
    ) -> Result<Self, Refusal> {
        if !table.needs_key(route) {
            return Ok(Self::Anonymous);
        }
        match hop {
            Hop::Ingress => Self::authenticate(table, call.authorization),
            Hop::Forwarded => {
                let organisation =
                    forwarded_organisation.and_then(|name| table.organisation(name)).cloned();
                let organisation =
                    organisation.ok_or_else(|| unknown_organisation(forwarded_organisation))?;
                Ok(Self::Authenticated { organisation, credential: None })
            }
        }
    }

    fn authenticate(table: &Table, authorization: Authorization) -> Result<Self, Refusal> {
        let unauthorized = |why: &str| Refusal::new(Reason::Unauthorized, why);
        let credential = match authorization {
            Authorization::Key(credential) => credential,
            Authorization::Missing => return Err(unauthorized("the request shows no key")),
            Authorization::Ambiguous => {
                return Err(unauthorized("the request shows more than one key"));
            }
        };
        let organisation = table.holder(&credential).cloned();
        let organisation =
            organisation.ok_or_else(|| unauthorized("no organisation holds the key"))?;
        Ok(Self::Authenticated { organisation, credential: Some(credential) })
    }

    /// Whether the given document still accepts the caller.
    pub fn is_known(&self, table: &Table) -> bool {
        match self {
            Self::Anonymous => true,
            Self::Authenticated { credential: Some(credential), .. } => {
                table.holder(credential).is_some()
            }
            Self::Authenticated { organisation, .. } => {
                table.organisation(&organisation.name).is_some()
            }
        }
    }

    /// The organisation, if authenticated.
    pub fn organisation(&self) -> Option<&Organisation> {
        match self {
            Self::Anonymous => None,
            Self::Authenticated { organisation, .. } => Some(organisation),
        }
    }

    /// The name of the organisation, if authenticated.
    pub fn name(&self) -> Option<&id::Owner> {
        self.organisation().map(|organisation| &organisation.name)
    }

    /// Whether the region is a home of both the organisation and the route.
    pub fn allows(&self, route: &Route, region: &id::Region) -> bool {
        let is_home = self.organisation().is_none_or(|organisation| organisation.allows(region));
        is_home && route.allows(region)
    }

    /// Whether organisation and route have a home in common.
    pub fn has_home(&self, route: &Route) -> bool {
        let Some(organisation) = self.organisation() else { return true };
        let (own, routes) = (&organisation.homes, &route.homes);
        own.is_empty() || routes.is_empty() || !own.is_disjoint(routes)
    }
}

/// The organisation named by a forwarding VM.
pub fn forwarded_organisation(headers: &HeaderMap) -> Option<id::Owner> {
    headers.get(headers::ORGANISATION)?.to_str().ok()?.parse().ok()
}

/// Documents can differ between VMs while a change propagates. The forwarding VM may still serve
/// the request itself.
fn unknown_organisation(name: Option<&id::Owner>) -> Refusal {
    let name = name.map_or("none", id::Owner::as_str);
    let text = format!("this VM's document has no organisation {name:?}");
    Refusal::new(Reason::Outdated, text)
}

#[cfg(test)]
mod tests;
