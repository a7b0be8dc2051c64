//! One control VM's table, and entry VMs that receive their slices of it.

use std::collections::BTreeMap;
use std::time::Duration;

use masticstream::id;
use masticstream::roster::Announcement;
use masticstream::roster::Heartbeat;
use masticstream::roster::Interest;
use masticstream::roster::MergedTable;
use masticstream::roster::News;
use masticstream::roster::Presence;
use masticstream::roster::Stamp;
use masticstream::roster::Standing;
use masticstream::roster::Table;
use masticstream::roster::slice::Position;
use masticstream::roster::table::Timeouts;
use masticstream::unit::Slots;
use masticstream::wire::Role;
use tokio::time::Instant;

const TIMEOUTS: Timeouts =
    Timeouts { upstream: Duration::from_secs(12), vm: Duration::from_millis(2700) };
const REGIONS: [&str; 3] = ["gulf", "piedmont", "delta"];
/// Upstreams for each entry VM.
const UPSTREAMS_PER_VM: usize = 10;
/// One upstream in so many is a plain service.
const PLAIN_SHARE: usize = 3;
/// Time between two polls of a follower that has received something.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// One VM in so many polls; the figures of all are worked out from these.
const SAMPLE: usize = 4;
/// Rounds until new members of a group that grew have been sent.
const SETTLING_ROUNDS: usize = 6;

/// An entry VM and what it has received.
pub struct Follower {
    interest: Interest,
    presence: Presence,
    merged: MergedTable,
    /// Bytes received since the last reset.
    pub bytes: u64,
    /// Pieces received since the last reset.
    pub pieces: u64,
}

impl Follower {
    /// The upstreams and VMs that it holds.
    pub fn records(&self) -> usize {
        self.merged.upstreams().count() + self.merged.all_vms(Role::Entry).count()
    }

    /// The candidates of a service in a region.
    pub fn candidates(&self, service: &str, region: &str) -> usize {
        let upstreams = self.merged.upstreams().filter(|upstream| {
            !upstream.silent
                && upstream.record.standing == Standing::Ready
                && upstream.record.service == service
                && upstream.record.data_centre.as_str() == region
        });
        upstreams.count()
    }

    /// The estimated number of entry VMs of the fleet.
    pub fn estimated_vms(&self) -> u32 {
        self.merged.entry_vm_count()
    }
}

/// A fleet.
pub struct World {
    pub table: Table,
    pub followers: Vec<Follower>,
    upstreams: Vec<Announcement>,
    control: id::Vm,
    now: Instant,
    /// The size of the largest piece, which bounds the memory that a control VM needs for each follower.
    pub largest_piece: usize,
}

impl World {
    /// Creates a fleet of that many entry VMs, none of which is known to the control VM yet.
    pub fn new(vms: usize) -> Self {
        let regions = || REGIONS.map(|name| (name.parse().unwrap(), name.parse().unwrap()));
        let followers = (0..vms).map(|nth| {
            let vm: id::Vm = format!("10.0.{}.{}", nth / 250, nth % 250).parse().unwrap();
            let position = Position::of_vm(&vm);
            Follower {
                interest: Interest { position, region: None },
                presence: presence(vm, REGIONS[nth % REGIONS.len()]),
                merged: MergedTable::default().with_position(position, regions()),
                bytes: 0,
                pieces: 0,
            }
        });
        Self {
            table: Table::new(TIMEOUTS).with_regions(regions()),
            followers: followers.collect(),
            upstreams: (0..vms * UPSTREAMS_PER_VM).map(announcement).collect(),
            control: "control".parse().unwrap(),
            now: Instant::now(),
            largest_piece: 0,
        }
    }

    /// All VMs start at once, and all upstreams check in over three seconds.
    pub fn start(&mut self) {
        let rounds = 12;
        for follower in &self.followers {
            self.table.apply_presence(follower.presence.clone(), self.now);
        }
        for round in 0..rounds {
            for nth in (round..self.upstreams.len()).step_by(rounds) {
                self.table.apply_announcement(self.upstreams[nth].clone(), self.now);
            }
            self.step();
        }
        for _ in 0..SETTLING_ROUNDS {
            self.step();
        }
    }

    /// Changes the state of one in `share` upstreams, a few in each round.
    pub fn drain(&mut self, share: usize) {
        let rounds = 20;
        let leaving: Vec<usize> = (0..self.upstreams.len()).step_by(share).collect();
        for chunk in leaving.chunks(leaving.len().div_ceil(rounds)) {
            for &nth in chunk {
                let record = &mut self.upstreams[nth];
                record.stamp.sequence += 1;
                record.standing = Standing::Draining;
                self.table.apply_announcement(record.clone(), self.now);
            }
            self.step();
        }
    }

    /// Lets the upstreams of a region go silent, while all other subjects are renewed.
    pub fn lose_region(&mut self, region: &str) {
        for sequence in 2..20 {
            self.now += Duration::from_secs(1);
            let upstreams = self.upstreams.iter().filter(|up| up.data_centre.as_str() != region);
            let upstreams = upstreams.map(Announcement::digest);
            let vms = self.followers.iter().map(|follower| follower.presence.digest());
            let alive: Vec<Heartbeat> =
                upstreams.chain(vms).map(|digest| Heartbeat { digest, sequence }).collect();
            self.table.apply_heartbeats(&alive, self.now);
            self.step();
        }
    }

    /// Resets the counters of all followers.
    pub fn reset(&mut self) {
        for follower in &mut self.followers {
            (follower.bytes, follower.pieces) = (0, 0);
        }
    }

    /// Bytes sent to all followers since the last reset.
    pub fn bytes(&self) -> u64 {
        self.polling().map(|follower| follower.bytes).sum::<u64>() * SAMPLE as u64
    }

    /// Pieces sent to all followers since the last reset.
    pub fn pieces(&self) -> u64 {
        self.polling().map(|follower| follower.pieces).sum::<u64>() * SAMPLE as u64
    }

    /// The mean number of records that followers hold.
    pub fn mean_records(&self) -> f64 {
        let records: usize = self.polling().map(Follower::records).sum();
        records as f64 / self.polling().count() as f64
    }

    /// The VMs that poll.
    pub fn polling(&self) -> impl Iterator<Item = &Follower> {
        self.followers.iter().step_by(SAMPLE)
    }

    fn step(&mut self) {
        self.now += POLL_INTERVAL;
        self.table.expire(self.now);
        self.table.adapt();
        for nth in (0..self.followers.len()).step_by(SAMPLE) {
            while self.poll(nth) {}
        }
    }

    /// One poll; returns whether more is to be received.
    fn poll(&mut self, nth: usize) -> bool {
        let follower = &mut self.followers[nth];
        let cursor = follower.merged.prepare_request(&self.control, None);
        if self.table.news(&follower.interest, cursor.revision, cursor.base) == News::None {
            return false;
        }
        let piece = self.table.piece(&follower.interest, cursor.revision, cursor.base, self.now);
        let Some(piece) = piece else { return false };
        let mut encoded = Vec::new();
        ciborium::into_writer(&piece, &mut encoded).unwrap();
        self.largest_piece = self.largest_piece.max(encoded.len());
        follower.bytes += encoded.len() as u64;
        follower.pieces += 1;
        let (base, has_more) = (piece.base, piece.has_more);
        let changes = piece.into_delta().unwrap();
        follower.merged.apply_piece(&self.control, 1, base, changes, self.now);
        has_more
    }
}

/// The region and service of an upstream.
fn announcement(nth: usize) -> Announcement {
    let service = if nth.is_multiple_of(PLAIN_SHARE) { "plain" } else { "engine" };
    let host = [10, 1 + (nth >> 16) as u8, (nth >> 8) as u8, nth as u8];
    Announcement {
        id: format!("upstream-{nth:08}").parse().unwrap(),
        stamp: Stamp::new(1, 1),
        service: service.to_owned(),
        address: (host, 8080).into(),
        data_centre: REGIONS[nth / PLAIN_SHARE % REGIONS.len()].parse().unwrap(),
        slots: Slots::new(12),
        standing: Standing::Ready,
        cold_left: Duration::ZERO,
        ends_in: None,
        models: Vec::new(),
    }
}

fn presence(vm: id::Vm, region: &str) -> Presence {
    Presence {
        vm,
        role: Role::Entry,
        stamp: Stamp::new(1, 1),
        nonce: 1,
        region: region.parse().unwrap(),
        data_centre: region.parse().unwrap(),
        standing: Standing::Ready,
        ready: true,
        callers: Some(([10, 0, 0, 1], 1).into()),
        forwards: Some(([10, 0, 0, 1], 2).into()),
        links: None,
        without_reach: false,
    }
}

/// The number of candidates of each service and region that the worst-off follower has.
pub fn least_candidates(world: &World) -> BTreeMap<(&'static str, &'static str), usize> {
    let mut least = BTreeMap::new();
    for service in ["plain", "engine"] {
        for region in REGIONS {
            let counts = world.polling().map(|one| one.candidates(service, region));
            least.insert((service, region), counts.min().unwrap_or(0));
        }
    }
    least
}
