//! Exchanges load and quota data with other entry VMs over UDP; see
//! [`sharing`](crate::decide::sharing) for the algorithm.
//!
//! Each datagram holds a complete, numbered state and is superseded within 200 ms, so lost ones are
//! not retransmitted. The UDP port has the number of the TCP port for forwarded requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::State;
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
use crate::decide::sharing::Offer;
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
use crate::sync::Mutex;
use crate::unit::Version;
use crate::wire::Role;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Interval between the updates of successive shards.
const SHARD_INTERVAL: Duration =
    UPDATE_INTERVAL.checked_div(SHARDS as u32).expect("there are shards");

/// A VM without requests for this long sends no updates.
const IDLE_THRESHOLD: Duration = Duration::from_secs(2);

/// Hosts per remote region that get the totals of a shard; more than one, for redundancy.
const HOSTS_PER_REMOTE_REGION: usize = 2;

/// Maximum number of unconfirmed uses that are sent again in later updates.
const MAX_UNCONFIRMED_USES: usize = 64;

/// The exchange of one shard with its host.
#[derive(Debug, Default)]
struct Shard {
    /// The position up to which other VMs' uses have been received.
    known: Cursor,
    /// Own uses that are not confirmed, each with the number of the first update that contained it.
    uses: Vec<(u64, PrefixUse)>,
}

/// Addresses of other entry VMs.
#[derive(Debug, Default)]
struct Peers {
    /// VMs of this region.
    addresses_by_vm: HashMap<id::Vm, SocketAddr>,
    vms_by_address: HashMap<SocketAddr, id::Vm>,
    /// VMs of other regions, by address.
    remote: HashMap<SocketAddr, (id::Vm, id::Region)>,
    /// The hosts of each shard in other regions.
    remote_hosts: Vec<Vec<SocketAddr>>,
}

#[derive(Debug)]
struct Inner {
    peers: Peers,
    hosts: Hosts,
    aggregator: Aggregator,
    balances: Balances,
    /// The version of the document that defines the allowances in `balances`.
    version: Version,
    shards: Vec<Shard>,
}

/// The sharing protocol endpoint of this VM.
#[derive(Debug)]
pub struct Sharing {
    socket: UdpSocket,
    /// Distinguishes this start of the VM from earlier ones.
    start: u64,
    inner: Mutex<Inner>,
}

impl Sharing {
    /// Binds the UDP socket. `start` distinguishes this start of the VM from earlier ones.
    pub async fn bind(address: SocketAddr, start: u64, excess: Excess) -> io::Result<Self> {
        let inner = Inner {
            peers: Peers::default(),
            hosts: Hosts::new(),
            aggregator: Aggregator::new(start),
            balances: Balances::new(start, excess),
            version: Version::ZERO,
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        };
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, start, inner: Mutex::new(inner) })
    }

    /// Sends and receives until shutdown.
    pub async fn run(&self, state: &State, mut stop: watch::Receiver<bool>) {
        tokio::select! {
            () = self.publish(state) => (),
            () = self.receive(state) => (),
            _ = stop.wait_for(|stop| *stop) => (),
        }
    }

    /// Sends updates to the hosts of the shards in turn, to each once per [`UPDATE_INTERVAL`].
    async fn publish(&self, state: &State) {
        let mut updates = state.updates();
        self.refresh_peers(state);
        let mut turns = time::interval(SHARD_INTERVAL);
        turns.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for shard in (0..SHARDS).cycle() {
            self.publish_claims_until(state, &mut turns).await;
            if updates.has_changed().unwrap_or(false) {
                updates.mark_unchanged();
                self.refresh_peers(state);
            }
            if state.idle_time() < IDLE_THRESHOLD {
                self.publish_shard(state, shard).await;
            }
            self.publish_totals(shard).await;
        }
    }

    /// Publishes claims that can't wait, until the next turn.
    async fn publish_claims_until(&self, state: &State, turns: &mut time::Interval) {
        loop {
            tokio::select! {
                biased;
                _ = turns.tick() => return,
                () = state.claims_due.notified() => (),
            }
            let shards = state.place().urgent_claims();
            for shard in shards {
                self.publish_shard(state, shard).await;
            }
        }
    }

    /// Updates the addresses, shard hosts and allowances.
    fn refresh_peers(&self, state: &State) {
        let mut peers = Peers::default();
        let mut ready = Vec::new();
        {
            let mut remote: BTreeMap<&id::Region, Vec<(&id::Vm, SocketAddr)>> = BTreeMap::new();
            let merged = state.merged();
            let known = merged.vms(Role::Entry).filter_map(|vm| Some((vm, vm.forwards?)));
            for (vm, address) in known {
                let is_ready = vm.ready && vm.standing == Standing::Ready;
                if vm.region != state.node().region {
                    peers.remote.insert(address, (vm.vm.clone(), vm.region.clone()));
                    if is_ready {
                        remote.entry(&vm.region).or_default().push((&vm.vm, address));
                    }
                    continue;
                }
                peers.addresses_by_vm.insert(vm.vm.clone(), address);
                peers.vms_by_address.insert(address, vm.vm.clone());
                if is_ready {
                    ready.push(vm.vm.clone());
                }
            }
            peers.remote_hosts = (0..SHARDS).map(|shard| remote_hosts(shard, &remote)).collect();
        }
        let table = state.routing().table;
        let mut inner = self.inner();
        inner.peers = peers;
        inner.hosts.set_candidates(&ready);
        if let Some(table) = table.filter(|table| table.version() != inner.version) {
            inner.version = table.version();
            inner.balances.set_allowances(allowances(&table));
        }
    }

    async fn publish_shard(&self, state: &State, shard: u8) {
        let now = Instant::now();
        let Some(turn) = self.inner().hosts.next_target(shard, now) else { return };
        if let Some(lost) = &turn.failed {
            warn!(state.log(), "sharing.host_lost"; "shard" => shard, "host" => %lost, "next" => %turn.host);
        }
        let has_reach = state.reaches_upstreams();
        let (loads, used, limits, draining, claims, paces) = {
            let mut place = state.place();
            // The failures of a VM without reach say nothing of the upstreams.
            let loads = if has_reach { place.loads(shard, now) } else { Vec::new() };
            let used = place.take_uses(shard);
            let claims = place.claim(shard, now);
            let (limits, paces) = (place.rate_notices(shard, now), place.paces(shard, now));
            (loads, used, limits, place.draining(shard), claims, paces)
        };
        let mut update = self.update(shard, turn.number, loads, used);
        (update.limits, update.draining, update.claims) = (limits, draining, claims);
        update.paces = paces;
        update.quotas = state.meter().counts(shard, now);
        if shard == REMOTES_SHARD {
            update.remotes = state.regions().take_outlooks(now);
        }
        let own_vm = state.node().vm();
        if turn.host == own_vm {
            let summary = self.inner().aggregate(&own_vm, update, now);
            if let Some(summary) = summary {
                self.apply_summary(state, &own_vm, summary, now);
            }
            self.send_offers(state, now).await;
            return;
        }
        let Some(address) = self.inner().peers.addresses_by_vm.get(&turn.host).copied() else {
            return;
        };
        self.send(address, &Message::Update(update)).await;
    }

    fn update(
        &self,
        shard: u8,
        number: u64,
        loads: Vec<(Key, Load)>,
        used: Vec<PrefixUse>,
    ) -> Update {
        let mut inner = self.inner();
        let shard_state = &mut inner.shards[usize::from(shard)];
        shard_state.uses.extend(used.into_iter().map(|used| (number, used)));
        let over = shard_state.uses.len().saturating_sub(MAX_UNCONFIRMED_USES);
        shard_state.uses.drain(..over);
        let uses = shard_state.uses.iter().map(|(_, used)| *used).collect();
        let (start, known) = (self.start, shard_state.known);
        Update { shard, start, number, loads, uses, known, ..Update::default() }
    }

    async fn receive(&self, state: &State) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // Usually an ICMP error for an earlier datagram. The pause prevents a busy loop on
                // other errors.
                time::sleep(SHARD_INTERVAL).await;
                continue;
            };
            let is_accepted = match Message::decode(&bytes[..length]) {
                Some(Message::Totals(totals)) => self.handle_totals(from, &totals),
                Some(message) => self.handle_local(state, from, message).await,
                None => false,
            };
            if !is_accepted {
                state.metrics().record_sharing_drop();
            }
        }
    }

    /// Handles a message from a VM of this region; returns whether the sender is known.
    async fn handle_local(&self, state: &State, from: SocketAddr, message: Message) -> bool {
        let vm = self.inner().peers.vms_by_address.get(&from).cloned();
        if let Some(vm) = &vm {
            self.handle(state, vm, message).await;
        }
        vm.is_some()
    }

    /// Handles totals from another region; returns whether the sender is known.
    fn handle_totals(&self, from: SocketAddr, totals: &Totals) -> bool {
        let mut inner = self.inner();
        let host = inner.peers.remote.get(&from).cloned();
        if let Some((vm, region)) = &host {
            inner.balances.apply_totals((vm, region), totals, Instant::now());
        }
        host.is_some()
    }

    /// As the host of a shard, sends this region's quota totals to the hosts in other regions.
    async fn publish_totals(&self, shard: u8) {
        let (totals, hosts) = {
            let mut inner = self.inner();
            let totals = inner.balances.totals(shard, Instant::now());
            let hosts = inner.peers.remote_hosts.get(usize::from(shard)).cloned();
            (totals, hosts.unwrap_or_default())
        };
        let Some(totals) = totals else { return };
        let message = Message::Totals(totals);
        for host in hosts {
            self.send(host, &message).await;
        }
    }

    async fn handle(&self, state: &State, from: &id::Vm, message: Message) {
        let now = Instant::now();
        match message {
            Message::Update(update) => {
                let summary = self.inner().aggregate(from, update, now);
                let address = self.inner().peers.addresses_by_vm.get(from).copied();
                if let (Some(summary), Some(address)) = (summary, address) {
                    self.send(address, &Message::Summary(summary)).await;
                }
                self.send_offers(state, now).await;
            }
            Message::Summary(summary) => self.apply_summary(state, from, summary, now),
            Message::Offer(offer) => self.apply_offer(state, from, &offer, now),
            // Totals are valid only from other regions.
            Message::Totals(_) => state.metrics().record_sharing_drop(),
        }
    }

    fn apply_summary(&self, state: &State, from: &id::Vm, mut summary: Summary, now: Instant) {
        {
            let mut inner = self.inner();
            if !inner.hosts.accept_summary(from, &summary, now) {
                return;
            }
            if !inner.hosts.is_last_update(from, summary.shard, summary.number) {
                // What was granted has been given up since.
                summary.grants.clear();
            }
            let shard = &mut inner.shards[usize::from(summary.shard)];
            shard.known = summary.known;
            shard.uses.retain(|(number, _)| *number > summary.number);
        }
        if let Some(parts) = &summary.quotas {
            state.meter().apply_rates(summary.shard, parts, now);
        }
        state.place().apply_summary(&summary, now);
        state.notify_room();
        state.regions().apply_remotes(&summary.remotes, now);
    }

    /// As a host, tells VMs that wait for room what they have been granted.
    async fn send_offers(&self, state: &State, now: Instant) {
        let offers = self.inner().aggregator.take_offers();
        for (vm, offer) in offers {
            if vm == state.node().vm() {
                self.apply_offer(state, &vm, &offer, now);
                continue;
            }
            let address = self.inner().peers.addresses_by_vm.get(&vm).copied();
            if let Some(address) = address {
                self.send(address, &Message::Offer(offer)).await;
            }
        }
    }

    fn apply_offer(&self, state: &State, from: &id::Vm, offer: &Offer, now: Instant) {
        if self.inner().hosts.is_last_update(from, offer.shard, offer.number) {
            state.place().apply_grants(&offer.grants, now);
            state.notify_room();
        }
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        // Send errors are ignored: the next datagram replaces this one, and an unresponsive host is
        // replaced.
        self.socket.send_to(&message.encode(), to).await.ok();
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }
}

impl Inner {
    /// As the host of a shard, merges a VM's update and returns the summary.
    fn aggregate(&mut self, from: &id::Vm, update: Update, now: Instant) -> Option<Summary> {
        let (shard, version) = (update.shard, (update.start, update.number));
        self.balances.apply_counts((from, shard), version, &update.quotas, now);
        let mut summary = self.aggregator.apply_update(from, update, now)?;
        summary.quotas = self.balances.admission_rates(shard, now);
        Some(summary)
    }
}

/// The most likely hosts of a shard in each other region.
fn remote_hosts(
    shard: u8,
    regions: &BTreeMap<&id::Region, Vec<(&id::Vm, SocketAddr)>>,
) -> Vec<SocketAddr> {
    let of_region = |vms: &Vec<(&id::Vm, SocketAddr)>| {
        let named = vms.iter().map(|(vm, address)| (*address, vm.as_str()));
        rendezvous::top(u64::from(shard), named, HOSTS_PER_REMOTE_REGION)
    };
    regions.values().flat_map(of_region).collect()
}

fn allowances(table: &Table) -> HashMap<quota::Key, Allowance> {
    let limited =
        table.organisations().filter_map(|one| Some((quota::Key::new(&one.name), one.allowance?)));
    limited.collect()
}

/// Runs the protocol until shutdown. If the port is unavailable, this VM uses local data only.
pub async fn run(state: Arc<State>, address: SocketAddr, start: u64, stop: watch::Receiver<bool>) {
    match Sharing::bind(address, start, state.node().bounds.excess).await {
        Ok(sharing) => sharing.run(&state, stop).await,
        Err(error) => {
            info!(state.log(), "sharing.off"; "address" => %address, "why" => %error);
        }
    }
}
