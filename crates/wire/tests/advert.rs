//! Encoding and decoding of datagrams between VMs.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use waxwing_core::Name;
use waxwing_core::fleet::Summary;
use waxwing_core::fleet::summary::VmState;
use waxwing_core::forwarding::crashing_parts::Clearance;
use waxwing_core::forwarding::crashing_parts::CrashReport;
use waxwing_core::forwarding::crashing_parts::PARTS_MAX;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::LimitNotice;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::lanes::ServiceDemand;
use waxwing_core::forwarding::peers::Advert;
use waxwing_core::forwarding::permits::PermitRequest;
use waxwing_core::forwarding::permits::Verdict;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_wire::advert;
use waxwing_wire::advert::Datagram;
use waxwing_wire::advert::Error;
use waxwing_wire::advert::crashes::CrashNotice;
use waxwing_wire::advert::crashes::TrialQuery;
use waxwing_wire::advert::crashes::TrialReply;
use waxwing_wire::advert::limits::PermitQuery;
use waxwing_wire::advert::limits::PermitReply;

fn new_demand() -> Demand {
    Demand {
        runs: 3,
        unread_tokens: [1, 20, 300, 0, 0, 0, 0, 0, 0, 4_000],
    }
}

fn new_service_demand() -> ServiceDemand {
    ServiceDemand {
        burst_tokens_per_ms: [0.5, 1.0, 2.5],
        usual_tokens_per_ms: [0.0, 1.5, 2.0],
        usual_shared_tokens_per_ms: [0.25, 0.0, 64.0],
        streams: [1.0, 2.0, 3.0],
    }
}

fn new_notice(limit: RateLimit) -> LimitNotice {
    LimitNotice {
        endpoint: Incarnation(1 << 60),
        limit,
        sent_age_ms: 250,
        received_age_ms: 20,
    }
}

fn new_permit_datagrams() -> [Datagram; 3] {
    let notice = new_notice(RateLimit::PerSecond(0.25));
    let query = PermitQuery {
        id: u64::MAX,
        request: PermitRequest {
            endpoint: notice.endpoint,
            vm: 9,
            level: UrgencyLevel::from(4),
        },
        notice,
    };
    let answer = |verdict| {
        Datagram::PermitReply(PermitReply {
            id: 1,
            verdict,
            notice,
        })
    };
    [
        Datagram::PermitQuery(query),
        answer(Verdict::Granted),
        answer(Verdict::Wait { for_ms: 700 }),
    ]
}

fn new_advert() -> Advert {
    Advert {
        vm: Name::from("vm-1"),
        incarnation: 7,
        sequence: 8,
        front: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        data_centre: Name::from("a"),
        is_ready: true,
        configuration_version: 9,
        demands: vec![(u64::MAX, new_demand())],
        service_demands: vec![(5, new_service_demand())],
        findings: vec![CrashFinding {
            content: [7; 32],
            endpoint: Some(Name::from("e1")),
            age_ms: 100,
        }],
        leaving: vec![Incarnation(u64::MAX), Incarnation(0)],
        limits: vec![
            new_notice(RateLimit::PerSecond(1.4)),
            new_notice(RateLimit::Unlimited),
        ],
    }
}

fn new_summary() -> Summary {
    let state = VmState {
        vm: Name::from("vm-2"),
        incarnation: 1,
        sequence: 2,
        front: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        is_ready: false,
        age_ms: 299,
    };
    Summary {
        data_centre: Name::from("a"),
        vm: Name::from("vm-1"),
        incarnation: 3,
        sequence: 4,
        part: 1,
        parts: 2,
        is_remote: true,
        vms: vec![state],
        demands: vec![(1, new_demand()), (2, Demand::default())],
        service_demands: vec![(5, new_service_demand())],
        findings: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
    }
}

fn samples() -> Vec<Datagram> {
    let mut samples = vec![
        Datagram::Advert(new_advert()),
        Datagram::Summary(new_summary()),
    ];
    samples.extend(new_permit_datagrams());
    samples.extend(new_part_datagrams());
    samples
}

/// Returns a notice of crashes under parts of prompts, a request for a trial, and a reply.
fn new_part_datagrams() -> [Datagram; 3] {
    let scope = Scope {
        organisation: 1,
        service: u64::MAX,
    };
    let notice = CrashNotice {
        reports: vec![CrashReport {
            endpoint: Incarnation(7),
            scope,
            parts: vec![PartKey(2), PartKey(u64::MAX)],
            age_ms: 300,
        }],
        clearances: vec![Clearance {
            scope,
            part: PartKey(2),
            age_ms: 0,
        }],
    };
    let query = TrialQuery {
        id: 9,
        part: PartKey(2),
        hold_ms: 5_000,
    };
    let reply = TrialReply {
        id: 9,
        is_allowed: true,
    };
    [
        Datagram::CrashNotice(notice),
        Datagram::TrialQuery(query),
        Datagram::TrialReply(reply),
    ]
}

/// Guards against reports that take unbounded memory, and ages whose sums overflow.
#[test]
fn refused_notices() {
    let [Datagram::CrashNotice(notice), ..] = new_part_datagrams() else {
        unreachable!("the first one is a notice");
    };
    let mut long = notice.clone();
    long.reports[0].parts = vec![PartKey(1); PARTS_MAX + 1];
    let bytes = advert::to_bytes(&Datagram::CrashNotice(long)).unwrap();
    assert!(matches!(
        advert::from_bytes(&bytes),
        Err(Error::Field("parts"))
    ));
    let mut old = notice;
    old.clearances[0].age_ms = u64::MAX;
    let bytes = advert::to_bytes(&Datagram::CrashNotice(old)).unwrap();
    let Ok(Datagram::CrashNotice(decoded)) = advert::from_bytes(&bytes) else {
        panic!("an age that is too high is cut off by the sender");
    };
    assert!(decoded.clearances[0].age_ms < u64::MAX / 2);
}

/// Guards against fields that are lost or changed by encoding and decoding.
#[test]
fn round_trip() {
    for datagram in samples() {
        let bytes = advert::to_bytes(&datagram).unwrap();
        assert_eq!(advert::from_bytes(&bytes).unwrap(), datagram);
    }
}

/// A truncated datagram or one of another version must be rejected as a whole, never decoded in part.
#[test]
fn refused_datagrams() {
    for datagram in samples() {
        let bytes = advert::to_bytes(&datagram).unwrap();
        let mut older = bytes.clone();
        older[0] = 3;
        assert!(matches!(advert::from_bytes(&older), Err(Error::Version(3))));
        for length in 0..bytes.len() {
            assert!(advert::from_bytes(&bytes[..length]).is_err());
        }
    }
    assert!(matches!(advert::from_bytes(&[]), Err(Error::Empty)));
}

/// Negative and NaN rates, numbers whose sums over all VMs could overflow, and part numbers out of range must be
/// rejected.
#[test]
fn refused_fields() {
    let refused = |change: fn(&mut Advert, &mut Summary), field: &str| {
        let (mut sent, mut summary) = (new_advert(), new_summary());
        change(&mut sent, &mut summary);
        let changed = [Datagram::Advert(sent), Datagram::Summary(summary)];
        let refused = changed.iter().any(|datagram| {
            let bytes = advert::to_bytes(datagram).unwrap();
            matches!(advert::from_bytes(&bytes), Err(Error::Field(found)) if found == field)
        });
        assert!(refused, "{field}");
    };
    refused(
        |sent, _| sent.service_demands[0].1.burst_tokens_per_ms[0] = -0.5,
        "service_demands",
    );
    refused(
        |sent, _| sent.service_demands[0].1.usual_shared_tokens_per_ms[2] = f64::NAN,
        "service_demands",
    );
    refused(|sent, _| sent.demands[0].1.runs = u32::MAX, "runs");
    refused(
        |sent, _| sent.demands[0].1.unread_tokens[9] = u64::MAX,
        "unread_tokens",
    );
    refused(|_, summary| summary.part = 2, "part");
}

/// Every part of a summary of the maximum planned size must fit into a datagram, and splitting must lose no VM or load.
#[test]
fn large_summary() {
    let mut summary = new_summary();
    for index in 0..60 {
        let mut state = summary.vms[0].clone();
        state.vm = Name::from(format!("front-of-a-data-centre-{index}"));
        summary.vms.push(state);
    }
    for index in 0..1_600 {
        summary.demands.push((index, new_demand()));
    }
    let (vms, demands) = (summary.vms.len(), summary.demands.len());
    let parts = summary.split();
    let (mut vms_found, mut demands_found) = (0, 0);
    for part in parts {
        let bytes = advert::to_bytes(&Datagram::Summary(part)).unwrap();
        assert!(bytes.len() <= 8_192, "{} bytes", bytes.len());
        let Datagram::Summary(part) = advert::from_bytes(&bytes).unwrap() else {
            panic!("another kind of datagram");
        };
        vms_found += part.vms.len();
        demands_found += part.demands.len();
    }
    assert_eq!((vms_found, demands_found), (vms, demands));
}

proptest! {
    /// Arbitrary bytes must decode to a datagram or an error and never panic.
    #[test]
    fn any_bytes(bytes in vec(any::<u8>(), 0..400), at in any::<usize>(), byte in any::<u8>()) {
        let mut versioned = bytes;
        versioned.insert(0, 4);
        let _ = advert::from_bytes(&versioned);
        for datagram in samples() {
            let mut changed = advert::to_bytes(&datagram).unwrap();
            let length = changed.len();
            changed[at % length] = byte;
            let _ = advert::from_bytes(&changed);
        }
    }
}
