//! Runs a seed's schedule over a site.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;
use masticstream::catalogue::Change;
use masticstream::catalogue::Edit;
use masticstream::catalogue::Reply;
use masticstream::entry::Hub;
use masticstream::id;
use masticstream::settings;
use masticstream::unit::Version;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;
use tokio::time;
use tokio::time::Instant;

use crate::action;
use crate::action::Action;
use crate::action::ENGINES;
use crate::action::VMS;
use crate::oracle;
use crate::oracle::Finding;
use crate::story::Story;
use crate::support::Local;
use crate::support::site::PATIENCE;
use crate::traffic;
use crate::traffic::Outcome;
use crate::traffic::Question;
use crate::traffic::Word;

/// Callers side by side.
const CALLERS: u64 = 6;

/// One try of a change of the catalogue.
const CHANGE: Duration = Duration::from_millis(500);

const LOOKUP: &str = "
name: lookup
owner: bayou
class: short
models: [small]
home: gulf
deadline: 4s
repeat: allowed
prefers: latency
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 2000 }
";

const MANDATE: &str = "
name: mandate
owner: prehod
class: long
models: [small]
home: gulf
bound: true
deadline: 4s
repeat: never
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 2000 }
";

/// A site under a schedule.
struct Driver {
    site: Local,
    engines: Vec<Upstream>,
    story: Arc<Story>,
    /// Entry daemons that are down, with the end of those that drain.
    down: BTreeMap<&'static str, Option<JoinHandle<()>>>,
    controls_down: Vec<&'static str>,
    operation: u128,
    accepted: Version,
    stepped: Arc<Mutex<Vec<Finding>>>,
}

/// Runs a seed; what it found, told at length.
pub async fn run(seed: u64) -> Vec<String> {
    let schedule = action::draw(seed);
    let mut driver = Driver::start().await;
    let story = driver.story.clone();
    let vms: Vec<SocketAddr> = VMS.iter().map(|vm| driver.site.callers(vm)).collect();
    for vm in VMS {
        story.note("site", &format!("{vm} is at {}", driver.site.callers(vm)));
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(traffic::call(seed, number, vms.clone(), story.clone())))
        .collect();
    let begun = Instant::now();
    for (at, action) in &schedule {
        time::sleep_until(begun + *at).await;
        driver.act(*action).await;
    }
    let mut findings = driver.heal().await;
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.await.expect("no panic"));
    }
    outcomes.extend(probe(seed, &vms, &story).await);
    findings.extend(oracle::judge(&outcomes, &driver.ran(), driver.site.callers("d")));
    findings.extend(progress(&outcomes));
    findings.append(&mut driver.stepped.lock().expect("no panic"));
    let schedule = format!("{schedule:?}");
    if std::env::var_os("MASTIC_SEED").is_some() {
        println!("seed {seed}: {schedule}\n{}", story.all());
    }
    findings.iter().map(|finding| oracle::tell(seed, &schedule, &story, finding)).collect()
}

/// Asks each VM once more after all has healed.
async fn probe(seed: u64, vms: &[SocketAddr], story: &Story) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for (number, vm) in vms.iter().enumerate() {
        for mandate in [false, true] {
            let name = format!("s{seed}-probe{number}-{mandate}");
            let question = Question { name, mandate, stream: false, tokens: 3 };
            let mut random = SmallRng::seed_from_u64(seed);
            outcomes.push(traffic::insist(question, &[*vm], &mut random, story).await);
        }
    }
    outcomes
}

/// Most requests are answered in the end, and after healing all that may repeat and some that may not. A fault that
/// is still to come may break one of the latter, so not all.
fn progress(outcomes: &[Outcome]) -> Vec<Finding> {
    let answered = |outcome: &&Outcome| matches!(outcome.word, Word::Answered { .. });
    let count = outcomes.iter().filter(answered).count();
    let mut findings = Vec::new();
    if count * 2 < outcomes.len() {
        let what = format!("{count} of {} requests were answered", outcomes.len());
        findings.push(Finding { name: "progress".to_owned(), what });
    }
    let healed = |outcome: &&Outcome| {
        outcome.question.mandate && outcome.question.name.contains("probe") && answered(outcome)
    };
    if !outcomes.iter().any(|outcome| healed(&outcome)) {
        let what = "no request that may not repeat was answered after healing".to_owned();
        findings.push(Finding { name: "progress".to_owned(), what });
    }
    for outcome in outcomes.iter().filter(|outcome| !answered(outcome)) {
        let question = &outcome.question;
        if !question.mandate && question.name.contains("probe") {
            let what = format!("not answered after healing: {}", outcome.word);
            findings.push(Finding { name: question.name.clone(), what });
        }
    }
    findings
}

fn region(engine: usize) -> &'static str {
    if engine + 1 == ENGINES { "delta" } else { oracle::HOME }
}

impl Driver {
    async fn start() -> Self {
        let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf", "d@delta"]).await;
        site.put(LOOKUP).await;
        site.put(MANDATE).await;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let region = region(number);
            let vms: &[&str] = if region == oracle::HOME { &["a", "b", "c"] } else { &["d"] };
            let settings = Settings::engine(&format!("e{number}"))
                .with_place(region, &format!("{region}-a"))
                // Not the address that sites share: while an engine is down, another site's could take its port.
                .with_listen(SocketAddr::new(site.upstreams(vms[0]).ip(), 0))
                .with_entries(vms.iter().map(|vm| site.upstreams(vm)))
                .with_slots(4)
                .with_speed(Duration::from_millis(10), Duration::from_millis(5));
            engines.push(Upstream::start(settings).await.expect("a free port"));
        }
        site.upstreams_known(oracle::HOME, ENGINES - 1).await;
        let driver = Self {
            site,
            engines,
            story: Arc::new(Story::new()),
            down: BTreeMap::new(),
            controls_down: Vec::new(),
            operation: 1 << 64,
            accepted: Version::ZERO,
            stepped: Arc::default(),
        };
        VMS.iter().for_each(|vm| driver.watch(vm));
        driver
    }

    /// Watches the version of the catalogue over one life of an entry daemon.
    fn watch(&self, vm: &'static str) {
        let hub = Arc::downgrade(self.site.hub(vm));
        tokio::spawn(watch(vm, hub, self.stepped.clone()));
    }

    fn running(&self) -> impl Iterator<Item = &'static str> {
        VMS.into_iter().filter(|vm| !self.down.contains_key(vm))
    }

    fn ran(&self) -> Vec<oracle::Ran> {
        let runs = |(number, engine): (usize, &Upstream)| {
            engine.ran().into_iter().map(move |run| (region(number), run)).collect::<Vec<_>>()
        };
        self.engines.iter().enumerate().flat_map(runs).collect()
    }

    async fn act(&mut self, action: Action) {
        self.story.note("site", &format!("{action:?}"));
        match action {
            Action::CrashEntry(vm) => {
                self.site.crash_entry(vm);
                self.down.insert(vm, None);
            }
            Action::DrainEntry(vm) => {
                let drained = tokio::spawn(self.site.drain_entry(vm));
                self.down.insert(vm, Some(drained));
            }
            Action::StartEntry(vm) => self.start_entry(vm).await,
            Action::CrashControl(vm, loses) => {
                self.site.crash_control(vm);
                self.controls_down.push(vm);
                if loses {
                    self.site.lose_folder(vm);
                }
            }
            Action::StartControl(vm) => {
                self.site.start_control(vm).await;
                self.controls_down.retain(|down| *down != vm);
            }
            Action::CrashEngine(engine) => self.engines[engine].crash(),
            Action::StartEngine(engine) => self.engines[engine].restart(),
            Action::Silence(engine) => self.engines[engine].silence_open(),
            Action::Fail(engine, fault) => self.engines[engine].fail_next(fault),
            Action::Leave(engine) => self.leave(engine).await,
            Action::Change => self.change().await,
        }
    }

    async fn start_entry(&mut self, vm: &'static str) {
        let Some(drained) = self.down.remove(vm) else { return };
        if let Some(drained) = drained {
            drained.await.expect("no panic");
        }
        self.site.start_entry(vm).await;
        self.watch(vm);
    }

    async fn leave(&self, number: usize) {
        let home = |vm: &&str| (region(number) == "delta") == (*vm == "d");
        let Some(vm) = self.running().find(home) else { return };
        let engine = &self.engines[number];
        self.site.leave(vm, engine.id(), engine.incarnation()).await;
    }

    /// Tries a change once; whether it was taken is not always known, and that is in order.
    async fn change(&mut self) {
        self.operation += 1;
        let Some(vm) = self.running().next() else { return };
        let hub = self.site.hub(vm).clone();
        let text = LOOKUP.replace("1000/s", &format!("{}/s", 2000 + self.operation % 1000));
        let entry = settings::entry::parse("entry.yaml", &text).expect("an entry");
        let edit = Edit::Put(Arc::new(entry));
        let record = hub.view().record(edit.name()).map(|record| record.version);
        let replaces = record.unwrap_or(Version::ZERO);
        let change = Change::new(id::Operation::new(self.operation), replaces, edit);
        let reply = time::timeout(CHANGE, hub.change(&change)).await;
        self.story.note("site", &format!("change: {reply:?}"));
        if let Ok(Ok(Reply::Accepted { version })) = reply {
            self.accepted = self.accepted.max(version);
        }
    }

    /// Brings all back, and waits until what was accepted is in force everywhere.
    async fn heal(&mut self) -> Vec<Finding> {
        for vm in self.down.keys().copied().collect::<Vec<_>>() {
            self.start_entry(vm).await;
        }
        for vm in std::mem::take(&mut self.controls_down) {
            self.site.start_control(vm).await;
        }
        self.engines.iter().for_each(Upstream::restart);
        self.story.note("site", "healed");
        let until = Instant::now() + PATIENCE;
        let mut findings = Vec::new();
        for vm in VMS {
            while self.site.hub(vm).version() < self.accepted && Instant::now() < until {
                time::sleep(Duration::from_millis(20)).await;
            }
            let version = self.site.hub(vm).version();
            if version < self.accepted {
                let what = format!("{vm} has version {version}, {} was accepted", self.accepted);
                findings.push(Finding { name: vm.to_owned(), what });
            }
        }
        findings
    }
}

async fn watch(vm: &'static str, hub: Weak<Hub>, stepped: Arc<Mutex<Vec<Finding>>>) {
    let mut highest = Version::ZERO;
    loop {
        let Some(version) = hub.upgrade().map(|hub| hub.version()) else { return };
        if version < highest {
            let what = format!("the catalogue stepped back from {highest} to {version}");
            stepped.lock().expect("no panic").push(Finding { name: vm.to_owned(), what });
        }
        highest = version;
        time::sleep(Duration::from_millis(5)).await;
    }
}
