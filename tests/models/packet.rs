//! Messages under way.

use masticstream::consensus::Body;
use masticstream::consensus::Message;
use masticstream::consensus::Replica;
use masticstream::id;

/// A message under way.
#[derive(Debug)]
pub struct Packet {
    pub key: u128,
    pub from: id::Replica,
    pub to: id::Replica,
    pub message: Message,
}

impl Packet {
    /// Whether it can change nothing at its receiver, now or later, where terms are synced at once and so never
    /// fall: an answer to a term that is over, or to an office that a replica takes once a term and has lost.
    pub fn is_spent(&self, receiver: &Replica) -> bool {
        let (term, own) = (self.message.term, receiver.term());
        match self.message.body {
            Body::Matched { .. } | Body::Mismatched { .. } | Body::Installing { .. } => {
                term < own || (term == own && !receiver.is_leader())
            }
            Body::VoteAnswer { granted } => {
                term < own || (term == own && !(granted && receiver.is_candidate()))
            }
            Body::PreVoteAnswer { .. } | Body::Stale => term <= own,
            _ => false,
        }
    }
}
