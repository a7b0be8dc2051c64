//! The daemon of a control VM.

fn main() {}
