//! The report on a run: text, JSON and one HTML page with plots.

use crate::checker::{Breach, JobRecord};
use crate::stand::{Sample, Stand};
use crate::tally::ProvisioningStats;
use hdrhistogram::Histogram;
use pebblefold_controller::types::{Resources, Time};
use pebblefold_controller::wire::users::JobStage;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// A violated invariant with the history of the job concerned.
#[derive(Clone, Debug, Serialize)]
pub struct BreachReport {
    /// The violation.
    #[serde(flatten)]
    pub breach: Breach,
    /// Events that concern the job, one line per event.
    pub history: Vec<String>,
}

/// Outcomes and delays of the jobs of one class or team.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs that started.
    pub started: usize,
    /// Number of jobs that were done, or cancelled by their users.
    pub done: usize,
    /// Seconds from submission to start: median, 90th percentile, maximum.
    pub start_s: [f64; 3],
    /// Seconds from submission until the user received the final answer: median, 90th
    /// percentile, maximum.
    pub end_s: [f64; 3],
}

impl ClassReport {
    fn from_jobs<'a>(jobs: impl Iterator<Item = &'a JobRecord>) -> ClassReport {
        let jobs: Vec<&JobRecord> = jobs.collect();
        let delays = |t: fn(&JobRecord) -> Option<f64>| {
            let seconds = jobs.iter().filter_map(|j| Some(t(j)? - j.submitted_s));
            quantiles(seconds.collect())
        };
        let has_ended =
            |j: &&&JobRecord| matches!(j.end, Some(JobStage::Done | JobStage::Cancelled));
        ClassReport {
            jobs: jobs.len(),
            started: jobs.iter().filter(|j| j.started_s.is_some()).count(),
            done: jobs.iter().filter(has_ended).count(),
            start_s: delays(|j| j.started_s),
            end_s: delays(|j| j.ended_s),
        }
    }

    /// Share of the submitted jobs that were done, or cancelled by their users, from 0 to 1.
    pub fn completed_ratio(&self) -> f64 {
        self.done as f64 / self.jobs.max(1) as f64
    }
}

/// The most that a team's tasks on machines used at one time, as the machines counted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PeakUsage {
    /// Graphics processors in use.
    pub gpus: f64,
    /// The team's limit on them; 0: none.
    pub gpus_max: f64,
    /// Processors in use.
    pub cpus: f64,
    /// The team's limit on them; 0: none.
    pub cpus_max: f64,
}

/// Outcome of one run of a script.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the script.
    pub name: String,
    /// Whether no invariant was violated.
    pub passed: bool,
    /// `simulated` or `loopback`.
    pub world: &'static str,
    /// Command line that repeats the run; empty until the caller sets it.
    pub replay: String,
    /// Seconds of scenario time that the run covered.
    pub length_s: f64,
    /// Seconds of real time that the run took.
    pub took_s: f64,
    /// Violated invariants.
    pub broken: Vec<BreachReport>,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs whose final answer is done.
    pub done: usize,
    /// Number of jobs whose final answer is cancelled.
    pub cancelled: usize,
    /// Number of jobs that their users abandoned because no controller accepted them in time.
    pub given_up: usize,
    /// Number of task starts.
    pub starts: u64,
    /// Number of tasks killed because an agent's lease expired.
    pub lease_kills: u64,
    /// Seconds of task time that were lost and had to be repeated.
    pub repeated_s: f64,
    /// Milliseconds from submission to acceptance: median, 95th percentile, maximum.
    pub accept_ms: [u64; 3],
    /// Money spent on machines, in the unit of the machine types' prices.
    pub cost: f64,
    /// Statistics on provisioning.
    pub renting: ProvisioningStats,
    /// Outcomes by job class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Outcomes by team.
    pub teams: BTreeMap<String, ClassReport>,
    /// The most that each team used at one time.
    pub peak_usage: BTreeMap<String, PeakUsage>,
    /// Injected faults: the time in seconds, and a description.
    pub faults: Vec<(f64, String)>,
    /// Descriptions of the faults that were never injected.
    pub not_struck: Vec<String>,
    /// State of the cluster, sampled every second.
    pub samples: Vec<Sample>,
    /// Times and outcome of each submitted job.
    pub jobs: Vec<JobRecord>,
}

/// Colours that colour-blind readers, too, can distinguish on white.
const COLORS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 60, 140),
    RGBColor(90, 90, 90),
];

/// Median, 90th percentile and maximum; zeros if there are no values.
fn quantiles(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let i = (values.len() as f64 * q).ceil() as usize;
        values.get(i.max(1) - 1).copied().unwrap_or(0.0)
    };
    [at(0.5), at(0.9), at(1.0)]
}

/// The most that each team with tasks on machines used at one time, with its limits.
fn peak_usage(stand: &Stand) -> BTreeMap<String, PeakUsage> {
    let checker = stand.checker();
    let peak_of = |(name, used): (&String, &Resources)| {
        let team = checker.teams().iter().find(|team| &team.name == name);
        let peak = PeakUsage {
            gpus: used.gpus,
            gpus_max: team.map_or(0.0, |team| team.gpus_max),
            cpus: used.cpus,
            cpus_max: team.map_or(0.0, |team| team.cpus_max),
        };
        (name.clone(), peak)
    };
    checker.peak_usage_by_team().iter().map(peak_of).collect()
}

/// A limit as text; 0: none.
fn limit_text(limit: f64) -> String {
    if limit > 0.0 {
        limit.to_string()
    } else {
        "none".into()
    }
}

impl Verdict {
    /// Collects the outcome of a run that ended at `now` and took `took` in real time. The
    /// field `world` is `simulated`, and `replay` is empty.
    pub fn from_stand(stand: &Stand, now: Time, took: Duration) -> Verdict {
        let cost = stand.cost();
        let checker = stand.checker();
        let broken: Vec<BreachReport> = checker
            .breaches()
            .iter()
            .map(|b| BreachReport {
                breach: b.clone(),
                history: checker.history_of(&b.job),
            })
            .collect();
        let jobs = checker.records();
        let reports_by = |name: fn(&JobRecord) -> &String| -> BTreeMap<String, ClassReport> {
            let names: BTreeSet<&String> = jobs.iter().map(name).collect();
            let report = |n: &String| ClassReport::from_jobs(jobs.iter().filter(|j| name(j) == n));
            names.into_iter().map(|n| (n.clone(), report(n))).collect()
        };
        let (classes, teams) = (reports_by(|j| &j.class), reports_by(|j| &j.team));
        let mut accept = Histogram::<u64>::new_with_bounds(1, 600_000, 3).ok();
        for ms in stand.accept_ms() {
            if let Some(h) = &mut accept {
                h.saturating_record((*ms).max(1));
            }
        }
        let accept = |q| accept.as_ref().map_or(0, |h| h.value_at_quantile(q));
        let (accepted, done, cancelled, given_up) = checker.counts();
        Verdict {
            name: stand.script().name.clone(),
            passed: broken.is_empty(),
            world: "simulated",
            replay: String::new(),
            length_s: now.0 as f64 / 1e6,
            took_s: took.as_secs_f64(),
            broken,
            accepted,
            done,
            cancelled,
            given_up,
            starts: checker.starts(),
            lease_kills: stand.fleet().lease_kills,
            repeated_s: stand.fleet().repeated_s,
            accept_ms: [accept(0.5), accept(0.95), accept(1.0)],
            cost,
            renting: stand.tally().clone(),
            classes,
            teams,
            peak_usage: peak_usage(stand),
            faults: stand.marks().to_vec(),
            not_struck: stand.left(),
            samples: stand.samples().to_vec(),
            jobs,
        }
    }

    /// The outcome as text for a terminal.
    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write_text(&mut out)
            .unwrap_or_else(|_| unreachable!("writing to a string cannot fail"));
        out
    }

    fn write_text(&self, out: &mut String) -> std::fmt::Result {
        let verdict = if self.passed { "passed" } else { "FAILED" };
        writeln!(
            out,
            "{}: {verdict} ({}, {:.0} s in {:.1} s)",
            self.name, self.world, self.length_s, self.took_s
        )?;
        writeln!(
            out,
            "  jobs: {} accepted, {} done, {} cancelled, {} never accepted; {} task starts, {} killed by a lease, {:.0} s done again, cost {:.2}",
            self.accepted,
            self.done,
            self.cancelled,
            self.given_up,
            self.starts,
            self.lease_kills,
            self.repeated_s,
            self.cost
        )?;
        let [p50, p95, max] = self.accept_ms;
        writeln!(
            out,
            "  accepted within {p50} ms (half), {p95} ms (95 %), {max} ms (all)"
        )?;
        let r = &self.renting;
        writeln!(
            out,
            "  machines: {} hired, {} of them never used; paid and unknown to the leader {:.0} s, {:.0} s at the longest; {} tasks lost to a replaced controller's release",
            r.hired, r.unused, r.unknown_s, r.unknown_longest_s, r.lost_to_replaced
        )?;
        let by_group = self.classes.iter().chain(&self.teams);
        if let Some((name, k)) =
            by_group.min_by(|a, b| a.1.completed_ratio().total_cmp(&b.1.completed_ratio()))
        {
            let percent = k.completed_ratio() * 100.0;
            writeln!(
                out,
                "  least served: {name}, {} of {} jobs ({percent:.0} %)",
                k.done, k.jobs
            )?;
        }
        for (name, k) in &self.classes {
            let [s50, s90, s100] = k.start_s;
            let [e50, e90, e100] = k.end_s;
            writeln!(
                out,
                "  {name}: {} jobs, {} started; start after {s50:.1}/{s90:.1}/{s100:.1} s, end after {e50:.0}/{e90:.0}/{e100:.0} s (50 %, 90 %, all)",
                k.jobs, k.started
            )?;
        }
        for (team, peak) in &self.peak_usage {
            writeln!(
                out,
                "  most in use by {team}: {} GPUs (limit {}), {} CPUs (limit {})",
                peak.gpus,
                limit_text(peak.gpus_max),
                peak.cpus,
                limit_text(peak.cpus_max)
            )?;
        }
        for (at, what) in &self.faults {
            writeln!(out, "  {at:>8.2} s  {what}")?;
        }
        for what in &self.not_struck {
            writeln!(out, "  never struck: {what}")?;
        }
        for b in &self.broken {
            writeln!(
                out,
                "\nrule broken: {} at {:.2} s, job {}: {}",
                b.breach.rule, b.breach.at_s, b.breach.job, b.breach.what
            )?;
            for line in &b.history {
                writeln!(out, "  {line}")?;
            }
            writeln!(out, "  play it again: {}", self.replay)?;
        }
        Ok(())
    }

    /// One self-contained HTML page with the text and the plots.
    ///
    /// # Errors
    /// A plot could not be drawn; the error text names the plot.
    pub fn html(&self) -> Result<String, String> {
        let classes: Vec<String> = self.classes.keys().cloned().collect();
        let zones: Vec<String> = self
            .samples
            .last()
            .map(|s| s.zones.keys().cloned().collect())
            .unwrap_or_default();
        let series = |names: &[String], value: &dyn Fn(&Sample, &str) -> f64| {
            names
                .iter()
                .map(|n| {
                    (
                        n.clone(),
                        self.samples.iter().map(|s| (s.at_s, value(s, n))).collect(),
                    )
                })
                .collect::<Vec<(String, Vec<(f64, f64)>)>>()
        };
        let waiting = series(&classes, &|s, n| {
            s.classes.get(n).map_or(0.0, |c| f64::from(c.0))
        });
        let running = series(&classes, &|s, n| {
            s.classes.get(n).map_or(0.0, |c| f64::from(c.1))
        });
        let machines = series(&zones, &|s, n| {
            f64::from(s.zones.get(n).copied().unwrap_or(0))
        });
        let starts: Vec<(String, Vec<(f64, f64)>)> = classes
            .iter()
            .map(|c| {
                let class_jobs = self.jobs.iter().filter(|j| j.class == *c);
                let mut points: Vec<(f64, f64)> = class_jobs
                    .filter_map(|j| j.started_s.map(|t| (j.submitted_s, t - j.submitted_s)))
                    .collect();
                points.sort_by(|a, b| a.0.total_cmp(&b.0));
                (c.clone(), points)
            })
            .collect();
        let plots = [
            ("Jobs waiting, by class", waiting),
            ("Jobs running, by class", running),
            ("Machines up, by zone", machines),
            (
                "Seconds from submission to start, by time of submission",
                starts,
            ),
        ];
        let mut figures = String::new();
        for (title, series) in &plots {
            let svg = self
                .plot(title, series)
                .map_err(|e| format!("{title}: {e}"))?;
            figures.push_str(&format!("<figure>{svg}</figure>\n"));
        }
        let text = escape(&self.text());
        let name = escape(&self.name);
        let verdict = if self.passed { "passed" } else { "failed" };
        Ok(format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}: {verdict}</title>\n\
             <style>body{{font:15px/1.4 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em}}\
             pre{{white-space:pre-wrap;background:#f4f4f4;padding:1em}}svg{{max-width:100%;height:auto}}\
             figure{{margin:1.5em 0}}</style></head>\n<body><h1>{name}: {verdict}</h1>\n<pre>{text}</pre>\n{figures}\
             <p>Dashed lines: faults. Figures of {} machines.</p></body></html>\n",
            if self.world == "simulated" {
                "simulated"
            } else {
                "stand-in"
            }
        ))
    }

    fn plot(
        &self,
        title: &str,
        series: &[(String, Vec<(f64, f64)>)],
    ) -> Result<String, Box<dyn std::error::Error>> {
        let mut svg = String::new();
        {
            let root = SVGBackend::with_string(&mut svg, (900, 300)).into_drawing_area();
            let max_value = series
                .iter()
                .flat_map(|(_, points)| points.iter().map(|p| p.1))
                .fold(1.0, f64::max);
            let end = self.length_s.max(1.0);
            let mut chart = ChartBuilder::on(&root)
                .caption(title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..end, 0.0..max_value * 1.05)?;
            chart
                .configure_mesh()
                .x_desc("seconds")
                .disable_x_mesh()
                .draw()?;
            for (at, _) in &self.faults {
                let line = vec![(*at, 0.0), (*at, max_value * 1.05)];
                let style = BLACK.mix(0.35);
                chart.draw_series(DashedLineSeries::new(line, 4, 4, style.into()))?;
            }
            for (i, (name, points)) in series.iter().enumerate() {
                let color = COLORS[i % COLORS.len()];
                chart
                    .draw_series(LineSeries::new(
                        points.iter().copied(),
                        color.stroke_width(2),
                    ))?
                    .label(name)
                    .legend(move |(x, y)| {
                        PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2))
                    });
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            root.present()?;
        }
        Ok(svg)
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
