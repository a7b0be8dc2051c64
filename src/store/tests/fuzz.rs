//! Property tests of the store under crashes, torn and dropped bytes, a full disk and failed syncs.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::sample::select;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::faulty::Fault;
use super::faulty::Loss;
use super::workload::Operation;
use super::workload::Workload;
use crate::fuzz;

#[derive(Debug, Clone)]
enum Transition {
    Operation(Operation),
    /// Injects a fault after that many calls.
    Arm(u64, Fault),
    /// Kills and restarts the process.
    Kill,
    /// Simulates a power loss and restart.
    PowerLoss(Loss),
}

/// The expected state depends on where the fault occurs, so the workload tracks it instead of the
/// reference model.
#[derive(Debug, Clone)]
struct Plan;

impl ReferenceStateMachine for Plan {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let faults = select(vec![Fault::Crash, Fault::Full, Fault::Sync]);
        let losses = select(vec![Loss::Nothing, Loss::All, Loss::Tail, Loss::Zeros, Loss::Garbage]);
        prop_oneof![
            5 => (0_u64..9, 0_u64..4).prop_map(|(count, replaced)| Operation::Append { count, replaced }).prop_map(Transition::Operation),
            1 => Just(Transition::Operation(Operation::Vote)),
            2 => (0_u64..4).prop_map(|kept| Transition::Operation(Operation::Snapshot { kept })),
            1 => (-4_i64..4).prop_map(|ahead| Transition::Operation(Operation::Install { ahead })),
            2 => (0_u64..14, faults).prop_map(|(after, fault)| Transition::Arm(after, fault)),
            1 => Just(Transition::Kill),
            2 => losses.prop_map(Transition::PowerLoss),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

struct System;

impl StateMachineTest for System {
    type SystemUnderTest = Workload;
    type Reference = Plan;

    fn init_test(_: &Plan) -> Workload {
        Workload::new(7)
    }

    fn apply(mut workload: Workload, _: &Plan, transition: Transition) -> Workload {
        match transition {
            Transition::Arm(after, fault) => workload.disk.arm(after, fault),
            Transition::Kill => {
                workload.opened = None;
                workload.disk.restart();
            }
            Transition::PowerLoss(loss) => {
                workload.opened = None;
                workload.disk.lose_power(loss, &mut workload.rng.clone());
            }
            Transition::Operation(operation) => {
                // After a failure the store stays closed until the next kill or power loss.
                if workload.opened.is_some() || workload.open().is_ok() {
                    workload.run(operation).unwrap_or_default();
                }
            }
        }
        workload
    }

    fn teardown(mut workload: Workload) {
        workload.opened = None;
        workload.disk.lose_power(Loss::All, &mut workload.rng.clone());
        workload.open().expect("nothing unsynced was needed");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(500))]

    #[test]
    fn acknowledged_state_survives(sequential 1..60 => System);
}
