//! Encoding and decoding of the records of the claim streams.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use proptest::prelude::any;
use proptest::proptest;
use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::state::claims::Answer;
use waxwing_core::state::claims::Claim;
use waxwing_core::state::claims::ClaimId;
use waxwing_core::state::claims::ClaimKey;
use waxwing_core::state::claims::Outcome;
use waxwing_core::state::claims::Owner;
use waxwing_core::state::claims::Record;
use waxwing_wire::claim_record::Error;
use waxwing_wire::claim_record::InvalidField;
use waxwing_wire::claim_record::decode;
use waxwing_wire::claim_record::encode;
use waxwing_wire::platform;

fn stored_record(data: String) -> platform::Record {
    platform::Record {
        offset: 17,
        time_ms: 0,
        data,
    }
}

fn key() -> ClaimKey {
    ClaimKey {
        organisation: Name::from("qaghaz"),
        key: Uuid::from_u128(0x0190_0000_0000_7000_8000_0000_0000_0001),
    }
}

fn records() -> Vec<Record> {
    let owner = Owner {
        vm: Name::from("vm-1"),
        incarnation: u64::MAX,
    };
    let outcome = |result| Record::Outcome {
        key: key(),
        claim: ClaimId {
            fence: 3,
            attempt: 1,
        },
        result,
    };
    vec![
        Record::Own {
            owner: owner.clone(),
            previous_fence: 0,
        },
        Record::Active {
            owner,
            fence: 3,
            cutoff_ms: 9,
            may_use_memory: true,
        },
        Record::Release { fence: 3 },
        Record::Claims {
            fence: 3,
            claims: vec![Claim {
                key: key(),
                attempt: 1,
                claimant: u64::MAX,
                body_hash: [0xab; 32],
            }],
        },
        outcome(Outcome::NotRun),
        outcome(Outcome::Unknown),
        outcome(Outcome::Done(Answer {
            status: 201,
            content_type: "application/json".to_owned(),
            body: Some(vec![0, 255]),
        })),
        outcome(Outcome::Done(Answer {
            status: 200,
            content_type: String::new(),
            body: None,
        })),
    ]
}

/// Guards against fields that are lost or changed by encoding and decoding.
#[test]
fn round_trip() {
    for record in records() {
        let stored = stored_record(encode(5, &record));
        assert_eq!(decode(5, &stored).expect("the record decodes"), record);
    }
}

/// Guards against errors without the offset of the record, and against applying a record of another range.
#[test]
fn foreign_records() {
    let other = stored_record(encode(4, &Record::Release { fence: 3 }));
    let error = decode(5, &other).expect_err("the range differs");
    assert!(
        matches!(
            error,
            Error::Range {
                offset: 17,
                found: 4,
                expected: 5
            }
        ),
        "{error}"
    );
    let zero = stored_record(encode(5, &Record::Release { fence: 0 }));
    let error = decode(5, &zero).expect_err("no owner has the fence 0");
    assert!(
        matches!(
            error,
            Error::Value {
                offset: 17,
                finding: InvalidField::Fence
            }
        ),
        "{error}"
    );
    for text in [
        "",
        "{}",
        r#"{"kind":"release","range":5}"#,
        r#"{"kind":"release","range":5,"fence":3,"x":1}"#,
    ] {
        let error =
            decode(5, &stored_record(STANDARD.encode(text))).expect_err("the shape is wrong");
        assert!(error.to_string().contains("offset 17"), "{error}");
    }
}

proptest! {
    /// Guards against a panic, or a decoded record, for arbitrary bytes.
    #[test]
    fn any_bytes(bytes in any::<Vec<u8>>(), data in any::<String>()) {
        assert!(decode(5, &stored_record(STANDARD.encode(bytes))).is_err());
        assert!(decode(5, &stored_record(data)).is_err());
    }
}
