use super::*;
use crate::types::TimeSpan;

const TWO: SupportedVersions = SupportedVersions {
    low: FormatVersion(0),
    high: FormatVersion(2),
};

fn entry(key: &str, value: Value, version: u64) -> Entry {
    Entry {
        key: key.into(),
        value,
        version: Version(version),
    }
}

fn member(node_id: &str, high: u32, version: u64) -> Entry {
    let record = serde_json::json!({"levels": {"low": 0, "high": high}, "build": "b", "life": 1});
    entry(&format!("{MEMBER_PREFIX}{node_id}"), record, version)
}

/// Controller a among three that all support versions 0 to 2; version 1 is active.
/// Each of `extra` replaces the entry with the same key.
fn registry(extra: Vec<Entry>) -> MemberVersions {
    let mut r = MemberVersions::new("a".into(), Some(TWO), BTreeMap::new(), 1);
    let mut all = vec![
        entry(ACTIVE_VERSION_KEY, serde_json::json!({"level": 1}), 1),
        entry(REWRITTEN_VERSION_KEY, serde_json::json!({"level": 1}), 1),
        entry(&format!("{MEMBER_PREFIX}a"), to_value(&r.own_record), 2),
        member("b", 2, 3),
        member("c", 2, 4),
    ];
    all.retain(|e| extra.iter().all(|x| x.key != e.key));
    all.extend(extra);
    r.load(&all);
    r
}

fn at(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

fn build_info(high: u32, life: u64) -> Option<BuildInfo> {
    let build = "b".into();
    Some(BuildInfo {
        low: 0,
        high,
        build,
        life,
    })
}

/// What blocks the activation after both peers have reported version 2 for some seconds,
/// except that peer c reports `tenth` at second 10.
fn activation_blocker(
    mut r: MemberVersions,
    secs: u32,
    tenth: Option<BuildInfo>,
) -> Option<String> {
    for s in 0..secs {
        let reported_build = |l| {
            if l == "c" && s == 10 {
                tenth.clone()
            } else {
                build_info(2, 1)
            }
        };
        for l in ["b", "c"] {
            r.record_peer_build(at(f64::from(s)), &l.into(), reported_build(l));
        }
    }
    let peers = ["b".into(), "c".into()];
    r.next_activation(at(f64::from(secs)), &peers, FormatVersion(9))
        .err()
        .map(|why| why.to_string())
}

#[test]
fn activates_once_all_members_are_present_and_names_blockers() {
    let good = || registry(Vec::new());
    assert_eq!(activation_blocker(good(), 12, build_info(2, 1)), None);
    let text = |r, secs, tenth| activation_blocker(r, secs, tenth).unwrap_or_default();
    assert!(text(good(), 5, build_info(2, 1)).starts_with("b must be there for 5 s more"));
    // A restarted process, or a build rolled back, restarts the required presence.
    assert!(text(good(), 15, build_info(2, 9)).starts_with("c must be there"));
    assert!(text(good(), 15, build_info(1, 1)).starts_with("c must be there"));
    assert!(text(good(), 15, None).starts_with("c must be there"));
    assert!(text(good(), 11, None).starts_with("c is not heard of"));
    let older = registry(vec![member("c", 1, 9)]);
    assert!(text(older, 15, build_info(2, 1)).starts_with("c runs b (up to 1)"));
    let rewriting = vec![
        entry(ACTIVE_VERSION_KEY, serde_json::json!({"level": 2}), 9),
        entry(REWRITTEN_VERSION_KEY, serde_json::json!({"level": 1}), 1),
    ];
    let mut r = registry(rewriting);
    r.supported = Some(SupportedVersions {
        low: FormatVersion(0),
        high: FormatVersion(3),
    });
    assert!(text(r, 15, build_info(2, 1)).starts_with("stored records get"));
    let peers = ["b".into(), "c".into()];
    let held = good()
        .next_activation(at(0.0), &peers, FormatVersion(1))
        .unwrap_err()
        .to_string();
    assert!(held.contains("highest_level"), "{held}");
}

// A damaged key must neither count as absent, nor stop controllers that have read the
// version before.
#[test]
fn unreadable_keys_are_reported_and_version_never_decreases() {
    let bad = || entry(ACTIVE_VERSION_KEY, serde_json::json!({"level": "two"}), 9);
    let starting = registry(vec![bad()]);
    assert_eq!(starting.check_serving(), Err(NotServing::UnreadableVersion));
    assert!(starting.registration().is_none());
    let mut running = registry(Vec::new());
    running.load(&[
        bad(),
        entry(
            &format!("{MEMBER_PREFIX}a"),
            to_value(&running.own_record),
            2,
        ),
    ]);
    assert_eq!(
        (running.check_serving(), running.active_version()),
        (Ok(()), FormatVersion(1))
    );
    // Neither a late change nor a deleted key decreases the version.
    let mut r = registry(Vec::new());
    let change = |put: Option<&str>, level: u32| WatchEvent {
        put: put.map(String::from),
        delete: put.is_none().then(|| ACTIVE_VERSION_KEY.into()),
        value: serde_json::json!({ "level": level }),
        version: Version(20),
    };
    r.apply(&change(Some(ACTIVE_VERSION_KEY), 2));
    r.apply(&change(Some(ACTIVE_VERSION_KEY), 1));
    r.apply(&change(None, 0));
    assert_eq!(
        (r.active_version(), r.version_fence()),
        (FormatVersion(2), Some(Version(0)))
    );
    let odd = registry(vec![entry(&format!("{MEMBER_PREFIX}c"), Value::Null, 9)]);
    assert_eq!(odd.check_serving(), Ok(()));
    assert!(
        activation_blocker(odd, 15, build_info(2, 1))
            .unwrap()
            .starts_with("c has not said")
    );
}

#[test]
fn reports_member_with_differing_policy() {
    assert_eq!(registry(Vec::new()).differing_policy(), None);
    let mut record = member("c", 2, 4);
    record.value["policy"] = serde_json::json!({"doubt": 0.0});
    let r = registry(vec![record]);
    let (node_id, policy) = r.differing_policy().unwrap();
    assert_eq!((node_id.as_str(), policy["doubt"]), ("c", 0.0));
    assert_eq!(
        r.inspect(at(1.0), &["c".into()], FormatVersion(9))["one_policy"],
        false
    );
}

// A process of an older build resumes after the activation of a version that the build
// does not support.
#[test]
fn refuses_to_serve_unsupported_active_version() {
    let r = registry(vec![entry(
        ACTIVE_VERSION_KEY,
        serde_json::json!({"level": 7}),
        9,
    )]);
    let why = r.check_serving().unwrap_err().to_string();
    assert_eq!(
        why,
        "level 7 is in force and this build serves 0 to 2: start a newer one"
    );
    assert!(r.registration().is_none(), "it writes no member record");
    let shown = r.inspect(at(1.0), &["b".into()], FormatVersion(9));
    assert_eq!(shown["serves"], format!("no: {why}"));
}

#[test]
fn store_is_empty_only_with_nothing_but_member_records() {
    let mut r = MemberVersions::new("a".into(), Some(TWO), BTreeMap::new(), 1);
    let all = [member("b", 2, 1), member("c", 2, 2)];
    r.load(&all);
    assert!(r.store_is_empty(Version(2), 2));
    assert!(
        !r.store_is_empty(Version(3), 2),
        "a key was written and deleted"
    );
    r.load(&[
        member("b", 2, 1),
        entry(ACTIVE_VERSION_KEY, serde_json::json!({"level": 1}), 2),
    ]);
    assert!(!r.store_is_empty(Version(2), 2));
}
