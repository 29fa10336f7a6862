//! Documents checked a second, and what the engine costs for a long and for a
//! wide workflow. Run with `cargo bench -p pebblefold-workflow`; the figures are of
//! the machine at hand.

use pebblefold_workflow::engine::{Action, Engine, Object, Outcome, TaskPath};
use pebblefold_workflow::expression::Limits;
use pebblefold_workflow::load::{Files, Loaded, load};
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

struct One(String);

impl Files for One {
    fn read(&self, _: &Path) -> std::io::Result<String> {
        Ok(self.0.clone())
    }
}

const TOOL: &str = "{class: CommandLineTool, baseCommand: t, inputs: {n: int}, outputs: {m: int}}";
const HEAD: &str =
    "cwlVersion: v1.2\nclass: Workflow\nrequirements: {ScatterFeatureRequirement: {}}\n";

fn chain(steps: usize) -> String {
    let mut text = format!(
        "{HEAD}inputs: {{x: int}}\noutputs: {{r: {{type: int, outputSource: s{}/m}}}}\nsteps:\n",
        steps - 1
    );
    for i in 0..steps {
        let from = if i == 0 {
            "x".into()
        } else {
            format!("s{}/m", i - 1)
        };
        text.push_str(&format!(
            "  s{i}: {{in: {{n: {from}}}, out: [m], run: {TOOL}}}\n"
        ));
    }
    text
}

fn wide() -> String {
    format!(
        "{HEAD}inputs: {{l: \"int[]\"}}\noutputs: {{r: {{type: \"int[]\", outputSource: a/m}}}}\nsteps:\n  a: {{scatter: n, in: {{n: l}}, out: [m], run: {TOOL}}}\n"
    )
}

fn loaded(text: &str) -> Loaded {
    let l = load(&One(text.into()), "w.cwl");
    assert!(l.valid, "{:?}", l.problems);
    l
}

fn object(v: Value) -> Object {
    v.as_object().cloned().unwrap_or_default()
}

/// Plays a workflow whose tasks end at once; tasks, and how long it took.
fn play(text: &str, inputs: Value, at_once: usize) -> (usize, Duration, Vec<TaskPath>) {
    let process = loaded(text).process.expect("valid");
    let begin = Instant::now();
    let mut engine = Engine::new(process, object(inputs), at_once, Limits::default());
    let mut told = Vec::new();
    while !engine.over() {
        for action in engine.advance() {
            if let Action::Run(task) = action {
                engine.outcome(task.path.clone(), Outcome::Done(object(json!({"m": 1}))));
                told.push(task.path);
            }
        }
    }
    (told.len(), begin.elapsed(), told)
}

fn main() {
    for (what, text) in [("one step", chain(1)), ("100 steps", chain(100))] {
        let (begin, mut n) = (Instant::now(), 0);
        while begin.elapsed() < Duration::from_secs(1) {
            loaded(&text);
            n += 1;
        }
        let rate = f64::from(n) / begin.elapsed().as_secs_f64();
        println!(
            "documents of {what}: {rate:.0} checked a second ({} bytes each)",
            text.len()
        );
    }
    let (n, took, _) = play(&chain(100), json!({"x": 1}), 40);
    println!(
        "100 steps one after the other: {n} tasks, {:.1} us a task",
        took.as_secs_f64() * 1e6 / n as f64
    );
    let list: Vec<u32> = (0..10_000).collect();
    let (n, took, told) = play(&wide(), json!({"l": list}), 40);
    println!(
        "scatter of 10,000, 40 at a time: {n} tasks, {:.1} us a task",
        took.as_secs_f64() * 1e6 / n as f64
    );
    let process = loaded(&wide()).process.expect("valid");
    let begin = Instant::now();
    let mut engine = Engine::new(process, object(json!({"l": list})), 40, Limits::default());
    for path in told {
        engine.outcome(path, Outcome::Done(object(json!({"m": 1}))));
    }
    assert!(matches!(engine.advance().as_slice(), [Action::End(Ok(_))]));
    println!("resumed from 10,000 records in {:.1?}", begin.elapsed());
}
