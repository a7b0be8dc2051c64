//! What can go wrong with one request.

use std::time::Duration;

/// What goes wrong with one request: by [`super::Upstream::fail_next`], or by a marker in the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// `[[crash]]`: the process dies with all of its connections as soon as the request runs.
    Crash,
    /// `[[cut:N]]`: the connection breaks after N pieces.
    CutAfter(usize),
    /// `[[silent:N]]`: nothing comes after N pieces, and the connection stays open.
    SilentAfter(usize),
    /// `[[late:MS]]`: the answer begins later.
    Late(Duration),
    /// `[[slow:MS]]`: each piece takes that long.
    Slow(Duration),
    /// `[[crossed]]`: the answer is another attempt's, and says so in its header.
    Crossed,
    /// `[[refuse]]`: refused as not run.
    Refuse,
}

impl Fault {
    /// The fault that a prompt asks for.
    pub fn of_prompt(prompt: &str) -> Option<Self> {
        let (_, rest) = prompt.split_once("[[")?;
        let (marker, _) = rest.split_once("]]")?;
        let (name, number) = marker.split_once(':').unwrap_or((marker, "0"));
        let number: u64 = number.parse().ok()?;
        match name {
            "crash" => Some(Self::Crash),
            "cut" => Some(Self::CutAfter(number as usize)),
            "silent" => Some(Self::SilentAfter(number as usize)),
            "late" => Some(Self::Late(Duration::from_millis(number))),
            "slow" => Some(Self::Slow(Duration::from_millis(number))),
            "crossed" => Some(Self::Crossed),
            "refuse" => Some(Self::Refuse),
            _ => None,
        }
    }
}
