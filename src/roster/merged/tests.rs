use std::time::Duration;

use tokio::time::Instant;

use super::Merged;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Delta;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::delta::Fact;
use crate::unit::Slots;

fn fact(sequence: u64, standing: Standing, silent: bool) -> Fact<Announcement> {
    let said = Announcement {
        id: "x".parse().unwrap(),
        stamp: Stamp::new(1, sequence),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".parse().unwrap(),
        slots: Slots::new(8),
        standing,
        cold_left: Duration::ZERO,
        ends_in: None,
        models: Vec::new(),
    };
    Fact { said, silent }
}

fn delta(revision: u64, facts: Vec<Fact<Announcement>>) -> Delta {
    Delta { revision, whole: false, upstreams: facts, vms: Vec::new() }
}

fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

// One of two followed control VMs is cut off from the upstreams and finds them all silent. The other one still hears
// them; if the first one's word were enough, the entry VM would refuse requests beside healthy upstreams.
#[tokio::test(start_paused = true)]
async fn an_upstream_is_silent_only_where_all_say_so() {
    let now = Instant::now();
    let mut merged = Merged::default();
    merged.take(&vm("a"), 1, delta(1, vec![fact(5, Standing::Ready, false)]), now);
    merged.take(&vm("b"), 1, delta(1, vec![fact(3, Standing::Ready, true)]), now);
    assert!(!merged.upstreams().next().unwrap().silent);
    merged.take(&vm("a"), 1, delta(2, vec![fact(5, Standing::Ready, true)]), now);
    assert!(merged.upstreams().next().unwrap().silent);
    merged.unfollow(&vm("a"));
    merged.unfollow(&vm("b"));
    assert_eq!(merged.upstreams().count(), 1);
}

// The control VM that lags passes an old statement on after the other one has told that the upstream drains.
#[tokio::test(start_paused = true)]
async fn the_newest_statement_counts_whoever_passes_it_on() {
    let now = Instant::now();
    let mut merged = Merged::default();
    merged.take(&vm("a"), 1, delta(1, vec![fact(5, Standing::Draining, false)]), now);
    merged.take(&vm("b"), 1, delta(1, vec![fact(4, Standing::Ready, false)]), now);
    assert_eq!(merged.upstreams().next().unwrap().said.standing, Standing::Draining);
    merged.take(&vm("b"), 1, delta(2, vec![fact(6, Standing::Gone, false)]), now);
    assert_eq!(merged.upstreams().count(), 0);
}
