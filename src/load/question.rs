//! One request, and the answer that it must get.

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use serde_json::json;

use crate::id;
use crate::load::expected;
use crate::load::scenario::Ask;
use crate::load::scenario::Caller;

/// Names the catalogue entry.
const ENTRY: &str = "mastic-entry";
/// Names the request over all of its resends.
const KEY: &str = "idempotency-key";
/// States the deadline in milliseconds.
const DEADLINE: &str = "mastic-deadline-ms";

/// One request, and the answer that it must get.
#[derive(Debug, Clone)]
pub struct Question {
    /// Names it over all of its resends.
    pub key: id::Key,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The text of the whole answer.
    pub answer: String,
    method: Method,
    path: String,
    entry: id::Entry,
    body: Bytes,
    deadline_ms: u128,
}

/// `size` bytes of text that is a function of `number`.
fn filler(number: u64, size: usize) -> String {
    let line = format!("strike {number} near field {}; ", number % 97);
    line.chars().cycle().take(size).collect()
}

impl Question {
    /// The `number`th request of a kind of caller; `run` tells apart the requests of two runs.
    pub fn new(caller: &Caller, number: u64, run: u64) -> Self {
        let name = format!("{}-{run:016x}-{number}", caller.name);
        let marked =
            caller.marker.as_ref().filter(|marker| (number + 1).is_multiple_of(marker.every));
        let marker = marked.map(|marker| format!(" [[{}]]", marker.fault)).unwrap_or_default();
        let ending = format!(" {name}{marker}");
        let (method, path, stream, body, answer) = match &caller.ask {
            Ask::Engine { model, stream, prompt, contexts, words } => {
                let common = filler(number % contexts, prompt * 3 / 4);
                let prompt = common + &filler(number, prompt / 4) + &ending;
                let answer = expected::answer(&prompt, *words);
                let body = json!({
                    "model": model,
                    "stream": stream,
                    "max_tokens": words,
                    "messages": [{"role": "user", "content": prompt}],
                });
                let path = "/v1/chat/completions".to_owned();
                (Method::POST, path, *stream, body.to_string(), answer)
            }
            Ask::Service { path, body } => {
                let body = filler(number, *body) + &ending;
                let prompt = expected::service_prompt("PUT", path, &body);
                let answer = expected::answer(&prompt, expected::SERVICE_WORDS);
                let path = format!("/services/{}{path}", caller.entry);
                (Method::PUT, path, false, body, answer)
            }
        };
        Self {
            key: name.parse().unwrap_or_else(|_| short_key(number, run)),
            stream,
            answer,
            method,
            path,
            entry: caller.entry.clone(),
            body: Bytes::from(body),
            deadline_ms: caller.deadline.as_millis(),
        }
    }

    /// The request for a VM; `target` is the path that a redirect names.
    pub fn request(
        &self,
        host: &str,
        target: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder()
            .method(self.method.clone())
            .uri(target.unwrap_or(&self.path))
            .header(header::HOST, host)
            .header(header::CONTENT_TYPE, "application/json")
            .header(ENTRY, self.entry.as_str())
            .header(KEY, self.key.as_str())
            .header(DEADLINE, self.deadline_ms.to_string())
            .body(Full::new(self.body.clone()))
    }
}

/// A key where the row's name doesn't make one; digits always do.
fn short_key(number: u64, run: u64) -> id::Key {
    format!("{run:016x}-{number}").parse().expect("digits and a dash are a key")
}
