//! Command lines and outputs.

use pebblefold_workflow::document::Process;
use pebblefold_workflow::engine::{Object, Task};
use pebblefold_workflow::expression::Limits;
use pebblefold_workflow::load::{Files, load};
use pebblefold_workflow::tool::{CommandLine, Directory, Ended, command_line, ended, outputs};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

struct One(String);

impl Files for One {
    fn read(&self, _: &Path) -> std::io::Result<String> {
        Ok(self.0.clone())
    }
}

fn task(fields: &str, inputs: Value) -> Task {
    let js =
        "{InlineJavascriptRequirement: {expressionLib: [\"function twice(n) { return 2 * n; }\"]}}";
    let text = format!("cwlVersion: v1.2\nclass: CommandLineTool\nrequirements: {js}\n{fields}");
    let loaded = load(&One(text), "t.cwl");
    assert!(loaded.valid, "{:?}", loaded.problems);
    let tool: Rc<Process> = loaded.process.unwrap();
    let inputs = inputs.as_object().unwrap().clone();
    Task {
        path: "a/3".into(),
        tool,
        inputs,
    }
}

fn runtime() -> Value {
    json!({"cores": 2, "outdir": "/work"})
}

fn line(fields: &str, inputs: Value) -> Result<CommandLine, String> {
    command_line(&task(fields, inputs), &runtime(), Limits::default())
}

fn argv(fields: &str, inputs: Value) -> Vec<String> {
    line(&format!("outputs: []\n{fields}"), inputs)
        .unwrap()
        .argv
}

#[test]
fn arguments_are_ordered_by_position_then_index_then_name() {
    let fields = "baseCommand: [run, it]\n\
        arguments: [first, {position: 2, valueFrom: late}, $(runtime.cores)]\n\
        inputs: {z: {type: int, inputBinding: {}}, a: {type: int, inputBinding: {}}, \
        m: {type: int, inputBinding: {position: -1, prefix: -m}}, e: {type: int, inputBinding: {position: $(self)}}, none: int}\n";
    assert_eq!(
        argv(fields, json!({"z": 26, "a": 1, "m": 13, "e": 5, "none": 0})),
        [
            "run", "it", "-m", "13", "first", "2", "1", "26", "late", "5"
        ]
    );
}

#[test]
fn values_become_arguments_by_their_kind() {
    let one = |binding: &str, value: Value| {
        argv(
            &format!("baseCommand: t\ninputs: {{v: {{type: Any, inputBinding: {binding}}}}}\n"),
            json!({"v": value}),
        )[1..]
            .join("|")
    };
    assert_eq!(one("{prefix: -v}", json!(true)), "-v");
    assert_eq!(one("{prefix: -v}", json!(false)), "");
    assert_eq!(one("{prefix: -v}", json!(null)), "");
    assert_eq!(one("{prefix: -v}", json!(1.5)), "-v|1.5");
    assert_eq!(
        one("{prefix: -v=, separate: false}", json!("x y")),
        "-v=x y"
    );
    assert_eq!(one("{prefix: -v}", json!(["a", null, "b"])), "-v|a|b");
    assert_eq!(one("{prefix: -v}", json!([])), "");
    assert_eq!(
        one("{prefix: -v, itemSeparator: \",\"}", json!(["a", "b"])),
        "-v|a,b"
    );
    assert_eq!(
        one(
            "{prefix: -v, itemSeparator: \",\", separate: false}",
            json!(["a", "b"])
        ),
        "-va,b"
    );
    assert_eq!(
        one(
            "{}",
            json!({"class": "File", "path": "/d/-it's \"a\" file"})
        ),
        "/d/-it's \"a\" file"
    );
    assert_eq!(one("{prefix: -r}", json!({"x": 1})), "-r");
    assert_eq!(one("{valueFrom: $(twice(self))}", json!(4)), "8");
    // Nothing is made from nothing.
    assert_eq!(one("{valueFrom: made}", json!(null)), "");
}

#[test]
fn streams_have_names_within_the_directory() {
    let l = line("baseCommand: cat\nstdin: $(inputs.f.path)\nstdout: $(inputs.n).txt\ninputs: {f: File, n: string}\noutputs: {o: stdout, e: stderr}\n",
        json!({"f": {"class": "File", "path": "/in"}, "n": "out"})).unwrap();
    assert_eq!(
        (l.stdin.as_deref(), l.stdout.as_deref(), l.stderr.as_deref()),
        (Some("/in"), Some("out.txt"), Some(".e.stream"))
    );
    let l = line(
        "baseCommand: cat\ninputs: {f: stdin}\noutputs: []\n",
        json!({"f": {"class": "File", "path": "/in"}}),
    )
    .unwrap();
    assert_eq!((l.stdin.as_deref(), l.stdout), (Some("/in"), None));
    for name in ["../up", "/etc/out", ""] {
        let bad = line(
            "baseCommand: cat\nstdout: $(inputs.n)\ninputs: {n: string}\noutputs: []\n",
            json!({"n": name}),
        );
        assert_eq!(
            bad,
            Err(format!("a/3: stdout: {name:?} leads out of the directory"))
        );
    }
    let bad = line(
        "baseCommand: cat\narguments: [$(inputs.n.x.y)]\ninputs: {n: Any}\noutputs: []\n",
        json!({"n": 1}),
    );
    assert_eq!(
        bad,
        Err("a/3: arguments[0]: inputs.n.x.y: no field x in 1".into())
    );
}

struct Left(BTreeMap<&'static str, &'static str>);

impl Directory for Left {
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        let (start, end) = pattern.split_once('*').unwrap_or((pattern, ""));
        let fits = |n: &&&str| match pattern.contains('*') {
            true => n.starts_with(start) && n.ends_with(end),
            false => **n == pattern,
        };
        Ok(self
            .0
            .keys()
            .filter(fits)
            .map(ToString::to_string)
            .collect())
    }
    fn describe(&self, path: &str) -> Object {
        json!({"class": "File", "path": format!("/work/{path}")})
            .as_object()
            .unwrap()
            .clone()
    }
    fn contents(&self, path: &str) -> Result<String, String> {
        self.0
            .get(path)
            .map(ToString::to_string)
            .ok_or_else(|| format!("{path}: not there"))
    }
}

fn left(fields: &str, files: &[(&'static str, &'static str)]) -> Result<Value, String> {
    let t = task(&format!("baseCommand: t\ninputs: []\n{fields}"), json!({}));
    let l = command_line(&t, &runtime(), Limits::default())?;
    let dir = Left(files.iter().copied().collect());
    outputs(&t, &l, 3, &dir, &runtime(), Limits::default()).map(Value::Object)
}

#[test]
fn outputs_are_found_made_and_checked() {
    let files = [("a.txt", "7\n"), ("b.txt", "8\n")];
    let path = |p: &str| json!({"class": "File", "path": format!("/work/{p}")});
    let one = |kind: &str, binding: &str| {
        left(
            &format!("outputs: {{o: {{type: {kind}, outputBinding: {binding}}}}}\n"),
            &files,
        )
        .map(|o| o["o"].clone())
    };
    assert_eq!(one("File", "{glob: a.txt}"), Ok(path("a.txt")));
    assert_eq!(
        one("\"File[]\"", "{glob: \"*.txt\"}"),
        Ok(json!([path("a.txt"), path("b.txt")]))
    );
    assert_eq!(
        one("\"File[]\"", "{glob: [b.txt, \"no*\"]}"),
        Ok(json!([path("b.txt")]))
    );
    assert_eq!(one("\"File?\"", "{glob: none}"), Ok(json!(null)));
    assert_eq!(
        one("File", "{glob: none}"),
        Err("a/3: output o: nothing matches none".into())
    );
    assert_eq!(
        one("File", "{glob: \"*.txt\"}"),
        Err("a/3: output o: 2 match *.txt, one is wanted".into())
    );
    assert_eq!(
        one(
            "int",
            "{glob: a.txt, loadContents: true, outputEval: '$(parseInt(self[0].contents))'}"
        ),
        Ok(json!(7))
    );
    assert_eq!(
        one("int", "{outputEval: $(runtime.exitCode)}"),
        Ok(json!(3))
    );
    assert_eq!(
        one("int", "{outputEval: '$(\"seven\")'}"),
        Err("a/3: output o: \"seven\", wanted int".into())
    );
    let told = [("cwl.output.json", "{\"o\": 5, \"p\": \"x\"}")];
    assert_eq!(
        left("outputs: {o: int}\n", &told),
        Ok(json!({"o": 5, "p": "x"}))
    );
    assert_eq!(
        left("outputs: {o: string}\n", &told),
        Err("a/3: output o: 5, wanted string".into())
    );
    assert!(
        left("outputs: {o: int}\n", &[("cwl.output.json", "{")])
            .unwrap_err()
            .starts_with("a/3: cwl.output.json: ")
    );
    assert_eq!(
        left("stdout: s.txt\noutputs: {o: stdout}\n", &files).unwrap()["o"],
        path("s.txt")
    );
}

#[test]
fn exit_codes_mean_what_the_tool_says() {
    let all = |fields: &str| {
        let t = task(
            &format!("baseCommand: t\ninputs: []\noutputs: []\n{fields}"),
            json!({}),
        );
        [0, 3, 75].map(|c| ended(&t, c))
    };
    use Ended::{Permanent, Success, Temporary};
    assert_eq!(all(""), [Success, Permanent, Permanent]);
    assert_eq!(
        all("successCodes: [3]\ntemporaryFailCodes: [75]\n"),
        [Permanent, Success, Temporary]
    );
}
