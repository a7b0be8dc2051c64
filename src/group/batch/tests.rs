use tokio::sync::oneshot;

use super::Batch;
use super::Pending;
use super::Waiting;
use crate::consensus::Position;
use crate::consensus::Token;
use crate::group::Error;
use crate::ledger::Command;
use crate::ledger::Ledger;
use crate::unit::Index;
use crate::unit::Term;

#[test]
fn another_leaders_entry_settles_no_command() {
    // A command stands at index 5 of an old leader's log. The entry that is carried out there is a later leader's;
    // the caller must not be told that its command was.
    let mut pending = Pending::<Ledger>::new();
    let (answer, mut outcome) = oneshot::channel();
    let at = |term| Position::new(Index::new(5), Term::new(term));
    pending.propose(Token::new(1), Batch::Commands(vec![Some(answer)]));
    pending.append(Token::new(1), at(1));
    assert!(pending.settle(at(2)).is_none());
    assert_eq!(outcome.try_recv().expect("answered"), Err(Error::Overtaken));
}

#[test]
fn batches_are_bounded_in_bytes() {
    let mut waiting = Waiting::<Ledger>::new();
    for _ in 0..10 {
        waiting.push(&Command::Advance { elapsed: std::time::Duration::ZERO }, None);
    }
    let size = waiting.bytes() / 10;
    let (data, _) = waiting.take(3 * size).expect("a batch");
    assert_eq!((data.len(), waiting.len()), (3 * size, 7));
    let (data, _) = waiting.take(1).expect("one command, however long");
    assert_eq!((data.len(), waiting.bytes()), (size, 6 * size));
}
