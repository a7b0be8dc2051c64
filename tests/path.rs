//! The whole path: a caller's request goes through the daemons to an upstream and back.

mod support;

use fakes::Settings;
use fakes::Upstream;
use http::StatusCode;

use crate::support::Caller;
use crate::support::Local;
use crate::support::entries::LOOKUP;

#[tokio::test]
async fn a_streamed_request_is_answered_through_the_daemons() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = Settings::engine("e1").with_entries([site.upstreams("a")]);
    let engine = Upstream::start(engine).await.unwrap();
    site.upstreams_known("gulf", 1).await;
    let answer = Caller::chat("lookup", "how far is the cell?", 8, true);
    let answer = answer.send(site.callers("a")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.streamed(), Some(fakes::answer("how far is the cell?", 8)));
    assert_eq!(engine.ran().len(), 1);
}

#[tokio::test]
async fn what_can_not_be_served_is_refused_at_once() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let refused = Caller::chat("lookup", "hello", 8, true).send(site.callers("a")).await.unwrap();
    let problem = refused.problem();
    assert_eq!(problem.kind, "urn:masticstream:refusal:no-upstream");
    assert_eq!(serde_json::to_value(problem.ran).unwrap(), "no");
    assert!(problem.retry_after_ms.is_some());
    let unknown = Caller::chat("other", "hello", 8, true).send(site.callers("a")).await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}
