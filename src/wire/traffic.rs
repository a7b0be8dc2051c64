//! Bytes sent on the links of a process, by kind of frame.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::Cast;
use super::Frame;

/// A kind of frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Greetings and heartbeats.
    Link,
    /// Calls.
    Call,
    /// Replies to calls.
    Reply,
    /// Messages between the replicas of a group.
    Group,
    /// Records of upstreams and VMs among control VMs.
    Roster,
    /// Other messages.
    Other,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] =
        [Self::Link, Self::Call, Self::Reply, Self::Group, Self::Roster, Self::Other];

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Link => "link",
            Self::Call => "call",
            Self::Reply => "reply",
            Self::Group => "group",
            Self::Roster => "roster",
            Self::Other => "other",
        }
    }
}

impl From<&Frame> for Kind {
    fn from(frame: &Frame) -> Self {
        match frame {
            Frame::Hello { .. } | Frame::Ping => Self::Link,
            Frame::Call { .. } => Self::Call,
            Frame::Reply { .. } => Self::Reply,
            Frame::Cast(Cast::Group { .. }) => Self::Group,
            Frame::Cast(Cast::Heard(_)) => Self::Roster,
            Frame::Cast(_) => Self::Other,
        }
    }
}

/// Counts the bytes of sent frames.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: [AtomicU64; Kind::ALL.len()],
}

impl Traffic {
    /// Counts a frame.
    pub fn record(&self, kind: Kind, bytes: usize) {
        self.bytes[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The bytes sent of a kind.
    pub fn bytes(&self, kind: Kind) -> u64 {
        self.bytes[kind as usize].load(Ordering::Relaxed)
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (nth, kind) in Kind::ALL.into_iter().enumerate() {
            let separator = if nth == 0 { "" } else { " " };
            write!(f, "{separator}{}={}", kind.name(), self.bytes(kind))?;
        }
        Ok(())
    }
}
