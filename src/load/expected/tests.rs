use super::*;

#[test]
fn the_fakes_answer_as_expected() {
    for count in [1, 2, 33, 100] {
        assert_eq!(answer("hail at pier 7?", count), fakes::answer("hail at pier 7?", count));
    }
    assert_ne!(answer("a", 1), answer("b", 1));
}
