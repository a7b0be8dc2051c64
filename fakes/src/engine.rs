//! The protocol of a model engine.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time;
use tokio::time::Instant;

use crate::answer;
use crate::body;
use crate::body::Body;
use crate::cache;
use crate::fault::Fault;
use crate::order::Order;
use crate::order::Task;
use crate::run::Guard;
use crate::run::Outcome;
use crate::run::Run;
use crate::slots::Permit;
use crate::state::State;

/// Pieces of an answer whose request doesn't say how many.
const USUAL_TOKENS: usize = 16;

/// The attempt that a crossed answer claims to be of.
const OTHER_ATTEMPT: &str = "ffffffffffffffffffffffffffffffff";

/// The members of a request that matter here.
#[derive(Debug, Deserialize)]
struct Asked {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    messages: Option<Vec<Value>>,
    prompt: Option<Value>,
}

impl Asked {
    /// The text that the answer is a function of: all contents, one a line.
    fn prompt(&self) -> String {
        let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        match (&self.messages, &self.prompt) {
            (Some(messages), _) => {
                messages.iter().map(|m| text(&m["content"])).collect::<Vec<_>>().join("\n")
            }
            (None, Some(prompt)) => text(prompt),
            (None, None) => String::new(),
        }
    }

    fn tokens(&self) -> usize {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(USUAL_TOKENS).max(1)
    }
}

pub(crate) async fn handle(
    state: Arc<State>,
    request: Request<Incoming>,
    connection: u64,
) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            let chat = path.contains("chat");
            complete(state, request, chat, connection).await
        }
        (&Method::GET, "/events") => Ok(events(&state, request.uri().query().unwrap_or_default())),
        (&Method::POST, "/orders") => order(&state, request).await,
        (method, path) if path.starts_with("/kv/") => Ok(kv(&state, method, &path[4..])),
        _ => Ok(body::status(StatusCode::NOT_FOUND)),
    }
}

/// Runs a request, with whatever is to go wrong with it.
async fn complete(
    state: Arc<State>,
    request: Request<Incoming>,
    chat: bool,
    connection: u64,
) -> io::Result<Response<Body>> {
    let (parts, incoming) = request.into_parts();
    let bytes = incoming.collect().await.map_err(io::Error::other)?.to_bytes();
    let Ok(asked) = serde_json::from_slice::<Asked>(&bytes) else {
        return Ok(body::status(StatusCode::BAD_REQUEST));
    };
    let known = |model: &String| state.with(|inner| inner.models.contains(model));
    if !asked.model.as_ref().is_none_or(known) {
        return Ok(body::status(StatusCode::NOT_FOUND));
    }
    let prompt = asked.prompt();
    let fault = state.fault(&prompt);
    if fault == Some(Fault::Refuse) {
        return Ok(body::not_run());
    }
    let mut answering = Answering::begin(state, &parts.headers, &prompt, connection).await;
    let (first, token) = answering.speed(&prompt, fault);
    answering.token = token;
    match fault {
        Some(Fault::Crash) => {
            answering.state.crash.notify_one();
            return std::future::pending().await;
        }
        Some(Fault::CutAfter(count)) => answering.cut_after = Some(count),
        Some(Fault::SilentAfter(count)) => answering.silent_after = Some(count),
        _ => {}
    }
    let crossed = fault == Some(Fault::Crossed);
    let text = if crossed { format!("{prompt} of another") } else { prompt };
    answering.words = answer::words(&text, asked.tokens());
    answering.chat = chat;
    time::sleep(first).await;
    let mut response =
        if asked.stream { answering.stream() } else { answering.whole(&text).await? };
    let own = parts.headers.get("mastic-attempt").cloned();
    let echoed = if crossed { Some(HeaderValue::from_static(OTHER_ATTEMPT)) } else { own };
    if let Some(echoed) = echoed {
        response.headers_mut().insert("mastic-attempt", echoed);
    }
    Ok(response)
}

/// An answer in the making; dropping it gives the slot back and logs the run as cut.
struct Answering {
    state: Arc<State>,
    connection: u64,
    words: Vec<String>,
    next: usize,
    chat: bool,
    done: bool,
    token: Duration,
    cut_after: Option<usize>,
    silent_after: Option<usize>,
    guard: Guard,
    // In this order: the load is noted when the slot is free.
    _permit: Permit,
    _freed: Freed,
}

/// Notes the load when it is dropped.
struct Freed(Arc<State>);

impl Drop for Freed {
    fn drop(&mut self) {
        self.0.note_load();
    }
}

impl Answering {
    async fn begin(state: Arc<State>, headers: &HeaderMap, prompt: &str, connection: u64) -> Self {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        let priority = text("mastic-priority").and_then(|text| text.parse().ok()).unwrap_or(0);
        let offset = text("mastic-resume-offset").and_then(|text| text.parse().ok()).unwrap_or(0);
        state.note_load();
        let permit = state.slots().take(priority).await;
        state.note_load();
        let guard = state.log.begin(Run {
            attempt: text("mastic-attempt"),
            key: text("idempotency-key"),
            prompt: answer::digest(prompt),
            priority,
            outcome: Outcome::Running,
        });
        Self {
            connection,
            words: Vec::new(),
            next: offset,
            chat: false,
            done: false,
            token: Duration::ZERO,
            cut_after: None,
            silent_after: None,
            guard,
            _permit: permit,
            _freed: Freed(Arc::clone(&state)),
            state,
        }
    }

    /// Time to the first piece and for each of the others.
    fn speed(&self, prompt: &str, fault: Option<Fault>) -> (Duration, Duration) {
        let settings = &self.state.settings;
        let (cached, slowdown) = self.state.with(|inner| {
            let cached = inner.cache.touch(&cache::prefix(prompt), Instant::now());
            (cached, inner.slowdown)
        });
        let first = if cached { settings.cached_first_token } else { settings.first_token };
        let (first, token) = (first.mul_f64(slowdown), settings.token_time.mul_f64(slowdown));
        match fault {
            Some(Fault::Late(late)) => (first + late, token),
            Some(Fault::Slow(slow)) => (first, slow),
            _ => (first, token),
        }
    }

    /// Waits for the next piece; `Err` where the connection breaks, never where it is silent.
    async fn wait(&self) -> io::Result<()> {
        if self.cut_after.is_some_and(|count| self.next >= count) {
            return Err(io::Error::other("cut"));
        }
        let told = self.silent_after.is_some_and(|count| self.next >= count);
        if told || self.state.is_silent(self.connection) {
            return std::future::pending().await;
        }
        Ok(())
    }

    async fn frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.done {
            return None;
        }
        if self.next > 0 {
            time::sleep(self.token).await;
        }
        if let Err(cut) = self.wait().await {
            self.done = true;
            return Some(Err(cut));
        }
        let Some(word) = self.words.get(self.next) else {
            self.done = true;
            self.guard.complete();
            return Some(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))));
        };
        let separator = if self.next == 0 { "" } else { " " };
        let event = chunk(self.chat, &format!("{separator}{word}"));
        self.next += 1;
        Some(Ok(Frame::data(Bytes::from(format!("data: {event}\n\n")))))
    }

    fn stream(self) -> Response<Body> {
        let frames = stream::unfold(self, |mut answering| async {
            let frame = answering.frame().await?;
            Some((frame, answering))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, events);
        response
    }

    async fn whole(mut self, prompt: &str) -> io::Result<Response<Body>> {
        while self.next < self.words.len() {
            self.wait().await?;
            time::sleep(self.token).await;
            self.next += 1;
        }
        self.wait().await?;
        self.guard.complete();
        let text = self.words.join(" ");
        let choice = match self.chat {
            true => json!({"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text}}),
            false => json!({"index": 0, "finish_reason": "stop", "text": text}),
        };
        let (asked, answered) = (prompt.len() / 4, self.words.len());
        let usage = json!({"prompt_tokens": asked, "completion_tokens": answered,
            "total_tokens": asked + answered});
        Ok(body::json(StatusCode::OK, &json!({"choices": [choice], "usage": usage})))
    }
}

fn chunk(chat: bool, text: &str) -> Value {
    match chat {
        true => json!({"object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": text}}]}),
        false => json!({"object": "text_completion", "choices": [{"index": 0, "text": text}]}),
    }
}

fn events(state: &State, query: &str) -> Response<Body> {
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let since = since.and_then(|text| text.parse().ok()).unwrap_or(0);
    let lag = state.settings.event_lag;
    let events = state.with(|inner| inner.cache.events(since, lag, Instant::now()));
    body::json(StatusCode::OK, &json!({ "events": events }))
}

/// Exports or imports the KV cache of a prefix; its content stands for the prefix alone.
fn kv(state: &State, method: &Method, prefix: &str) -> Response<Body> {
    match *method {
        Method::PUT => {
            state.with(|inner| inner.cache.touch(prefix, Instant::now()));
            body::status(StatusCode::NO_CONTENT)
        }
        Method::GET if state.with(|inner| inner.cache.contains(prefix)) => {
            Response::new(body::whole(format!("kv of {prefix}")))
        }
        _ => body::status(StatusCode::NOT_FOUND),
    }
}

async fn order(state: &State, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let bytes = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
        return Ok(body::status(StatusCode::BAD_REQUEST));
    };
    if !state.admit(&order) {
        return Ok(body::status(StatusCode::CONFLICT));
    }
    if order.kind == Task::Load {
        time::sleep(state.settings.load_time).await;
    }
    state.carry_out(&order);
    Ok(body::status(StatusCode::OK))
}
