//! Headers that concern one connection only, and the system's own between its VMs.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::decide::place::Outlook;

/// Between VMs: the expected time to the first event in the sender's region, in milliseconds.
const OUTLOOK: HeaderName = HeaderName::from_static("mastic-outlook-ms");

/// Between VMs: the requests that run in the upstream that a usual request would go to there. VMs of the version before
/// don't send it; they are taken to have idle upstreams.
const OUTLOOK_RUNNING: HeaderName = HeaderName::from_static("mastic-outlook-running");

/// Between VMs: the request may have arrived at an upstream before, so that sending it to one is a repeat.
pub const REPEAT: HeaderName = HeaderName::from_static("mastic-repeat");

/// Between VMs, in a refusal: the request arrived at an upstream, so that sending it to another one is a repeat.
///
/// Failure: the upstreams of two regions refuse a request, and the VM that its caller asked sends it to a third one as if
/// for the first time. Under overload a service gets hundreds of repeats that no budget counts.
pub const ARRIVED: HeaderName = HeaderName::from_static("mastic-arrived");

/// Between VMs: the organisation whose caller sent the request, which the sender has checked.
pub const ORGANISATION: HeaderName = HeaderName::from_static("mastic-organisation");

/// Headers that concern one connection (RFC 9110, 7.6.1), and the length, which the library writes by the body.
const HOP: [HeaderName; 9] = [
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

/// The outlook that another VM's answer tells.
pub fn outlook(headers: &HeaderMap) -> Option<Outlook> {
    let number = |name: &HeaderName| headers.get(name)?.to_str().ok()?.parse().ok();
    let wait = Duration::from_millis(number(&OUTLOOK)?);
    let running = number(&OUTLOOK_RUNNING).unwrap_or(0);
    Some(Outlook { wait, running: u32::try_from(running).unwrap_or(u32::MAX) })
}

/// Tells another VM how this region stands.
pub fn tell_outlook(headers: &mut HeaderMap, outlook: &Outlook) {
    headers.insert(OUTLOOK, HeaderValue::from(outlook.wait.as_millis() as u64));
    headers.insert(OUTLOOK_RUNNING, HeaderValue::from(outlook.running));
}

/// Takes out what must not be passed on, also what `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP
        .iter()
        .chain([&KEEP_ALIVE, &PROXY_CONNECTION, &OUTLOOK, &OUTLOOK_RUNNING])
        .chain([&REPEAT, &ARRIVED, &ORGANISATION])
        .chain(&named)
    {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
