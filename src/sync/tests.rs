use std::env;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::process::Command;

use super::Mutex;
use crate::panics;

const NAME: &str = "sync::tests::a_process_ends_where_shared_state_can_be_inconsistent";
const CHILD: &str = "MASTIC_TEST_PANIC_WHILE_LOCKED";

/// Guards against a process that answers each request with a failure, and never ends, after one panic under a lock.
#[test]
fn a_process_ends_where_shared_state_can_be_inconsistent() {
    if env::var_os(CHILD).is_some() {
        let shared = Mutex::new(0);
        let failed = panic::catch_unwind(AssertUnwindSafe(|| {
            let _held = shared.lock();
            panic!("while locked");
        }));
        assert!(failed.is_err());
        let _held = shared.lock();
        return;
    }
    let program = env::current_exe().unwrap();
    let child = Command::new(program).args(["--exact", NAME]).env(CHILD, "1").output().unwrap();
    assert_eq!(child.status.code(), Some(panics::EXIT_STATUS), "{child:?}");
}
