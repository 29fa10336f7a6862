//! Pins the messages of the users' protocol: field names, spellings and some exact bytes,
//! all as literals.

use pebblefold_wire::{decode, encode, users};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::fmt::Debug;

/// Asserts that the value is serialized as `expected`, and `expected` is deserialized as
/// the value.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    value: &T,
    expected: Value,
) {
    let written: Value = decode(&encode(value)).expect("MessagePack");
    assert_eq!(written, expected, "written");
    assert_decodes(value, expected);
}

/// Asserts that `stored` is deserialized as the value, from MessagePack and from JSON.
fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(value: &T, stored: Value) {
    assert_eq!(decode::<T>(&encode(&stored)).as_ref(), Some(value), "read");
    assert_eq!(&serde_json::from_value::<T>(stored).expect("JSON"), value);
}

/// Asserts the spelling of each variant.
fn assert_spellings<T: Serialize + DeserializeOwned + PartialEq + Debug>(variants: &[(T, &str)]) {
    for (variant, text) in variants {
        assert_round_trip(variant, json!(text));
    }
}

fn hex<T: Serialize>(value: &T) -> String {
    encode(value).iter().map(|b| format!("{b:02x}")).collect()
}

fn submission() -> users::Submission {
    users::Submission {
        id: "wk-1".into(),
        class: "urgent".into(),
        team: "red".into(),
        shape: users::JobShape::Gang,
        priority: users::Priority::High,
        tasks: 8,
        cpus: 4.5,
        gpus: 1.0,
        memory_gb: 16.0,
        image: "img-0".into(),
        image_gb: 6.25,
        kinds: None,
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 12.0,
        save_s: 3.0,
        deadline_s: None,
    }
}

/// [`submission`] as it is sent, without the fields that are `None`.
fn submission_json() -> Value {
    json!({
        "ref": "wk-1", "lane": "urgent", "crew": "red", "shape": "ensemble",
        "urgency": "urgent", "pieces": 8, "vcpus": 4.5, "accelerators": 1.0,
        "memory_gb": 16.0, "bundle": "img-0", "size_gb": 6.25, "same_place": true,
        "scatter": false, "borrowed": true, "guess_s": 30.0, "snapshot_every_s": 12.0,
        "snapshot_s": 3.0,
    })
}

/// Adds fields to a JSON object.
fn with(mut object: Value, extra_fields: Value) -> Value {
    let extra_fields = extra_fields.as_object().expect("an object").clone();
    object
        .as_object_mut()
        .expect("an object")
        .extend(extra_fields);
    object
}

#[test]
fn submission_keeps_its_wire_format() {
    let full = users::Submission {
        kinds: Some(vec!["g4".into()]),
        zone: Some("z0".into()),
        deadline_s: Some(90.0),
        ..submission()
    };
    let extra_fields = json!({"kinds_of_box": ["g4"], "yard": "z0", "due_s": 90.0});
    assert_round_trip(&full, with(submission_json(), extra_fields));
    let absent = json!({"kinds_of_box": null, "yard": null, "due_s": null});
    assert_round_trip(&submission(), with(submission_json(), absent));
    assert_decodes(&submission(), submission_json());
    assert_eq!(
        hex(&submission()),
        "de0014a3726566a4776b2d31a46c616e65a6757267656e74a463726577a3726564a573686170\
         65a8656e73656d626c65a7757267656e6379a6757267656e74a670696563657308a576637075\
         73cb4012000000000000ac616363656c657261746f7273cb3ff0000000000000a96d656d6f72\
         795f6762cb4030000000000000a662756e646c65a5696d672d30a773697a655f6762cb401900\
         0000000000ac6b696e64735f6f665f626f78c0a479617264c0aa73616d655f706c616365c3a7\
         73636174746572c2a8626f72726f776564c3a767756573735f73cb403e000000000000b0736e\
         617073686f745f65766572795f73cb4028000000000000aa736e617073686f745f73cb400800\
         0000000000a56475655f73c0"
    );
}

#[test]
fn shapes_priorities_and_stages_keep_their_spelling() {
    use users::{JobShape, JobStage, Priority};
    assert_spellings(&[
        (JobShape::Array, "batch"),
        (JobShape::Gang, "ensemble"),
        (JobShape::Service, "service"),
    ]);
    assert_spellings(&[
        (Priority::Low, "low"),
        (Priority::Normal, "standard"),
        (Priority::High, "urgent"),
        (Priority::Production, "production"),
    ]);
    assert_spellings(&[
        (JobStage::Queued, "pending"),
        (JobStage::Running, "running"),
        (JobStage::Done, "done"),
        (JobStage::Cancelled, "withdrawn"),
    ]);
}

#[test]
fn fault_names_field_with_its_wire_spelling() {
    type Invalidate = fn(&mut users::Submission);
    let cases: [(&str, Invalidate); 15] = [
        ("ref", |s| s.id = "a b".into()),
        ("lane", |s| s.class = "".into()),
        ("crew", |s| s.team = "".into()),
        ("pieces", |s| s.tasks = 0),
        ("vcpus", |s| s.cpus = -1.0),
        ("accelerators", |s| s.gpus = -1.0),
        ("memory_gb", |s| s.memory_gb = -1.0),
        ("bundle", |s| s.image = "".into()),
        ("size_gb", |s| s.image_gb = -1.0),
        ("guess_s", |s| s.estimate_s = -1.0),
        ("snapshot_every_s", |s| s.checkpoint_s = -1.0),
        ("snapshot_s", |s| s.save_s = -1.0),
        ("due_s", |s| s.deadline_s = Some(-1.0)),
        ("kinds_of_box", |s| s.kinds = Some(Vec::new())),
        ("yard", |s| s.zone = Some("".into())),
    ];
    for (field, invalidate) in cases {
        let mut s = submission();
        invalidate(&mut s);
        assert_eq!(s.first_invalid_field(), Some(field));
    }
}

#[test]
fn answers_to_users_keep_their_wire_format() {
    let answer = |done, running| users::JobStatus {
        id: "wk-1".into(),
        stage: users::JobStage::Running,
        done,
        running,
    };
    assert_round_trip(
        &answer(Some(3), Some(4)),
        json!({"ref": "wk-1", "stage": "running", "done": 3, "running": 4}),
    );
    assert_round_trip(
        &answer(None, None),
        json!({"ref": "wk-1", "stage": "running"}),
    );
    let error_response = users::ErrorResponse {
        error: "lane".into(),
    };
    assert_eq!(hex(&error_response), "81a56572726f72a46c616e65");
    let decoded: users::ErrorResponse =
        decode(&encode(&json!({"error": "lane"}))).expect("a refusal");
    assert_eq!(decoded.error, "lane");
}
