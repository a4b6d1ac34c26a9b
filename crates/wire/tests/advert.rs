//! Adverts on the wire: what is sent is what is heard, and what is not an advert is refused.

use waxwing_core::Name;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::peers::Advert;
use waxwing_wire::advert;
use waxwing_wire::advert::Error;

fn sample() -> Advert {
    let demand = Demand {
        runs: 3,
        unread_tokens: [1, 20, 300, 0, 0, 0, 0, 0, 0, 4_000],
    };
    Advert {
        vm: Name::from("vm-1"),
        incarnation: 7,
        sequence: 8,
        front: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: Name::from("a"),
        is_ready: true,
        configuration_version: 9,
        demands: vec![(u64::MAX, demand)],
        asked: vec![(5, [0.5, 1.0, 2.5])],
        findings: Vec::new(),
    }
}

/// Every field must arrive as it was sent.
#[test]
fn round_trip() {
    let bytes = advert::to_bytes(&sample()).unwrap();
    assert_eq!(advert::from_bytes(&bytes).unwrap(), sample());
}

/// An advert of another version, with a rate that is no rate, or cut off, must be refused and not half understood.
#[test]
fn refused_adverts() {
    let text = String::from_utf8(advert::to_bytes(&sample()).unwrap()).unwrap();
    let older = text.replace("\"v\":3", "\"v\":1");
    assert!(matches!(
        advert::from_bytes(older.as_bytes()),
        Err(Error::Version(1))
    ));
    let negative = text.replace("[0.5,", "[-0.5,");
    let result = advert::from_bytes(negative.as_bytes());
    assert!(matches!(result, Err(Error::Field("asked"))), "{result:?}");
    // A level that no endpoint knows, and numbers whose sums over all VMs would overflow.
    for (sent, other) in [
        ("[9,4000]", "[10,4000]"),
        ("[9,4000]", "[9,18446744073709551615]"),
        (",3,[[", ",4294967295,[["),
    ] {
        assert!(text.contains(sent), "{text}");
        let result = advert::from_bytes(text.replace(sent, other).as_bytes());
        assert!(matches!(result, Err(Error::Field("demands"))), "{result:?}");
    }
    for length in 0..text.len() {
        assert!(advert::from_bytes(&text.as_bytes()[..length]).is_err());
    }
}
