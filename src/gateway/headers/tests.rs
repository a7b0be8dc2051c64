use http::HeaderMap;
use http::HeaderValue;
use http::header;

use super::strip_hop_by_hop;

#[test]
fn what_concerns_one_connection_stays_there() {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close, X-Hop"));
    headers.insert("x-hop", HeaderValue::from_static("1"));
    headers.insert("keep-alive", HeaderValue::from_static("timeout=5"));
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("5"));
    headers.insert("x-end-to-end", HeaderValue::from_static("1"));
    strip_hop_by_hop(&mut headers);
    let left: Vec<&str> = headers.keys().map(|name| name.as_str()).collect();
    assert_eq!(left, ["x-end-to-end"]);
}
