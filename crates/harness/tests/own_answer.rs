//! Each caller receives the complete answer to its own request.

use std::thread;

use rand::Rng;
use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;

const CALLERS: usize = 40;
const REQUESTS_PER_CALLER: usize = 5;
const TOKENS_MAX: u64 = 60;

fn assert_own_answers(caller: &Caller, name: &str, lengths: &[u64]) {
    for (number, &tokens) in lengths.iter().enumerate() {
        let prompt = format!("request {number} of {name}");
        let expected = caller::expected_answer(&prompt, tokens);
        if number % 2 == 0 {
            let streamed = caller.stream("draft", &prompt, tokens);
            let streamed = streamed.expect("the daemon answers");
            assert_eq!(streamed.text, expected, "{prompt}: {streamed:?}");
            assert!(streamed.is_done);
        } else {
            let answer = caller.chat("draft", &prompt, tokens);
            let answer = answer.expect("the daemon answers");
            assert_eq!(answer.text(), Some(expected), "{prompt}: {answer:?}");
        }
    }
}

/// Guards against answers that are crossed between callers, or lack or repeat a token, while many run at once.
#[test]
fn concurrent_callers_get_their_own_answers() {
    let deployment = Deployment::start(&Plan {
        engines: 3,
        engine_options: vec!["--first-token-ms", "5", "--gap-ms", "1"],
        ..Plan::default()
    });
    let mut random = deployment.run.new_rng();
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let mut lengths = Vec::new();
        for _ in 0..REQUESTS_PER_CALLER {
            lengths.push(random.random_range(1..=TOKENS_MAX));
        }
        let caller = deployment.caller(0);
        threads.push(thread::spawn(move || {
            assert_own_answers(&caller, &format!("caller {number}"), &lengths);
        }));
    }
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
}
