use yare::parameterized;

use super::Attempt;
use super::Error;
use super::Vm;

#[parameterized(
    empty = { "", Error::Length(0) },
    blank = { "a b", Error::Character(' ') },
    control = { "a\n", Error::Character('\n') },
)]
fn refuses_what_is_no_name(text: &str, expected: Error) {
    assert_eq!(text.parse::<Vm>(), Err(expected));
}

#[test]
fn reads_back_what_it_writes() {
    let attempt = Attempt::new(0xfeed);
    assert_eq!(attempt.to_string().parse(), Ok(attempt));
    assert_eq!("0xfeed".parse::<Attempt>(), Err(Error::Number));
}
