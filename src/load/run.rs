//! Running a scenario.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::http::client::Client;
use crate::id;
use crate::load::Error;
use crate::load::Report;
use crate::load::Scenario;
use crate::load::arrival;
use crate::load::audit;
use crate::load::directory::Book;
use crate::load::life;
use crate::load::life::Record;
use crate::load::question::Question;
use crate::load::tally::Tally;

/// What a run is told beside its scenario.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Tells the keys of two runs apart, since VMs keep answers by key.
    pub run: u64,
    /// Whether progress is shown, where there is a terminal.
    pub progress: bool,
}

impl Options {
    /// A run with that number, shown on a terminal.
    pub fn new(run: u64) -> Self {
        Self { run, progress: true }
    }

    /// A run with a random number.
    pub fn random() -> Self {
        Self::new(rand::rng().random())
    }

    /// The same without progress.
    #[must_use]
    pub fn with_quiet(mut self) -> Self {
        self.progress = false;
        self
    }
}

/// One request that is to be sent: when, and by which kind of caller.
#[derive(Debug)]
struct Send {
    at: Duration,
    caller: usize,
    number: u64,
}

/// Runs a scenario to its end: all requests answered, refused or given up.
pub async fn run(scenario: &Scenario, options: &Options) -> Result<Report, Error> {
    let scenario = Arc::new(scenario.clone());
    let client = Client::new();
    let books = books(&scenario, &client).await?;
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let sends = plan(&scenario, &mut rng);
    let bar = bar(sends.len() as u64, options.progress);
    let mut tallies: Vec<Tally> = scenario.callers.iter().map(Tally::new).collect();
    let room = Arc::new(Semaphore::new(scenario.in_flight));
    let start = Instant::now();
    let mut lives: JoinSet<(usize, Record)> = JoinSet::new();
    for send in sends {
        time::sleep_until(start + send.at).await;
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else { break };
        let (scenario, client) = (Arc::clone(&scenario), client.clone());
        let book = Arc::clone(&books[&scenario.callers[send.caller].region]);
        let rng = SmallRng::seed_from_u64(rng.random());
        let run = options.run;
        lives.spawn(async move {
            let _room = permit;
            let caller = &scenario.callers[send.caller];
            let question = Question::new(caller, send.number, run);
            (send.caller, life::live(&client, &book, caller, question, rng).await)
        });
        while let Some(Ok((caller, record))) = lives.try_join_next() {
            tallies[caller].add(record);
            bar.inc(1);
        }
    }
    while let Some(ended) = lives.join_next().await {
        if let Ok((caller, record)) = ended {
            tallies[caller].add(record);
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    let seconds = start.elapsed().as_secs_f64();
    let audit = audit::audit(&client, &scenario.upstreams).await;
    let ran = (!scenario.upstreams.is_empty()).then_some(&audit.runs);
    let rows = tallies.into_iter().map(|tally| tally.row(ran)).collect();
    Ok(Report { seconds, rows, silent_upstreams: audit.silent })
}

type Books = BTreeMap<id::Region, Arc<Mutex<Book>>>;

/// The directories of the callers of each region.
async fn books(scenario: &Scenario, client: &Client) -> Result<Books, Error> {
    let mut books = Books::new();
    for caller in &scenario.callers {
        if books.contains_key(&caller.region) {
            continue;
        }
        let mut book = Book::new(caller.region.clone(), scenario.vms.clone());
        book.refresh(client).await;
        if book.is_empty() {
            return Err(Error::NoDirectory);
        }
        books.insert(caller.region.clone(), Arc::new(Mutex::new(book)));
    }
    Ok(books)
}

/// All requests in the order of their moments, no more than the scenario allows.
fn plan(scenario: &Scenario, rng: &mut SmallRng) -> Vec<Send> {
    let mut sends = Vec::new();
    for (caller, kind) in scenario.callers.iter().enumerate() {
        let moments = arrival::arrivals(kind, scenario.time, rng);
        let send = |(number, at)| Send { at, caller, number: number as u64 };
        sends.extend(moments.into_iter().enumerate().map(send));
    }
    sends.sort_by_key(|send| send.at);
    sends.truncate(usize::try_from(scenario.most).unwrap_or(usize::MAX));
    sends
}

fn bar(count: u64, shown: bool) -> ProgressBar {
    if !shown {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len}");
    let bar = ProgressBar::new(count);
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
