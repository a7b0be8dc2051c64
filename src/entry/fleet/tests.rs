use std::path::Path;
use std::time::Duration;

use tokio::time::Instant;

use super::Effect;
use super::Fleet;
use crate::id;
use crate::settings::Site;
use crate::unit::Incarnation;
use crate::upstream::Announcement;

const SITE: &str = "
vms:
  a: { region: gulf, data_centre: g1, entry: { callers: '127.0.0.1:1', upstreams: '127.0.0.1:2', operators: '127.0.0.1:3', links: '127.0.0.1:4', forwards: '127.0.0.1:5' }, control: { operators: '127.0.0.1:6', links: '127.0.0.1:7', folder: a } }
  b: { region: gulf, data_centre: g2, entry: { callers: '127.0.0.2:1', upstreams: '127.0.0.2:2', operators: '127.0.0.2:3', links: '127.0.0.2:4', forwards: '127.0.0.2:5' } }
";

fn announcement(sequence: u64) -> Announcement {
    let text = format!(
        r#"{{"id":"e1","address":"127.0.0.1:9","region":"gulf","data_centre":"g1","kind":"engine",
            "slots":4,"models":["m"],"incarnation":1,"sequence":{sequence}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

struct Pair {
    fleets: [(id::Vm, Fleet); 2],
    now: Instant,
}

impl Pair {
    fn new() -> Self {
        let site = Site::parse("site.yaml", SITE, Path::new(".")).unwrap();
        let now = Instant::now();
        let fleet = |name: &str| {
            let vm: id::Vm = name.parse().unwrap();
            (vm.clone(), Fleet::new(&vm, &site, 7, now))
        };
        Self { fleets: [fleet("a"), fleet("b")], now }
    }

    fn deliver(&mut self, from: usize, effects: Vec<Effect>) {
        let mut work: Vec<(usize, Effect)> = effects.into_iter().map(|e| (from, e)).collect();
        while let Some((from, effect)) = work.pop() {
            let Effect::Send { message, .. } = effect else { continue };
            let sender = self.fleets[from].0.clone();
            let to = 1 - from;
            let more = self.fleets[to].1.receive(&sender, message, self.now);
            work.extend(more.into_iter().map(|effect| (to, effect)));
        }
    }

    /// Lets time pass; messages arrive at once. A VM that is not named stands still.
    fn run(&mut self, span: Duration, running: &[usize]) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(100);
            for &one in running {
                let effects = self.fleets[one].1.tick(self.now);
                if running.len() == 2 {
                    self.deliver(one, effects);
                }
            }
        }
    }

    fn upstreams(&self, one: usize) -> usize {
        self.fleets[one].1.upstreams().count()
    }
}

#[test]
fn an_announcement_and_a_leaving_reach_the_other_vm_within_two_seconds() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(3), &[0, 1]);
    assert!(pair.fleets[0].1.announce(announcement(1), pair.now).0);
    pair.run(Duration::from_secs(2), &[0, 1]);
    assert_eq!((pair.upstreams(0), pair.upstreams(1)), (1, 1));
    let id = announcement(1).id;
    pair.fleets[0].1.leave(&id, Incarnation::new(1), pair.now);
    assert!(!pair.fleets[1].1.announce(announcement(2), pair.now).0 || pair.upstreams(0) == 0);
    pair.run(Duration::from_secs(2), &[0, 1]);
    assert_eq!((pair.upstreams(0), pair.upstreams(1)), (0, 0), "leaving beats a late renewal");
}

// The upstream's process is killed: it renews no more. Its VM ends the lease after 3 s and tells the other, and
// neither sends it work from then on.
#[test]
fn an_upstream_that_renews_no_more_is_gone_everywhere() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(3), &[0, 1]);
    pair.fleets[0].1.announce(announcement(1), pair.now);
    pair.run(Duration::from_secs(2), &[0, 1]);
    assert_eq!(pair.upstreams(1), 1);
    pair.run(Duration::from_secs(3), &[0, 1]);
    assert_eq!((pair.upstreams(0), pair.upstreams(1)), (0, 0));
}

// The VM that the upstream announces to is lost. Nobody renews the lease any more, and the upstream has not found
// another VM yet: it must not be sent work for ever on the word of a dead VM.
#[test]
fn an_upstream_whose_vm_is_lost_is_gone_unless_it_announces_elsewhere() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(3), &[0, 1]);
    pair.fleets[0].1.announce(announcement(1), pair.now);
    pair.run(Duration::from_secs(2), &[0, 1]);
    pair.run(Duration::from_secs(10), &[1]);
    assert_eq!(pair.upstreams(1), 0);
    assert!(pair.fleets[1].1.announce(announcement(5), pair.now).0);
    assert_eq!(pair.upstreams(1), 1, "it has come back through the other VM");
}
