use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Kind;
use crate::upstream::Role;

pub fn model() -> id::Model {
    "storm".parse().unwrap()
}

pub fn engine(number: usize) -> id::Upstream {
    format!("engine-{number}").parse().unwrap()
}

pub fn announcement(number: usize, slots: u64) -> Announcement {
    Announcement {
        id: engine(number),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "gulf".parse().unwrap(),
        data_centre: "gulf-a".parse().unwrap(),
        kind: Kind::Engine,
        slots: Slots::new(slots),
        models: [model()].into(),
        adapters: [].into(),
        versions: [].into(),
        role: Role::Mixed,
        incarnation: Incarnation::new(1),
        checks_fence: true,
        sequence: 1,
    }
}
