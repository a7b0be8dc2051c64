use super::timeline;

const LINES: &str = r#"
12.1 vm-2 {"msg":"request.placed","level":"INFO","ts":"2026-01-01T00:00:02Z","vm":"b","request":"r","target":"x"}
{"msg":"request.placed","level":"INFO","ts":"2026-01-01T00:00:01Z","vm":"a","request":"r","target":"b"}
{"msg":"request.placed","level":"INFO","ts":"2026-01-01T00:00:01Z","vm":"a","request":"other","target":"b"}
{"msg":"attempt.lost","level":"INFO","ts":"2026-01-01T00:00:03Z","vm":"b","request":"r","why":"the connection broke off"}
no line of ours
{"msg":"request.ended","level":"INFO","ts":"2026-01-01T00:00:04Z","vm":"a","request":"r","outcome":"upstream-failed","ms":12}
"#;

#[test]
fn the_lines_of_all_vms_make_one_timeline() {
    let text = timeline("r", LINES.lines()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[0].contains(" a request.placed target=b"));
    assert!(lines[1].contains(" b request.placed target=x"));
    assert!(lines[2].starts_with("=> ") && lines[2].contains("why=the connection broke off"));
    assert!(lines[3].ends_with("ms=12 outcome=upstream-failed"));
}

#[test]
fn a_request_that_nobody_names_has_none() {
    assert!(timeline("unknown", LINES.lines()).is_none());
}
