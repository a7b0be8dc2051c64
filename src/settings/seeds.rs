//! The seeds in force: they may be exchanged while a process runs.

use std::net::SocketAddr;

use slog::Logger;
use slog::info;

use crate::id;
use crate::settings::Node;
use crate::sync::Mutex;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// Control VMs that the settings name, and where each takes links.
#[derive(Debug)]
pub struct Seeds {
    links: Mutex<Vec<(id::Vm, SocketAddr)>>,
}

impl Seeds {
    /// The seeds of these settings.
    pub fn new(node: &Node) -> Self {
        Self { links: Mutex::new(node.seed_links().collect()) }
    }

    /// The seeds at present.
    pub fn links(&self) -> Vec<(id::Vm, SocketAddr)> {
        self.links.lock().clone()
    }

    /// Takes those of newer settings, and tells the links where to find them.
    pub fn reload(&self, node: &Node, mesh: Option<&Mesh>, log: &Logger) {
        if !self.replace(node) {
            return;
        }
        info!(log, "process.reloaded"; "seeds" => ?self.links());
        let Some(mesh) = mesh else { return };
        for (vm, link) in self.links() {
            mesh.learn(Peer::new(vm, Role::Control), link);
        }
    }

    /// Takes those of newer settings, and tells whether they differ.
    fn replace(&self, node: &Node) -> bool {
        let newer: Vec<(id::Vm, SocketAddr)> = node.seed_links().collect();
        let mut links = self.links.lock();
        let differ = *links != newer;
        *links = newer;
        differ
    }
}
