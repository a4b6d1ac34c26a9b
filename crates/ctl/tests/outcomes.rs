//! `waxwingctl outcomes`: a day's log must name each request that was not served, with its cause.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const LOG: &str = r#"
 -1.5 vm-1 {"event":"started","time_ms":999,"vm":"vm-1"}
{"event":"request_end","route":"drafts","outcome":"answered","runs":"e1:answered@0-900[3+0,100%]","first_byte_ms":400,"total_ms":900,"time_ms":10900}
{"event":"request_end","route":"drafts","outcome":"answered","runs":"e1:answered@0-99","first_byte_ms":90,"total_ms":99,"time_ms":10999}
 2.0 vm-2 {"event":"request_end","route":"drafts","outcome":"deadline_unreachable","runs":"e2:not_sent@1(backlog 907 ms)","first_byte_ms":0,"total_ms":1,"time_ms":11500}
{"event":"request_end","route":"drafts","outcome":"caller_gone","runs":"e1:stalled@0-10 e2:unfinished@10-3000","first_byte_ms":700,"total_ms":3000,"time_ms":14500}
{"event":"request_end","route":"lookups","outcome":"endpoint_failed","runs":"e3:failed@0-20 e4:failed@20-40","first_byte_ms":0,"total_ms":40,"time_ms":14500}
{"event":"request_end","route":"lookups","outcome":"unauthorised","runs":"","first_byte_ms":0,"total_ms":0,"time_ms":14500}
not a line of a log {
"#;

fn outcomes(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waxwingctl"))
        .arg("outcomes")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that reads no input may have closed it already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn report(arguments: &[&str]) -> serde_json::Value {
    let output = outcomes(arguments, LOG);
    assert!(output.status.success());
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Each request that was not answered must be counted under what became of its last run.
#[test]
fn named_causes() {
    let report = report(&["-", "--json"]);
    assert_eq!(report["routes"]["drafts"]["outcomes"]["answered"], 2);
    let causes = &report["causes"];
    assert_eq!(causes["drafts\tdeadline_unreachable\tnot_sent"], 1);
    assert_eq!(causes["drafts\tcaller_gone\tafter the first byte"], 1);
    assert_eq!(causes["lookups\tendpoint_failed\tfailed"], 1);
    assert_eq!(causes["lookups\tunauthorised\tno run"], 1);
    assert_eq!(causes.as_object().unwrap().len(), 4);
    assert_eq!(report["endpoints"]["e2"]["caller_gone"], 1);
    assert_eq!(report["endpoints"]["e2"]["deadline_unreachable"], 1);
    assert_eq!(report["endpoints"]["e4"]["endpoint_failed"], 1);
}

/// Requests must be counted when they arrived, not when they ended.
#[test]
fn arrival_times() {
    let times = &report(&["-", "--json"])["times_s"];
    assert_eq!(times["10"]["answered"], 2);
    assert_eq!(times["11"]["caller_gone"], 1);
    let times = &report(&["-", "--json", "--step", "10"])["times_s"];
    assert_eq!(times["10"]["caller_gone"], 1);
}

#[test]
fn readable_tables() {
    let output = outcomes(&["-"], LOG);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.contains("answered 2, caller_gone 1, deadline_unreachable 1"),
        "{text}"
    );
    assert!(text.contains("1970-01-01T00:00:10Z"), "{text}");
}

/// Wrong arguments and logs without requests must be refused with a sentence that names them.
#[test]
fn bad_input() {
    for (arguments, input, message) in [
        (&["-"][..], "nothing here", "holds no line of a request"),
        (&["-", "--step", "0"], LOG, "--step 0"),
        (&["-", "--step", "soon"], LOG, "--step soon"),
        (&["no-such-file"], "", "no-such-file"),
        (&[], "", "LOG is missing"),
    ] {
        let output = outcomes(arguments, input);
        assert!(!output.status.success(), "{arguments:?}");
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(error.contains(message), "{error}");
    }
}
