//! The page that docs/CAPACITY.md holds.

use std::fmt::Write;

use tokio::time::Instant;

use super::Measure;
use super::catalogue;
use super::decide;
use super::ledger;
use super::membership;
use super::pool;
use super::roles::Costs;
use super::roles::Line;
use super::roles::Role;
use super::target;
use super::wire;

/// Measures everything and returns the page in Markdown; takes half a minute of a core.
pub fn run() -> String {
    let started = Instant::now();
    // Memory first, while little has been freed that would be used again unseen.
    let membership = membership::costs();
    let decide = decide::costs();
    let (ledger, catalogue) = (ledger::costs(), catalogue::costs());
    let (pool, wire) = (pool::costs(), wire::costs());
    let costs = Costs { membership, catalogue, ledger, decide, pool, wire };
    let mut page = String::new();
    // Writing to a string can't fail.
    write(&mut page, &costs).ok();
    writeln!(page, "\nMeasured in {:.0} s.", started.elapsed().as_secs_f64()).ok();
    page
}

fn write(page: &mut String, costs: &Costs) -> std::fmt::Result {
    write_target(page)?;
    page.push_str("## Slopes, measured\n\n");
    page.push_str("x is the size; the fit is R squared.\n\n");
    page.push_str("| what | unit | by size | measured | line | fit | code |\n");
    page.push_str("|---|---|---|---|---|---|---|\n");
    for measure in all(costs) {
        writeln!(page, "{measure}")?;
    }
    page.push('\n');
    write_frames(page, &costs.wire)?;
    page.push_str("\n## Roles at the target's size, computed from the slopes\n");
    for role in costs.roles() {
        write_role(page, &role)?;
        write_sum(page, &role)?;
    }
    write_role(page, &costs.remedies())?;
    write_storms(page, costs)
}

fn write_target(page: &mut String) -> std::fmt::Result {
    writeln!(
        page,
        "Target: {:.0} VMs, {:.0} upstreams, {:.0} owners with an entry each, {:.0} models, {:.0} regions (the largest \
         with {:.0} VMs and {:.0} upstreams), {:.5} changes of the catalogue a second, {:.0} requests and {:.0} tokens \
         a second. Budget of a VM for control: {:.1}% of a core, {:.0} MB, {:.0} KB/s; {:.0} VMs set aside.\n",
        target::VMS,
        target::UPSTREAMS,
        target::OWNERS,
        target::MODELS,
        target::REGIONS,
        target::LARGEST_VMS,
        target::LARGEST_UPSTREAMS,
        target::CHANGES,
        target::REQUESTS,
        target::TOKENS,
        target::CPU_NANOS / 1e7,
        target::MEMORY / 1e6,
        target::BYTES / 1e3,
        target::CONTROL_VMS,
    )
}

fn all(costs: &Costs) -> Vec<&Measure> {
    let mut all = Vec::new();
    all.extend(costs.membership.all());
    all.extend(costs.catalogue.all());
    all.extend(costs.ledger.all());
    all.extend(costs.decide.all());
    all.extend(costs.pool.all());
    all.extend(costs.wire.all());
    all
}

fn write_frames(page: &mut String, wire: &wire::Costs) -> std::fmt::Result {
    let pair = |[ask, answer]: [f64; 2]| format!("{ask:.0} and {answer:.0}");
    writeln!(
        page,
        "Frames, bytes: greeting and answer {}; watch and empty answer {}; question for room {:.0}; demand and \
         grant of limits {}; claim and end of a key {}; heartbeat {:.0}.",
        pair(wire.in_force),
        pair(wire.watch),
        wire.ask_room,
        pair(wire.limit),
        pair(wire.ledger),
        wire.ping,
    )
}

fn write_role(page: &mut String, role: &Role) -> std::fmt::Result {
    writeln!(page, "\n### {}\n", role.name)?;
    page.push_str("| mechanism | messages/s sent | KB/s sent | % of a core | MB | code |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for line in &role.lines {
        write_line(page, line)?;
    }
    Ok(())
}

fn write_sum(page: &mut String, role: &Role) -> std::fmt::Result {
    let sum = |of: fn(&Line) -> f64| role.lines.iter().map(of).sum::<f64>();
    let (bytes, nanos) = (sum(|line| line.bytes), sum(|line| line.nanos));
    let memory = sum(|line| line.memory);
    let verdict = |cost: f64, budget: f64| {
        if cost > budget {
            format!("**{:.1} times the budget**", cost / budget)
        } else {
            "within".to_owned()
        }
    };
    writeln!(
        page,
        "| sum | | {:.2} ({}) | {:.3} ({}) | {:.1} ({}) | |",
        bytes / 1e3,
        verdict(bytes, target::BYTES),
        nanos / 1e7,
        verdict(nanos, target::CPU_NANOS),
        memory / 1e6,
        verdict(memory, target::MEMORY),
    )
}

fn write_line(page: &mut String, line: &Line) -> std::fmt::Result {
    let messages = line.messages.map_or("not counted".to_owned(), |count| format!("{count:.1}"));
    writeln!(
        page,
        "| {} | {messages} | {:.2} | {:.4} | {:.2} | `{}` |",
        line.what,
        line.bytes / 1e3,
        line.nanos / 1e7,
        line.memory / 1e6,
        line.code,
    )
}

fn write_storms(page: &mut String, costs: &Costs) -> std::fmt::Result {
    page.push_str("\n## Storms, computed from the slopes\n\n");
    page.push_str(
        "| what | VMs | upstreams announced anew | catalogue fetched, MB in all | one source encodes for, s | a VM \
         decodes for, s | facts received, MB in all | sent on by each VM of the region, KB |\n",
    );
    page.push_str("|---|---|---|---|---|---|---|---|\n");
    for storm in costs.storms() {
        writeln!(
            page,
            "| {} | {:.0} | {:.0} | {:.1} | {:.2} | {:.3} | {:.2} | {:.1} |",
            storm.what,
            storm.vms,
            storm.upstreams,
            storm.catalogue / 1e6,
            storm.encoding,
            storm.decoding,
            storm.facts / 1e6,
            storm.announced / 1e3,
        )?;
    }
    Ok(())
}
