//! Pauses of VMs while upstreams become cold.

use std::time::Duration;

use tokio::time;
use tokio::time::Instant;
use yare::parameterized;

use super::bound;
use super::paused;
use super::region::COLD;
use super::region::RATE;
use super::region::Region;
use super::region::SECOND;
use super::region::start;
use crate::decide::place::MAX_DOUBT;

/// The upstream becomes cold so long after the VMs have started.
const CHILL: Duration = Duration::from_secs(4);
/// Between two requests at a VM.
const STEP: Duration = Duration::from_millis(20);

// Guards against VMs that pause while an upstream becomes cold, and send all that has queued up before they have heard of
// it: pauses begin before, at and after the start of the cold period.
#[parameterized(
    one_of_two = { 2, 1 },
    both = { 2, 2 },
    one_of_fourteen = { 14, 1 },
    half_of_fourteen = { 14, 7 },
    half_of_a_hundred = { 100, 50 },
)]
fn vms_that_miss_a_cold_start_do_not_flood_the_upstream(vms: usize, paused_vms: usize) {
    for pause_ms in [100, 300, 500, 1000, 5000, 30_000] {
        let pause = Duration::from_millis(pause_ms);
        for part in [0.0, 0.5, 0.9] {
            let from = CHILL.saturating_sub(pause.mul_f64(part));
            paused(async {
                let starts = vec![Duration::ZERO; vms];
                let region = Region::new(starts, 3).with_cold_from(CHILL);
                let mut region = region.with_paused(paused_vms, from..from + pause);
                region.play(from + pause + COLD, STEP).await;
                let most = region.most_within(CHILL + SECOND / 2, CHILL + COLD, SECOND);
                assert!(
                    most as f64 <= bound(RATE),
                    "{most} requests in a second, pause of {pause:?} from {from:?}"
                );
            });
        }
    }
}

// Guards against an answer that was on its way during the pause, and is taken for news.
#[test]
fn only_an_answer_to_a_question_after_the_pause_ends_the_doubt() {
    paused(async {
        let state = start(0);
        let asked_before = Instant::now();
        time::advance(SECOND).await;
        assert!(state.place().doubt_until(Instant::now()).is_some());
        state.end_doubt(asked_before);
        assert!(state.place().doubt_until(Instant::now()).is_some());
        state.end_doubt(Instant::now());
        assert_eq!(state.place().doubt_until(Instant::now()), None);
    });
}

// Guards against a VM that paused, reaches no control VM, and keeps its callers waiting.
#[test]
fn a_vm_that_hears_nothing_after_a_pause_goes_on_to_serve() {
    paused(async {
        let state = start(0);
        time::advance(SECOND).await;
        let resumed = Instant::now();
        let serve = async {
            assert!(state.wait_while_in_doubt(resumed + SECOND * 5).await);
            assert_eq!(resumed.elapsed(), MAX_DOUBT);
            assert!(!state.wait_while_in_doubt(resumed + SECOND * 5).await);
        };
        tokio::select! {
            () = serve => (),
            () = state.observe_pauses() => (),
        }
    });
}

// Guards against a response that has arrived during a pause and is given up, since the pause has used up its time.
#[test]
fn a_response_that_arrived_during_a_pause_is_read() {
    paused(async {
        let state = start(0);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let waiting = state.timeout(SECOND, receiver);
        let pause = async {
            time::advance(SECOND * 2).await;
            time::sleep(Duration::from_millis(10)).await;
            sender.send(()).unwrap();
        };
        let (received, ()) = tokio::join!(waiting, pause);
        assert!(received.is_ok());
    });
}
