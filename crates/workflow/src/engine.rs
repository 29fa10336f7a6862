//! A running workflow as a state machine: outcomes of tasks go in, tasks to run
//! come out. It is determined by the document, the inputs and the outcomes alone,
//! whatever their order: a workflow is resumed by telling a new engine the
//! outcomes that were recorded, and two runners on one workflow ask for the same
//! tasks under the same paths.

use crate::document::{Kind, Links, Merge, Pick, Process, Scatter, Step};
use crate::expression::{ExpressionError, Limits, Scope};
use crate::node::{Node, Value as NodeValue};
use crate::types::misfit;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// Inputs or outputs by name.
pub type Object = Map<String, Value>;

/// Most instances that one scatter may have.
pub const MOST_INSTANCES: usize = 100_000;

/// Names a task within its workflow, for good: the steps that lead to it, each
/// with its place in a scatter, as `align/3/sort`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskPath(String);

impl TaskPath {
    fn of(parent: &str, step: &str, place: Option<usize>) -> TaskPath {
        let place = place.map_or(String::new(), |i| format!("/{i}"));
        let slash = if parent.is_empty() { "" } else { "/" };
        TaskPath(format!("{parent}{slash}{step}{place}"))
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for TaskPath {
    fn from(s: &str) -> TaskPath {
        TaskPath(s.into())
    }
}

impl fmt::Display for TaskPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With these outputs.
    Done(Object),
    /// Not at all; the text says why.
    Failed(String),
}

/// A task to run: a `CommandLineTool` with its inputs.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its path.
    pub path: TaskPath,
    /// The tool.
    pub tool: Rc<Process>,
    /// Its inputs, defaults included, of their types.
    pub inputs: Object,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run a task. Asked for once in an engine's life.
    Run(Task),
    /// Stop a task: the workflow failed.
    Stop(TaskPath),
    /// It is over, with its outputs or the reason.
    End(Result<Object, String>),
}

/// An instance of a step: the step itself, or one item of its scatter.
#[derive(Debug)]
enum Instance {
    /// A tool that waits for its outcome.
    Task,
    /// A workflow within.
    Inner(Box<Frame>),
    /// Its outputs.
    Done(Object),
}

#[derive(Debug)]
enum Progress {
    /// Its sources are not all there.
    Waiting,
    /// Its instances are under way.
    Running(Running),
    /// Its outputs.
    Done(Object),
}

/// A step's instances.
#[derive(Debug)]
struct Running {
    instances: Vec<(TaskPath, Instance)>,
    /// The lengths of the lists it is scattered over.
    dims: Vec<usize>,
    /// Instances that are not done.
    left: usize,
    /// Instances that have not been looked at yet.
    new: Vec<usize>,
}

impl Running {
    /// Instances that an outcome may have moved: the cost of a scatter follows
    /// what changed, not its width.
    fn touched(&mut self, prefix: &str, fresh: &BTreeSet<TaskPath>) -> Vec<usize> {
        let mut out = std::mem::take(&mut self.new);
        if self.dims.is_empty() {
            out.push(0);
        } else {
            let below = TaskPath(format!("{prefix}/"));
            let paths = fresh.range(below.clone()..);
            let paths = paths.take_while(|p| p.0.starts_with(&below.0));
            let place = |p: &TaskPath| {
                let next = p.0[below.0.len()..].split('/').next()?;
                next.parse::<usize>().ok()
            };
            out.extend(paths.filter_map(place));
        }
        out.sort_unstable();
        out.dedup();
        out
    }
}

/// A workflow under way, at any depth.
#[derive(Debug)]
struct Frame {
    process: Rc<Process>,
    path: String,
    inputs: Object,
    steps: Vec<Progress>,
    /// Places of the steps, by name.
    places: BTreeMap<String, usize>,
    /// Of a process that is no workflow: whether it was asked for.
    asked: bool,
}

/// A running workflow.
#[derive(Debug)]
pub struct Engine {
    root: Option<Frame>,
    limits: Limits,
    at_once: usize,
    ready: VecDeque<Task>,
    running: BTreeSet<TaskPath>,
    outcomes: BTreeMap<TaskPath, Outcome>,
    /// Outcomes told since the last step.
    fresh: BTreeSet<TaskPath>,
    out: Vec<Action>,
}

/// Why a workflow cannot go on, with the step's path.
type Failure = String;

/// The inputs of a process: defaults where nothing is given, checked by type.
fn accepted(p: &Process, given: &Object, path: &str) -> Result<Object, Failure> {
    let mut out = Object::new();
    for i in &p.inputs {
        let mut v = given.get(&i.id).cloned().unwrap_or(Value::Null);
        if v.is_null()
            && let Some(d) = &i.default
        {
            v = d.clone();
        }
        if let Some(why) = misfit(&v, &i.kind, &i.id) {
            return Err(format!("{path}: input {why}"));
        }
        out.insert(i.id.clone(), v);
    }
    Ok(out)
}

/// Several sources' values as one.
fn merged(values: Vec<Value>, links: &Links) -> Result<Value, String> {
    let value = match links.merge {
        None if values.len() == 1 => values.into_iter().next().unwrap_or(Value::Null),
        Some(Merge::Flattened) => {
            let mut all = Vec::new();
            for v in values {
                match v {
                    Value::Array(items) => all.extend(items),
                    other => all.push(other),
                }
            }
            Value::Array(all)
        }
        None | Some(Merge::Nested) => Value::Array(values),
    };
    let Some(pick) = links.pick else {
        return Ok(value);
    };
    let Value::Array(items) = value else {
        return Err("pickValue on what is no list".into());
    };
    let mut left: Vec<Value> = items.into_iter().filter(|v| !v.is_null()).collect();
    match pick {
        Pick::AllNonNull => Ok(Value::Array(left)),
        Pick::FirstNonNull if left.is_empty() => Err("first_non_null: all are null".into()),
        Pick::FirstNonNull => Ok(left.remove(0)),
        Pick::OnlyNonNull if left.len() == 1 => Ok(left.remove(0)),
        Pick::OnlyNonNull => Err(format!("the_only_non_null: {} are not null", left.len())),
    }
}

/// Scripts that are evaluated before an expression.
pub(crate) fn library(p: &Process) -> Vec<String> {
    let lib = p.requires("InlineJavascriptRequirement");
    let lib = lib.and_then(|r| r.node.get("expressionLib"));
    match lib.map(|n| &n.value) {
        Some(NodeValue::List(l)) => l.iter().filter_map(Node::text).map(String::from).collect(),
        _ => Vec::new(),
    }
}

/// Puts instances' values into lists as deep as the scatter is.
fn gathered(values: Vec<Value>, dims: &[usize]) -> Value {
    match dims {
        [] => values.into_iter().next().unwrap_or(Value::Null),
        [_] => Value::Array(values),
        [first, rest @ ..] => {
            let each: usize = rest.iter().product();
            let mut values = values.into_iter();
            let rows = (0..*first).map(|_| gathered(values.by_ref().take(each).collect(), rest));
            Value::Array(rows.collect())
        }
    }
}

/// The inputs of each instance of a scatter, and the lengths to gather by.
fn scattered(
    step: &Step,
    inputs: &Object,
    path: &str,
) -> Result<(Vec<Object>, Vec<usize>), Failure> {
    if step.scatter.is_empty() {
        return Ok((vec![inputs.clone()], Vec::new()));
    }
    let mut lists: Vec<(&str, &Vec<Value>)> = Vec::new();
    for (name, _) in &step.scatter {
        match inputs.get(name) {
            Some(Value::Array(l)) => lists.push((name, l)),
            _ => return Err(format!("{path}: scatter over {name}, which is no list")),
        }
    }
    let lengths: Vec<usize> = lists.iter().map(|(_, l)| l.len()).collect();
    let dot = matches!(step.method, None | Some(Scatter::Dot));
    let count = if dot {
        if lengths.iter().any(|n| *n != lengths[0]) {
            return Err(format!(
                "{path}: dotproduct of lists of lengths {lengths:?}"
            ));
        }
        lengths[0]
    } else {
        lengths
            .iter()
            .try_fold(1usize, |a, n| a.checked_mul(*n))
            .unwrap_or(usize::MAX)
    };
    if count > MOST_INSTANCES {
        return Err(format!(
            "{path}: scatter over {count}, at most {MOST_INSTANCES}"
        ));
    }
    // What is taken apart is not copied whole into each instance.
    let mut common = inputs.clone();
    common.retain(|name, _| !lists.iter().any(|(n, _)| n == name));
    let instances = (0..count).map(|i| {
        let mut one = common.clone();
        let mut rest = i;
        for (name, list) in lists.iter().rev() {
            let at = if dot { i } else { rest % list.len() };
            rest /= list.len().max(1);
            one.insert((*name).to_string(), list[at].clone());
        }
        one
    });
    let dims = match step.method {
        Some(Scatter::Nested) => lengths,
        _ => vec![count],
    };
    Ok((instances.collect(), dims))
}

impl Frame {
    fn new(process: Rc<Process>, path: String, inputs: Object) -> Frame {
        let steps: &[Step] = match &process.kind {
            Kind::Workflow(steps) => steps,
            _ => &[],
        };
        let named = steps.iter().enumerate();
        Frame {
            places: named.map(|(i, s)| (s.id.clone(), i)).collect(),
            steps: steps.iter().map(|_| Progress::Waiting).collect(),
            process,
            path,
            inputs,
            asked: false,
        }
    }

    /// A source's value, if it is there yet. Packed documents write the
    /// workflow's own name before it.
    fn value(&self, name: &str) -> Option<Value> {
        let mut parts = name.rsplit('/');
        let last = parts.next().unwrap_or(name);
        let step = parts.next().and_then(|s| self.places.get(s));
        let (from, place) = match step {
            None => (&self.inputs, last),
            Some(i) => match &self.steps[*i] {
                Progress::Done(outputs) => (outputs, last),
                _ => return None,
            },
        };
        Some(from.get(place).cloned().unwrap_or(Value::Null))
    }

    fn linked(&self, links: &Links, what: &str) -> Result<Option<Value>, Failure> {
        let mut values = Vec::new();
        for (name, _) in &links.sources {
            match self.value(name) {
                Some(v) => values.push(v),
                None => return Ok(None),
            }
        }
        merged(values, links)
            .map(Some)
            .map_err(|e| format!("{what}: {e}"))
    }
}

impl Engine {
    /// An engine that has begun nothing yet. `at_once`: tasks that may run at the
    /// same time.
    pub fn new(process: Rc<Process>, inputs: Object, at_once: usize, limits: Limits) -> Engine {
        let mut engine = Engine {
            root: None,
            limits,
            at_once: at_once.max(1),
            ready: VecDeque::new(),
            running: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            fresh: BTreeSet::new(),
            out: Vec::new(),
        };
        match accepted(&process, &inputs, "workflow") {
            Ok(inputs) => {
                engine.root = Some(Frame::new(process, String::new(), inputs));
            }
            Err(e) => engine.out.push(Action::End(Err(e))),
        }
        engine
    }

    /// Tells how a task ended: once it is told again nothing changes. Tasks that
    /// are not asked for yet may be told as well, as when a workflow is resumed.
    pub fn outcome(&mut self, path: TaskPath, outcome: Outcome) {
        self.running.remove(&path);
        self.fresh.insert(path.clone());
        self.outcomes.entry(path).or_insert(outcome);
    }

    /// Whether it is over.
    pub fn over(&self) -> bool {
        self.root.is_none()
    }

    /// Goes as far as the outcomes allow; returns what is to be done.
    pub fn advance(&mut self) -> Vec<Action> {
        if let Some(mut root) = self.root.take() {
            match self.frame(&mut root) {
                Ok(None) => self.root = Some(root),
                Ok(Some(outputs)) => self.out.push(Action::End(Ok(outputs))),
                Err(e) => self.end(e),
            }
        }
        self.fresh.clear();
        while self.running.len() < self.at_once
            && let Some(task) = self.ready.pop_front()
        {
            self.running.insert(task.path.clone());
            self.out.push(Action::Run(task));
        }
        std::mem::take(&mut self.out)
    }

    /// Ends it, for this reason.
    pub fn cancel(&mut self, why: &str) -> Vec<Action> {
        if self.root.take().is_some() {
            self.end(why.into());
        }
        std::mem::take(&mut self.out)
    }

    fn end(&mut self, why: Failure) {
        // Tasks that were not begun never are; the others are stopped.
        self.ready.clear();
        let running = std::mem::take(&mut self.running);
        self.out.extend(running.into_iter().map(Action::Stop));
        self.out.push(Action::End(Err(why)));
    }

    fn frame(&mut self, f: &mut Frame) -> Result<Option<Object>, Failure> {
        let process = Rc::clone(&f.process);
        let steps: &[Step] = match &process.kind {
            Kind::Workflow(steps) => steps,
            _ => return self.alone(f),
        };
        // A step that is done may let others begin.
        loop {
            let mut moved = false;
            for (i, step) in steps.iter().enumerate() {
                moved |= self.step(f, i, step)?;
            }
            if !moved {
                break;
            }
        }
        if !f.steps.iter().all(|s| matches!(s, Progress::Done(_))) {
            return Ok(None);
        }
        let mut outputs = Object::new();
        for o in &process.outputs {
            let what = TaskPath::of(&f.path, &format!("output {}", o.id), None);
            let v = f.linked(&o.links, what.as_str())?.unwrap_or(Value::Null);
            if let Some(why) = misfit(&v, &o.kind, &o.id) {
                return Err(format!("{what}: {why}"));
            }
            outputs.insert(o.id.clone(), v);
        }
        Ok(Some(outputs))
    }

    /// A process that is no workflow, run by itself.
    fn alone(&mut self, f: &mut Frame) -> Result<Option<Object>, Failure> {
        let path = TaskPath("run".into());
        if !std::mem::replace(&mut f.asked, true) {
            match self.instance(&Rc::clone(&f.process), &path, f.inputs.clone())? {
                Instance::Done(outputs) => return Ok(Some(outputs)),
                Instance::Task | Instance::Inner(_) => {}
            }
        }
        match self.outcomes.get(&path) {
            None => Ok(None),
            Some(Outcome::Done(o)) => Ok(Some(o.clone())),
            Some(Outcome::Failed(e)) => Err(format!("{path}: {e}")),
        }
    }

    /// True if the step went on.
    fn step(&mut self, f: &mut Frame, i: usize, step: &Step) -> Result<bool, Failure> {
        match &mut f.steps[i] {
            Progress::Done(_) => Ok(false),
            Progress::Waiting => {
                let Some(begun) = self.begin(f, step)? else {
                    return Ok(false);
                };
                f.steps[i] = begun;
                Ok(true)
            }
            Progress::Running(running) => {
                let prefix = TaskPath::of(&f.path, &step.id, None);
                for i in running.touched(prefix.as_str(), &self.fresh) {
                    let Some((path, instance)) = running.instances.get_mut(i) else {
                        continue;
                    };
                    let done = match instance {
                        Instance::Done(_) => continue,
                        Instance::Inner(inner) => self.frame(inner)?,
                        Instance::Task => match self.outcomes.get(path) {
                            None => None,
                            Some(Outcome::Done(o)) => Some(o.clone()),
                            Some(Outcome::Failed(e)) => return Err(format!("{path}: {e}")),
                        },
                    };
                    if let Some(outputs) = done {
                        *instance = Instance::Done(outputs);
                        running.left -= 1;
                    }
                }
                if running.left > 0 {
                    return Ok(false);
                }
                let (instances, dims) = (&running.instances, &running.dims);
                let mut outputs = Object::new();
                for (out, _) in &step.outputs {
                    let values = instances.iter().map(|(_, i)| match i {
                        Instance::Done(o) => o.get(out).cloned().unwrap_or(Value::Null),
                        _ => Value::Null,
                    });
                    outputs.insert(out.clone(), gathered(values.collect(), dims));
                }
                f.steps[i] = Progress::Done(outputs);
                Ok(true)
            }
        }
    }

    /// `None`: its sources are not all there.
    fn begin(&mut self, f: &Frame, step: &Step) -> Result<Option<Progress>, Failure> {
        let what = TaskPath::of(&f.path, &step.id, None);
        let mut inputs = Object::new();
        for i in &step.inputs {
            let mut v = Value::Null;
            if !i.links.sources.is_empty() {
                match f.linked(&i.links, what.as_str())? {
                    Some(linked) => v = linked,
                    None => return Ok(None),
                }
            }
            if v.is_null()
                && let Some(d) = &i.default
            {
                v = d.clone();
            }
            inputs.insert(i.id.clone(), v);
        }
        let Some(run) = &step.run else {
            return Err(format!("{what}: what it runs could not be read"));
        };
        let (each, dims) = scattered(step, &inputs, what.as_str())?;
        let lib = library(&f.process);
        let mut instances = Vec::new();
        for (n, given) in each.into_iter().enumerate() {
            let place = (!step.scatter.is_empty()).then_some(n);
            let path = TaskPath::of(&f.path, &step.id, place);
            let mut made = given.clone();
            let mut scope = Scope {
                inputs: Value::Object(given.clone()),
                ..Scope::default()
            };
            for i in &step.inputs {
                if let Some(e) = &i.value_from {
                    scope.this = given.get(&i.id).cloned().unwrap_or(Value::Null);
                    let v = evaluate(e, &scope, &lib, path.as_str(), self.limits)?;
                    made.insert(i.id.clone(), v);
                }
            }
            if let Some(when) = &step.when {
                let scope = Scope {
                    inputs: Value::Object(made.clone()),
                    ..Scope::default()
                };
                match evaluate(when, &scope, &lib, path.as_str(), self.limits)? {
                    Value::Bool(true) => {}
                    Value::Bool(false) => {
                        instances.push((path, Instance::Done(Object::new())));
                        continue;
                    }
                    other => return Err(format!("{path}: when: {other}, true or false is wanted")),
                }
            }
            let inputs = accepted(run, &made, path.as_str())?;
            let instance = self.instance(run, &path, inputs)?;
            instances.push((path, instance));
        }
        let left = instances
            .iter()
            .filter(|(_, i)| !matches!(i, Instance::Done(_)));
        Ok(Some(Progress::Running(Running {
            left: left.count(),
            new: (0..instances.len()).collect(),
            instances,
            dims,
        })))
    }

    fn instance(
        &mut self,
        run: &Rc<Process>,
        path: &TaskPath,
        inputs: Object,
    ) -> Result<Instance, Failure> {
        Ok(match &run.kind {
            Kind::Workflow(_) => {
                let inner = Frame::new(Rc::clone(run), path.as_str().into(), inputs);
                Instance::Inner(Box::new(inner))
            }
            // What reads files is none of the engine's own.
            Kind::Expression(_) if !reads_files(run) => {
                Instance::Done(expression(run, &inputs, path.as_str(), self.limits)?)
            }
            Kind::Operation => return Err(format!("{path}: an Operation cannot be run")),
            Kind::Tool(_) | Kind::Expression(_) => {
                if !self.outcomes.contains_key(path) {
                    self.ready.push_back(Task {
                        path: path.clone(),
                        tool: Rc::clone(run),
                        inputs,
                    });
                }
                Instance::Task
            }
        })
    }
}

/// Whether an expression sees what is in files or directories.
fn reads_files(p: &Process) -> bool {
    let reads = |i: &crate::document::Parameter| {
        i.load_contents
            || !i.secondary.is_empty()
            || i.listing.unwrap_or(p.needs.loads) != crate::document::Listing::None
    };
    p.inputs.iter().any(reads)
}

fn evaluate(
    e: &crate::document::Expr,
    scope: &Scope,
    lib: &[String],
    what: &str,
    limits: Limits,
) -> Result<Value, Failure> {
    let read = e
        .template
        .as_ref()
        .ok_or_else(|| format!("{what}: {} cannot be read", e.text))?;
    let value = read.evaluate(scope, lib, limits);
    value.map_err(|e: ExpressionError| format!("{what}: {e}"))
}

/// What an `ExpressionTool` makes of its inputs.
///
/// # Errors
/// Its expression fails, or makes something else than its outputs.
pub fn expression(
    p: &Process,
    inputs: &Object,
    path: &str,
    limits: Limits,
) -> Result<Object, String> {
    let Kind::Expression(Some(e)) = &p.kind else {
        return Err(format!("{path}: its expression cannot be read"));
    };
    let scope = Scope {
        inputs: Value::Object(inputs.clone()),
        ..Scope::default()
    };
    match evaluate(e, &scope, &library(p), path, limits)? {
        Value::Object(made) => {
            for o in &p.outputs {
                let v = made.get(&o.id).unwrap_or(&Value::Null);
                if let Some(why) = misfit(v, &o.kind, &o.id) {
                    return Err(format!("{path}: output {why}"));
                }
            }
            Ok(made)
        }
        other => Err(format!("{path}: {other}, a map of its outputs is wanted")),
    }
}
