//! A caller: sends one request and reads its answer whole.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use masticstream::http::client::Client;
use masticstream::http::refusal::Problem;

/// One request.
#[derive(Debug, Clone)]
pub struct Caller {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body ended as it should.
    pub complete: bool,
}

impl Caller {
    /// A model request for a catalogue entry.
    pub fn chat(entry: &str, prompt: &str, tokens: usize, stream: bool) -> Self {
        let body = serde_json::json!({
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        });
        Self {
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers: vec![("mastic-entry".to_owned(), entry.to_owned())],
            body: body.to_string(),
        }
    }

    /// A model request with that body, whatever it is.
    pub fn raw(entry: &str, body: &str) -> Self {
        Self { body: body.to_owned(), ..Self::chat(entry, "", 1, false) }
    }

    /// A call of a plain service.
    pub fn service(entry: &str, path: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            path: format!("/services/{entry}/{path}"),
            headers: Vec::new(),
            body: body.to_owned(),
        }
    }

    /// The same with another header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same under an idempotency key.
    #[must_use]
    pub fn with_key(self, key: &str) -> Self {
        self.with("idempotency-key", key)
    }

    /// Sends it to a VM; an error where the connection broke before the head of an answer.
    pub async fn send(&self, to: SocketAddr) -> Result<Answer, String> {
        let mut request =
            Request::builder().method(self.method.clone()).uri(&self.path).header("host", "test");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())));
        let request = request.map_err(|error| error.to_string())?;
        let sent = Client::new().send(to, request).await;
        let (response, _lease) = sent.map_err(|error| error.to_string())?;
        let (head, mut incoming) = response.into_parts();
        let mut bytes = Vec::new();
        let complete = loop {
            match incoming.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            }
        };
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Answer { status: head.status, headers: head.headers, body, complete })
    }
}

impl Answer {
    /// The refusal that the answer is.
    pub fn problem(&self) -> Problem {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no refusal: {self:?}"))
    }

    /// The text that the events of a whole stream add up to; none where it isn't whole.
    pub fn streamed(&self) -> Option<String> {
        let events: Vec<&str> = self.body.split("\n\n").filter(|event| !event.is_empty()).collect();
        let (last, pieces) = events.split_last()?;
        if *last != "data: [DONE]" {
            return None;
        }
        let texts = pieces.iter().filter_map(|event| event.strip_prefix("data: "));
        texts.map(piece).collect()
    }
}

fn piece(json: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(json).ok()?;
    let delta = &value["choices"][0]["delta"];
    Some(delta["content"].as_str().unwrap_or_default().to_owned())
}
