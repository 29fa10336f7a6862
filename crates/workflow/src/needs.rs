//! What a process asks for by its requirements and hints, each field read with its
//! place before anything runs.

use crate::document::{Expr, Fields, Flag, Listing, Reader, Requirement};
use crate::node::{Node, Value};
use crate::problem::At;
use std::rc::Rc;

/// The class of the hint that says what a step's job is like.
pub const JOB: &str = "pebblefold:Job";

/// When a step may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Never, once it may have been started: if nobody knows how it ended, the
    /// workflow stops.
    Never,
    /// Only if it is certain that it was not started.
    IfNotStarted,
    /// After its machine was lost; after a failing exit so many times.
    OnFailure(u32),
}

/// Most tries after a failing exit.
pub const MOST_TRIES: u32 = 100;

impl std::str::FromStr for Retry {
    type Err = String;

    fn from_str(text: &str) -> Result<Retry, String> {
        let wanted = || {
            format!(
                "{text}: never, if-not-started, on-failure N or N is wanted, N at most {MOST_TRIES}"
            )
        };
        match text {
            "never" => Ok(Retry::Never),
            "if-not-started" => Ok(Retry::IfNotStarted),
            other => {
                let n = other.strip_prefix("on-failure").unwrap_or(other);
                let n: u32 = n.trim().parse().map_err(|_| wanted())?;
                if n > MOST_TRIES {
                    return Err(wanted());
                }
                Ok(Retry::OnFailure(n))
            }
        }
    }
}

/// What a step's job is like, where it differs from its workflow's.
#[derive(Clone, Debug, Default)]
pub struct JobHint {
    /// Where it stands.
    pub file: Rc<str>,
    /// Likewise.
    pub at: At,
    /// The team.
    pub team: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The priority, as a user writes it.
    pub priority: Option<String>,
    /// Graphics processors.
    pub gpus: Option<f64>,
    /// The image.
    pub image: Option<String>,
    /// Its size.
    pub image_gb: Option<f64>,
    /// Whether it may run on spot machines.
    pub spot: Option<bool>,
    /// The owner's guess at its run time.
    pub estimate_s: Option<f64>,
    /// Progress between checkpoints.
    pub checkpoint_s: Option<f64>,
    /// Time to save when stopped.
    pub save_s: Option<f64>,
    /// The deadline.
    pub deadline_s: Option<f64>,
    /// When it may be run again.
    pub retry: Option<Retry>,
}

/// Something that stands in the directory before a command starts.
#[derive(Clone, Debug)]
pub enum Item {
    /// What an expression makes: files, directories, lists of them.
    Made(Expr),
    /// A file or directory written out.
    Literal(serde_json::Value),
    /// An entry with a name.
    Entry {
        /// Text, or an expression that makes a file or directory.
        entry: Expr,
        /// Its name.
        name: Option<Expr>,
        /// Whether the command may write to it.
        writable: bool,
    },
}

/// What a process asks for.
#[derive(Clone, Debug, Default)]
pub struct Needs {
    /// Processors.
    pub cores: Option<Expr>,
    /// Memory, in MiB.
    pub ram_mib: Option<Expr>,
    /// Its environment.
    pub env: Vec<(String, Expr)>,
    /// What stands in its directory.
    pub listing: Vec<Item>,
    /// Seconds that it may take; 0: no limit.
    pub limit_s: Option<Expr>,
    /// Whether a finished step may be used again.
    pub reuse: Option<Flag>,
    /// Whether what is writable is the original.
    pub inplace: bool,
    /// Whether a shell reads the command line.
    pub shell: bool,
    /// What of directories is listed.
    pub loads: Listing,
    /// What its job is like.
    pub job: Option<JobHint>,
}

impl Reader<'_> {
    /// Reads what requirements and hints ask for; what stands in `file` is told
    /// there.
    pub fn needs(&mut self, all: &[Requirement]) -> Needs {
        let mut needs = Needs::default();
        let own = Rc::clone(&self.file);
        // What is nearer goes before what is inherited, and a requirement before
        // a hint: it comes later here.
        for hint in [true, false] {
            for r in all.iter().rev().filter(|r| r.hint == hint) {
                self.file = Rc::clone(&r.file);
                self.need(r, &mut needs);
            }
        }
        self.file = own;
        needs
    }

    fn need(&mut self, r: &Requirement, needs: &mut Needs) {
        let what = r.class.as_str();
        let known: &[&str] = match what {
            "ResourceRequirement" => &[
                "coresMin",
                "coresMax",
                "ramMin",
                "ramMax",
                "tmpdirMin",
                "tmpdirMax",
                "outdirMin",
                "outdirMax",
            ],
            "EnvVarRequirement" => &["envDef"],
            "InitialWorkDirRequirement" => &["listing"],
            "ToolTimeLimit" => &["timelimit"],
            "WorkReuse" => &["enableReuse"],
            "InplaceUpdateRequirement" => &["inplaceUpdate"],
            "LoadListingRequirement" => &["loadListing"],
            "ShellCommandRequirement" => &[],
            JOB => &[
                "team",
                "job_class",
                "priority",
                "gpus",
                "image",
                "image_gb",
                "spot",
                "estimate_s",
                "checkpoint_s",
                "save_s",
                "deadline_s",
                "retry",
            ],
            _ => return,
        };
        if what == "ShellCommandRequirement" {
            needs.shell = true;
            return;
        }
        let Some(mut f) = self.fields(&r.node, what) else {
            return;
        };
        // The class that a list's items carry. A job's own class needs another
        // name: as `class` it was taken for this one, and left out.
        if let Some(n) = f.take("class")
            && n.text() != Some(what)
        {
            self.error(
                n.at,
                format!("{what}: class here names the requirement; job_class is meant?"),
            );
        }
        match what {
            "ResourceRequirement" => {
                needs.cores = self.one_of(&mut f, ["coresMin", "coresMax"], what);
                needs.ram_mib = self.one_of(&mut f, ["ramMin", "ramMax"], what);
            }
            "EnvVarRequirement" => needs.env = self.environment(f.take("envDef"), what),
            "InitialWorkDirRequirement" => {
                let listing = f.take("listing");
                if listing.is_none() {
                    self.error(r.at, format!("{what}: listing is missing"));
                }
                needs.listing = Vec::new();
                for n in self.list(listing) {
                    needs.listing.extend(self.item(n, what));
                }
            }
            "ToolTimeLimit" => {
                let limit = f.take("timelimit");
                if let Some(Value::Int(i)) = limit.map(|n| &n.value)
                    && *i < 0
                {
                    self.error(r.at, format!("{what}: {i}, 0 or more seconds are wanted"));
                }
                needs.limit_s = limit.and_then(|n| self.expr(n, what));
            }
            "WorkReuse" => {
                needs.reuse = self.either(f.take("enableReuse"), what);
            }
            "InplaceUpdateRequirement" => {
                needs.inplace = self.flag(f.take("inplaceUpdate"), what, false);
            }
            "LoadListingRequirement" => {
                needs.loads = self
                    .listing(f.take("loadListing"), what)
                    .unwrap_or_default();
            }
            _ => needs.job = Some(self.job(&mut f, r)),
        }
        self.finish(f, known);
    }

    fn one_of(&mut self, f: &mut Fields<'_>, names: [&str; 2], what: &str) -> Option<Expr> {
        let mut found = None;
        for name in names {
            let Some(n) = f.take(name) else { continue };
            if let Value::Text(t) = &n.value
                && !t.contains("$(")
                && !t.contains("${")
            {
                self.error(
                    n.at,
                    format!("{what}.{name}: text, a number or an expression is wanted"),
                );
                continue;
            }
            let read = self.expr(n, &format!("{what}.{name}"));
            found = found.or(read);
        }
        found
    }

    fn environment(&mut self, node: Option<&Node>, what: &str) -> Vec<(String, Expr)> {
        let mut out = Vec::new();
        let mut add = |r: &mut Self, name: &str, at, n: Option<&Node>| {
            if name.is_empty() {
                return r.error(at, format!("{what}: envName is missing"));
            }
            let what = format!("{what}: {name}");
            if name.contains(['=', '\0']) {
                return r.error(at, format!("{what}: no name of a variable"));
            }
            match n {
                Some(n) => out.extend(r.expr(n, &what).map(|e| (name.to_string(), e))),
                None => r.error(at, format!("{what}: envValue is missing")),
            }
        };
        match node.map(|n| &n.value) {
            Some(Value::Map(m)) => {
                for (k, n) in m {
                    let value = match n.value {
                        Value::Map(_) => n.get("envValue"),
                        _ => Some(n),
                    };
                    add(self, &k.text, k.at, value);
                }
            }
            Some(Value::List(l)) => {
                for n in l {
                    let name = n.get("envName").and_then(Node::text).unwrap_or("");
                    add(self, name, n.at, n.get("envValue"));
                }
            }
            _ => {}
        }
        out
    }

    fn item(&mut self, n: &Node, what: &str) -> Option<Item> {
        let what = format!("{what}.listing");
        match &n.value {
            Value::Map(_) if n.get("entry").is_some() => {
                let mut f = self.fields(n, &what)?;
                let entry = f.take("entry").and_then(|e| self.expr(e, &what));
                let name = f.take("entryname").and_then(|e| self.expr(e, &what));
                let writable = self.flag(f.take("writable"), &format!("{what}.writable"), false);
                self.finish(f, &["entry", "entryname", "writable"]);
                let entry = entry?;
                let made = entry.text.contains("$(") || entry.text.contains("${");
                if name.is_none() && !made {
                    self.error(n.at, format!("{what}: text needs an entryname"));
                }
                Some(Item::Entry {
                    entry,
                    name,
                    writable,
                })
            }
            Value::Map(_) => match n.get("class").and_then(Node::text) {
                Some("File" | "Directory") => Some(Item::Literal(n.json())),
                _ => {
                    self.error(
                        n.at,
                        format!("{what}: an entry, a File or a Directory is wanted"),
                    );
                    None
                }
            },
            Value::Null => None,
            _ => self.expr(n, &what).map(Item::Made),
        }
    }

    fn job(&mut self, f: &mut Fields<'_>, r: &Requirement) -> JobHint {
        let mut hint = JobHint {
            file: Rc::clone(&r.file),
            at: r.at,
            ..JobHint::default()
        };
        let named = |name: &str| format!("{JOB}.{name}");
        for (name, to) in [
            ("team", &mut hint.team),
            ("job_class", &mut hint.class),
            ("image", &mut hint.image),
        ] {
            *to = f.take(name).and_then(|n| self.text(n, &named(name)));
        }
        let words = ["low", "standard", "urgent", "production"].map(|w| (w, w));
        let word = self.word(f.take("priority"), &named("priority"), &words);
        hint.priority = word.map(String::from);
        for (name, to) in [
            ("gpus", &mut hint.gpus),
            ("image_gb", &mut hint.image_gb),
            ("estimate_s", &mut hint.estimate_s),
            ("checkpoint_s", &mut hint.checkpoint_s),
            ("save_s", &mut hint.save_s),
            ("deadline_s", &mut hint.deadline_s),
        ] {
            let Some(n) = f.take(name) else { continue };
            *to = match n.value {
                Value::Int(i) if i >= 0 => Some(i as f64),
                Value::Float(x) if x.is_finite() && x >= 0.0 => Some(x),
                _ => {
                    self.error(n.at, format!("{}: 0 or more is wanted", named(name)));
                    None
                }
            };
        }
        if let Some(n) = f.take("spot") {
            hint.spot = Some(self.flag(Some(n), &named("spot"), true));
        }
        if let Some(n) = f.take("retry") {
            let text = match &n.value {
                Value::Int(i) => i.to_string(),
                _ => n.text().unwrap_or_default().to_string(),
            };
            match text.parse() {
                Ok(retry) => hint.retry = Some(retry),
                Err(e) => self.error(n.at, format!("{}: {e}", named("retry"))),
            }
        }
        hint
    }
}
