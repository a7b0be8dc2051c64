use super::parse;
use crate::catalogue::Class;
use crate::catalogue::Home;
use crate::catalogue::Repeat;

const GOOD: &str = "
name: mandates
owner: prehod
class: batch
models: [draft-70b]
home: ljubljana
bound: true
deadline: 4h
limits: { requests: 20/s, tokens: 9000/s, concurrency: 40 }
";

#[test]
fn reads_an_entry() {
    let entry = parse("entry.yaml", GOOD).unwrap();
    assert_eq!(entry.class, Class::Batch);
    assert_eq!(entry.home, Home::Bound("ljubljana".parse().unwrap()));
    assert_eq!(entry.repeat, Repeat::Never, "at most once is what an entry gets that says nothing");
    assert_eq!(entry.deadline.as_secs(), 4 * 3600);
}

#[test]
fn reports_all_findings_together() {
    let text = GOOD
        .replace("class: batch", "class: bulk")
        .replace("home: ljubljana\n", "")
        .replace("20/s", "many");
    let told = parse("entry.yaml", &text).unwrap_err().to_string();
    for expected in [
        "\"bulk\" is none of alert, short, long, batch",
        "needs its home region",
        "limits.requests",
    ] {
        assert!(told.contains(expected), "{expected} is missing in\n{told}");
    }
}
