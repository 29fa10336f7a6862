//! What a step's job is, decided without I/O: its id, what it may ask for, and
//! whether it is run again.
//!
//! A workflow is a user as any other, so a step's job is its workflow's job with
//! less: every field that a document may set is compared with what its submitter
//! asked for, and more is refused, by name.

use crate::document::{Kind, Process, Step};
use crate::engine::{Task, TaskPath};
use crate::expression::Limits;
use crate::needs::{JobHint, Retry};
use crate::tool::{Ended, amounts};
use pebblefold_wire::types::JobId;
use pebblefold_wire::users::{JobShape, Priority, Submission};
use std::collections::BTreeSet;

/// Tries of a step that is certain not to have been started.
pub const FRESH_TRIES: u32 = 5;
/// Jobs of one step between two rounds: more tries than one round has.
const ROUND: u32 = 1000;

/// What a submitter asked for.
#[derive(Clone, Debug)]
pub struct Allowed {
    /// What every step's job begins from.
    pub job: Submission,
    /// Classes that steps may name, besides the job's own.
    pub classes: Vec<String>,
    /// When steps may be run again, where they do not say so.
    pub retry: Retry,
}

/// Which of a step's jobs is meant: a new one for each try, and for each time that
/// a workflow that failed is taken up again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Try {
    /// The workflow's round.
    pub round: u32,
    /// The try within it.
    pub number: u32,
}

/// The id of a task's job, for good: whoever submits it submits the same job.
pub fn job_id(name: &str, path: &TaskPath, which: Try) -> JobId {
    let again = which.round * ROUND + which.number;
    let text = format!("{name}\0{path}\0{again}");
    let hash = blake3::hash(text.as_bytes());
    format!("wk-{}", &hash.to_hex()[..20]).into()
}

fn priority(word: &str) -> Option<Priority> {
    serde_json::from_value(word.into()).ok()
}

fn word(p: Priority) -> String {
    let v = serde_json::to_value(p).unwrap_or_default();
    v.as_str().unwrap_or_default().to_string()
}

impl Allowed {
    /// What a hint asks for beyond what is allowed, in words.
    fn too_much(&self, hint: &JobHint) -> Vec<String> {
        let job = &self.job;
        let mut out = Vec::new();
        let mut no = |what: String| out.push(what);
        if let Some(t) = hint.team.as_ref().filter(|t| *t != job.team.as_str()) {
            no(format!(
                "asks for team {t}, its workflow's job is of {}",
                job.team
            ));
        }
        if let Some(c) = &hint.class
            && c != job.class.as_str()
            && !self.classes.contains(c)
        {
            no(format!(
                "asks for class {c}, its workflow's job is of {}; --class {c} would allow it",
                job.class
            ));
        }
        if let Some(p) = hint.priority.as_deref().and_then(priority)
            && p > job.priority
        {
            let (p, has) = (word(p), word(job.priority));
            no(format!(
                "asks for priority {p}, its workflow's job has {has}"
            ));
        }
        if let Some(g) = hint.gpus.filter(|g| *g > job.gpus) {
            no(format!(
                "asks for {g} GPUs, its workflow's job has {}",
                job.gpus
            ));
        }
        if hint.spot == Some(true) && !job.spot {
            no("asks for spot machines, its workflow's job allows none".into());
        }
        if let Some(d) = hint.deadline_s
            && job.deadline_s.is_none_or(|has| d < has)
        {
            let has = job
                .deadline_s
                .map_or("none".into(), |has| format!("{has} s"));
            no(format!(
                "asks for a deadline of {d} s, its workflow's job has {has}"
            ));
        }
        if let Some(s) = hint.save_s.filter(|s| *s > job.save_s) {
            no(format!(
                "asks for {s} s to save, its workflow's job has {}",
                job.save_s
            ));
        }
        out
    }

    fn too_large(&self, cores: Option<f64>, memory_gb: Option<f64>) -> Vec<String> {
        let job = &self.job;
        let mut out = Vec::new();
        for (what, asked, has) in [
            ("cores", cores, job.cpus),
            ("GB of memory", memory_gb, job.memory_gb),
        ] {
            if let Some(n) = asked.filter(|n| *n > has) {
                out.push(format!("asks for {n} {what}, its workflow's job has {has}"));
            }
        }
        out
    }

    /// Everything in a workflow that is more than allowed or cannot be run, with
    /// file and line: all of it, before anything runs.
    pub fn refused(&self, p: &Process) -> BTreeSet<String> {
        let mut out = BTreeSet::new();
        if self.job.shape != JobShape::Array || self.job.tasks != 1 {
            out.insert("the job of a workflow is a batch of one piece: each step is one".into());
        }
        self.gather(p, &mut out);
        out
    }

    fn gather(&self, p: &Process, out: &mut BTreeSet<String>) {
        if let Some(hint) = &p.needs.job {
            for what in self.too_much(hint) {
                out.insert(format!("{}:{}: {what}", hint.file, hint.at.line));
            }
        }
        let literal =
            |e: &Option<crate::document::Expr>| e.as_ref().and_then(|e| e.text.parse::<f64>().ok());
        let cores = literal(&p.needs.cores);
        let memory = literal(&p.needs.ram_mib).map(|mib| mib / 1024.0);
        for what in self.too_large(cores, memory) {
            let at = p.needs.cores.as_ref().or(p.needs.ram_mib.as_ref());
            let line = at.map_or(p.at.line, |e| e.at.line);
            out.insert(format!("{}:{line}: {what}", p.file));
        }
        match &p.kind {
            Kind::Workflow(steps) => {
                for run in steps.iter().filter_map(|s: &Step| s.run.as_ref()) {
                    self.gather(run, out);
                }
            }
            Kind::Operation => {
                let at = p.at.line;
                out.insert(format!("{}:{at}: an Operation cannot be run", p.file));
            }
            Kind::Tool(_) | Kind::Expression(_) => {}
        }
    }

    /// A task's job.
    ///
    /// # Errors
    /// It asks for more than its workflow may, or an expression fails.
    pub fn submission(
        &self,
        task: &Task,
        id: &JobId,
        limits: Limits,
    ) -> Result<Submission, String> {
        let (cores, mib) = amounts(task, limits)?;
        let memory = mib.map(|mib| mib / 1024.0);
        let hint = task.tool.needs.job.as_ref();
        let mut no = hint.map_or(Vec::new(), |h| self.too_much(h));
        no.extend(self.too_large(cores, memory));
        if !no.is_empty() {
            return Err(no.join("; "));
        }
        let mut job = self.job.clone();
        job.id = id.clone();
        (job.tasks, job.shape) = (1, JobShape::Array);
        job.cpus = cores.unwrap_or(job.cpus);
        job.memory_gb = memory.unwrap_or(job.memory_gb);
        if let Some(h) = hint {
            if let Some(c) = &h.class {
                job.class = c.as_str().into();
            }
            if let Some(i) = &h.image {
                job.image = i.as_str().into();
            }
            job.priority = h
                .priority
                .as_deref()
                .and_then(priority)
                .unwrap_or(job.priority);
            job.gpus = h.gpus.unwrap_or(job.gpus);
            job.image_gb = h.image_gb.unwrap_or(job.image_gb);
            job.spot = h.spot.unwrap_or(job.spot);
            job.estimate_s = h.estimate_s.unwrap_or(job.estimate_s);
            job.checkpoint_s = h.checkpoint_s.unwrap_or(job.checkpoint_s);
            job.save_s = h.save_s.unwrap_or(job.save_s);
            job.deadline_s = h.deadline_s.or(job.deadline_s);
        }
        Ok(job)
    }

    /// When a task may be run again.
    pub fn retry(&self, task: &Task) -> Retry {
        let hint = task.tool.needs.job.as_ref();
        hint.and_then(|h| h.retry).unwrap_or(self.retry)
    }
}

/// How one job of a step ended, if not with outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lost {
    /// With an exit code.
    Exit(Ended),
    /// It took longer than it may.
    TooLong,
    /// It is certain that it was not started.
    NotStarted,
    /// It was started, and nobody knows how it ended.
    Unknown,
    /// Nothing that another try would mend.
    Final,
}

/// Whether a step is run again after so many tries.
pub fn again(retry: Retry, lost: &Lost, tries: u32) -> bool {
    match (retry, lost) {
        (_, Lost::Final | Lost::Unknown | Lost::Exit(Ended::Success)) => false,
        (Retry::IfNotStarted | Retry::OnFailure(_), Lost::NotStarted) => tries + 1 < FRESH_TRIES,
        (Retry::Never | Retry::IfNotStarted, _) => false,
        (Retry::OnFailure(n), Lost::Exit(_) | Lost::TooLong) => tries < n,
    }
}

#[cfg(test)]
mod tests;
