//! What a VM knows of the software versions that have served.

use waxwing_core::Name;
use waxwing_core::forwarding::software_history::ListSource;
use waxwing_core::forwarding::software_history::ListedSoftware;
use waxwing_core::forwarding::software_history::SoftwareHistory;
use waxwing_core::forwarding::software_history::SoftwareNews;
use waxwing_core::forwarding::stream_origins::SoftwareKey;

const REPORT_MS: u64 = 500;

/// The entry of an endpoint stays for three reports.
const LIST_GAP_MS: u64 = 2 * REPORT_MS;

const LONG_GAP_MS: u64 = 3 * REPORT_MS;

fn pool() -> Name {
    Name::from("pool")
}

fn version(text: &str) -> SoftwareKey {
    SoftwareKey::new(&pool(), &Name::from(text))
}

/// Returns a history that is complete from a time on.
fn complete_since(at_ms: u64) -> SoftwareHistory {
    let mut history = SoftwareHistory::new(REPORT_MS);
    history.confirm(at_ms, &ListSource::List, at_ms);
    history
}

/// Records in succession leave nothing out, however long a read took; a list may.
#[test]
fn gap_by_source() {
    for (source, gap_ms, is_complete) in [
        (ListSource::Records, LONG_GAP_MS, true),
        (ListSource::List, LIST_GAP_MS, true),
        (ListSource::List, LONG_GAP_MS, false),
    ] {
        let mut history = complete_since(1_000);
        let at_ms = 1_000 + gap_ms;
        let interrupted_ms = history.confirm(at_ms, &source, at_ms);
        assert_eq!(interrupted_ms.is_none(), is_complete, "{source:?}");
        assert_eq!(history.is_complete_since(1_000), is_complete, "{source:?}");
        assert!(history.is_complete_since(at_ms));
    }
}

/// A version that came and went between two reads counts until the second one.
#[test]
fn short_version() {
    let mut history = complete_since(1_000);
    history.record_change(&pool(), version("v2"));
    let at_ms = 1_000 + LONG_GAP_MS;
    history.confirm(at_ms, &ListSource::Records, at_ms);
    assert_eq!(history.versions_since(&pool(), at_ms), [version("v2")]);
    history.confirm(at_ms + 1_000, &ListSource::Records, at_ms + 1_000);
    assert!(history.versions_since(&pool(), at_ms + 1).is_empty());
}

/// What another VM has seen closes a gap as far as it reaches, and extends the history of a VM that has just started.
#[test]
fn told_history() {
    let now_ms = 20_000;
    for (known_since_ms, complete_ms, complete_since_ms) in [
        (None, 15_000, 5_000),
        (Some(10_000), 15_000, 5_000),
        (Some(10_000), 10_000, 10_000),
        // The other VM does not know of the time between the reads either.
        (Some(10_000), 9_000, 11_000),
    ] {
        let mut history = known_since_ms.map_or_else(SoftwareHistory::default, complete_since);
        let news = SoftwareNews {
            complete_ms,
            versions: vec![ListedSoftware {
                service: pool(),
                software: version("v2"),
                age_ms: 3_000,
            }],
        };
        history.confirm(now_ms - 100, &ListSource::Told(news), now_ms);
        assert!(history.is_complete_since(complete_since_ms));
        assert!(!history.is_complete_since(complete_since_ms - 1));
        assert_eq!(history.versions_since(&pool(), 17_000), [version("v2")]);
        assert!(history.versions_since(&pool(), 17_001).is_empty());
    }
}

/// A VM that knows more than the one that it asks keeps what it knows.
#[test]
fn told_less() {
    let mut history = complete_since(10_000);
    let news = SoftwareNews {
        complete_ms: 500,
        versions: Vec::new(),
    };
    let at_ms = 10_000 + LIST_GAP_MS;
    history.confirm(at_ms, &ListSource::Told(news), at_ms);
    assert!(history.is_complete_since(10_000));
}

/// News hold what was listed since the history is complete, and a history never claims what it has forgotten.
#[test]
fn news_and_expiry() {
    let mut history = complete_since(1_000);
    assert_eq!(SoftwareHistory::default().news(5_000), None);
    history.record(&pool(), version("v1"), 2_000);
    history.record(&pool(), version("v2"), 4_000);
    let news = history.news(5_000).unwrap();
    assert_eq!(news.complete_ms, 4_000);
    assert_eq!(news.versions.len(), 2);
    history.expire(3_000);
    let news = history.news(5_000).unwrap();
    assert_eq!(news.complete_ms, 2_000);
    let versions: Vec<_> = news.versions.iter().map(|listed| listed.software).collect();
    assert_eq!(versions, [version("v2")]);
    assert!(!history.is_mixed_since(0));
}
