use super::Level;
use super::Position;
use super::Sizes;

const SIZES: Sizes = Sizes { average: 64, region: 16 };

#[test]
fn shards_stay_within_a_factor_of_two() {
    let mut level = Level::WHOLE;
    for members in (1..4000).chain((1..4000).rev()) {
        level = SIZES.level(level, members, members);
        let size = members / level.shards();
        assert!(size < 128, "{members} members in {} shards", level.shards());
        assert!(level == Level::WHOLE || size >= 47, "{members} in {} shards", level.shards());
    }
}

// Guards against sending whole shards to all VMs whenever one upstream comes or goes.
#[test]
fn members_that_come_and_go_do_not_change_the_level() {
    let level = SIZES.level(Level::WHOLE, 128, 128);
    assert_eq!(level.shards(), 2);
    assert_eq!(SIZES.level(level, 127, 127), level);
    assert_eq!(SIZES.level(level, 97, 97), level);
    assert_eq!(SIZES.level(level, 90, 90), Level::WHOLE);
}

// Guards against VMs without a candidate in a region that is much smaller than the others.
#[test]
fn small_region_is_divided_less() {
    assert_eq!(SIZES.level(Level::WHOLE, 640, 640).shards(), 8);
    assert_eq!(SIZES.level(Level::WHOLE, 640, 40).shards(), 2);
    assert_eq!(SIZES.level(Level::WHOLE, 640, 10), Level::WHOLE);
}

#[test]
fn shards_of_a_higher_level_are_parts_of_one() {
    let positions: Vec<Position> =
        (0..200).map(|nth| Position::of_vm(&format!("vm-{nth}").parse().unwrap())).collect();
    let (coarse, fine) = (Level::new(2), Level::new(5));
    for one in &positions {
        for other in &positions {
            assert!(!fine.joins(*one, *other) || coarse.joins(*one, *other));
            assert_eq!(fine.joins(*one, *other), one.shard(fine) == other.shard(fine));
        }
    }
}
