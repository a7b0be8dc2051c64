use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use crate::catalogue::Class;
use crate::catalogue::Repeat;
use crate::decide::retry::Answer;
use crate::decide::retry::Hedge;
use crate::decide::retry::Race;
use crate::id;

fn model() -> id::Model {
    "storm".parse().unwrap()
}

#[parameterized(
    long = { Class::Long, Repeat::Allowed },
    batch = { Class::Batch, Repeat::Allowed },
    not_idempotent = { Class::Short, Repeat::Never },
)]
fn never_hedged(class: Class, repeat: Repeat) {
    let mut hedge = Hedge::new(Instant::now());
    (0..100).for_each(|_| hedge.answered(&model(), Duration::from_millis(10)));
    assert!(hedge.after(&model(), Class::Short, Repeat::Allowed, Instant::now()).is_some());
    assert_eq!(hedge.after(&model(), class, repeat, Instant::now()), None);
}

// Guards against mixing the answers of two attempts.
#[test]
fn one_answer_wins() {
    let (first, second) = (id::Attempt::new(1), id::Attempt::new(2));
    let mut race = Race::new(first);
    assert!(race.hedged(second));
    assert_eq!(race.answers(second), Answer::Wins { cancel: vec![first] });
    assert_eq!(race.answers(first), Answer::Late);
    assert!(!race.hedged(id::Attempt::new(3)));
}

// Guards against giving up a request while one of its attempts is still running.
#[test]
fn one_of_two_may_fail() {
    let (first, second) = (id::Attempt::new(1), id::Attempt::new(2));
    let mut race = Race::new(first);
    race.hedged(second);
    assert!(!race.failed(first));
    assert_eq!(race.answers(second), Answer::Wins { cancel: vec![] });
    assert!(race.failed(second));
}
