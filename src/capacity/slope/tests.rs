use super::Point;
use super::Slope;

fn line(costs: [f64; 3]) -> Slope {
    let point = |(size, cost)| Point { size, cost };
    Slope::through([10.0, 20.0, 40.0].into_iter().zip(costs).map(point).collect())
}

#[test]
fn points_on_a_line_give_that_line() {
    let slope = line([25.0, 45.0, 85.0]);
    assert!((slope.base - 5.0).abs() < 1e-9 && (slope.each - 2.0).abs() < 1e-9);
    assert!((slope.fit - 1.0).abs() < 1e-9);
    assert!((slope.at(100.0) - 205.0).abs() < 1e-9);
}

#[test]
fn scattered_points_have_a_poor_fit() {
    let slope = line([10.0, 90.0, 20.0]);
    assert!(slope.fit < 0.1, "{slope:?}");
}

#[test]
fn a_cost_is_never_negative() {
    assert_eq!(line([10.0, 5.0, 0.0]).at(1000.0), 0.0);
}
