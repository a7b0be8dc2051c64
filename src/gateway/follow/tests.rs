use super::Followers;
use super::SPARE;

// The core is cut in two, and both control VMs that an entry VM follows stand on the smaller side. They answer, and know
// of no change any more; the entry VM would serve by an old document for as long as the cut lasts. It follows a third one
// until one of the two hears a leader again.
#[test]
fn a_third_control_vm_is_followed_while_two_are_out_of_touch() {
    let mut followers = Followers::default();
    assert!(followers.note(0, true));
    assert!(!followers.wants(SPARE));
    assert!(followers.note(0, false));
    assert!(followers.note(1, false));
    assert!(followers.wants(SPARE) && followers.wants(0));
    assert!(!followers.note(SPARE, false), "one that is out of touch itself is left at once");
    assert!(followers.note(SPARE, true));
    assert!(followers.note(1, true));
    assert!(!followers.note(SPARE, true));
    assert!(!followers.wants(SPARE));
}
