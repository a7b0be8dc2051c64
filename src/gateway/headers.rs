//! Hop-by-hop headers, and the headers exchanged between VMs.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::decide::place::Outlook;

/// Between VMs: the expected time to the first event in the sender's region, in milliseconds.
const OUTLOOK: HeaderName = HeaderName::from_static("mastic-outlook-ms");

/// Between VMs: the number of requests running on the upstream that a typical request would get.
/// Zero is assumed for older VMs, which do not send it.
const OUTLOOK_RUNNING: HeaderName = HeaderName::from_static("mastic-outlook-running");

/// Between VMs: the number of further requests that the sender's region could place. It is absent if unknown.
const OUTLOOK_ROOM: HeaderName = HeaderName::from_static("mastic-outlook-room");

/// Between VMs: the request may have reached an upstream before, so that sending it is a retry.
pub const RETRY: HeaderName = HeaderName::from_static("mastic-repeat");

/// Between VMs: the receiver counts the request for the retry budget, which no VM has done before. Each request counts
/// once, however many VMs and upstreams it is sent to.
pub const COUNTED_BY_RECEIVER: HeaderName = HeaderName::from_static("mastic-counted-by-receiver");

/// Between VMs, in a refusal: the request reached an upstream, so that sending it to another is a
/// retry.
///
/// Guards against unbudgeted retries under overload: without it, a request refused by the upstreams
/// of two regions would be sent to a third one as a first attempt.
pub const REACHED_UPSTREAM: HeaderName = HeaderName::from_static("mastic-arrived");

/// Between VMs: the caller's organisation, authenticated by the sender.
pub const ORGANISATION: HeaderName = HeaderName::from_static("mastic-organisation");

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and the length, which hyper derives from the body.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The outlook reported in another VM's response.
pub fn parse_outlook(headers: &HeaderMap) -> Option<Outlook> {
    let number =
        |name: &HeaderName| -> Option<u64> { headers.get(name)?.to_str().ok()?.parse().ok() };
    let count =
        |name: &HeaderName| number(name).map(|count| u32::try_from(count).unwrap_or(u32::MAX));
    let wait = Duration::from_millis(number(&OUTLOOK)?);
    let (running, room) = (count(&OUTLOOK_RUNNING).unwrap_or(0), count(&OUTLOOK_ROOM));
    Some(Outlook { wait, running, room })
}

/// Reports this region's outlook to another VM.
pub fn insert_outlook(headers: &mut HeaderMap, outlook: &Outlook) {
    headers.insert(OUTLOOK, HeaderValue::from(outlook.wait.as_millis() as u64));
    headers.insert(OUTLOOK_RUNNING, HeaderValue::from(outlook.running));
    if let Some(room) = outlook.room {
        headers.insert(OUTLOOK_ROOM, HeaderValue::from(room));
    }
}

/// Removes hop-by-hop headers, those listed in `Connection`, and the headers exchanged between VMs.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP
        .iter()
        .chain([&KEEP_ALIVE, &PROXY_CONNECTION, &OUTLOOK, &OUTLOOK_RUNNING, &OUTLOOK_ROOM])
        .chain([&RETRY, &COUNTED_BY_RECEIVER, &REACHED_UPSTREAM, &ORGANISATION])
        .chain(&named)
    {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
