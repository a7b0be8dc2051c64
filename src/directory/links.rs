//! Requests and messages from other VMs.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;

use super::Service;
use crate::control::Name;
use crate::control::join::take_in;
use crate::control::release::replace;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::link::Handler;

/// Handles requests and messages on the links of a control daemon.
pub struct LinkHandler(pub Arc<Service>);

impl Handler for LinkHandler {
    fn call(&self, from: Peer, request: Request) -> BoxFuture<'static, Reply> {
        let service = self.0.clone();
        async move {
            match request {
                Request::Follow(follow) => service.handle_follow(*follow).await,
                Request::Routing(command) => service.handle_proposal(command).await,
                Request::ReadRouting => service.handle_read().await,
                Request::NewestRevision => service.handle_newest_revision().await,
                Request::IssueRepeat { service: name } => service.handle_issue_repeat(&name),
                Request::Identity(Name::Routing) => service.identity_reply(),
                Request::Join { name: Name::Routing, replica, witness } => {
                    let group = service.group();
                    Reply::Joined(
                        take_in(service.routes(), &from.vm, group, replica, witness).await,
                    )
                }
                Request::Release { name: Name::Routing, replica } => {
                    Reply::Released(replace(service.group(), replica).await)
                }
                _ => Reply::Unsupported,
            }
        }
        .boxed()
    }

    fn cast(&self, from: Peer, cast: Cast) {
        match cast {
            Cast::Group { name: Name::Routing, from: sender, to, message } => {
                self.0.routes().learn(sender, &from.vm);
                let Some(seat) = self.0.seat() else { return };
                if seat.identity().is_some_and(|identity| identity.replica == to) {
                    seat.receive(sender, message);
                } else {
                    seat.record_misdirected();
                }
            }
            Cast::Heard(heard) => self.0.apply_broadcast(*heard, &from),
            Cast::Quarantine(report) => self.0.apply_crash_report(report, &from),
            _ => (),
        }
    }
}
