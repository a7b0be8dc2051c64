//! Who sent a request, and what follows from it for where the request may go and what goes before it.

use std::sync::Arc;

use http::HeaderMap;

use super::Call;
use super::call::Shown;
use super::headers;
use super::relay::Layer;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::routing::Credential;
use crate::routing::Organisation;
use crate::routing::Route;
use crate::routing::Table;

/// Who sent a request.
#[derive(Debug, Clone)]
pub enum Caller {
    /// Anyone: the document has no organisations, or the route is open to all.
    Anyone,
    /// A caller of an organisation.
    Of {
        /// The organisation.
        organisation: Arc<Organisation>,
        /// What the caller showed; none where another VM has checked that.
        credential: Option<Credential>,
    },
}

impl Caller {
    /// Finds out who sent a request. `passed_on` is the organisation that another VM names.
    pub fn identify(
        table: &Table,
        route: &Route,
        call: &Call,
        (layer, passed_on): (Layer, Option<&id::Owner>),
    ) -> Result<Self, Refusal> {
        if !table.needs_key(route) {
            return Ok(Self::Anyone);
        }
        match layer {
            Layer::First => Self::shown(table, call.shown),
            Layer::Forwarded => {
                let organisation = passed_on.and_then(|name| table.organisation(name)).cloned();
                let organisation = organisation.ok_or_else(|| unknown_here(passed_on))?;
                Ok(Self::Of { organisation, credential: None })
            }
        }
    }

    fn shown(table: &Table, shown: Shown) -> Result<Self, Refusal> {
        let unauthorized = |why: &str| Refusal::new(Reason::Unauthorized, why);
        let credential = match shown {
            Shown::Key(credential) => credential,
            Shown::Nothing => return Err(unauthorized("the request shows no key")),
            Shown::Several => return Err(unauthorized("the request shows more than one key")),
        };
        let organisation = table.holder(&credential).cloned();
        let organisation =
            organisation.ok_or_else(|| unauthorized("no organisation holds the key"))?;
        Ok(Self::Of { organisation, credential: Some(credential) })
    }

    /// Whether the present document still knows the caller.
    pub fn is_known(&self, table: &Table) -> bool {
        match self {
            Self::Anyone => true,
            Self::Of { credential: Some(credential), .. } => table.holder(credential).is_some(),
            Self::Of { organisation, .. } => table.organisation(&organisation.name).is_some(),
        }
    }

    /// The organisation, where there is one.
    pub fn organisation(&self) -> Option<&Organisation> {
        match self {
            Self::Anyone => None,
            Self::Of { organisation, .. } => Some(organisation),
        }
    }

    /// The organisation's name, where there is one.
    pub fn name(&self) -> Option<&id::Owner> {
        self.organisation().map(|organisation| &organisation.name)
    }

    /// Whether the region may serve the caller's requests on the route: the homes of both bind.
    pub fn allows(&self, route: &Route, region: &id::Region) -> bool {
        let is_home = self.organisation().is_none_or(|organisation| organisation.allows(region));
        is_home && route.allows(region)
    }

    /// Whether any region may serve them.
    pub fn has_home(&self, route: &Route) -> bool {
        let Some(organisation) = self.organisation() else { return true };
        let (own, routes) = (&organisation.homes, &route.homes);
        own.is_empty() || routes.is_empty() || !own.is_disjoint(routes)
    }
}

/// The organisation that another VM names in a request that it passes on.
pub fn passed_on(headers: &HeaderMap) -> Option<id::Owner> {
    headers.get(headers::ORGANISATION)?.to_str().ok()?.parse().ok()
}

/// Two VMs hold different documents for a moment. The other one may still serve the request itself.
fn unknown_here(name: Option<&id::Owner>) -> Refusal {
    let name = name.map_or("none", id::Owner::as_str);
    let text = format!("this VM's document has no organisation {name:?}");
    Refusal::new(Reason::Outdated, text)
}

#[cfg(test)]
mod tests;
