use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;
use yare::parameterized;

use super::Patience;
use super::Sink;
use super::is_framed;
use crate::entry::transcript::Writer;
use crate::http::client::Client;
use crate::http::memory::Budget;
use crate::unit;

/// A body whose length is not known.
fn unsized_body() -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, hyper::Error>>> {
    StreamBody::new(stream::empty())
}

// Guards against answers without a body that are taken for broken ones when their upstream ends after them.
#[test]
fn only_an_answer_that_ends_with_its_connection_has_no_known_end() {
    assert!(is_framed(&Response::new(Empty::<Bytes>::new())));
    assert!(is_framed(&Response::new(Full::new(Bytes::from_static(b"whole")))));
    let chunked = Response::builder().header(header::TRANSFER_ENCODING, "chunked");
    assert!(is_framed(&chunked.body(unsized_body()).unwrap()));
    assert!(!is_framed(&Response::new(unsized_body())));
    for (codings, expected) in [("gzip", false), ("chunked, gzip", false), ("gzip, Chunked", true)]
    {
        let coded = Response::builder().header("transfer-encoding", codings);
        assert_eq!(is_framed(&coded.body(unsized_body()).unwrap()), expected, "{codings}");
    }
}

/// Guards against answers without end that fill the memory of the process, each within its own limit.
#[parameterized(
    whole = { "text/plain", "0123456789abcdef" },
    an_event = { "text/event-stream", "0123456789abcdef" },
    many_events = { "text/event-stream", "data: 0123456789\n\n" },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_memory_fails(media: &str, piece: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {media}\r\n\r\n");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        while stream.write_all(piece.repeat(4096).as_bytes()).await.is_ok() {}
    });
    let request = Request::builder().uri("/x").header("host", "a.example");
    let request = request.body(Full::default()).unwrap();
    let (response, _lease) = Client::new().send(address, request).await.unwrap();
    let budget = Budget::new(unit::Bytes::new(1 << 20));
    let out = Writer::new(budget.reservation());
    let patience = Duration::from_secs(5);
    let sink = Sink {
        out: &out,
        marks: Vec::new(),
        begins: &|| true,
        events: true,
        patience: Patience { first: patience, between: patience },
        deadline: Instant::now() + patience,
    };
    let failure = sink.pass(response).await.unwrap_err();
    assert_eq!(failure.why, "there is no memory for the answer at present");
    drop(out);
    assert_eq!(budget.reserved(), unit::Bytes::ZERO);
}
