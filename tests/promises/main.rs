//! Each promise of the system, kept under the failures that it is made for, on the daemons' library in one process.

#[path = "../support/mod.rs"]
mod support;

mod configuration;
mod home;
mod leaving;
mod once;
mod refusals;
mod torn;
mod whole;

use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;

use crate::support::Local;
pub use crate::support::entries::LOOKUP;
pub use crate::support::entries::MANDATE;

/// Starts an engine of a region that announces itself to a VM, and waits until the region knows it.
pub async fn engine(site: &Local, name: &str, region: &str, vm: &str, slots: usize) -> Upstream {
    let known = site.known(vm);
    let settings = Settings::engine(name)
        .with_place(region, &format!("{region}-a"))
        .with_entries([site.upstreams(vm)])
        .with_slots(slots)
        .with_speed(Duration::from_millis(10), Duration::from_millis(5));
    let engine = Upstream::start(settings).await.expect("a free port");
    site.upstreams_known(region, known + 1).await;
    engine
}
