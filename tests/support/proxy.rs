//! Something between two VMs that can lose track of all open connections, while new ones work.

use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::io;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Passes connections on to a target until it is told to forget them.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    forgotten: watch::Sender<u64>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// A proxy on a free port of that address.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let forgotten = watch::Sender::new(0);
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, forgotten.clone()));
        Self { address, forgotten, _task: task }
    }

    /// All open connections go silent for good; neither end is told.
    pub fn forget(&self) {
        self.forgotten.send_modify(|count| *count += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, forgotten: watch::Sender<u64>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        connections.spawn(pass(near, target, forgotten.subscribe()));
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut forgotten: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    tokio::select! {
        _ = io::copy_bidirectional(&mut near, &mut far) => (),
        // The sockets stay open, and nothing that is written to them goes anywhere.
        _ = forgotten.changed() => std::future::pending().await,
    }
}
