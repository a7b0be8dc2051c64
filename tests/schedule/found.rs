//! What the random schedules found, each as a test of its own, and that the oracle sees what it is there for.

use fakes::Run;

use crate::oracle;
use crate::oracle::Ran;
use crate::support::Caller;
use crate::support::Local;
use crate::traffic::Outcome;
use crate::traffic::Question;
use crate::traffic::Word;

// Seeds 55 and 93. A VM restarts and takes requests before a catalogue has come. It told its callers that there is
// no such entry and gave no time to come back, so they gave up for good. It must send them elsewhere for a moment.
#[tokio::test]
async fn a_vm_without_a_catalogue_does_not_deny_its_entries() {
    let site = Local::start(&["a@gulf"]).await;
    let answer = Caller::chat("lookup", "early", 3, false).send(site.callers("a")).await.unwrap();
    let told = answer.problem();
    assert_eq!(told.kind, "urn:masticstream:refusal:starting");
    assert_eq!(serde_json::to_value(told.ran).unwrap(), "no");
    assert!(told.retry_after_ms.is_some());
}

/// A run of the question's, of that attempt.
fn ran(region: &'static str, attempt: &str, outcome: fakes::Outcome) -> Ran {
    let (key, prompt) = (Some("q".to_owned()), fakes::digest("q"));
    (region, Run { attempt: Some(attempt.to_owned()), key, prompt, priority: 0, outcome })
}

/// What the oracle says of a request that may not repeat.
fn judged(text: Option<&str>, runs: &[Ran]) -> Vec<String> {
    let from = "127.0.0.1:1".parse().unwrap();
    let refused = r#"{"type":"x","title":"x","status":503,"detail":"x","ran":"no"}"#;
    let word = match text {
        Some(text) => Word::Answered { text: text.to_owned(), from, region: None },
        None => Word::Refused(serde_json::from_str(refused).unwrap()),
    };
    let question = Question { name: "q".to_owned(), mandate: true, stream: false, tokens: 3 };
    let outcome = Outcome { question, word, sends: 2 };
    let found = oracle::judge(&[outcome], runs, "127.0.0.2:1".parse().unwrap());
    found.iter().map(|found| found.what.split(':').next().unwrap().to_owned()).collect()
}

#[test]
fn the_oracle_sees_each_broken_promise() {
    let own = fakes::answer("q", 3);
    let done = ran("gulf", "1", fakes::Outcome::Completed);
    let cut = ran("gulf", "2", fakes::Outcome::Cut);
    let away = ran("delta", "1", fakes::Outcome::Completed);
    let none: [&str; 0] = [];
    assert_eq!(judged(Some(&own), std::slice::from_ref(&done)), none);
    assert_eq!(judged(None, &[]), none);
    assert_eq!(judged(Some(&own), &[done.clone(), cut.clone()]), ["doubled"]);
    assert_eq!(judged(Some(&own), &[away]), ["bound data ran away from home"]);
    assert_eq!(judged(None, std::slice::from_ref(&cut)), ["untrue refusal"]);
    let crossed = judged(Some(&own[..own.len() - 1]), &[done]);
    assert_eq!(crossed, ["crossed, or broken and passed off as whole"]);
    assert_eq!(judged(Some(&own), &[cut]), ["lost"]);
}
