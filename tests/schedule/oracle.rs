//! Judges what callers got by what the upstreams ran.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fakes::Run;

use crate::story::Story;
use crate::traffic::Outcome;
use crate::traffic::Word;

/// Where bound data belongs.
pub const HOME: &str = "gulf";

/// A run and the region where it ran.
pub type Ran = (&'static str, Run);

/// A promise that was broken.
#[derive(Debug)]
pub struct Finding {
    /// The request.
    pub name: String,
    /// How.
    pub what: String,
}

/// All findings of one seed; `away` is the VM that is away from home.
pub fn judge(outcomes: &[Outcome], ran: &[Ran], away: SocketAddr) -> Vec<Finding> {
    outcomes.iter().flat_map(|outcome| judge_one(outcome, ran, away)).collect()
}

fn judge_one(outcome: &Outcome, ran: &[Ran], away: SocketAddr) -> Vec<Finding> {
    let question = &outcome.question;
    let digest = fakes::digest(&question.name);
    let own: Vec<&Ran> = ran.iter().filter(|(_, run)| run.prompt == digest).collect();
    let mut found = Vec::new();
    let mut find = |what: String| {
        let what = format!("{what}: {question:?}, {}, ran {own:?}", outcome.word);
        found.push(Finding { name: question.name.clone(), what });
    };
    if question.mandate {
        // A stream that goes on over a fresh connection is the same attempt.
        let attempts: BTreeSet<_> = own.iter().map(|(_, run)| &run.attempt).collect();
        if attempts.len() > 1 {
            find("doubled".to_owned());
        }
        if own.iter().any(|(region, _)| *region != HOME) {
            find("bound data ran away from home".to_owned());
        }
    }
    // Without a key, a refusal can only speak of the send that it refuses.
    let speaks = question.mandate || outcome.sends == 1;
    if speaks && outcome.word.says_not_run() && !own.is_empty() {
        find("untrue refusal".to_owned());
    }
    if let Word::Answered { text, from, region } = &outcome.word {
        if *text != fakes::answer(&question.name, question.tokens) {
            find("crossed, or broken and passed off as whole".to_owned());
        }
        let ran_away = region.as_ref().is_some_and(|region| region != HOME);
        if question.mandate && (*from == away || ran_away) {
            find("bound data was answered away from home".to_owned());
        }
        if !own.iter().any(|(_, run)| run.outcome == fakes::Outcome::Completed) {
            find("lost: answered, but nothing ran it to its end".to_owned());
        }
    }
    found
}

/// A finding with all that is needed to look into it.
pub fn tell(seed: u64, schedule: &str, story: &Story, finding: &Finding) -> String {
    let Finding { name, what } = finding;
    format!("seed {seed}, {name}: {what}\nschedule: {schedule}\n{}", story.about(name))
}
