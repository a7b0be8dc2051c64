//! What a caller's path asks for.

use http::Method;
use http::Request;
use hyper::body::Incoming;

use crate::http::Reason;
use crate::http::Refusal;

/// What a path asks for.
pub enum Target {
    /// The VMs to ask.
    Directory,
    /// The models of the entry that the path or a header names.
    Models(Option<String>),
    /// A model's answer.
    Completion {
        /// The entry, where the path names it.
        entry: Option<String>,
        /// The path at the upstream.
        path: String,
    },
    /// A plain service's answer.
    Service {
        /// The entry.
        entry: String,
        /// Path and query at the upstream.
        path: String,
    },
}

impl Target {
    /// Reads a request's method and path.
    pub fn of(request: &Request<Incoming>) -> Result<Self, Refusal> {
        let path = request.uri().path();
        let not_found = || {
            let known = "/directory, /v1/models, /v1/chat/completions, /v1/completions, \
                         /entries/{entry}/v1/… and /services/{entry}/…";
            Refusal::new(Reason::NotFound, format!("no such path here; there are {known}"))
        };
        if path == "/directory" {
            return Ok(Self::Directory);
        }
        if let Some(rest) = path.strip_prefix("/services/") {
            let (entry, rest) = rest.split_once('/').unwrap_or((rest, ""));
            let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
            return Ok(Self::Service { entry: entry.to_owned(), path: format!("/{rest}{query}") });
        }
        let (entry, path) = match path.strip_prefix("/entries/") {
            Some(rest) => {
                let (entry, rest) = rest.split_once('/').ok_or_else(not_found)?;
                (Some(entry.to_owned()), format!("/{rest}"))
            }
            None => (None, path.to_owned()),
        };
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/models") => Ok(Self::Models(entry)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                Ok(Self::Completion { entry, path })
            }
            _ => Err(not_found()),
        }
    }
}
