//! The whole path in one process: control daemons, two entry daemons and two stand-ins for engines, on loopback.
//!
//! It sends a streamed request, prints its answer, and stays up to be called.

#[path = "../tests/support/mod.rs"]
mod support;

use std::error::Error;

use fakes::Settings;
use fakes::Upstream;

use crate::support::Caller;
use crate::support::Local;

const ENTRY: &str = "
name: storm-lookup
owner: bayou
class: short
models: [small]
home: gulf
deadline: 20s
repeat: allowed
prefers: latency
limits: { requests: 100/s, tokens: 100000/s, concurrency: 50 }
";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut site = Local::start(&["gulf-1@gulf", "gulf-2@gulf"]).await;
    site.put(ENTRY).await;
    let mut engines = Vec::new();
    for (name, vm) in [("engine-1", "gulf-1"), ("engine-2", "gulf-2")] {
        let settings = Settings::engine(name).with_entries([site.upstreams(vm)]);
        engines.push(Upstream::start(settings).await?);
    }
    site.upstreams_known("gulf", engines.len()).await;
    let address = site.callers("gulf-1");
    let request = Caller::chat("storm-lookup", "Is there a cell near pier 7?", 12, true);
    let answer = request.with_key("demo-1").send(address).await?;
    println!("{}\n{}", answer.status, answer.body);
    println!("The system stays up until Ctrl-C. To call it:\n");
    println!("curl -N http://{address}/v1/chat/completions -H 'mastic-entry: storm-lookup' \\");
    println!(
        "  -d '{{\"stream\":true,\"max_tokens\":12,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
    );
    println!("\ncurl http://{address}/directory");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
