use bytes::Bytes;
use futures::stream;
use http::Response;
use http::header;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::is_framed;

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
}
