//! Parameter references and scripts: what they give, and that none runs away.

use pebblefold_workflow::expression::{ExpressionError, Limits, Scope, Template};
use serde_json::{Value, json};
use std::time::Duration;

fn scope() -> Scope {
    Scope {
        inputs: json!({"n": 3, "s": "a b", "l": [1, 2], "f": {"class": "File", "a b": {"c": null}}, "quote'\"\u{2028}": "x"}),
        this: json!([{"contents": "7\n"}]),
        runtime: json!({"cores": 2}),
    }
}

fn value(text: &str) -> Result<Value, ExpressionError> {
    Template::read(text, true)?.evaluate(
        &scope(),
        &["function twice(x) { return 2 * x; }".into()],
        Limits::default(),
    )
}

#[test]
fn references_and_scripts_give_what_the_specification_says() {
    let cases = [
        ("plain", json!("plain")),
        ("$(inputs.n)", json!(3)),
        ("  $(inputs.l)\n", json!([1, 2])),
        ("n is $(inputs.n)!", json!("n is 3!")),
        ("$(inputs.s)$(inputs.l)", json!("a b[1,2]")),
        ("$(inputs['f'][\"a b\"].c)", json!(null)),
        ("$(inputs.l[1])", json!(2)),
        ("$(inputs.l.length)", json!(2)),
        ("$(self[0].contents)", json!("7\n")),
        ("$(runtime.cores)", json!(2)),
        ("$(inputs.none)", json!(null)),
        (
            "\\$(inputs.n) costs \\${n}",
            json!("$(inputs.n) costs ${n}"),
        ),
        ("$(inputs.n + 1)", json!(4)),
        ("$(twice(inputs.n))", json!(6)),
        (
            "${ return inputs.l.map(function(x) { return x + 1; }); }",
            json!([2, 3]),
        ),
        ("$(parseInt(self[0].contents))", json!(7)),
        ("$({\"a\": ')'})", json!({"a": ")"})),
        ("$(inputs['quote\\'\"\u{2028}'])", json!("x")),
        ("${ }", json!(null)),
    ];
    for (text, wanted) in cases {
        assert_eq!(value(text), Ok(wanted), "{text}");
    }
}

#[test]
fn what_cannot_be_evaluated_is_named() {
    let told = |text: &str| value(text).unwrap_err().to_string();
    assert_eq!(
        told("$(input.n)"),
        "input.n: begins with neither inputs, self nor runtime"
    );
    assert_eq!(
        told("$(inputs.l[9])"),
        "inputs.l[9]: no item 9 in a list of 2"
    );
    assert_eq!(
        told("$(inputs.none.more)"),
        "inputs.none.more: no field more in null"
    );
    assert!(
        told("$(nothing())").contains("nothing"),
        "{}",
        told("$(nothing())")
    );
    assert!(
        Template::read("$(1 + 1)", false)
            .unwrap_err()
            .to_string()
            .contains("InlineJavascriptRequirement")
    );
}

// A run-away expression fails its step and nothing else.
#[test]
fn scripts_are_bounded_and_reach_nothing() {
    let limits = Limits {
        memory: 4 * 1024 * 1024,
        steps: 50,
        time: Duration::from_secs(60),
        ..Limits::default()
    };
    let run = |text: &str| {
        Template::read(text, true)
            .unwrap()
            .evaluate(&scope(), &[], limits)
    };
    for (what, text) in [
        ("steps", "${ for (;;) {} }"),
        (
            "memory",
            "${ var a = []; for (;;) a.push(new Array(1000).join('x')); }",
        ),
        ("stack", "${ function f() { return f() + 1; } return f(); }"),
        (
            "a pattern that backtracks",
            "${ return /^(a+)+$/.test(new Array(40).join('a') + 'b'); }",
        ),
        ("modules", "${ return require('fs'); }"),
        ("processes", "${ return process.env; }"),
        ("the engine's own", "${ return std.getenv('HOME'); }"),
    ] {
        assert!(
            matches!(run(text), Err(ExpressionError::Script(_))),
            "{what}: {:?}",
            run(text)
        );
    }
    assert_eq!(run("$(inputs.n)"), Ok(json!(3)));
    // One expression leaves nothing for the next.
    assert!(run("${ this_is = 1; return 1; }").is_err());
    assert_eq!(run("${ Array.prototype.x = 1; return 1; }"), Ok(json!(1)));
    assert_eq!(run("$([].x === undefined)"), Ok(json!(true)));
}
