//! Guards against fields of peer messages that are lost, swapped, or accepted although corrupt.

use capnp::message::Builder;
use proptest::prelude::*;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Grant;
use waxwing_wire::claim::SettledResult;
use waxwing_wire::claim::Settlement;
use waxwing_wire::claim::StoredAnswer;
use waxwing_wire::peer::Digest;
use waxwing_wire::peer::RemoteSlotRequest;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;
use waxwing_wire::peer_capnp;

/// Writes a value into a message and reads it back.
macro_rules! round_trip {
    ($value:expr, $module:ident, $type:ty) => {{
        let mut message = Builder::new_default();
        $value.write(message.init_root::<peer_capnp::$module::Builder<'_>>());
        let reader = message
            .get_root_as_reader::<peer_capnp::$module::Reader<'_>>()
            .expect("the message has a root");
        <$type>::try_from(reader).expect("the message decodes")
    }};
}

fn new_slot_request(sequence: u64, left_ms: u64, excluded: Vec<String>) -> SlotRequest {
    SlotRequest {
        ticket: TicketId {
            incarnation: u64::MAX,
            sequence,
        },
        class: "team/class".into(),
        organisation: "organisation".into(),
        weight: 1,
        tier: 2,
        deadline_at_ms: left_ms,
        target_ms: 3,
        ageing_ms: 4,
        idempotent: true,
        preemptible: sequence.is_multiple_of(2),
        expected_tokens: 5,
        generated_tokens: 6,
        class_in_flight_max: 7,
        organisation_in_flight_max: 8,
        prefix_hash: 9,
        content_hash: [10; 32],
        data_centre: "almaty-1".into(),
        excluded: excluded.into_iter().map(Name::from).collect(),
    }
}

proptest! {
    #[test]
    fn ask_keeps_every_field(sequence: u64, left_ms in 0..u64::MAX / 2, excluded: Vec<String>) {
        let slot_request = new_slot_request(sequence, left_ms, excluded);
        let read = round_trip!(RemoteSlotRequest::from_slot_request(&slot_request, 0), ask, RemoteSlotRequest);
        prop_assert_eq!(read.to_slot_request(0), slot_request);
    }
}

/// A deadline sent as a timestamp would be wrong by the difference between the clocks of the two VMs.
#[test]
fn deadline_crosses_as_time_left() {
    let slot_request = new_slot_request(1, 1_500, Vec::new());
    let sent = RemoteSlotRequest::from_slot_request(&slot_request, 1_000);
    assert_eq!(sent.left_ms(), 500);
    assert_eq!(sent.to_slot_request(9_000).deadline_at_ms, 9_500);
}

#[test]
fn other_messages_keep_every_field() {
    let shard = Shard {
        pool: "chat".into(),
        data_centre: Some("almaty-1".into()),
    };
    assert_eq!(round_trip!(shard, shard, Shard), shard);
    let digest = Digest {
        name: "vm-1".into(),
        incarnation: 7,
        is_draining: true,
        settings_version: 9,
        load: 11,
        leaving: vec!["engine-1".into(), "engine-2".into()],
    };
    assert_eq!(round_trip!(digest, digest, Digest), digest);
    for event in [
        ReportEvent::FirstToken { elapsed_ms: 3 },
        ReportEvent::Progress {
            tokens: 4,
            gap_us: 5,
        },
        ReportEvent::Finish {
            end: AttemptEnd::Preempted,
            tokens: 6,
        },
    ] {
        let ticket = TicketId {
            incarnation: 1,
            sequence: 2,
        };
        let report = Report {
            shard: shard.clone(),
            ticket,
            event,
        };
        assert_eq!(round_trip!(report, report, Report), report);
    }
    for verdict in [
        Verdict::Grant {
            endpoint: "engine-1".into(),
            address: "127.0.0.1:1".to_owned(),
        },
        Verdict::Refuse {
            reason: Reason::QueueFull,
            retry_after_ms: 12,
        },
        Verdict::NotOwner,
    ] {
        assert_eq!(round_trip!(verdict, verdict, Verdict), verdict);
    }
}

#[test]
fn claims_keep_every_field() {
    let key = uuid::Uuid::from_u128(42);
    let request = ClaimRequest {
        organisation: "organisation".to_owned(),
        key,
        body_hash: [1; 32],
        class: "team/class".to_owned(),
        claimant: 2,
        may_use_memory: true,
        wait_ms: 3,
    };
    assert_eq!(round_trip!(request, claim_request, ClaimRequest), request);
    let grant = Grant {
        range: 1,
        fence: 2,
        attempt: 3,
    };
    let answer = StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Some(Vec::new()),
    };
    for verdict in [
        ClaimVerdict::Granted(grant),
        ClaimVerdict::Done(answer.clone()),
        ClaimVerdict::Refused(Refusal::may_have_run(Reason::OutcomeUnknown, 5, "text")),
    ] {
        assert_eq!(round_trip!(verdict, claim_verdict, ClaimVerdict), verdict);
    }
    let without_body = StoredAnswer {
        body: None,
        ..answer.clone()
    };
    for result in [
        SettledResult::Done(answer),
        SettledResult::Done(without_body),
        SettledResult::NotRun,
        SettledResult::Unknown,
    ] {
        let settlement = Settlement {
            organisation: "organisation".to_owned(),
            key,
            grant,
            result,
        };
        assert_eq!(round_trip!(settlement, settlement, Settlement), settlement);
    }
}

/// A hash of the wrong length must be an error, never a panic or a shortened hash.
#[test]
fn short_hash_is_an_error() {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<peer_capnp::evidence::Builder<'_>>();
    builder.set_content_hash(&[1; 31]);
    let reader = message
        .get_root_as_reader::<peer_capnp::evidence::Reader<'_>>()
        .expect("the message has a root");
    let error = waxwing_wire::peer::Evidence::try_from(reader).expect_err("the hash is too short");
    assert_eq!(error.to_string(), "field contentHash: expected 32 bytes");
}
