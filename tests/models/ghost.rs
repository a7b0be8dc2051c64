//! What the specification remembers, and what must always hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use masticstream::consensus::Body;
use masticstream::consensus::Entry;
use masticstream::consensus::Output;
use masticstream::consensus::Payload;
use masticstream::consensus::Role;
use masticstream::id;
use masticstream::unit::Index;
use masticstream::unit::Term;

use super::peer::Effect;
use super::peer::Peer;

/// The history that the invariants speak of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ghost {
    /// The committed entries from index 1 on, each with the term of the leader that committed it.
    pub committed: Vec<(Entry, Term)>,
    pub leaders: BTreeMap<Term, id::Replica>,
    /// Identities whose folder is lost.
    pub retired: BTreeSet<id::Replica>,
    /// Members that a leader of a term was told had missed their heartbeats.
    pub silenced: BTreeSet<(Term, id::Replica)>,
    /// How much was committed when each read came in.
    pub reads: Vec<usize>,
    pub identities: u128,
}

/// An invariant that does not hold, in words.
pub type Verdict = Result<(), String>;

impl Ghost {
    /// Takes in what a peer did, and judges it.
    pub fn judge(&mut self, peer: &Peer, others: &[&Peer], effects: &[Effect]) -> Verdict {
        for effect in effects {
            match effect {
                Effect::Led => self.judge_leader(peer)?,
                Effect::Sent { to, message } => {
                    self.judge_message(peer, others, *to, &message.body)?;
                }
                Effect::Applied(Output::Apply(entries)) => self.judge_applied(entries)?,
                Effect::Read(Output::ReadReady { token, index }) => {
                    self.judge_read(token.get(), *index)?;
                }
                Effect::Applied(_) | Effect::Read(_) => {}
            }
        }
        self.judge_commit(peer, others)?;
        judge_data(peer)?;
        others.iter().try_for_each(|other| judge_match(peer, other))
    }

    /// One leader a term, and it holds all that leaders of earlier terms committed.
    fn judge_leader(&mut self, peer: &Peer) -> Verdict {
        let term = peer.replica.term();
        let first = *self.leaders.entry(term).or_insert(peer.replica.id());
        if first != peer.replica.id() {
            return Err(format!("two leaders in term {term}"));
        }
        let earlier = self.committed.iter().filter(|(_, by)| *by < term);
        for (entry, by) in earlier {
            if !peer.replica.log().matches(entry.position) {
                return Err(format!(
                    "leader of term {term} lacks {} committed in term {by}",
                    entry.position
                ));
            }
        }
        Ok(())
    }

    fn judge_message(
        &self,
        peer: &Peer,
        others: &[&Peer],
        to: id::Replica,
        body: &Body,
    ) -> Verdict {
        let from = peer.replica.id();
        if matches!(body, Body::VoteAnswer { granted: true }) && self.retired.contains(&from) {
            return Err(format!("vote by the old identity {from}"));
        }
        let witness = others.iter().any(|other| other.replica.id() == to && other.config.witness);
        match body {
            Body::Append { entries, .. } if witness && entries.iter().any(holds_data) => {
                Err("data sent to the witness".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn judge_applied(&mut self, entries: &[Entry]) -> Verdict {
        for entry in entries {
            let known = at(entry.index()).and_then(|place| self.committed.get(place));
            if known.is_some_and(|(known, _)| known != entry) {
                return Err(format!("applied {} where another entry is committed", entry.position));
            }
        }
        Ok(())
    }

    fn judge_read(&self, token: u64, index: Index) -> Verdict {
        let committed = self.reads.get(token as usize).copied().unwrap_or(0);
        if index.get() < committed as u64 {
            return Err(format!(
                "read at {index} when {committed} entries were committed before it"
            ));
        }
        Ok(())
    }

    /// What is committed stays, and is where the next leader finds it.
    fn judge_commit(&mut self, peer: &Peer, others: &[&Peer]) -> Verdict {
        let log = peer.replica.log();
        let mut index = log.first();
        while index <= peer.replica.commit() {
            let Some(entry) = log.get(index) else {
                return Err(format!("{} committed {index} and lacks it", peer.replica.id()));
            };
            match at(index).and_then(|place| self.committed.get(place)) {
                Some((known, _)) if known.position != entry.position => {
                    return Err(format!("{} committed over {}", entry.position, known.position));
                }
                Some(_) => {}
                None => {
                    self.judge_witness(peer, others, entry)?;
                    self.committed.push((entry.clone(), peer.replica.term()));
                }
            }
            index = index.next();
        }
        Ok(())
    }

    /// In a group with a witness, a committed entry is synced on each data voter that has not missed its heartbeats.
    fn judge_witness(&self, leader: &Peer, others: &[&Peer], entry: &Entry) -> Verdict {
        let members = leader.replica.log().members();
        if members.with_role(Role::Witness).next().is_none() {
            return Ok(());
        }
        let term = leader.replica.term();
        // What is lost with a folder, no rule can keep.
        let counted =
            |id: &id::Replica| !self.silenced.contains(&(term, *id)) && !self.retired.contains(id);
        for id in members.with_role(Role::Voter).filter(counted) {
            let holder = others.iter().chain([&leader]).find(|peer| peer.replica.id() == id);
            if !holder.is_some_and(|peer| peer.disk.log.contains(entry)) {
                return Err(format!(
                    "{} committed by the witness while {id} is in touch",
                    entry.position
                ));
            }
        }
        Ok(())
    }
}

fn at(index: Index) -> Option<usize> {
    index.get().checked_sub(1).map(|place| place as usize)
}

fn holds_data(entry: &Entry) -> bool {
    matches!(entry.payload, Payload::Data(_))
}

/// A witness holds no data, and nobody else lacks any.
fn judge_data(peer: &Peer) -> Verdict {
    let log = peer.replica.log();
    let held = log.slice(log.first(), log.last().index, usize::MAX);
    let written = peer.pending.iter().flat_map(|write| &write.entries);
    let mut all = held.iter().chain(&peer.disk.log).chain(written);
    let wrong = |entry: &Entry| match entry.payload {
        Payload::Data(_) => peer.config.witness,
        Payload::Withheld => !peer.config.witness,
        Payload::Empty | Payload::Members(_) => false,
    };
    match all.find(|entry| wrong(entry)) {
        Some(entry) => {
            Err(format!("{} holds {} with the wrong payload", peer.replica.id(), entry.position))
        }
        None => Ok(()),
    }
}

/// Two logs that share a position agree on all before it.
fn judge_match(one: &Peer, other: &Peer) -> Verdict {
    let (one, other) = (one.replica.log(), other.replica.log());
    let mut index = one.last().index.min(other.last().index);
    let mut shared = false;
    while let (Some(a), Some(b)) = (one.get(index), other.get(index)) {
        shared |= a.position == b.position;
        let withheld = [&a.payload, &b.payload].contains(&&Payload::Withheld);
        if shared && (a.position != b.position || (a.payload != b.payload && !withheld)) {
            return Err(format!("logs differ at {} and agree after it", a.position));
        }
        index = index.saturating_sub(Index::new(1));
    }
    Ok(())
}
