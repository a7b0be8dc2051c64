//! Sharing with the entry VMs of the region what this VM has at their upstreams; [`sharing`](crate::decide::sharing) tells
//! why, and decides.
//!
//! Messages are datagrams: each holds a whole state with a number, and the next one follows within a fifth of a second, so
//! nothing is gained by sending a lost one again. They go to the port at which a VM takes requests that others pass on.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Hub;
use crate::decide::quota;
use crate::decide::quota::Balances;
use crate::decide::quota::Excess;
use crate::decide::quota::Totals;
use crate::decide::route::rendezvous;
use crate::decide::sharing::Aggregator;
use crate::decide::sharing::Cursor;
use crate::decide::sharing::Hosts;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::Message;
use crate::decide::sharing::PrefixUse;
use crate::decide::sharing::REMOTES_SHARD;
use crate::decide::sharing::SHARDS;
use crate::decide::sharing::Summary;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::sharing::Update;
use crate::id;
use crate::roster::Standing;
use crate::routing::Table;
use crate::routing::organisation::Allowance;
use crate::unit::Version;
use crate::wire::Role;

/// A datagram is no longer than this.
const MOST_BYTES: usize = 64 * 1024;

/// The shards' turns follow each other at this distance.
const TURN: Duration = UPDATE_INTERVAL.checked_div(SHARDS as u32).expect("there are shards");

/// A VM that has had no request for so long says nothing. What it knows when one comes is a round old at most.
const IDLE: Duration = Duration::from_secs(2);

/// Of another region, the first VMs in line to host a shard are told, so that the loss of one is made up for.
const TOLD_ABROAD: usize = 2;

/// Uses that no host has confirmed are told again in later updates, so many at most.
const MOST_USES: usize = 64;

/// What this VM tells and is told of one shard.
#[derive(Debug, Default)]
struct Shard {
    /// Up to where the others' uses are known.
    known: Cursor,
    /// Own uses that are not confirmed, each with the first update that told it.
    uses: Vec<(u64, PrefixUse)>,
}

/// Who can be talked to.
#[derive(Debug, Default)]
struct Book {
    /// Those of this region.
    addresses: HashMap<id::Vm, SocketAddr>,
    vms: HashMap<SocketAddr, id::Vm>,
    /// Those of other regions.
    abroad: HashMap<SocketAddr, (id::Vm, id::Region)>,
    /// The hosts of each shard in other regions.
    hosts: Vec<Vec<SocketAddr>>,
}

#[derive(Debug)]
struct State {
    book: Book,
    hosts: Hosts,
    aggregator: Aggregator,
    balances: Balances,
    /// The document whose allowances the balances hold.
    version: Version,
    shards: Vec<Shard>,
}

/// This VM's part in the sharing.
#[derive(Debug)]
pub struct Sharing {
    socket: UdpSocket,
    /// Tells this start of the VM from another.
    start: u64,
    state: Mutex<State>,
}

impl Sharing {
    /// Takes datagrams at that address. `start` tells this start of the VM from its others.
    pub async fn bind(address: SocketAddr, start: u64, excess: Excess) -> io::Result<Self> {
        let state = State {
            book: Book::default(),
            hosts: Hosts::new(),
            aggregator: Aggregator::new(start),
            balances: Balances::new(start, excess),
            version: Version::ZERO,
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        };
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, start, state: Mutex::new(state) })
    }

    /// Tells and listens until told to stop.
    pub async fn run(&self, hub: &Hub, mut stop: watch::Receiver<bool>) {
        tokio::select! {
            () = self.tell(hub) => (),
            () = self.listen(hub) => (),
            _ = stop.wait_for(|stop| *stop) => (),
        }
    }

    /// The shards' hosts are told one after the other, each once a [`ROUND`].
    async fn tell(&self, hub: &Hub) {
        let mut news = hub.news();
        self.meet(hub);
        let mut turns = time::interval(TURN);
        turns.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for shard in (0..SHARDS).cycle() {
            turns.tick().await;
            if news.has_changed().unwrap_or(false) {
                news.mark_unchanged();
                self.meet(hub);
            }
            if hub.idle_for() < IDLE {
                self.tell_shard(hub, shard).await;
            }
            self.tell_abroad(shard).await;
        }
    }

    /// Takes in which VMs there are in this region.
    fn meet(&self, hub: &Hub) {
        let mut book = Book::default();
        let mut ready = Vec::new();
        {
            let mut abroad: BTreeMap<&id::Region, Vec<(&id::Vm, SocketAddr)>> = BTreeMap::new();
            let merged = hub.merged();
            let known = merged.vms(Role::Entry).filter_map(|vm| Some((vm, vm.forwards?)));
            for (vm, address) in known {
                let is_ready = vm.ready && vm.standing == Standing::Ready;
                if vm.region != hub.node().region {
                    book.abroad.insert(address, (vm.vm.clone(), vm.region.clone()));
                    if is_ready {
                        abroad.entry(&vm.region).or_default().push((&vm.vm, address));
                    }
                    continue;
                }
                book.addresses.insert(vm.vm.clone(), address);
                book.vms.insert(address, vm.vm.clone());
                if is_ready {
                    ready.push(vm.vm.clone());
                }
            }
            book.hosts = (0..SHARDS).map(|shard| hosts_abroad(shard, &abroad)).collect();
        }
        let table = hub.routing().table;
        let mut state = self.state();
        state.book = book;
        state.hosts.set_candidates(&ready);
        if let Some(table) = table.filter(|table| table.version() != state.version) {
            state.version = table.version();
            state.balances.set_allowances(allowances(&table));
        }
    }

    async fn tell_shard(&self, hub: &Hub, shard: u8) {
        let now = Instant::now();
        let Some(turn) = self.state().hosts.next_target(shard, now) else { return };
        if let Some(lost) = &turn.failed {
            warn!(hub.log(), "sharing.host_lost"; "shard" => shard, "host" => %lost, "next" => %turn.host);
        }
        let (loads, used) = {
            let mut place = hub.place();
            (place.loads(shard, now), place.uses(shard))
        };
        let mut update = self.update(shard, turn.number, loads, used);
        update.quotas = hub.meter().counts(shard, now);
        if shard == REMOTES_SHARD {
            update.remotes = hub.regions().news(now);
        }
        let me = hub.node().vm();
        if turn.host == me {
            let summary = self.state().answer(&me, update, now);
            if let Some(summary) = summary {
                self.take_summary(hub, &me, summary, now);
            }
            return;
        }
        let Some(address) = self.state().book.addresses.get(&turn.host).copied() else { return };
        self.send(address, &Message::Update(update)).await;
    }

    fn update(
        &self,
        shard: u8,
        number: u64,
        loads: Vec<(Key, Load)>,
        used: Vec<PrefixUse>,
    ) -> Update {
        let mut state = self.state();
        let of_shard = &mut state.shards[usize::from(shard)];
        of_shard.uses.extend(used.into_iter().map(|used| (number, used)));
        let over = of_shard.uses.len().saturating_sub(MOST_USES);
        of_shard.uses.drain(..over);
        let uses = of_shard.uses.iter().map(|(_, used)| *used).collect();
        let (start, known) = (self.start, of_shard.known);
        Update { shard, start, number, loads, uses, known, ..Update::default() }
    }

    async fn listen(&self, hub: &Hub) {
        let mut bytes = vec![0; MOST_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // That of a datagram sent before, to a VM that is gone. Were it another one, this would not spin.
                time::sleep(TURN).await;
                continue;
            };
            let is_taken = match Message::decode(&bytes[..length]) {
                Some(Message::Totals(totals)) => self.take_totals(from, &totals),
                Some(message) => self.take_from(hub, from, message).await,
                None => false,
            };
            if !is_taken {
                hub.metrics().sharing_dropped();
            }
        }
    }

    /// Takes what a VM of this region says; whether there is such a VM.
    async fn take_from(&self, hub: &Hub, from: SocketAddr, message: Message) -> bool {
        let vm = self.state().book.vms.get(&from).cloned();
        if let Some(vm) = &vm {
            self.take(hub, vm, message).await;
        }
        vm.is_some()
    }

    /// Takes what a host of another region says; whether there is such a VM.
    fn take_totals(&self, from: SocketAddr, totals: &Totals) -> bool {
        let mut state = self.state();
        let host = state.book.abroad.get(&from).cloned();
        if let Some((vm, region)) = &host {
            state.balances.apply_totals((vm, region), totals, Instant::now());
        }
        host.is_some()
    }

    /// As the host of a shard, tells those of other regions what organisations ask for here.
    async fn tell_abroad(&self, shard: u8) {
        let (totals, hosts) = {
            let mut state = self.state();
            let totals = state.balances.totals(shard, Instant::now());
            let hosts = state.book.hosts.get(usize::from(shard)).cloned();
            (totals, hosts.unwrap_or_default())
        };
        let Some(totals) = totals else { return };
        let message = Message::Totals(totals);
        for host in hosts {
            self.send(host, &message).await;
        }
    }

    async fn take(&self, hub: &Hub, from: &id::Vm, message: Message) {
        let now = Instant::now();
        match message {
            Message::Update(update) => {
                let summary = self.state().answer(from, update, now);
                let address = self.state().book.addresses.get(from).copied();
                if let (Some(summary), Some(address)) = (summary, address) {
                    self.send(address, &Message::Summary(summary)).await;
                }
            }
            Message::Summary(summary) => self.take_summary(hub, from, summary, now),
            // These come from other regions.
            Message::Totals(_) => hub.metrics().sharing_dropped(),
        }
    }

    fn take_summary(&self, hub: &Hub, from: &id::Vm, summary: Summary, now: Instant) {
        {
            let mut state = self.state();
            if !state.hosts.accept_summary(from, &summary, now) {
                return;
            }
            let shard = &mut state.shards[usize::from(summary.shard)];
            shard.known = summary.known;
            shard.uses.retain(|(number, _)| *number > summary.number);
        }
        if let Some(parts) = &summary.quotas {
            hub.meter().apply_rates(summary.shard, parts, now);
        }
        hub.place().told(&summary, now);
        hub.regions().told_by_host(&summary.remotes, now);
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        // Nothing is done about a datagram that can't be sent: the next one holds all that it held, and a host that stays
        // without any is replaced.
        self.socket.send_to(&message.encode(), to).await.ok();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }
}

impl State {
    /// As a host, takes a VM's statement and answers it.
    fn answer(&mut self, from: &id::Vm, update: Update, now: Instant) -> Option<Summary> {
        let (shard, version) = (update.shard, (update.start, update.number));
        self.balances.apply_counts((from, shard), version, &update.quotas, now);
        let mut summary = self.aggregator.apply_update(from, update, now)?;
        summary.quotas = self.balances.admission_rates(shard, now);
        Some(summary)
    }
}

/// The VMs that are likely to host a shard in each other region.
fn hosts_abroad(
    shard: u8,
    regions: &BTreeMap<&id::Region, Vec<(&id::Vm, SocketAddr)>>,
) -> Vec<SocketAddr> {
    let of_region = |vms: &Vec<(&id::Vm, SocketAddr)>| {
        let named = vms.iter().map(|(vm, address)| (*address, vm.as_str()));
        rendezvous::top(u64::from(shard), named, TOLD_ABROAD)
    };
    regions.values().flat_map(of_region).collect()
}

fn allowances(table: &Table) -> HashMap<quota::Key, Allowance> {
    let limited =
        table.organisations().filter_map(|one| Some((quota::Key::new(&one.name), one.allowance?)));
    limited.collect()
}

/// Shares until told to stop. Where the port can't be had, this VM goes on by its own view.
pub async fn run(hub: Arc<Hub>, address: SocketAddr, start: u64, stop: watch::Receiver<bool>) {
    match Sharing::bind(address, start, hub.node().bounds.excess).await {
        Ok(sharing) => sharing.run(&hub, stop).await,
        Err(error) => {
            info!(hub.log(), "sharing.off"; "address" => %address, "why" => %error);
        }
    }
}
