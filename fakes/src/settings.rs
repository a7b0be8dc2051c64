//! What a fake is and how fast it is.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// What a fake stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What a fake is and how fast it is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Engine or service.
    pub kind: Kind,
    /// Its name.
    pub id: String,
    /// Where it listens; port 0 takes any.
    pub listen: SocketAddr,
    /// The VMs that it announces itself to, the first that answers; none for no announcement.
    pub entries: Vec<SocketAddr>,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub data_centre: String,
    /// Models of an engine, or the names that a service answers to.
    pub models: Vec<String>,
    /// Requests that run at once; the others wait.
    pub slots: usize,
    /// Time for each piece of an answer; for a service, for the whole.
    pub token_time: Duration,
    /// Time to the first piece.
    pub first_token: Duration,
    /// The same where the prompt's prefix is cached.
    pub cached_first_token: Duration,
    /// How many prefixes are cached.
    pub cache_size: usize,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How late a cache event can be seen.
    pub event_lag: Duration,
    /// Each how manyth cache event is lost; 0 for none.
    pub event_gap: u64,
    /// How long it takes to load a model.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// When a crashed process is back; none for not by itself.
    pub restart_after: Option<Duration>,
    /// The start count to begin with.
    pub incarnation: u64,
}

impl Settings {
    fn new(kind: Kind, id: &str, model: &str) -> Self {
        Self {
            kind,
            id: id.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            region: "gulf".to_owned(),
            data_centre: "gulf-a".to_owned(),
            models: vec![model.to_owned()],
            slots: 8,
            token_time: Duration::from_millis(2),
            first_token: Duration::from_millis(20),
            cached_first_token: Duration::from_millis(5),
            cache_size: 64,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_gap: 0,
            load_time: Duration::from_millis(200),
            checks_fencing: true,
            restart_after: None,
            incarnation: 1,
        }
    }

    /// A model engine with the model `small`.
    pub fn engine(id: &str) -> Self {
        Self::new(Kind::Engine, id, "small")
    }

    /// A plain service that answers to the name `echo`.
    pub fn service(id: &str) -> Self {
        Self::new(Kind::Service, id, "echo")
    }

    /// Announces itself to the first of these VMs that answers.
    #[must_use]
    pub fn with_entries(mut self, entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.entries = entries.into_iter().collect();
        self
    }

    /// Stands there.
    #[must_use]
    pub fn with_place(mut self, region: &str, data_centre: &str) -> Self {
        self.region = region.to_owned();
        self.data_centre = data_centre.to_owned();
        self
    }

    /// Has these models, or answers to these names.
    #[must_use]
    pub fn with_models<'a>(mut self, models: impl IntoIterator<Item = &'a str>) -> Self {
        self.models = models.into_iter().map(str::to_owned).collect();
        self
    }

    /// Runs that many requests at once.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Takes that long for the first piece and for each of the others.
    #[must_use]
    pub fn with_speed(mut self, first_token: Duration, token_time: Duration) -> Self {
        self.first_token = first_token;
        self.cached_first_token = first_token / 4;
        self.token_time = token_time;
        self
    }

    /// Ignores fencing numbers.
    #[must_use]
    pub fn without_fencing(mut self) -> Self {
        self.checks_fencing = false;
        self
    }

    /// Is back that long after a crash.
    #[must_use]
    pub fn with_restart(mut self, after: Duration) -> Self {
        self.restart_after = Some(after);
        self
    }

    /// Listens there.
    #[must_use]
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }
}
