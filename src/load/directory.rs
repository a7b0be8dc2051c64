//! Which VM a caller asks: from the directory, like a real caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::time;
use tokio::time::Instant;

use crate::http::caller::Directory;
use crate::http::caller::Place;
use crate::http::client::Client;
use crate::id;

/// A VM that gives no directory in that time is passed over.
const LIMIT: Duration = Duration::from_secs(2);
/// Losses bring a new directory at most this often, so that a lost region isn't asked without end.
const SOONEST: Duration = Duration::from_millis(500);

/// The VMs that the callers of one region know of.
#[derive(Debug)]
pub struct Book {
    seeds: Vec<SocketAddr>,
    region: id::Region,
    places: Vec<Place>,
    asked: Option<Instant>,
    good_until: Option<Instant>,
}

impl Book {
    /// A book of callers of that region, who know these VMs from their settings.
    pub fn new(region: id::Region, seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, region, places: Vec::new(), asked: None, good_until: None }
    }

    /// Whether any directory was ever read.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The directory names a VM that is lost or drains.
    pub fn distrust(&mut self, vm: SocketAddr) {
        self.good_until = None;
        if self.places.len() > 1 {
            self.places.retain(|place| place.address != vm);
        }
    }

    /// Asks for the directory again where it is out of date.
    pub async fn refresh(&mut self, client: &Client) {
        let now = Instant::now();
        let fresh = self.good_until.is_some_and(|until| now < until);
        if fresh || self.asked.is_some_and(|asked| now < asked + SOONEST) {
            return;
        }
        self.asked = Some(now);
        let own = self.places.iter().filter(|place| place.region == self.region);
        let others = self.places.iter().filter(|place| place.region != self.region);
        let known = own.chain(others).map(|place| place.address);
        let asked: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        for vm in asked {
            if let Some(directory) = ask(client, vm).await.filter(|known| !known.vms.is_empty()) {
                let valid = Duration::from_secs(directory.ttl_seconds.max(1));
                self.good_until = Some(now + valid);
                self.places = directory.vms;
                return;
            }
        }
    }

    /// A VM of the callers' own region, or of another where that has none; another than `avoid` if there is one.
    pub fn pick(&self, avoid: Option<SocketAddr>, rng: &mut SmallRng) -> Option<SocketAddr> {
        let own: Vec<&Place> =
            self.places.iter().filter(|place| place.region == self.region).collect();
        let all: Vec<&Place> = self.places.iter().collect();
        let usable = |places: Vec<&Place>| -> Vec<SocketAddr> {
            let places = places.iter().map(|place| place.address);
            places.filter(|address| Some(*address) != avoid).collect()
        };
        let choices = [usable(own), usable(all)];
        let chosen = choices.iter().find(|choice| !choice.is_empty());
        match chosen {
            Some(choice) => choice.choose(rng).copied(),
            None if self.places.is_empty() => self.seeds.choose(rng).copied(),
            None => self.places.get(rng.random_range(0..self.places.len())).map(|p| p.address),
        }
    }
}

async fn ask(client: &Client, vm: SocketAddr) -> Option<Directory> {
    let request = Request::get("/directory").header(header::HOST, vm.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let asked = async {
        let (response, lease) = client.send(vm, request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        client.keep(lease);
        serde_json::from_slice(&body).ok()
    };
    time::timeout(LIMIT, asked).await.ok()?
}

#[cfg(test)]
mod tests;
