//! Changes of members that the replica was asked for and refused.

use serde::Serialize;

use super::Driver;
use super::Machine;
use crate::consensus::Change;
use crate::consensus::Refusal;
use crate::consensus::Token;

/// Refused changes of members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Refusals {
    /// Their number since the start, without those that another replica has to be asked for.
    pub count: u64,
    /// The last one, and why it was refused.
    pub last: Option<(Change, Refusal)>,
}

impl<M: Machine, D> Driver<M, D> {
    /// Notes why the change that was just asked for is refused.
    pub(super) fn record_refusal(&mut self, token: Token, refusal: Refusal) {
        let asked = self.asked_change.filter(|(asked, _)| *asked == token);
        let Some((_, change)) = asked else { return };
        if !matches!(refusal, Refusal::NotLeader { .. }) {
            self.refusals.count += 1;
            self.refusals.last = Some((change, refusal));
        }
    }
}
