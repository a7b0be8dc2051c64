use std::time::Duration;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use tokio::time::Instant;
use yare::parameterized;

use crate::decide::retry::Budget;
use crate::decide::retry::limit::Limit;
use crate::decide::retry::limit::Rank;
use crate::decide::retry::reserve::Reserve;

const LIMIT: Limit = Limit { ratio: 0.2, minimum: 50.0, window: Duration::from_secs(10) };
/// The steps of a window.
const STEPS: usize = 20;
/// The most upstreams that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// What happens in a twentieth of a window.
#[derive(Debug, Clone)]
struct Step {
    requests: u32,
    /// The VMs that receive them are this part of all, from that one on.
    first_vm: usize,
    used_vms: usize,
    fails: bool,
    /// The VMs that restart, from that one on.
    restarts: Option<(usize, usize)>,
    control_restarts: Option<usize>,
    /// VMs that stand still: they neither send nor repeat.
    frozen: Option<usize>,
}

/// VMs that send, and the voters of the control group.
struct Fleet {
    limit: Limit,
    vms: Vec<Budget>,
    controls: Vec<Reserve>,
    now: Instant,
    /// Requests and repeats of each step.
    sent: Vec<(u32, u32)>,
}

impl Fleet {
    fn new(limit: Limit, vms: usize, controls: usize) -> Self {
        let now = Instant::now();
        let vms = vec![Budget::new(limit.earned(), now); vms];
        let controls = (0..controls).map(|_| Reserve::default()).collect();
        Self { limit, vms, controls, now, sent: Vec::new() }
    }

    fn play(&mut self, step: &Step) {
        self.restart(step);
        let count = self.vms.len();
        let used = step.used_vms.clamp(1, count);
        let mut repeats = 0;
        for nth in 0..step.requests {
            let vm = (step.first_vm + nth as usize % used) % count;
            if step.frozen.is_some_and(|frozen| frozen % count == vm) {
                continue;
            }
            self.vms[vm].deposit(self.now);
            if step.fails {
                repeats += (1..MAX_ATTEMPTS).take_while(|_| self.is_repeated(vm)).count() as u32;
            }
        }
        self.sent.push((step.requests, repeats));
        self.now += (self.limit.window / STEPS as u32).max(Duration::from_millis(1));
    }

    fn restart(&mut self, step: &Step) {
        let (count, earned) = (self.vms.len(), self.limit.earned());
        if let Some((first, restarted)) = step.restarts {
            (0..restarted.min(count))
                .for_each(|nth| self.vms[(first + nth) % count] = Budget::new(earned, self.now));
        }
        if let Some(nth) = step.control_restarts {
            let nth = nth % self.controls.len();
            self.controls[nth] = Reserve::default();
        }
        let voters = self.controls.len() as u32;
        for (nth, control) in self.controls.iter_mut().enumerate() {
            control.set_rank(&self.limit, Some(Rank { nth: nth as u32, voters }), self.now);
        }
    }

    /// A VM repeats what its requests have earned, or what any voter issues.
    fn is_repeated(&mut self, vm: usize) -> bool {
        let (limit, now, voters) = (self.limit, self.now, self.controls.len() as u32);
        let mut controls = self.controls.iter_mut().enumerate();
        self.vms[vm].try_withdraw(now).is_ok()
            || controls.any(|(nth, control)| {
                let rank = Rank { nth: nth as u32, voters };
                control.issue(&limit, Some(rank), "s", now).is_ok()
            })
    }

    /// Checks the repeats of each window. Requests are counted in it, in the one before it or in the one half a window
    /// before it, whichever has the most.
    fn check(&self) {
        let sum = |from: usize, of: fn(&(u32, u32)) -> u32| -> u32 {
            let (from, until) = (from.saturating_sub(STEPS), from.min(self.sent.len()));
            self.sent[from..until].iter().map(of).sum()
        };
        for until in STEPS..self.sent.len() + STEPS {
            let requests =
                [until, until - STEPS / 2, until - STEPS].map(|until| sum(until, |sent| sent.0));
            let requests = requests.into_iter().max().unwrap_or(0);
            let repeats = f64::from(sum(until, |sent| sent.1));
            let allowed = self.limit.ratio * f64::from(requests) + self.limit.minimum;
            assert!(repeats <= allowed, "{repeats} repeats, allowed {allowed}, up to step {until}");
        }
    }

    fn repeats(&self) -> u32 {
        self.sent.iter().map(|(_, repeats)| repeats).sum()
    }
}

fn steps(vms: usize) -> impl Strategy<Value = Vec<Step>> {
    let load = prop_oneof![Just(0_u32), 1..5_u32, 20..60_u32, 200..600_u32];
    let restarts = option::weighted(0.3, (0..vms, prop_oneof![Just(vms), 1..=vms]));
    let step = (load, 0..vms, 1..=vms, any::<bool>(), restarts, option::weighted(0.1, 0..5_usize));
    let step = (step, option::weighted(0.1, 0..vms)).prop_map(|(step, frozen)| {
        let (requests, first_vm, used_vms, fails, restarts, control_restarts) = step;
        Step { requests, first_vm, used_vms, fails, restarts, control_restarts, frozen }
    });
    vec(step, 1..120)
}

fn limits() -> impl Strategy<Value = Limit> {
    let ratio = prop_oneof![Just(0.0), Just(0.2), 0.0..2.0];
    let minimum = prop_oneof![Just(0.0), Just(1.0), 0.0..8.0, 8.0..200.0];
    let window = prop_oneof![Just(LIMIT.window), Just(Duration::from_secs(1))];
    (ratio, minimum, window).prop_map(|(ratio, minimum, window)| Limit { ratio, minimum, window })
}

proptest! {
    // Guards against a sum over VMs that restarts, views of the VMs, or a load that moves, stops or rises can exceed.
    #[test]
    fn no_restart_and_no_load_exceeds_the_limit(
        (limit, (vms, steps), controls) in
            (limits(), (1..40_usize).prop_flat_map(|vms| (Just(vms), steps(vms))), 1..6_usize)
    ) {
        let mut fleet = Fleet::new(limit, vms, controls);
        steps.iter().for_each(|step| fleet.play(step));
        fleet.check();
    }
}

fn failing(requests: u32) -> Step {
    Step {
        requests,
        first_vm: 0,
        used_vms: usize::MAX,
        fails: true,
        restarts: None,
        control_restarts: None,
        frozen: None,
    }
}

// Guards against exceeding the limit when several VMs repeat requests to a failing service without coordination, and
// against a limit of which little can be used in some window.
#[test]
fn all_vms_together_stay_within_the_bound() {
    let mut fleet = Fleet::new(LIMIT, 6, 5);
    (0..STEPS * 2).for_each(|_| fleet.play(&failing(150)));
    fleet.check();
    for window in fleet.sent.windows(STEPS) {
        let requests: u32 = window.iter().map(|sent| sent.0).sum();
        let repeats: u32 = window.iter().map(|sent| sent.1).sum();
        assert!(f64::from(repeats) >= 0.1 * f64::from(requests), "{repeats} of {requests}");
    }
}

// Guards against a limit that is kept since little of it is used.
#[parameterized(
    one = { 1, 300 },
    two = { 2, 300 },
    six = { 6, 300 },
    twenty = { 20, 300 },
    rarely_used = { 6, 1 },
)]
fn much_of_the_limit_is_used_in_a_long_failure(vms: usize, requests: u32) {
    let mut fleet = Fleet::new(LIMIT, vms, 5);
    (0..STEPS * 4).for_each(|_| fleet.play(&failing(requests)));
    fleet.check();
    let all = f64::from(requests) * 4.0 * STEPS as f64;
    let allowed = LIMIT.ratio * all + LIMIT.minimum * 4.0;
    let most = f64::from(MAX_ATTEMPTS - 1) * all;
    assert!(f64::from(fleet.repeats()) >= allowed.min(most) * 0.4, "{} used", fleet.repeats());
}

// Guards against a restart that leaves the callers of a rarely used service without a repeat.
#[test]
fn a_lone_failure_is_repeated_at_a_vm_that_has_just_started() {
    let mut fleet = Fleet::new(LIMIT, 7, 5);
    (0..STEPS).for_each(|_| fleet.play(&Step { fails: false, ..failing(0) }));
    fleet.play(&Step { restarts: Some((0, 7)), ..failing(1) });
    assert_eq!(fleet.repeats(), 2);
}

// Guards against a minimum that is smaller than the number of VMs or of voters, so that nobody's part of it is enough.
#[parameterized(
    none = { 0.0, 0 },
    one = { 1.0, 1 },
    three = { 3.0, 3 },
    a_fraction = { 0.5, 0 },
)]
fn a_small_minimum_is_issued_by_some(minimum: f64, issued: u32) {
    let limit = Limit { ratio: 0.0, minimum, window: Duration::from_secs(1) };
    let mut fleet = Fleet::new(limit, 20, 5);
    (0..STEPS * 3).for_each(|_| fleet.play(&Step { fails: false, ..failing(0) }));
    fleet.play(&failing(50));
    (1..STEPS).for_each(|_| fleet.play(&failing(50)));
    fleet.check();
    assert!((issued.div_ceil(2)..=issued).contains(&fleet.repeats()), "{}", fleet.repeats());
}

#[test]
fn a_window_of_no_length_allows_nothing_earned() {
    let limit = Limit { window: Duration::ZERO, ..LIMIT };
    let mut budget = Budget::new(limit.earned(), Instant::now());
    (0..100).for_each(|_| budget.deposit(Instant::now()));
    assert!(budget.try_withdraw(Instant::now()).is_err());
}

// Guards against a fleet whose VMs all ask again as soon as one repeat is added.
#[test]
fn vms_that_are_refused_return_one_by_one() {
    const VMS: u32 = 985;
    let (rank, mut now) = (Rank { nth: 0, voters: 5 }, Instant::now());
    let mut reserve = Reserve::default();
    let mut issue = |now| reserve.issue(&LIMIT, Some(rank), "s", now);
    let interval = LIMIT.share(rank).unwrap().refill_interval;
    let returns: Vec<Duration> = (0..VMS).map(|_| issue(now).unwrap_err()).collect();
    for (nth, after) in returns.iter().enumerate() {
        assert!(*after >= interval.mul_f64(nth as f64 + 0.9), "{after:?} for VM {nth}");
    }
    now += interval * (VMS + 1);
    assert_eq!(issue(now), Ok(()));
}
