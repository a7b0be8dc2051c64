//! Something between two VMs that can lose track of all open connections, while new ones work.

use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::io;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

#[derive(Debug, Clone, Copy, Default)]
struct State {
    forgotten: u64,
    cut: bool,
}

/// Passes connections on to a target until it is told to forget them.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    _task: JoinSet<()>,
}

impl Proxy {
    /// A proxy on a free port of that address.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = watch::Sender::new(State::default());
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, state.clone()));
        Self { address, state, _task: task }
    }

    /// All open connections go silent for good; neither end is told.
    pub fn forget(&self) {
        self.state.send_modify(|state| state.forgotten += 1);
    }

    /// Open connections go silent and new ones are never answered, until it is mended.
    pub fn cut(&self, cut: bool) {
        self.state.send_modify(|state| {
            state.forgotten += 1;
            state.cut = cut;
        });
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<State>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        connections.spawn(pass(near, target, state.subscribe()));
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut state: watch::Receiver<State>) {
    if state.borrow_and_update().cut {
        return std::future::pending().await;
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    tokio::select! {
        _ = io::copy_bidirectional(&mut near, &mut far) => (),
        // The sockets stay open, and nothing that is written to them goes anywhere.
        _ = state.changed() => std::future::pending().await,
    }
}
