use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::Mesh;
use crate::control::Name;
use crate::wire::Cast;
use crate::wire::Error;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::link::Handler;

struct Silent;

impl Handler for Silent {
    fn call(&self, _: Peer, _: Request) -> BoxFuture<'static, Reply> {
        futures::future::ready(Reply::Unsupported).boxed()
    }

    fn cast(&self, _: Peer, _: Cast) {}
}

const TIMEOUT: Duration = Duration::from_millis(300);

// Guards against calls that wait for a link to a peer without power for longer than their timeout.
#[tokio::test]
async fn a_call_to_a_peer_that_does_not_answer_ends_at_its_timeout() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let peer = Peer::new("dark".parse().unwrap(), Role::Control);
    let book = HashMap::from([(peer.clone(), listener.local_addr().unwrap())]);
    let me = Peer::new("me".parse().unwrap(), Role::Control);
    let mesh = Mesh::new(me, "secret".to_owned(), book, Arc::new(Silent));
    let began = Instant::now();
    let result = mesh.call(&peer, Request::Identity(Name::Routing), TIMEOUT).await;
    assert!(matches!(result, Err(Error::Unsent { .. })), "{result:?}");
    assert!(began.elapsed() < TIMEOUT * 2, "{:?}", began.elapsed());
}
