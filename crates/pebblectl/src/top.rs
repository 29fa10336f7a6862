//! A running cluster, as its leader sees it: in the terminal, or as plain text
//! or JSON where there is none.

use crate::args::Top;
use crate::ask;
use crate::output::{Failure, Show, rows};
use crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::widgets::{Block, Cell, Paragraph, Row, Table};
use ratatui::{DefaultTerminal, Frame};
use serde_json::Value;
use std::io::IsTerminal;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time between looks at the cluster.
const EVERY: Duration = Duration::from_secs(1);

/// What is shown.
struct View {
    heads: Vec<String>,
    zones: Vec<Vec<String>>,
    jobs: Vec<Vec<String>>,
}

const ZONE_HEADS: [&str; 5] = ["zone", "machines", "usable", "spot", "tasks"];
const JOB_HEADS: [&str; 8] = [
    "job", "owner", "class", "done", "placed", "waiting", "for s", "why",
];

fn text(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Number(n) if n.is_f64() => format!("{:.0}", n.as_f64().unwrap_or(0.0)),
        other => other.to_string(),
    }
}

fn list(v: &Value) -> impl Iterator<Item = &Value> {
    v.as_array().into_iter().flatten()
}

fn view(seen: &Value) -> View {
    let leading = &seen["leading"];
    let zone = |z: &Value| ZONE_HEADS.map(|f| text(&z[f])).to_vec();
    let job = |j: &Value| {
        let of = format!("{}/{}", text(&j["done"]), text(&j["tasks"]));
        let mut row = vec![text(&j["job"]), text(&j["owner"]), text(&j["class"]), of];
        row.extend(["placed", "waiting", "waits_s", "why"].map(|f| text(&j[f])));
        row
    };
    let times = &seen["times"];
    let rate = |name: &str| {
        let t = &times[name];
        format!(
            "{name} {} ({} / {} ms)",
            text(&t["count"]),
            text(&t["ms_50"]),
            text(&t["ms_95"])
        )
    };
    let ms = ["report", "submit", "poll", "cancel"].map(rate).join("   ");
    let totals = &leading["totals"];
    View {
        heads: vec![
            format!(
                "leader {}   token {}   in office {} s   state service {} s ago   {} machines   {} jobs",
                text(&seen["leader"]),
                text(&leading["token"]),
                text(&leading["in_office_s"]),
                text(&leading["contact_s_ago"]),
                text(&totals["machines"]),
                text(&totals["jobs"]),
            ),
            format!("answered since start (half / 95 %): {ms}"),
        ],
        zones: list(&leading["zones"]).map(zone).collect(),
        jobs: list(&leading["jobs"]).map(job).collect(),
    }
}

/// Shows a cluster.
pub async fn top(nodes: &[SocketAddrV4], t: Top, show: &Show) -> Result<(), Failure> {
    let terminal = std::io::stdout().is_terminal() && !t.once && !show.json();
    if !terminal {
        let seen = ask::inspect(nodes, "", "").await?;
        if show.json() {
            return show.any(&seen);
        }
        let v = view(&seen);
        println!("{}\n", v.heads.join("\n"));
        println!("{}\n", rows(&ZONE_HEADS, &v.zones));
        println!("{}", rows(&JOB_HEADS, &v.jobs));
        return Ok(());
    }
    let mut screen = ratatui::try_init().map_err(Failure::failed)?;
    let shown = watch(nodes, &mut screen).await;
    ratatui::restore();
    shown
}

async fn watch(nodes: &[SocketAddrV4], screen: &mut DefaultTerminal) -> Result<(), Failure> {
    loop {
        let seen = ask::inspect(nodes, "", "").await;
        let drawn = match &seen {
            Ok(v) => screen.draw(|f| draw(f, &view(v))),
            Err(e) => {
                let text = format!("{e}\n\ntrying again; q ends");
                screen.draw(|f| f.render_widget(Paragraph::new(text), f.area()))
            }
        };
        drawn.map_err(Failure::failed)?;
        let until = tokio::time::Instant::now() + EVERY;
        while tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(30)).await;
            if event::poll(Duration::ZERO).map_err(Failure::failed)?
                && let Event::Key(key) = event::read().map_err(Failure::failed)?
            {
                let interrupts =
                    key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                if interrupts || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
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
    let [head, upper, lower] = parts.areas(f.area());
    f.render_widget(Paragraph::new(v.heads.join("\n")), head);
    let table = |heads: &[&str], rows: &[Vec<String>], widths: Vec<Constraint>, title: &str| {
        let cells =
            |r: &Vec<String>| Row::new(r.iter().map(|c| Cell::from(c.clone())).collect::<Vec<_>>());
        Table::new(rows.iter().map(cells).collect::<Vec<_>>(), widths)
            .header(Row::new(
                heads.iter().map(|h| h.to_uppercase()).collect::<Vec<_>>(),
            ))
            .block(Block::bordered().title(title.to_string()))
    };
    let even = vec![Constraint::Fill(1); ZONE_HEADS.len()];
    f.render_widget(
        table(&ZONE_HEADS, &v.zones, even, " machines by zone "),
        upper,
    );
    let widths = [14, 12, 14, 9, 7, 8, 6].map(Constraint::Length);
    let widths = widths.into_iter().chain([Constraint::Fill(1)]).collect();
    f.render_widget(table(&JOB_HEADS, &v.jobs, widths, " jobs (q ends) "), lower);
}
