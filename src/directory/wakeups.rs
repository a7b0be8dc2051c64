//! Wakes the followers that a change concerns.

use tokio::sync::watch;

use crate::roster::slice::Level;
use crate::roster::slice::Position;
use crate::roster::table::Touched;

/// Followers are woken by this many shards at most; if a group has more of them, some wake in vain.
const CHANNELS: Level = Level::new(6);

/// A channel for each shard of followers.
#[derive(Debug)]
pub struct Wakeups {
    channels: Vec<watch::Sender<()>>,
}

impl Wakeups {
    /// Creates the channels.
    pub fn new() -> Self {
        Self { channels: (0..CHANNELS.shards()).map(|_| watch::Sender::new(())).collect() }
    }

    /// The channel of a follower.
    pub fn subscribe(&self, follower: Position) -> watch::Receiver<()> {
        self.channels[follower.shard(CHANNELS)].subscribe()
    }

    /// Wakes the followers that are concerned.
    pub fn wake(&self, touched: &Touched) {
        for (nth, channel) in self.channels.iter().enumerate() {
            let is_touched = |(level, position): &(Level, Position)| {
                let level = (*level).min(CHANNELS);
                nth & (level.shards() - 1) == position.shard(level)
            };
            if touched.all || touched.shards.iter().any(is_touched) {
                channel.send_replace(());
            }
        }
    }
}

#[cfg(test)]
mod tests;
