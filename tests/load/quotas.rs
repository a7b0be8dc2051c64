//! Allowances of organisations over the VMs of three regions, judged by what is let through in any window.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use masticstream::catalogue::Limits;
use masticstream::decide::limit;
use masticstream::decide::limit::Coordinator;
use masticstream::decide::limit::Demand;
use masticstream::decide::limit::Grant;
use masticstream::decide::quota::Balances;
use masticstream::decide::quota::CostClass;
use masticstream::decide::quota::Excess;
use masticstream::decide::quota::Key;
use masticstream::decide::quota::Meter;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::id;
use masticstream::routing::organisation::Allowance;
use masticstream::routing::organisation::Unit;
use masticstream::unit::Rate;
use masticstream::unit::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::agenda::Agenda;
use crate::job::exponential;

const REGIONS: usize = 3;
const VMS_A_REGION: usize = 26;
const VMS: usize = REGIONS * VMS_A_REGION;

/// Tokens of a short request and of a long one, and the share of long ones.
const SHORT: u64 = 425;
const LONG: u64 = 17_140;
const LONG_SHARE: f64 = 0.06;

/// What is asked for in ordinary times, as a part of the allowance.
const USUAL: f64 = 0.55;

/// Any window of this length is held against the allowance.
const WINDOW: Duration = Duration::from_secs(8);
/// What the operator bears beyond it: a part of the allowance, and tokens besides.
const EXCESS: Excess = Excess { share: 0.1, units: 190_000.0 };

const TRIP: Duration = Duration::from_millis(56);
const NEAR: Duration = Duration::from_millis(2);
const LOST: f64 = 0.02;

const HOT_FROM: Duration = Duration::from_secs(10);
const HOT_UNTIL: Duration = Duration::from_secs(22);
const END: Duration = Duration::from_secs(30);

/// Where the hot organisation asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum At {
    /// Every VM.
    All,
    /// All VMs of one region.
    Region,
    /// One VM.
    Vm,
}

/// How what is let through is decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Each VM on its own, by the whole allowance.
    Whole,
    /// Each VM on its own, by an even share.
    Even,
    /// Shares leased from a home VM.
    Leases,
    /// The part that follows from what all VMs count.
    Parts,
}

/// What goes wrong while the organisation is hot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The VM that counts is lost; another one takes over after four rounds.
    HostLost,
    /// One region hears nothing of the others for four seconds.
    RegionCut,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Sums {
    /// The worst window, as a part of what is borne.
    pub worst: f64,
    /// What was let through of the hot time's allowance.
    pub used: f64,
    /// Requests refused in ordinary times, as a part of those asked then.
    pub refused_usually: f64,
}

enum Event {
    Ask(usize),
    Tell(usize),
    Abroad(usize),
    Totals(usize, usize, masticstream::decide::quota::Totals),
    Counts(usize, (u64, u64), Vec<(CostClass, masticstream::decide::quota::Count)>),
    Parts(usize, Vec<(CostClass, masticstream::decide::quota::AdmissionRate)>),
    Demand(Demand),
    Grant(usize, Grant),
}

struct World {
    agenda: Agenda<Event>,
    rng: SmallRng,
    rule: Rule,
    fault: Fault,
    at: At,
    times: f64,
    allowance: Allowance,
    key: Key,
    meters: Vec<Meter>,
    numbers: Vec<u64>,
    hosts: Vec<Balances>,
    is_replaced: bool,
    leases: Vec<limit::Allowance>,
    home: Coordinator,
    buckets: Vec<(f64, Instant)>,
    window: VecDeque<(Instant, u64)>,
    in_window: u64,
    sums: Sums,
    usual: (u64, u64),
    hot_passed: u64,
}

fn vm(nth: usize) -> id::Vm {
    format!("vm{nth}").parse().unwrap()
}

fn region(nth: usize) -> id::Region {
    format!("r{nth}").parse().unwrap()
}

fn limits(allowance: &Allowance) -> Limits {
    Limits { requests: Rate::per_second(1e9), tokens: allowance.rate, concurrency: 1_000_000 }
}

/// Thirty seconds of one organisation with that allowance, which asks for so many times its usual for twelve of them.
pub fn run(rate: f64, times: f64, at: At, rule: Rule, fault: Fault) -> Sums {
    let agenda = Agenda::new();
    let now = agenda.now();
    let mut rng = SmallRng::seed_from_u64(7);
    let unit = Unit::Tokens { plain: Tokens::new(200) };
    let allowance = Allowance { rate: Rate::per_second(rate), burst: rate, unit };
    let owner: id::Owner = "hot".parse().unwrap();
    let key = Key::new(&owner);
    let entry: id::Entry = "hot".parse().unwrap();
    let mut world = World {
        meters: (0..VMS).map(|_| Meter::new(SmallRng::from_rng(&mut rng), EXCESS)).collect(),
        numbers: vec![0; VMS],
        hosts: (0..REGIONS).map(|nth| host(nth as u64, key, allowance)).collect(),
        is_replaced: false,
        leases: (0..VMS)
            .map(|nth| limit::Allowance::new(entry.clone(), vm(nth), &limits(&allowance), VMS, now))
            .collect(),
        home: Coordinator::new(limits(&allowance), VMS, Duration::ZERO, now),
        buckets: vec![(0.0, now); VMS],
        window: VecDeque::new(),
        in_window: 0,
        sums: Sums::default(),
        usual: (0, 0),
        hot_passed: 0,
        agenda,
        rng,
        rule,
        fault,
        at,
        times,
        allowance,
        key,
    };
    for meter in &mut world.meters {
        meter.set_vm_count(VMS as u32, now);
    }
    for nth in 0..VMS {
        let first = UPDATE_INTERVAL.mul_f64(world.rng.random());
        world.agenda.after(first, Event::Tell(nth));
        world.next_ask(nth);
    }
    for nth in 0..REGIONS {
        let first = UPDATE_INTERVAL.mul_f64(world.rng.random());
        world.agenda.after(first, Event::Abroad(nth));
    }
    while world.agenda.elapsed() < END {
        let event = world.agenda.next().expect("callers never stop");
        world.take(event);
    }
    let allowed = rate * (HOT_UNTIL - HOT_FROM).as_secs_f64();
    world.sums.used = world.hot_passed as f64 / allowed;
    world.sums.refused_usually = world.usual.1 as f64 / world.usual.0 as f64;
    world.sums
}

fn host(start: u64, key: Key, allowance: Allowance) -> Balances {
    let mut host = Balances::new(start, EXCESS);
    host.set_allowances(HashMap::from([(key, allowance)]));
    host
}

impl World {
    fn is_hot(&self) -> bool {
        (HOT_FROM..HOT_UNTIL).contains(&self.agenda.elapsed())
    }

    /// Requests a second that a VM is asked for.
    fn rate_at(&self, nth: usize) -> f64 {
        let mean = LONG_SHARE * LONG as f64 + (1.0 - LONG_SHARE) * SHORT as f64;
        let usual = self.allowance.rate.get() * USUAL / mean / VMS as f64;
        let more = usual * VMS as f64 * (self.times - 1.0);
        let hot = match self.at {
            _ if !self.is_hot() => 0.0,
            At::All => more / VMS as f64,
            At::Region if nth < VMS_A_REGION => more / VMS_A_REGION as f64,
            At::Vm if nth == 0 => more,
            At::Region | At::Vm => 0.0,
        };
        usual + hot
    }

    /// Rates change at a moment that is soon looked at again.
    fn next_ask(&mut self, nth: usize) {
        let after = exponential(&mut self.rng) / self.rate_at(nth).max(10.0);
        self.agenda.after(Duration::from_secs_f64(after), Event::Ask(nth));
    }

    fn take(&mut self, event: Event) {
        let now = self.agenda.now();
        match event {
            Event::Ask(nth) => {
                // Ten looks a second at least, so that a change of the rate is noticed; as many find a request as it says.
                if self.rng.random::<f64>() < self.rate_at(nth) / self.rate_at(nth).max(10.0) {
                    self.ask(nth);
                }
                self.next_ask(nth);
            }
            Event::Tell(nth) => self.tell(nth),
            Event::Abroad(from) => self.abroad(from),
            Event::Totals(from, to, totals) => {
                self.hosts[to].apply_totals(
                    (&vm(from * VMS_A_REGION), &region(from)),
                    &totals,
                    now,
                );
            }
            Event::Counts(nth, version, counts) => {
                let host = &mut self.hosts[nth / VMS_A_REGION];
                let shard = self.key.shard();
                host.apply_counts((&vm(nth), shard), version, &counts, now);
                let parts = host.admission_rates(shard, now);
                if let Some(parts) = parts {
                    self.agenda.after(NEAR, Event::Parts(nth, parts));
                }
            }
            Event::Parts(nth, parts) => self.meters[nth].apply_rates(self.key.shard(), &parts, now),
            Event::Demand(demand) => {
                if let Some(grant) = self.home.handle_demand(&demand, now) {
                    let nth = demand.vm.as_str()[2..].parse().unwrap();
                    self.agenda.after(self.trip(nth), Event::Grant(nth, grant));
                }
            }
            Event::Grant(nth, grant) => self.leases[nth].apply_grant(&grant, now),
        }
    }

    /// The home stands in region 0.
    fn trip(&self, nth: usize) -> Duration {
        if nth < VMS_A_REGION { NEAR } else { TRIP }
    }

    fn ask(&mut self, nth: usize) {
        let now = self.agenda.now();
        let is_long = self.rng.random::<f64>() < LONG_SHARE;
        let cost = if is_long { LONG } else { SHORT };
        let is_passed = match self.rule {
            Rule::Parts => self.meters[nth].admit(self.key, &self.allowance, cost, now).is_ok(),
            Rule::Leases => match self.leases[nth].charge(Tokens::new(cost), now) {
                Ok(charge) => {
                    self.leases[nth].settle(charge, Tokens::new(cost), now);
                    true
                }
                Err(_) => false,
            },
            Rule::Whole => self.bucket(nth, 1.0, cost),
            Rule::Even => self.bucket(nth, 1.0 / VMS as f64, cost),
        };
        if !self.is_hot() && self.agenda.elapsed() < HOT_FROM {
            self.usual.0 += 1;
            self.usual.1 += u64::from(!is_passed);
        }
        if is_passed {
            self.passed(cost);
        }
    }

    fn bucket(&mut self, nth: usize, share: f64, cost: u64) -> bool {
        let now = self.agenda.now();
        let (level, at) = &mut self.buckets[nth];
        let earned = self.allowance.rate.over(now - *at) * share;
        *at = now;
        *level = (*level + earned).min(self.allowance.burst * share);
        let is_passed = *level > 0.0;
        *level -= if is_passed { cost as f64 } else { 0.0 };
        is_passed
    }

    fn passed(&mut self, cost: u64) {
        let now = self.agenda.now();
        self.hot_passed += if self.is_hot() { cost } else { 0 };
        self.window.push_back((now, cost));
        self.in_window += cost;
        while let Some(&(at, cost)) = self.window.front()
            && now - at > WINDOW
        {
            self.window.pop_front();
            self.in_window -= cost;
        }
        let Allowance { rate, burst, .. } = self.allowance;
        let borne = (rate.over(WINDOW) + burst) * (1.0 + EXCESS.share) + EXCESS.units;
        self.sums.worst = self.sums.worst.max(self.in_window as f64 / borne);
    }

    fn tell(&mut self, nth: usize) {
        let now = self.agenda.now();
        self.agenda.after(UPDATE_INTERVAL, Event::Tell(nth));
        if self.rng.random::<f64>() < LOST {
            return;
        }
        if self.rule == Rule::Leases
            && let Some(demand) = self.leases[nth].next_demand(now)
        {
            self.agenda.after(self.trip(nth), Event::Demand(demand));
        }
        if self.rule != Rule::Parts || self.is_host_away(nth / VMS_A_REGION) {
            return;
        }
        let counts = self.meters[nth].counts(self.key.shard(), now);
        self.numbers[nth] += 1;
        let version = (nth as u64 + 1, self.numbers[nth]);
        self.agenda.after(NEAR, Event::Counts(nth, version, counts));
    }

    /// The host of region 0 is lost for four rounds, and a new one knows nothing.
    fn is_host_away(&mut self, of: usize) -> bool {
        const LOST_AT: Duration = Duration::from_secs(14);
        if self.fault != Fault::HostLost || of != 0 {
            return false;
        }
        let elapsed = self.agenda.elapsed();
        if elapsed >= LOST_AT && !self.is_replaced {
            self.is_replaced = true;
            self.hosts[0] = host(100, self.key, self.allowance);
        }
        (LOST_AT..LOST_AT + UPDATE_INTERVAL * 4).contains(&elapsed)
    }

    fn abroad(&mut self, from: usize) {
        let now = self.agenda.now();
        self.agenda.after(UPDATE_INTERVAL, Event::Abroad(from));
        if self.is_host_away(from) {
            return;
        }
        let cut = Duration::from_secs(14)..Duration::from_secs(18);
        let is_cut = self.fault == Fault::RegionCut && cut.contains(&self.agenda.elapsed());
        let Some(totals) = self.hosts[from].totals(self.key.shard(), now) else { return };
        for to in (0..REGIONS).filter(|to| *to != from) {
            let is_lost = self.rng.random::<f64>() < LOST || is_cut && (from == 0 || to == 0);
            if !is_lost {
                self.agenda.after(TRIP, Event::Totals(from, to, totals.clone()));
            }
        }
    }
}

const LARGE: f64 = 1_366_000.0;
const SMALL: f64 = 47_000.0;

// Guards against one organisation that takes many times its allowance because no VM sees what the others let through.
#[test]
fn a_hot_organisation_stays_within_its_allowance() {
    for at in [At::All, At::Region, At::Vm] {
        for rate in [LARGE, SMALL] {
            let sums = run(rate, 7.5, at, Rule::Parts, Fault::None);
            assert!(sums.worst <= 1.0, "{at:?} {rate}: {sums:?}");
            assert!(sums.used >= 0.9, "{at:?} {rate}: {sums:?}");
            assert!(sums.refused_usually <= 0.01, "{at:?} {rate}: {sums:?}");
        }
    }
}

// Guards against an allowance that is spent twice while the VM that counts is lost, or regions don't hear each other.
#[test]
fn it_stays_within_its_allowance_when_a_host_is_lost_or_a_region_cut_off() {
    for fault in [Fault::HostLost, Fault::RegionCut] {
        for at in [At::All, At::Region] {
            let sums = run(LARGE, 7.5, at, Rule::Parts, fault);
            assert!(sums.worst <= 1.0, "{fault:?} {at:?}: {sums:?}");
        }
    }
}

#[test]
fn the_other_ways_refuse_what_is_allowed_or_let_too_much_through() {
    let whole = run(LARGE, 7.5, At::All, Rule::Whole, Fault::None);
    assert!(whole.worst > 1.0, "{whole:?}");
    let even = run(LARGE, 7.5, At::Vm, Rule::Even, Fault::None);
    assert!(even.used < 0.9, "{even:?}");
}

// Prints each way beside the others, for the page that compares them.
#[test]
fn table_of_ways_to_keep_an_allowance() {
    for rule in [Rule::Whole, Rule::Even, Rule::Leases, Rule::Parts] {
        for rate in [LARGE, SMALL] {
            for at in [At::All, At::Region, At::Vm] {
                let sums = run(rate, 7.5, at, rule, Fault::None);
                println!(
                    "| {rule:?} | {rate} | {at:?} | {:.2} | {:.2} | {:.3} |",
                    sums.worst, sums.used, sums.refused_usually
                );
            }
        }
    }
}
