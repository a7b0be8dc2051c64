use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Engine;
use super::Length;
use super::Line;
use super::Output;
use super::Regression;
use crate::unit::Tokens;

const PRIOR: Line = Line { intercept: 0.04, slope: 0.001 };

fn is_close(actual: f64, expected: f64, tolerance: f64) -> bool {
    (actual - expected).abs() <= expected * tolerance
}

/// Fits a line to samples with an error of 20% and the given fraction of outliers.
fn fit(truth: Line, range: std::ops::Range<f64>, outliers: f64) -> Line {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut regression = Regression::new(PRIOR, 0.5);
    for _ in 0..2000 {
        let x = rng.random_range(range.clone()).floor();
        let error = rng.random_range(0.8..1.2);
        let y = truth.at(x) * error;
        regression.add(x, if rng.random_bool(outliers) { y * 40.0 } else { y });
    }
    regression.line()
}

// Guards against estimates that stay at the prior.
#[test]
fn a_line_is_fitted_to_noisy_samples() {
    for intercept in [0.001, 0.02, 0.2] {
        for slope in [0.00002, 0.0005, 0.01] {
            let truth = Line { intercept, slope };
            let line = fit(truth, 1.0..120.0, 0.0);
            for x in [5.0, 30.0, 100.0] {
                assert!(is_close(line.at(x), truth.at(x), 0.2), "{truth:?} {line:?} at {x}");
            }
        }
    }
}

// A tenth of the samples come from stalled streams. Least squares would overestimate the line by a factor of five.
#[test]
fn outliers_have_little_influence() {
    let truth = Line { intercept: 0.03, slope: 0.0007 };
    let line = fit(truth, 1.0..120.0, 0.1);
    for x in [5.0, 30.0, 100.0] {
        assert!(is_close(line.at(x), truth.at(x), 0.25), "{line:?} at {x}");
    }
}

// Samples at nearly the same x don't determine a slope; the prior is scaled to their level.
#[test]
fn samples_at_one_load_scale_the_prior() {
    let line = fit(Line { intercept: 0.4, slope: 0.01 }, 20.0..22.0, 0.0);
    assert!(is_close(line.at(21.0), 0.61, 0.15), "{line:?}");
    assert!(line.slope > 0.0 && line.intercept > 0.0);
}

// Guards against estimates that do not follow a change; 1,600 samples are two seconds of a batch of fifty.
#[test]
fn a_changed_latency_is_learned() {
    let mut engine = Engine::default();
    for gap in [40, 120] {
        for nth in 0..1600 {
            engine.record_gap(f64::from(10 + nth % 50), Duration::from_millis(gap));
        }
        let learned = engine.speed().gap(30.0);
        assert!(is_close(learned, gap as f64 / 1000.0, 0.2), "{learned} for {gap} ms");
    }
}

#[test]
fn invalid_and_extreme_samples_are_bounded() {
    let mut regression = Regression::new(PRIOR, 0.5);
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        for _ in 0..50 {
            regression.add(invalid, 1.0);
            regression.add(1.0, invalid);
        }
    }
    assert_eq!(regression.line(), PRIOR);
    for _ in 0..50 {
        regression.add(1e18, 1e12);
        regression.add(0.0, 1e-12);
    }
    let line = regression.line();
    assert!(
        line.intercept.is_finite() && line.slope.is_finite() && line.at(10.0) >= 0.0,
        "{line:?}"
    );
}

// No answer reaches its limit, so a prediction from the limit alone would be far too high.
#[test]
fn predicted_lengths_follow_hints() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut length = Length::default();
    let output =
        |hint: Option<u64>| Output { limit: Tokens::new(1000), hint: hint.map(Tokens::new) };
    for _ in 0..500 {
        let events: u32 = rng.random_range(5..80);
        let error = rng.random_range(-0.7_f64..0.7).exp();
        length.record(&output(Some((f64::from(events) * 7.0 * error) as u64)), events);
    }
    assert!(is_close(length.events(&output(Some(350))), 50.0, 0.25));
    assert!(is_close(length.events(&output(None)), 42.0, 0.3), "{}", length.events(&output(None)));
    assert!(is_close(length.events(&Output::default()), 42.0, 0.4));
    let extreme = [output(Some(0)), output(Some(u64::MAX)), Output::default()];
    for output in extreme {
        length.record(&output, u32::MAX);
        assert!(length.events(&output).is_finite());
    }
}

// Prefills lengthen more gaps at a high load than at a low one. Their time must not be attributed to the batch size, or
// busy engines are avoided that would serve a stream well.
#[test]
fn prefills_do_not_raise_the_gap_per_request() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut engine = Engine::default();
    let gap = |running: f64| 0.025 + 0.0007 * running;
    for _ in 0..4000 {
        let running = rng.random_range(5.0_f64..100.0).floor();
        let is_prefill = rng.random_bool(0.4 + running / 500.0);
        let prefill = if is_prefill { rng.random_range(0.01..0.06) } else { 0.0 };
        engine.record_gap(running, Duration::from_secs_f64(gap(running) + prefill));
    }
    let speed = engine.speed();
    assert!(is_close(speed.gap_per_request(), 0.0007, 0.35), "{speed:?}");
    assert!(is_close(speed.gap(50.0), gap(50.0), 0.15), "{speed:?}");
}
