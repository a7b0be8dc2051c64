use super::Prompt;
use crate::unit::Tokens;

fn prompt(parts: &[(u64, u64)]) -> Prompt {
    let parts = parts.iter().map(|&(key, tokens)| (key, Tokens::new(tokens)));
    Prompt { parts: parts.collect(), ..Prompt::default() }
}

#[test]
fn only_parts_before_the_last_one_are_shared() {
    let shared = prompt(&[(1, 800), (2, 400), (3, 250)]).shared().unwrap();
    assert_eq!((shared.key, shared.tokens), (2, Tokens::new(1200)));
    assert!(prompt(&[(1, 5000)]).shared().is_none());
    assert!(prompt(&[(1, 90), (2, 300)]).shared().is_none());
    assert!(prompt(&[]).shared().is_none());
}
