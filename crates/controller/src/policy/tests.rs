use super::*;
use crate::testing;

#[test]
fn default_script_sets_every_field() {
    let settings = testing::settings(0);
    let (_lua, table) = run_script(DEFAULT_SCRIPT, &settings).unwrap();
    for field in Policy::FIELD_NAMES {
        assert!(table.contains_key(*field).unwrap(), "{field} is missing");
    }
    Policy::from_script(DEFAULT_SCRIPT, &settings).unwrap();
}

#[test]
fn script_fields_and_resource_use_are_limited() {
    let settings = testing::settings(0);
    let evaluate = |script: &str| match Policy::from_script(script, &settings) {
        Ok(p) => format!("{}", p.idle_s),
        Err(e) => e.to_string(),
    };
    assert_eq!(evaluate("return { idle_s = site.report_s * 2 }"), "2");
    assert!(
        evaluate("return { idle_s = -1 }")
            .starts_with("policy: idle_s: must be between 0 and 86400, not -1")
    );
    assert!(evaluate("return { idle = 1 }").starts_with("policy: idle: no such field"));
    assert!(evaluate("return { idle_s = 'x' }").starts_with("policy: idle_s: must be a number"));
    assert!(evaluate("while true do end").contains("script exceeds its instruction limit"));
    assert!(
        evaluate("local t = {} for i = 1, 1e7 do t[i] = ('x'):rep(1000) .. i end")
            .contains("memory")
    );
    assert!(evaluate("return { idle_s = os.time() }").contains("nil value"));
    assert!(evaluate("return { idle_s = io.open('x') }").contains("nil value"));
}
