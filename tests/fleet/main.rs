//! A fleet of entry VMs that follow a control VM, in one process and in virtual time, at several sizes.

mod growth;
mod world;
