//! The engine against a plain model: workflows drawn by chance, outcomes told in
//! any order, the runner killed at any moment and begun anew from its records.

use pebblefold_workflow::document::{Kind, Process, Step};
use pebblefold_workflow::engine::{Action, Engine, Object, Outcome, Task, TaskPath};
use pebblefold_workflow::expression::Limits;
use pebblefold_workflow::load::{Files, load};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;

struct One(String);

impl Files for One {
    fn read(&self, _: &Path) -> std::io::Result<String> {
        Ok(self.0.clone())
    }
}

fn process(text: &str) -> Rc<Process> {
    let loaded = load(&One(text.into()), "w.cwl");
    assert!(loaded.valid, "{text}\n{:?}", loaded.problems);
    loaded.process.unwrap()
}

fn object(v: Value) -> Object {
    v.as_object().unwrap().clone()
}

/// What a tool does: adds one to the sum of its numbers; some numbers fail.
fn work(inputs: &Object, fails: i64) -> Outcome {
    fn sum(v: &Value) -> i64 {
        match v {
            Value::Array(l) => l.iter().map(sum).sum(),
            other => other.as_i64().unwrap_or(0),
        }
    }
    let n = inputs.values().map(sum).sum::<i64>() % 1000;
    if n == fails {
        return Outcome::Failed("it would".into());
    }
    Outcome::Done(object(json!({"m": n + 1})))
}

/// The plain model: one step after the other, each whole, by recursion.
fn model(p: &Process, inputs: &Object, fails: i64) -> Option<Object> {
    let Kind::Workflow(steps) = &p.kind else {
        return match work(inputs, fails) {
            Outcome::Done(o) => Some(o),
            Outcome::Failed(_) => None,
        };
    };
    let mut known: BTreeMap<String, Value> =
        inputs.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
    // Steps are written in the order in which they can run.
    for s in steps {
        let given: Object = s
            .inputs
            .iter()
            .map(|i| (i.id.clone(), pick(&i.links, &known)))
            .collect();
        let value = step(s, &given, fails)?;
        known.insert(format!("{}/m", s.id), value);
    }
    Some(
        p.outputs
            .iter()
            .map(|o| (o.id.clone(), pick(&o.links, &known)))
            .collect(),
    )
}

fn pick(links: &pebblefold_workflow::document::Links, known: &BTreeMap<String, Value>) -> Value {
    let values: Vec<Value> = links
        .sources
        .iter()
        .map(|(n, _)| known[n].clone())
        .collect();
    match links.pick {
        None => values[0].clone(),
        Some(_) => Value::Array(values.into_iter().filter(|v| !v.is_null()).collect()),
    }
}

fn step(s: &Step, given: &Object, fails: i64) -> Option<Value> {
    let run = s.run.as_ref().unwrap();
    let one = |given: &Object| -> Option<Value> {
        if s.when.is_some() && given["go"].as_i64().unwrap_or(0) % 2 == 0 {
            return Some(Value::Null);
        }
        let taken: Object = given
            .iter()
            .filter(|(k, _)| run.inputs.iter().any(|i| i.id == **k))
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        model(run, &taken, fails).map(|o| o["m"].clone())
    };
    let set = |pairs: &[(&str, &Value)]| {
        let mut g = given.clone();
        for (k, v) in pairs {
            g.insert((*k).into(), (*v).clone());
        }
        g
    };
    let names: Vec<&str> = s.scatter.iter().map(|(n, _)| n.as_str()).collect();
    match names.as_slice() {
        [] => one(given),
        [a] => given[*a]
            .as_array()
            .unwrap()
            .iter()
            .map(|x| one(&set(&[(a, x)])))
            .collect::<Option<Vec<_>>>()
            .map(Value::Array),
        [a, b] => {
            let rows = given[*a].as_array().unwrap().iter().map(|x| {
                let row = given[*b]
                    .as_array()
                    .unwrap()
                    .iter()
                    .map(|y| one(&set(&[(a, x), (b, y)])));
                row.collect::<Option<Vec<_>>>().map(Value::Array)
            });
            rows.collect::<Option<Vec<_>>>().map(Value::Array)
        }
        _ => unreachable!("two at most"),
    }
}

const TOOL: &str = "{class: CommandLineTool, baseCommand: t, inputs: {n: Any}, outputs: {m: int}}";
const TWO: &str =
    "{class: CommandLineTool, baseCommand: t, inputs: {n: Any, k: Any}, outputs: {m: int}}";

/// A workflow of steps that each take something that is there already.
#[derive(Clone, Debug)]
struct Drawn(Vec<(u8, u8, u8)>);

fn text(d: &Drawn) -> String {
    let mut numbers = vec!["x".to_string()];
    let mut lists = vec!["l".to_string(), "empty".to_string()];
    let mut maybe: Vec<String> = Vec::new();
    let mut steps = String::new();
    for (i, (kind, a, b)) in d.0.iter().enumerate() {
        let of = |v: &[String], k: u8| v[k as usize % v.len()].clone();
        let (n, l, k) = (of(&numbers, *a), of(&lists, *a), of(&lists, *b));
        let id = format!("s{i}");
        let out = format!("{id}/m");
        let (body, bin) = match kind % 7 {
            0 => (format!("in: {{n: {n}}}, run: {TOOL}"), 0),
            1 => (format!("scatter: n, in: {{n: {l}}}, run: {TOOL}"), 1),
            2 => (
                format!(
                    "scatter: [n, k], scatterMethod: nested_crossproduct, in: {{n: {l}, k: {k}}}, run: {TWO}"
                ),
                3,
            ),
            3 => (
                format!("when: $(inputs.go % 2 != 0), in: {{n: {n}, go: {n}}}, run: {TOOL}"),
                2,
            ),
            4 => (
                format!(
                    "in: {{n: {l}}}, run: {{class: Workflow, inputs: {{n: Any}}, outputs: {{m: {{type: Any, outputSource: i/m}}}}, steps: {{i: {{in: {{n: n}}, out: [m], run: {TOOL}}}}}}}"
                ),
                0,
            ),
            5 => (
                format!(
                    "scatter: n, in: {{n: {l}}}, run: {{class: Workflow, inputs: {{n: Any}}, outputs: {{m: {{type: Any, outputSource: j/m}}}}, steps: {{i: {{in: {{n: n}}, out: [m], run: {TOOL}}}, j: {{in: {{n: i/m}}, out: [m], run: {TOOL}}}}}}}"
                ),
                1,
            ),
            _ if maybe.is_empty() => (format!("in: {{n: {l}}}, run: {TOOL}"), 0),
            _ => {
                let m = of(&maybe, *b);
                (
                    format!(
                        "in: {{n: {{source: [{n}, {m}], pickValue: all_non_null}}}}, run: {TOOL}"
                    ),
                    0,
                )
            }
        };
        steps.push_str(&format!("  {id}: {{{body}, out: [m]}}\n"));
        match bin {
            0 => numbers.push(out),
            1 => lists.push(out),
            2 => maybe.push(out),
            _ => {}
        }
    }
    let outputs: Vec<String> = (0..d.0.len()).map(|i| format!("o{i}: {{type: {{type: array, items: Any}}, outputSource: [s{i}/m, x], pickValue: all_non_null}}")).collect();
    format!(
        "cwlVersion: v1.2\nclass: Workflow\nrequirements: [{{class: InlineJavascriptRequirement}}, {{class: ScatterFeatureRequirement}}, {{class: SubworkflowFeatureRequirement}}, {{class: MultipleInputFeatureRequirement}}]\n\
         inputs: {{x: int, l: \"int[]\", empty: \"int[]\"}}\noutputs: {{{}}}\nsteps:\n{steps}",
        outputs.join(", ")
    )
}

/// Runs an engine to its end, in an order and with kills decided by `chance`.
fn run(
    p: &Rc<Process>,
    inputs: &Object,
    at_once: usize,
    fails: i64,
    mut chance: impl FnMut(usize) -> usize,
) -> Result<Object, String> {
    let new = || Engine::new(Rc::clone(p), inputs.clone(), at_once, Limits::default());
    let mut engine = new();
    let mut records: BTreeMap<TaskPath, Outcome> = BTreeMap::new();
    let mut submitted: BTreeMap<TaskPath, Object> = BTreeMap::new();
    let mut running: Vec<Task> = Vec::new();
    for _ in 0..10_000 {
        for action in engine.advance() {
            match action {
                Action::Run(task) => {
                    // The same path always stands for the same task: a job that is
                    // submitted again is the same job.
                    let before = submitted.insert(task.path.clone(), task.inputs.clone());
                    assert!(before.is_none_or(|b| b == task.inputs), "{}", task.path);
                    assert!(
                        !records.contains_key(&task.path),
                        "{} runs again",
                        task.path
                    );
                    running.push(task);
                }
                Action::Stop(path) => running.retain(|t| t.path != path),
                Action::End(end) => {
                    assert!(end.is_ok() || running.is_empty() || fails >= 0);
                    return end;
                }
            }
        }
        assert!(running.len() <= at_once, "{} at once", running.len());
        if chance(8) == 0 {
            // Killed: what ran goes on, what was recorded is told.
            engine = new();
            for (path, outcome) in &records {
                engine.outcome(path.clone(), outcome.clone());
            }
            running.clear();
            continue;
        }
        if running.is_empty() {
            continue;
        }
        let task = running.swap_remove(chance(running.len()));
        let outcome = work(&task.inputs, fails);
        records.insert(task.path.clone(), outcome.clone());
        engine.outcome(task.path, outcome);
    }
    panic!("it never ends");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default()
    })]
    #[test]
    fn agrees_with_the_plain_model(
        drawn in proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 1..7),
        x in 0i64..9, l in proptest::collection::vec(0i64..9, 0..4),
        at_once in 1usize..5, fails in -1i64..12, mut seed: u64,
    ) {
        let p = process(&text(&Drawn(drawn)));
        let inputs = object(json!({"x": x, "l": l, "empty": []}));
        let mut chance = move |n: usize| {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (seed >> 33) as usize % n
        };
        let got = run(&p, &inputs, at_once, fails, &mut chance);
        prop_assert_eq!(got.ok(), model(&p, &inputs, fails));
    }
}

#[test]
fn a_wide_scatter_runs_forty_at_a_time_and_one_failure_ends_it() {
    let text = format!(
        "cwlVersion: v1.2\nclass: Workflow\nrequirements: {{ScatterFeatureRequirement: {{}}}}\ninputs: {{l: \"int[]\"}}\noutputs: {{r: {{type: \"int[]\", outputSource: a/m}}}}\nsteps:\n  a: {{scatter: n, in: {{n: l}}, out: [m], run: {TOOL}}}\n"
    );
    let p = process(&text);
    let list: Vec<i64> = (0..10_000).collect();
    let mut engine = Engine::new(p, object(json!({"l": list})), 40, Limits::default());
    let mut running: BTreeSet<TaskPath> = BTreeSet::new();
    let (mut begun, mut ended) = (0, None);
    while ended.is_none() {
        for action in engine.advance() {
            match action {
                Action::Run(t) => {
                    begun += 1;
                    running.insert(t.path);
                }
                Action::Stop(path) => assert!(running.remove(&path)),
                Action::End(end) => ended = Some(end),
            }
        }
        assert!(running.len() <= 40);
        if let Some(path) = running.pop_first() {
            let failing = path.as_str() == "a/77";
            let outcome = if failing {
                Outcome::Failed("exit code 3".into())
            } else {
                Outcome::Done(object(json!({"m": 1})))
            };
            engine.outcome(path, outcome);
        }
    }
    assert_eq!(ended, Some(Err("a/77: exit code 3".into())));
    assert!(
        begun < 1000 && running.is_empty(),
        "{begun} begun, {} left",
        running.len()
    );
    assert!(engine.over());
}

#[test]
fn edges_of_scatter_when_and_pick_are_the_specifications() {
    let head = "cwlVersion: v1.2\nclass: Workflow\nrequirements: {InlineJavascriptRequirement: {expressionLib: [\"function odd(n) { return n % 2 == 1; }\"]}, ScatterFeatureRequirement: {}, StepInputExpressionRequirement: {}, MultipleInputFeatureRequirement: {}}\n";
    let end = |text: &str, inputs: Value| {
        run(
            &process(&format!("{head}{text}")),
            &object(inputs),
            3,
            -1,
            |n| n - 1,
        )
    };
    let nested = format!(
        "inputs: {{a: \"int[]\", b: \"int[]\"}}\noutputs: {{r: {{type: Any, outputSource: s/m}}}}\nsteps: {{s: {{scatter: [n, k], scatterMethod: nested_crossproduct, in: {{n: a, k: b}}, out: [m], run: {TWO}}}}}\n"
    );
    assert_eq!(
        end(&nested, json!({"a": [1, 2], "b": []})),
        Ok(object(json!({"r": [[], []]})))
    );
    assert_eq!(
        end(&nested, json!({"a": [], "b": [1]})),
        Ok(object(json!({"r": []})))
    );
    let dot = nested.replace("nested_crossproduct", "dotproduct");
    assert_eq!(
        end(&dot, json!({"a": [1, 2], "b": [3]})),
        Err("s: dotproduct of lists of lengths [2, 1]".into())
    );
    let flat = nested.replace("nested_crossproduct", "flat_crossproduct");
    assert_eq!(
        end(&flat, json!({"a": [1, 2], "b": [0, 5]})),
        Ok(object(json!({"r": [2, 7, 3, 8]})))
    );
    let when = format!(
        "inputs: {{a: int}}\noutputs: {{r: {{type: \"int?\", outputSource: s/m}}, f: {{type: Any, outputSource: [s/m, a], pickValue: first_non_null}}}}\nsteps: {{s: {{when: $(odd(inputs.n)), in: {{n: {{source: a, valueFrom: $(self + 1)}}}}, out: [m], run: {TOOL}}}}}\n"
    );
    assert_eq!(
        end(&when, json!({"a": 4})),
        Ok(object(json!({"r": 6, "f": 6})))
    );
    assert_eq!(
        end(&when, json!({"a": 3})),
        Ok(object(json!({"r": null, "f": 3})))
    );
    let only = when.replace("first_non_null", "the_only_non_null");
    assert_eq!(
        end(&only, json!({"a": 4})),
        Err("output f: the_only_non_null: 2 are not null".into())
    );
    assert_eq!(
        end(&when, json!({"a": "four"})),
        Err("workflow: input a: \"four\", wanted int".into())
    );
    let wrong = when.replace("$(odd(inputs.n))", "$(inputs.n)");
    assert_eq!(
        end(&wrong, json!({"a": 4})),
        Err("s: when: 5, true or false is wanted".into())
    );
    let runs_away = when.replace("$(odd(inputs.n))", "\"${ for (;;) {} }\"");
    assert!(
        end(&runs_away, json!({"a": 4}))
            .unwrap_err()
            .starts_with("s: script: ")
    );
}
