//! Encoding and decoding of view requests and views.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use waxwing_core::Name;
use waxwing_core::fleet::Position;
use waxwing_core::fleet::view::ConfigurationView;
use waxwing_core::fleet::view::EndpointsView;
use waxwing_core::fleet::view::View;
use waxwing_core::fleet::view::ViewRequest;
use waxwing_core::fleet::view::Watermark;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::software_history::ListedSoftware;
use waxwing_core::forwarding::software_history::SoftwareNews;
use waxwing_core::forwarding::stream_origins::SoftwareKey;
use waxwing_wire::view;
use waxwing_wire::view::Error;

fn sample(numbers: &[u64], text: &str) -> View {
    let number = |index: usize| numbers.get(index).copied().unwrap_or(7);
    let entry = Entry {
        id: Name::from(text),
        service: Name::from("pool"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: Name::from("a"),
        slots: 12,
        is_draining: number(0) % 2 == 0,
        cold_ms: number(1),
        born_ms: (number(2) % 2 == 0).then(|| number(3)),
        version: Name::from("v1"),
        sequence: number(4),
    };
    let watermark = |index| Watermark {
        position: Position {
            timeline: number(index + 2),
            offset: number(index),
        },
        age_ms: number(index + 1),
    };
    View {
        incarnation: number(5),
        waited_ms: number(6),
        endpoints: EndpointsView {
            watermark: watermark(7),
            revision: number(9),
            is_full: number(10) % 2 == 0,
            removed: vec![Name::from(text)],
            entries: vec![entry],
            software: (number(15) % 2 == 0).then(|| SoftwareNews {
                complete_ms: number(16),
                versions: vec![ListedSoftware {
                    service: Name::from(text),
                    software: SoftwareKey(number(17)),
                    age_ms: number(18),
                }],
            }),
        },
        configuration: ConfigurationView {
            watermark: watermark(11),
            version: number(13),
            document: (number(14) % 2 == 0).then(|| text.to_owned()),
        },
    }
}

proptest! {
    /// Guards against fields that are lost or changed by encoding and decoding.
    #[test]
    fn round_trip(numbers in vec(any::<u64>(), 0..20), text in ".*") {
        let sent = sample(&numbers, &text);
        let bytes = view::encode_view(&sent).unwrap();
        assert_eq!(view::decode_view(&bytes).unwrap(), sent);
        let request = ViewRequest {
            known: numbers.first().map(|number| (*number, 1)),
            configuration_version: 5,
            timeline: numbers.last().copied().unwrap_or(3),
            wait_ms: 800,
        };
        let bytes = view::encode_question(&request).unwrap();
        assert_eq!(view::decode_question(&bytes).unwrap(), request);
    }

    /// Arbitrary bytes and truncated views must give an error and never panic.
    #[test]
    fn any_bytes(bytes in vec(any::<u8>(), 0..200), cut in any::<usize>()) {
        assert!(view::decode_view(&bytes).is_err());
        assert!(view::decode_question(&bytes).is_err());
        let whole = view::encode_view(&sample(&[], "e1")).unwrap();
        assert!(view::decode_view(&whole[..cut % whole.len()]).is_err());
    }
}

/// A view of another version or with an invalid address must be rejected as a whole.
#[test]
fn refused_views() {
    let text = String::from_utf8(view::encode_view(&sample(&[], "e1")).unwrap()).unwrap();
    let newer = text.replace("\"v\":1", "\"v\":2");
    assert!(matches!(
        view::decode_view(newer.as_bytes()),
        Err(Error::Version(2))
    ));
    let unaddressed = text.replace("127.0.0.1:1", "nowhere");
    let result = view::decode_view(unaddressed.as_bytes());
    assert!(matches!(result, Err(Error::Field("address"))), "{result:?}");
}

/// Guards against builds that do not understand each other: earlier ones know no timelines.
#[test]
fn earlier_build() {
    let strip = |bytes: &[u8]| {
        let mut message: serde_json::Value = serde_json::from_slice(bytes).unwrap();
        let fields = message.as_object_mut().unwrap();
        fields.remove("timeline");
        for topic in ["endpoints", "configuration"] {
            if let Some(watermark) = fields
                .get_mut(topic)
                .and_then(|field| field.as_object_mut())
            {
                watermark.remove("timeline");
            }
        }
        serde_json::to_vec(&message).unwrap()
    };
    let known = view::encode_view(&sample(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10], "e1")).unwrap();
    let decoded = view::decode_view(&strip(&known)).unwrap();
    assert_eq!(decoded.endpoints.watermark.position.timeline, 0);
    assert_eq!(decoded.configuration.watermark.position.timeline, 0);
    let request = ViewRequest {
        timeline: 4,
        ..ViewRequest::default()
    };
    let request = view::encode_question(&request).unwrap();
    let decoded = view::decode_question(&strip(&request)).unwrap();
    assert_eq!(decoded.timeline, 0);
}
