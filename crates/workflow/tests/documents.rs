//! Documents, valid and not, each with all that is said of it: `documents/*.txt`
//! hold one after `=== name`, and what is expected after `>>>`, a line each;
//! nothing: it is valid and there is nothing to say. `BLESS=1` writes what is
//! said into the files, to be read before it is believed.

use pebblefold_workflow::load::{Files, Loaded, load};
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};

struct One<'a>(&'a str);

impl Files for One<'_> {
    fn read(&self, path: &Path) -> Result<String> {
        match path.to_str() {
            Some("document.cwl") => Ok(self.0.into()),
            _ => Err(Error::new(ErrorKind::NotFound, "there is no such file")),
        }
    }
}

fn said(loaded: &Loaded) -> Vec<String> {
    let text = |p: &pebblefold_workflow::problem::Problem| {
        let line = p.to_string();
        line.strip_prefix("document.cwl:")
            .map_or(line.clone(), String::from)
    };
    loaded.problems.iter().map(text).collect()
}

fn fixtures() -> Vec<PathBuf> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/documents");
    let mut all: Vec<PathBuf> = std::fs::read_dir(dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    all.sort();
    all
}

#[test]
fn documents_are_read_and_judged() {
    let (mut count, mut wrong, mut failed) = (0, 0, Vec::new());
    for path in fixtures() {
        let text = std::fs::read_to_string(&path).unwrap();
        let mut blessed = String::new();
        for part in text.split("=== ").skip(1) {
            let (name, rest) = part.split_once('\n').unwrap();
            let (document, expected) = rest.split_once(">>>").map_or((rest, ""), |(d, e)| (d, e));
            let expected: Vec<&str> = expected
                .lines()
                .map(|l| l.trim_start_matches(">>>").trim())
                .filter(|l| !l.is_empty())
                .collect();
            let loaded = load(&One(document), "document.cwl");
            let said = said(&loaded);
            count += 1;
            wrong += usize::from(!loaded.valid);
            if said != expected {
                failed.push(format!(
                    "{name}:\n  said {said:#?}\n  expected {expected:#?}"
                ));
            }
            assert_eq!(
                loaded.valid,
                said.iter().all(|s| s.contains(" note: ")),
                "{name}"
            );
            blessed.push_str(&format!("=== {name}\n{document}"));
            for s in &said {
                blessed.push_str(&format!(">>> {s}\n"));
            }
        }
        if std::env::var("BLESS").is_ok() {
            std::fs::write(&path, blessed).unwrap();
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert!(
        count >= 140 && wrong * 3 >= count,
        "{count} documents, {wrong} of them wrong"
    );
}

#[test]
fn what_is_too_large_is_refused_at_once() {
    let head = "cwlVersion: v1.2\nclass: Operation\ninputs: []\noutputs: []\n";
    let refused = |text: &str, why: &str| {
        let loaded = load(&One(text), "document.cwl");
        let said = said(&loaded).join("\n");
        assert!(!loaded.valid && said.contains(why), "{why}: {said}");
    };
    refused(
        &format!("{head}doc: {}\n", "x".repeat(5 * 1024 * 1024)),
        "at most 4194304",
    );
    refused(
        &format!("{head}doc: {}{}\n", "[".repeat(200), "]".repeat(200)),
        "nested over 100 deep",
    );
    let mut bomb = format!("{head}a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for i in 1..12 {
        let items = vec![format!("*a{}", i - 1); 10].join(", ");
        bomb.push_str(&format!("a{i}: &a{i} [{items}]\n"));
    }
    refused(&bomb, "nodes with its aliases written out");
    let deep = format!("$({}1{})", "(".repeat(200), ")".repeat(200));
    let tool = "cwlVersion: v1.2\nclass: CommandLineTool\nrequirements: {InlineJavascriptRequirement: {}}\ninputs: []\noutputs: []\nbaseCommand: ls\n";
    refused(
        &format!("{tool}arguments: [\"{deep}\"]\n"),
        "brackets over 100 deep",
    );
}

// Types that are imported, and a step's tool in another directory.
#[test]
fn files_are_found_relative_to_the_one_that_names_them() {
    struct Some3;
    impl Files for Some3 {
        fn read(&self, path: &Path) -> Result<String> {
            let text = match path.to_str() {
                Some("flows/main.cwl") => {
                    "cwlVersion: v1.2\nclass: Workflow\ninputs: {l: string}\noutputs: []\nsteps: {a: {run: ../tools/t.cwl, in: {l: l}, out: []}}\n"
                }
                Some("tools/t.cwl") => {
                    "cwlVersion: v1.2\nclass: CommandLineTool\nrequirements: {SchemaDefRequirement: {types: [{$import: types.yml}]}}\nbaseCommand: ls\ninputs: {l: level, m: nothing}\noutputs: []\n"
                }
                Some("tools/types.yml") => "{name: level, type: enum, symbols: [low, high]}\n",
                _ => return Err(Error::new(ErrorKind::NotFound, "there is no such file")),
            };
            Ok(text.into())
        }
    }
    let loaded = load(&Some3, "flows/main.cwl");
    let said: Vec<String> = loaded.problems.iter().map(ToString::to_string).collect();
    assert_eq!(
        said,
        [
            "flows/main.cwl:5:9: error: step a: input m of what it runs is not given, of type Any",
            "flows/main.cwl:5:39: note: step a, input l: string does not always fit enum of low, high; seen when it runs",
            "tools/t.cwl:5:23: error: input m: unknown type nothing; it is neither a type of CWL nor in SchemaDefRequirement",
        ]
    );
}
