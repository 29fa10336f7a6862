//! `pebblectl top`: the state of a running cluster as its leader reports it, on the
//! whole terminal, or once as plain text or JSON where there is no terminal.

use crate::args::Top;
use crate::ask;
use crate::output::{Failure, Printer, format_table};
use crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::widgets::{Block, Cell, Paragraph, Row, Table};
use ratatui::{DefaultTerminal, Frame};
use serde_json::Value;
use std::io::IsTerminal;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time between two requests to the cluster.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The lines and table cells to display.
struct View {
    /// Lines above the tables.
    summary: Vec<String>,
    /// One row per zone, with the cells of `ZONE_COLUMNS`.
    zones: Vec<Vec<String>>,
    /// One row per job, with the cells of `JOB_COLUMNS`.
    jobs: Vec<Vec<String>>,
}

/// Headings of the zone table, which are also the names of the fields in `/inspect`.
const ZONE_COLUMNS: [&str; 5] = ["zone", "machines", "usable", "spot", "tasks"];
/// Headings of the job table. "done" is tasks done of all tasks, "placed" and
/// "waiting" count tasks, "wait s" is in seconds.
const JOB_COLUMNS: [&str; 8] = [
    "job", "owner", "class", "done", "placed", "waiting", "wait s", "reason",
];

fn cell_text(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Number(n) if n.is_f64() => format!("{:.0}", n.as_f64().unwrap_or(0.0)),
        other => other.to_string(),
    }
}

fn items(v: &Value) -> impl Iterator<Item = &Value> {
    v.as_array().into_iter().flatten()
}

/// Builds the view from an answer to `/inspect`.
fn view(status: &Value) -> View {
    let leading = &status["leading"];
    let zone = |z: &Value| ZONE_COLUMNS.map(|f| cell_text(&z[f])).to_vec();
    let job = |j: &Value| {
        let done_of_tasks = format!("{}/{}", cell_text(&j["done"]), cell_text(&j["tasks"]));
        let mut row = vec![
            cell_text(&j["job"]),
            cell_text(&j["owner"]),
            cell_text(&j["class"]),
            done_of_tasks,
        ];
        row.extend(["placed", "waiting", "waits_s", "why"].map(|f| cell_text(&j[f])));
        row
    };
    let times = &status["times"];
    let request_times = |name: &str| {
        let t = &times[name];
        format!(
            "{name} {} ({} / {} ms)",
            cell_text(&t["count"]),
            cell_text(&t["ms_50"]),
            cell_text(&t["ms_95"])
        )
    };
    let request_summary = ["report", "submit", "poll", "cancel"]
        .map(request_times)
        .join("   ");
    let totals = &leading["totals"];
    View {
        summary: vec![
            format!(
                "leader {}   token {}   leading for {} s   key-value store {} s ago   {} machines   {} jobs",
                cell_text(&status["leader"]),
                cell_text(&leading["token"]),
                cell_text(&leading["in_office_s"]),
                cell_text(&leading["contact_s_ago"]),
                cell_text(&totals["machines"]),
                cell_text(&totals["jobs"]),
            ),
            format!("requests answered since start (median / 95th percentile): {request_summary}"),
        ],
        zones: items(&leading["zones"]).map(zone).collect(),
        jobs: items(&leading["jobs"]).map(job).collect(),
    }
}

/// Shows a cluster: prints its state once with `--once`, as JSON, or where standard
/// output is no terminal; otherwise refreshes the terminal until a key ends it.
pub async fn top(nodes: &[SocketAddrV4], t: Top, printer: &Printer) -> Result<(), Failure> {
    let terminal = std::io::stdout().is_terminal() && !t.once && !printer.json();
    if !terminal {
        let status = ask::inspect(nodes, "", "").await?;
        if printer.json() {
            return printer.print_value(&status);
        }
        let v = view(&status);
        println!("{}\n", v.summary.join("\n"));
        println!("{}\n", format_table(&ZONE_COLUMNS, &v.zones));
        println!("{}", format_table(&JOB_COLUMNS, &v.jobs));
        return Ok(());
    }
    let mut screen = ratatui::try_init().map_err(Failure::failed)?;
    let outcome = watch(nodes, &mut screen).await;
    ratatui::restore();
    outcome
}

/// Redraws the screen every `REFRESH_INTERVAL` until q, Esc or Ctrl-C is pressed.
async fn watch(nodes: &[SocketAddrV4], screen: &mut DefaultTerminal) -> Result<(), Failure> {
    loop {
        let status = ask::inspect(nodes, "", "").await;
        let drawn = match &status {
            Ok(v) => screen.draw(|f| draw(f, &view(v))),
            Err(e) => {
                let text = format!("{e}\n\nretrying; q quits");
                screen.draw(|f| f.render_widget(Paragraph::new(text), f.area()))
            }
        };
        drawn.map_err(Failure::failed)?;
        let next_refresh = tokio::time::Instant::now() + REFRESH_INTERVAL;
        while tokio::time::Instant::now() < next_refresh {
            tokio::time::sleep(Duration::from_millis(30)).await;
            if event::poll(Duration::ZERO).map_err(Failure::failed)?
                && let Event::Key(key) = event::read().map_err(Failure::failed)?
            {
                let ctrl_c =
                    key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                if ctrl_c || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
                    return Ok(());
                }
            }
        }
    }
}

fn draw(f: &mut Frame<'_>, v: &View) {
    let zones = v.zones.len() as u16 + 3;
    let parts = Layout::vertical([
        Constraint::Length(3),
        Constraint::Length(zones),
        Constraint::Min(3),
    ]);
    let [summary_area, zones_area, jobs_area] = parts.areas(f.area());
    f.render_widget(Paragraph::new(v.summary.join("\n")), summary_area);
    let table = |headings: &[&str], rows: &[Vec<String>], widths: Vec<Constraint>, title: &str| {
        let cells =
            |r: &Vec<String>| Row::new(r.iter().map(|c| Cell::from(c.clone())).collect::<Vec<_>>());
        Table::new(rows.iter().map(cells).collect::<Vec<_>>(), widths)
            .header(Row::new(
                headings
                    .iter()
                    .map(|h| h.to_uppercase())
                    .collect::<Vec<_>>(),
            ))
            .block(Block::bordered().title(title.to_string()))
    };
    let equal_widths = vec![Constraint::Fill(1); ZONE_COLUMNS.len()];
    f.render_widget(
        table(&ZONE_COLUMNS, &v.zones, equal_widths, " machines by zone "),
        zones_area,
    );
    let widths = [14, 12, 14, 9, 7, 8, 6].map(Constraint::Length);
    let widths = widths.into_iter().chain([Constraint::Fill(1)]).collect();
    f.render_widget(
        table(&JOB_COLUMNS, &v.jobs, widths, " jobs (q quits) "),
        jobs_area,
    );
}
