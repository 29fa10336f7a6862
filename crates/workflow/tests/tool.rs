//! Command lines and outputs.

use pebblefold_workflow::document::Process;
use pebblefold_workflow::engine::{Object, Task};
use pebblefold_workflow::expression::Limits;
use pebblefold_workflow::load::{Files, load};
use pebblefold_workflow::tool::{
    CommandLine, Directory, Ended, command_line, ended, inputs as prepared, outputs,
};
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

/// A task's inputs where these files exist.
fn inputs_of(t: &Task, files: &[(&'static str, &'static str)]) -> Result<Object, String> {
    let dir = Left(files.iter().copied().collect());
    prepared(t, &runtime(), &dir, Limits::default())
}

fn line(fields: &str, inputs: Value) -> Result<CommandLine, String> {
    let t = task(fields, inputs);
    let given = inputs_of(&t, &[])?;
    command_line(&t, &given, &runtime(), Limits::default())
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
    fn has(&self, path: &str) -> bool {
        self.0
            .contains_key(path.strip_prefix("/work/").unwrap_or(path))
    }
    fn listing(&self, path: &str, deep: bool) -> Result<Vec<Value>, String> {
        Ok(vec![
            json!({"class": "File", "path": format!("{path}/x"), "deep": deep}),
        ])
    }
    fn describe(&self, path: &str) -> Object {
        let whole = if path.starts_with('/') {
            path.to_string()
        } else {
            format!("/work/{path}")
        };
        let base = path.rsplit('/').next().unwrap_or(path);
        json!({"class": "File", "path": whole, "basename": base})
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
    let l = command_line(&t, &t.inputs, &runtime(), Limits::default())?;
    let dir = Left(files.iter().copied().collect());
    outputs(&t, &l, 3, &dir, &runtime(), Limits::default()).map(Value::Object)
}

#[test]
fn outputs_are_found_made_and_checked() {
    let files = [("a.txt", "7\n"), ("b.txt", "8\n")];
    let path = |p: &str| json!({"class": "File", "path": format!("/work/{p}"), "basename": p});
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

fn file(path: &str) -> Value {
    let base = path.rsplit('/').next().unwrap();
    json!({"class": "File", "path": path, "basename": base})
}

// The specification's own picture of a list: one prefix for the list, one before
// each item, one word for all of it.
#[test]
fn items_and_fields_are_bound_where_their_types_say_so() {
    let fields = "baseCommand: t\ninputs:\n\
        \x20 a: {type: \"string[]\", inputBinding: {prefix: -A, position: 1}}\n\
        \x20 b: {type: {type: array, items: string, inputBinding: {prefix: -B=, separate: false}}, inputBinding: {position: 2}}\n\
        \x20 c: {type: \"string[]\", inputBinding: {prefix: -C=, itemSeparator: \",\", separate: false, position: 4}}\n";
    let given = json!({"a": ["one", "two"], "b": ["four", "five"], "c": ["seven", "eight"]});
    assert_eq!(
        argv(fields, given),
        [
            "t",
            "-A",
            "one",
            "two",
            "-B=four",
            "-B=five",
            "-C=seven,eight"
        ]
    );
    let pair = "{type: record, fields: {n: {type: int, inputBinding: {prefix: -n, position: 2}}, m: {type: \"string?\", inputBinding: {prefix: -m, position: 1}}, quiet: int}}";
    let fields = format!(
        "baseCommand: t\ninputs:\n\x20 r: {{type: {pair}, inputBinding: {{prefix: -r}}}}\n\
         \x20 l: {{type: {{type: array, items: {pair}}}}}\n\
         \x20 u: {{type: [\"null\", int, {pair}]}}\n"
    );
    let one = json!({"n": 1, "m": "x", "quiet": 9});
    assert_eq!(
        argv(
            &fields,
            json!({"r": one, "l": [one, {"n": 2, "m": null, "quiet": 9}], "u": {"n": 3, "m": null, "quiet": 9}})
        ),
        [
            "t", "-m", "x", "-n", "1", "-n", "2", "-r", "-m", "x", "-n", "1", "-n", "3"
        ]
    );
}

#[test]
fn a_shell_sees_only_what_it_is_meant_to() {
    let l = line(
        "outputs: []\nhints: {ShellCommandRequirement: {}}\nbaseCommand: [cat]\narguments: [{valueFrom: \"|\", shellQuote: false, position: 2}, {valueFrom: wc -l, shellQuote: false, position: 3}]\n\
         inputs: {f: {type: File, inputBinding: {position: 1}}}\n",
        json!({"f": file("/in/it's $HOME; rm -rf x")}),
    )
    .unwrap();
    assert_eq!(
        l.argv,
        [
            "/bin/sh",
            "-c",
            r"cat '/in/it'\''s $HOME; rm -rf x' | wc -l"
        ]
    );
}

#[test]
fn files_that_belong_together_are_found_or_missed() {
    let tool = |patterns: &str| {
        task(
            &format!(
                "baseCommand: t\ninputs: {{f: {{type: File, secondaryFiles: {patterns}}}}}\noutputs: []\n"
            ),
            json!({"f": file("/d/a.fa")}),
        )
    };
    let there = [("/d/a.fa", ""), ("/d/a.fa.idx", ""), ("/d/a.dict", "")];
    let names = |patterns: &str| {
        inputs_of(&tool(patterns), &there).map(|o| {
            let all = o["f"]["secondaryFiles"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            all.iter()
                .map(|f| f["basename"].as_str().unwrap().to_string())
                .collect::<Vec<_>>()
        })
    };
    assert_eq!(names("[.idx, ^.dict]").unwrap(), ["a.fa.idx", "a.dict"]);
    assert_eq!(names("[.idx, .none?]").unwrap(), ["a.fa.idx"]);
    assert_eq!(
        names("[{pattern: .none, required: false}]").unwrap(),
        Vec::<String>::new()
    );
    assert_eq!(names("[$(self.basename).idx]").unwrap(), ["a.fa.idx"]);
    assert_eq!(
        names("[.none]"),
        Err("a/3: input f: a.fa.none belongs to a.fa and is not there".into())
    );
    let out = left(
        "outputs: {o: {type: File, outputBinding: {glob: a.txt}, secondaryFiles: [.md5, .none]}}\n",
        &[("a.txt", ""), ("a.txt.md5", "")],
    )
    .unwrap();
    assert_eq!(out["o"]["secondaryFiles"][0]["basename"], "a.txt.md5");
    assert_eq!(out["o"]["secondaryFiles"].as_array().unwrap().len(), 1);
}

#[test]
fn contents_and_listings_are_seen_where_they_are_asked_for() {
    let t = task(
        "baseCommand: t\ninputs: {f: {type: File, loadContents: true}, d: {type: Directory, loadListing: deep_listing}, e: Directory}\noutputs: []\n",
        json!({"f": file("/d/a"), "d": {"class": "Directory", "path": "/d"}, "e": {"class": "Directory", "path": "/e"}}),
    );
    let seen = inputs_of(&t, &[("/d/a", "seven")]).unwrap();
    assert_eq!(seen["f"]["contents"], "seven");
    assert_eq!(seen["d"]["listing"][0]["deep"], true);
    assert!(seen["e"].get("listing").is_none());
    assert_eq!(
        inputs_of(&t, &[]),
        Err("a/3: input f: /d/a: not there".into())
    );
}

// What stands in the directory has its place there for the command as well.
#[test]
fn a_directory_is_laid_out_before_the_command_starts() {
    use pebblefold_wire::command::{StagedFile, WORKING_DIR_PLACEHOLDER};
    let req = "hints: {InitialWorkDirRequirement: {listing: [$(inputs.f), {entryname: conf/run.ini, entry: \"n=$(inputs.n)\"}, {entryname: copy, entry: $(inputs.g), writable: true}, {class: Directory, basename: d, listing: []}]}}\n";
    let fields = format!(
        "outputs: []\n{req}baseCommand: t\ninputs: {{n: int, f: {{type: File, inputBinding: {{}}}}, g: {{type: File, inputBinding: {{}}}}, h: {{type: File, inputBinding: {{}}}}}}\n"
    );
    let l = line(
        &fields,
        json!({"n": 4, "f": file("/in/f x"), "g": file("/in/g"), "h": {"class": "File", "basename": "h.txt", "contents": "made"}}),
    )
    .unwrap();
    assert_eq!(
        l.put,
        [
            StagedFile::Link {
                from: "/in/f x".into(),
                to: "f x".into()
            },
            StagedFile::Text {
                to: "conf/run.ini".into(),
                text: "n=4".into()
            },
            StagedFile::Copy {
                from: "/in/g".into(),
                to: "copy".into()
            },
            StagedFile::Directory { to: "d".into() },
            StagedFile::Text {
                to: ".inputs/1/h.txt".into(),
                text: "made".into()
            },
        ]
    );
    assert_eq!(
        l.argv[1..],
        [
            format!("{WORKING_DIR_PLACEHOLDER}/f x"),
            format!("{WORKING_DIR_PLACEHOLDER}/copy"),
            format!("{WORKING_DIR_PLACEHOLDER}/.inputs/1/h.txt")
        ]
    );
    let out = line(
        &fields.replace("conf/run.ini", "../run.ini"),
        json!({"n": 4, "f": file("/in/f"), "g": file("/in/g"), "h": file("/in/h")}),
    );
    assert_eq!(
        out,
        Err("a/3: InitialWorkDirRequirement: \"../run.ini\" leads out of the directory".into())
    );
}

#[test]
fn environment_and_limit_may_be_expressions() {
    let l = line(
        "outputs: []\nhints: {EnvVarRequirement: {envDef: {N: \"<$(inputs.n)>\", M: plain}}, ToolTimeLimit: {timelimit: $(inputs.n)}}\nbaseCommand: t\ninputs: {n: int}\n",
        json!({"n": 4}),
    )
    .unwrap();
    assert_eq!(
        (l.env["N"].as_str(), l.env["M"].as_str(), l.limit_s),
        ("<4>", "plain", Some(4.0))
    );
}
