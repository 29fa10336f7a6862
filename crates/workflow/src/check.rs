//! What can be known before anything runs: that every link leads somewhere and
//! carries what is wanted there, that defaults are of their types, that features
//! are asked for where they are used, and what is not carried out.

use crate::document::{
    Binding, Expr, Kind, Links, Merge, Parameter, Pick, Process, REQUIREMENTS, Scatter, Step,
    StepInput,
};
use crate::expression::Segment;
use crate::needs::Item;
use crate::problem::{At, Problems};
use crate::types::{Fit, Type, misfit};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

struct Check<'a> {
    file: Rc<str>,
    problems: &'a mut Problems,
}

/// Checks a process and all that it runs.
pub fn check(p: &Process, problems: &mut Problems) {
    let file = Rc::clone(&p.file);
    let mut c = Check { file, problems };
    c.process(p);
}

/// The type that several sources make together; `None`: they cannot be one.
fn together(types: &[Type], links: &Links) -> Result<Type, String> {
    let merged = match (types, links.merge) {
        (_, Some(Merge::Flattened)) => {
            let mut items: Vec<Type> = Vec::new();
            for t in types {
                let item = t.items().unwrap_or_else(|| t.clone());
                if !items.contains(&item) {
                    items.push(item);
                }
            }
            Type::Array(Box::new(one_of(items)))
        }
        ([one], None) => one.clone(),
        _ => {
            let mut items: Vec<Type> = Vec::new();
            for t in types {
                if !items.contains(t) {
                    items.push(t.clone());
                }
            }
            Type::Array(Box::new(one_of(items)))
        }
    };
    let Some(pick) = links.pick else {
        return Ok(merged);
    };
    let Some(items) = merged.items() else {
        return Err(format!("pickValue needs a list, and {merged} is none"));
    };
    let left = items
        .without_null()
        .ok_or("pickValue finds nothing but null")?;
    Ok(match pick {
        Pick::FirstNonNull | Pick::OnlyNonNull => left,
        Pick::AllNonNull => Type::Array(Box::new(left)),
    })
}

fn one_of(types: Vec<Type>) -> Type {
    let mut flat: Vec<Type> = Vec::new();
    for t in &types {
        for a in t.alternatives() {
            if !flat.contains(a) {
                flat.push(a.clone());
            }
        }
    }
    match flat.len() {
        1 => flat.into_iter().next().unwrap_or(Type::Any),
        _ => Type::Union(flat),
    }
}

/// What a step's output is, seen from outside.
fn seen(step: &Step, own: &Type) -> Type {
    let mut t = own.clone();
    if step.when.is_some() {
        t = t.optional();
    }
    let depth = match step.method {
        Some(Scatter::Nested) => step.scatter.len(),
        _ => usize::from(!step.scatter.is_empty()),
    };
    (0..depth).fold(t, |t, _| Type::Array(Box::new(t)))
}

impl Check<'_> {
    fn error(&mut self, at: At, text: impl Into<String>) {
        self.problems.error(&self.file, at, text);
    }

    fn process(&mut self, p: &Process) {
        let file = std::mem::replace(&mut self.file, Rc::clone(&p.file));
        self.requirements(p);
        for i in &p.inputs {
            if let Some(d) = &i.default
                && !d.is_null()
                && let Some(why) = misfit(d, &i.kind, "default")
            {
                self.error(i.at, format!("input {}: {why}", i.id));
            }
        }
        match &p.kind {
            Kind::Tool(tool) => {
                if tool.base.is_empty()
                    && tool.arguments.is_empty()
                    && p.inputs
                        .iter()
                        .all(|i| i.binding.is_none() && !i.within.any())
                {
                    self.error(p.at, "CommandLineTool: no command; baseCommand, arguments or an inputBinding is wanted");
                }
                for b in &tool.arguments {
                    self.binding(p, b, "arguments");
                    if b.value_from.is_none() {
                        self.error(p.at, "arguments: valueFrom is missing");
                    }
                }
                for (name, e) in [
                    ("stdin", &tool.stdin),
                    ("stdout", &tool.stdout),
                    ("stderr", &tool.stderr),
                ] {
                    self.references(p, e.as_ref(), name);
                }
                self.asked(p);
                for i in &p.inputs {
                    i.within
                        .each(&mut |b| self.binding(p, b, &format!("input {}", i.id)));
                    if let Some(b) = &i.binding {
                        self.binding(p, b, &format!("input {}", i.id));
                        if b.item_separator.is_some() && i.kind.items().is_none() {
                            self.error(
                                i.at,
                                format!(
                                    "input {}: itemSeparator is for lists, and {} is none",
                                    i.id, i.kind
                                ),
                            );
                        }
                    }
                }
                for o in &p.outputs {
                    self.output(p, o);
                }
            }
            Kind::Expression(e) => {
                self.references(p, e.as_ref(), "expression");
                if p.requires("InlineJavascriptRequirement").is_none() {
                    self.error(p.at, "ExpressionTool: needs InlineJavascriptRequirement");
                }
            }
            Kind::Workflow(steps) => self.workflow(p, steps),
            Kind::Operation => {
                let text =
                    "Operation: only says what goes in and out; it is refused when it would run";
                self.problems.note(&self.file, p.at, text);
            }
        }
        self.file = file;
    }

    fn requirements(&mut self, p: &Process) {
        let mut seen = BTreeSet::new();
        for r in &p.requirements {
            if !seen.insert((&r.class, r.hint)) {
                let text = format!("{}: stands here a second time", r.class);
                self.problems.error(&r.file, r.at, text);
            }
            let foreign = r.hint && r.class.contains(':') && !r.class.starts_with("pebblefold:");
            if REQUIREMENTS.contains(&r.class.as_str()) || foreign {
                continue;
            }
            // A slip in one of our own may leave out that a step must not repeat.
            if r.class.starts_with("pebblefold:") {
                let text = format!("{}: there is only {}", r.class, crate::needs::JOB);
                self.problems.error(&r.file, r.at, text);
                continue;
            }
            let text = format!("{}: is not carried out", r.class);
            if r.hint {
                self.problems.note(&r.file, r.at, text);
            } else {
                let text = format!("{text}; as a hint it would be left out");
                self.problems.error(&r.file, r.at, text);
            }
        }
    }

    /// What a tool's requirements refer to.
    fn asked(&mut self, p: &Process) {
        let n = &p.needs;
        for (e, what) in [
            (&n.cores, "ResourceRequirement"),
            (&n.ram_mib, "ResourceRequirement"),
            (&n.limit_s, "ToolTimeLimit"),
        ] {
            self.references(p, e.as_ref(), what);
        }
        for (name, e) in &n.env {
            self.references(p, Some(e), &format!("EnvVarRequirement: {name}"));
        }
        for item in &n.listing {
            let what = "InitialWorkDirRequirement";
            match item {
                Item::Made(e) => self.references(p, Some(e), what),
                Item::Entry { entry, name, .. } => {
                    self.references(p, Some(entry), what);
                    self.references(p, name.as_ref(), what);
                }
                Item::Literal(_) => {}
            }
        }
    }

    fn binding(&mut self, p: &Process, b: &Binding, what: &str) {
        self.references(p, b.position.as_ref(), what);
        self.references(p, b.value_from.as_ref(), what);
    }

    fn output(&mut self, p: &Process, o: &Parameter) {
        let Some(b) = &o.output else { return };
        let what = format!("output {}", o.id);
        for g in &b.glob {
            self.references(p, Some(g), &what);
        }
        self.references(p, b.output_eval.as_ref(), &what);
        let plain = o.kind.without_null();
        let is_file = matches!(plain, Some(Type::File | Type::Directory));
        let is_files = plain
            .as_ref()
            .and_then(Type::items)
            .is_some_and(|t| matches!(t, Type::File | Type::Directory | Type::Any));
        if !b.glob.is_empty() && b.output_eval.is_none() && !is_file && !is_files {
            self.error(
                o.at,
                format!(
                    "{what}: glob finds files, {} is wanted; outputEval has to make it",
                    o.kind
                ),
            );
        }
        if b.load_contents && b.glob.is_empty() {
            self.error(o.at, format!("{what}: loadContents without glob"));
        }
    }

    /// References to inputs that there are none of.
    fn references(&mut self, p: &Process, e: Option<&Expr>, what: &str) {
        let Some((e, t)) = e.and_then(|e| e.template.as_ref().map(|t| (e, t))) else {
            return;
        };
        for r in t.references() {
            match r {
                [Segment::Field(first), Segment::Field(name), ..]
                    if first == "inputs" && !p.inputs.iter().any(|i| i.id == *name) =>
                {
                    let names: Vec<&str> = p.inputs.iter().map(|i| i.id.as_str()).collect();
                    self.error(
                        e.at,
                        format!("{what}: no input {name}; there are {}", names.join(", ")),
                    );
                }
                [Segment::Field(first), ..]
                    if !["inputs", "self", "runtime", "null"].contains(&first.as_str()) =>
                {
                    self.error(
                        e.at,
                        format!("{what}: {first}: a reference begins with inputs, self or runtime"),
                    );
                }
                _ => {}
            }
        }
    }

    // ---- workflows ----

    fn workflow(&mut self, p: &Process, steps: &[Step]) {
        let mut sources: BTreeMap<String, Type> = BTreeMap::new();
        for i in &p.inputs {
            // A default takes the place of null.
            let kind = match (&i.default, i.kind.without_null()) {
                (Some(d), Some(k)) if !d.is_null() => k,
                _ => i.kind.clone(),
            };
            sources.insert(i.id.clone(), kind);
        }
        for s in steps {
            if sources.contains_key(&s.id) {
                self.error(s.at, format!("step {}: an input has this name", s.id));
            }
            for (out, at) in &s.outputs {
                let Some(run) = &s.run else {
                    sources.insert(format!("{}/{out}", s.id), Type::Any);
                    continue;
                };
                match run.outputs.iter().find(|o| o.id == *out) {
                    Some(o) => {
                        sources.insert(format!("{}/{out}", s.id), seen(s, &o.kind));
                    }
                    None => {
                        let names: Vec<&str> = run.outputs.iter().map(|o| o.id.as_str()).collect();
                        self.error(
                            *at,
                            format!(
                                "step {}: no output {out} in what it runs; there are {}",
                                s.id,
                                names.join(", ")
                            ),
                        );
                    }
                }
            }
        }
        for s in steps {
            self.step(p, s, &sources);
        }
        for o in &p.outputs {
            if o.links.sources.is_empty() {
                self.error(o.at, format!("output {}: outputSource is missing", o.id));
                continue;
            }
            self.several(p, &o.links, o.at, &format!("output {}", o.id));
            if let Some(t) = self.source(&o.links, &sources, &format!("output {}", o.id), o.at) {
                self.link(&t, &o.kind, o.at, &format!("output {}", o.id), &o.links);
            }
        }
        self.circles(steps);
        for s in steps {
            if let Some(run) = &s.run {
                self.process(run);
            }
        }
    }

    fn several(&mut self, p: &Process, links: &Links, at: At, what: &str) {
        if links.sources.len() > 1 && p.requires("MultipleInputFeatureRequirement").is_none() {
            self.error(
                at,
                format!("{what}: several sources need MultipleInputFeatureRequirement"),
            );
        }
    }

    fn source(
        &mut self,
        links: &Links,
        sources: &BTreeMap<String, Type>,
        what: &str,
        at: At,
    ) -> Option<Type> {
        let mut types = Vec::new();
        for (name, at) in &links.sources {
            // Packed documents write the workflow's own name before it.
            let tail = |n: usize| {
                let parts: Vec<&str> = name.split('/').collect();
                parts[parts.len().saturating_sub(n)..].join("/")
            };
            let found = [name.clone(), tail(2), tail(1)]
                .iter()
                .find_map(|n| sources.get(n))
                .cloned();
            match found {
                Some(t) => types.push(t),
                None => {
                    let near: Vec<&str> = sources.keys().map(String::as_str).collect();
                    self.error(
                        *at,
                        format!("{what}: no source {name}; there are {}", near.join(", ")),
                    );
                }
            }
        }
        if types.len() < links.sources.len() || types.is_empty() {
            return None;
        }
        match together(&types, links) {
            Ok(t) => Some(t),
            Err(e) => {
                self.error(at, format!("{what}: {e}"));
                None
            }
        }
    }

    fn link(&mut self, from: &Type, to: &Type, at: At, what: &str, links: &Links) {
        match from.fits(to) {
            Fit::Always => {}
            Fit::Sometimes => {
                let text = format!("{what}: {from} does not always fit {to}; seen when it runs");
                self.problems.note(&self.file, at, text);
            }
            Fit::Never => {
                let names: Vec<&str> = links.sources.iter().map(|(s, _)| s.as_str()).collect();
                let hint = if from.takes_null()
                    && from
                        .without_null()
                        .is_some_and(|t| t.fits(to) == Fit::Always)
                {
                    "; pickValue or a default would keep null away"
                } else if what.starts_with("step")
                    && from.items().is_some_and(|t| t.fits(to) == Fit::Always)
                {
                    "; scatter would take the list apart"
                } else {
                    ""
                };
                self.error(
                    at,
                    format!("{what}: {} is {from}, wanted {to}{hint}", names.join(", ")),
                );
            }
        }
    }

    fn step(&mut self, p: &Process, s: &Step, sources: &BTreeMap<String, Type>) {
        let has = |class: &str| {
            p.requires(class).is_some() || s.requirements.iter().any(|r| r.class == class)
        };
        let mut needs: Vec<(&str, &str)> = Vec::new();
        if !s.scatter.is_empty() {
            needs.push(("ScatterFeatureRequirement", "scatter"));
        }
        if s.inputs.iter().any(|i| i.value_from.is_some()) {
            needs.push(("StepInputExpressionRequirement", "valueFrom"));
        }
        if s.run
            .as_ref()
            .is_some_and(|r| matches!(r.kind, Kind::Workflow(_)))
        {
            needs.push(("SubworkflowFeatureRequirement", "a workflow as a step"));
        }
        for (class, used) in needs {
            if !has(class) {
                self.error(s.at, format!("step {}: {used} needs {class}", s.id));
            }
        }
        self.scatter(s);
        for i in &s.inputs {
            let what = format!("step {}, input {}", s.id, i.id);
            self.several(p, &i.links, i.at, &what);
            let from = if i.links.sources.is_empty() {
                None
            } else {
                self.source(&i.links, sources, &what, i.at)
            };
            self.step_input(s, i, from, &what);
        }
        if let Some(run) = &s.run {
            for wanted in &run.inputs {
                let given = s.inputs.iter().any(|i| i.id == wanted.id);
                if !given && wanted.default.is_none() && !wanted.kind.takes_null() {
                    self.error(
                        s.at,
                        format!(
                            "step {}: input {} of what it runs is not given, of type {}",
                            s.id, wanted.id, wanted.kind
                        ),
                    );
                }
            }
        }
    }

    fn step_input(&mut self, s: &Step, i: &StepInput, from: Option<Type>, what: &str) {
        let sink = s
            .run
            .as_ref()
            .and_then(|r| r.inputs.iter().find(|w| w.id == i.id));
        let Some(sink) = sink else {
            return;
        };
        // What an expression makes is seen when it runs.
        if i.value_from.is_some() {
            return;
        }
        let wanted = if sink.default.is_some() {
            sink.kind.clone().optional()
        } else {
            sink.kind.clone()
        };
        if let Some(d) = &i.default
            && !d.is_null()
            && !s.scatter.iter().any(|(n, _)| *n == i.id)
            && let Some(why) = misfit(d, &wanted, "default")
        {
            self.error(i.at, format!("{what}: {why}"));
        }
        let Some(mut from) = from else {
            if i.links.sources.is_empty() && i.default.is_none() && !wanted.takes_null() {
                self.error(
                    i.at,
                    format!("{what}: no source and no default, wanted {wanted}"),
                );
            }
            return;
        };
        if i.default.as_ref().is_some_and(|d| !d.is_null()) {
            from = from.without_null().unwrap_or(from);
        }
        if s.scatter.iter().any(|(n, _)| *n == i.id) {
            match from.items() {
                Some(t) => from = t,
                None => {
                    return self.error(
                        i.at,
                        format!("{what}: scatter takes a list apart, and {from} is none"),
                    );
                }
            }
        }
        self.link(&from, &wanted, i.at, what, &i.links);
    }

    fn scatter(&mut self, s: &Step) {
        for (name, at) in &s.scatter {
            if !s.inputs.iter().any(|i| i.id == *name) {
                self.error(
                    *at,
                    format!(
                        "step {}: scatter over {name}, which is no input of it",
                        s.id
                    ),
                );
            }
        }
        match (s.scatter.len(), s.method) {
            (0, Some(_)) => self.error(
                s.at,
                format!("step {}: scatterMethod without scatter", s.id),
            ),
            (n, None) if n > 1 => {
                let text = "scatter over several inputs needs scatterMethod: dotproduct, nested_crossproduct or flat_crossproduct";
                self.error(s.at, format!("step {}: {text}", s.id));
            }
            _ => {}
        }
    }

    /// Steps that wait for themselves.
    fn circles(&mut self, steps: &[Step]) {
        let names: BTreeSet<&str> = steps.iter().map(|s| s.id.as_str()).collect();
        let mut waits: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for s in steps {
            let from = s.inputs.iter().flat_map(|i| &i.links.sources);
            let of = from.filter_map(|(n, _)| {
                n.rsplit_once('/')
                    .map(|(step, _)| step.rsplit('/').next().unwrap_or(step))
            });
            waits.insert(&s.id, of.filter(|n| names.contains(n)).collect());
        }
        // Take away what waits for nothing, again and again; circles stay.
        loop {
            let free: Vec<&str> = waits
                .iter()
                .filter(|(_, w)| w.is_empty())
                .map(|(n, _)| *n)
                .collect();
            if free.is_empty() {
                break;
            }
            for n in &free {
                waits.remove(n);
            }
            for w in waits.values_mut() {
                w.retain(|n| !free.contains(n));
            }
        }
        if let Some((first, _)) = waits.first_key_value()
            && let Some(s) = steps.iter().find(|s| s.id == **first)
        {
            let all: Vec<&str> = waits.keys().copied().collect();
            self.error(
                s.at,
                format!("steps wait for one another: {}", all.join(", ")),
            );
        }
    }
}
