//! The engines and their model.

use masticstream::id;
use masticstream::unit::Incarnation;
use masticstream::unit::Slots;
use masticstream::upstream::Announcement;
use masticstream::upstream::Kind;
use masticstream::upstream::Pool;
use masticstream::upstream::Role;
use tokio::time::Instant;

use super::Setting;

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

pub fn vm(number: usize) -> id::Vm {
    format!("vm-{number}").parse().unwrap()
}

/// A VM's pool, which shares out the slots of its part of the engines.
pub fn pool(number: usize, setting: &Setting, now: Instant) -> Pool {
    let mut pool = Pool::new(vm(number), Incarnation::new(1)).with_spare(Slots::new(1));
    pool.members((0..setting.vms).map(vm).collect());
    for engine in 0..setting.engines {
        let host = engine % setting.vms;
        if host == number {
            pool.hosts(&self::engine(engine), Slots::new(setting.slots), true, now);
        } else {
            pool.follows(&self::engine(engine), &vm(host), now);
        }
    }
    pool
}
