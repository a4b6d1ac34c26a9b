//! Events are forwarded complete, in order and once, however their bytes are split.

use proptest::prelude::*;
use waxwing_core::forwarding::event_stream::EventSplitter;

/// Guards against an incomplete event that reaches the caller after an interrupted run.
#[test]
fn broken_event() {
    let mut splitter = EventSplitter::new(Some("4".to_owned()));
    assert_eq!(splitter.last_id(), Some("4"));
    assert_eq!(
        splitter.push(b"id: 5\ndata: a\n\nid: 6\nda"),
        b"id: 5\ndata: a\n\n"
    );
    splitter.drop_incomplete();
    assert_eq!(splitter.last_id(), Some("5"));
    assert_eq!(
        splitter.push(b"id: 6\r\ndata: b\r\n\r\n"),
        b"id: 6\r\ndata: b\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some("6"));
    assert_eq!(splitter.event_count(), 2);
}

/// Guards against unbounded memory for bytes that never complete an event, and against forwarding them as one.
#[test]
fn endless_event() {
    let mut splitter = EventSplitter::new(None);
    let mut buffered = 0;
    while !splitter.is_overlong() {
        assert!(splitter.push(&[b'x'; 10_000]).is_empty());
        buffered += 10_000;
        assert!(buffered < 300_000, "{buffered} bytes are buffered");
    }
    splitter.drop_incomplete();
    assert!(!splitter.is_overlong());
}

/// Guards against comments that are dropped, or that count as progress of a stream.
#[test]
fn comments_only() {
    let mut splitter = EventSplitter::new(None);
    let comments = b": still there\n\n:\r\n\r\n";
    assert_eq!(splitter.push(comments), comments);
    assert_eq!(splitter.event_count(), 0);
    splitter.push(b": a comment\ndata: a token\n\n");
    assert_eq!(splitter.event_count(), 1);
}

proptest! {
    /// Guards against lost, repeated or incomplete events for any split of the bytes.
    #[test]
    fn any_split(events in 1_usize..20, cuts in prop::collection::vec(1_usize..40, 1..80)) {
        let mut text = String::new();
        for number in 0..events {
            text.push_str(&format!("id: {number}\ndata: token {number}\n\n"));
        }
        let mut splitter = EventSplitter::new(None);
        let mut rest = text.as_bytes();
        let mut passed = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = (*cuts.next().unwrap()).min(rest.len());
            let piece = splitter.push(&rest[..length]);
            prop_assert!(piece.is_empty() || piece.ends_with(b"\n\n"));
            passed.extend(piece);
            rest = &rest[length..];
        }
        prop_assert_eq!(passed, text.as_bytes());
        let last = (events - 1).to_string();
        prop_assert_eq!(splitter.last_id(), Some(last.as_str()));
    }
}

/// Guards against blank lines and comments after the last event that make a whole stream look broken off.
#[test]
fn incomplete_event() {
    for (rest, is_incomplete) in [
        ("", false),
        ("\n", false),
        ("\r\n", false),
        (": still there", false),
        ("id: 8", true),
        ("\nda", true),
        (": still there\nda", true),
    ] {
        let mut splitter = EventSplitter::new(None);
        splitter.push(b"id: 7\ndata: a\n\n");
        splitter.push(rest.as_bytes());
        assert_eq!(splitter.has_incomplete(), is_incomplete, "{rest:?}");
    }
}
