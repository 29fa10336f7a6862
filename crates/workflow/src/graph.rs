//! A workflow as a picture: its steps and links in the DOT language, and drawn
//! from that as SVG.

use crate::document::{Kind, Process, Step};
use layout::backends::svg::SVGWriter;
use layout::gv::{DotParser, GraphBuilder};
use std::fmt::Write as _;

/// Why there is no picture.
#[derive(Debug, thiserror::Error)]
#[error("the graph cannot be drawn: {0}")]
pub struct DrawError(String);

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn label(s: &Step) -> String {
    let mut text = s.id.clone();
    if !s.scatter.is_empty() {
        let over: Vec<&str> = s.scatter.iter().map(|(n, _)| n.as_str()).collect();
        let _ = write!(text, " over {}", over.join(", "));
    }
    if s.when.is_some() {
        text.push_str(" if");
    }
    text
}

/// The step or input that a source's name leads to.
fn origin(steps: &[Step], prefix: &str, name: &str) -> String {
    let mut parts = name.rsplit('/');
    let last = parts.next().unwrap_or(name);
    match parts.next().filter(|s| steps.iter().any(|t| t.id == **s)) {
        Some(step) => format!("{prefix}{step}"),
        None => format!("{prefix}in {last}"),
    }
}

fn draw(p: &Process, prefix: &str, out: &mut String) {
    let Kind::Workflow(steps) = &p.kind else {
        let name = p.id.as_deref().unwrap_or("run");
        let _ = writeln!(out, "  {} [shape=box];", quoted(&format!("{prefix}{name}")));
        return;
    };
    if prefix.is_empty() {
        for i in &p.inputs {
            let node = quoted(&format!("in {}", i.id));
            let _ = writeln!(out, "  {node} [shape=ellipse, label={}];", quoted(&i.id));
        }
    }
    for s in steps {
        let node = format!("{prefix}{}", s.id);
        let _ = writeln!(
            out,
            "  {} [shape=box, label={}];",
            quoted(&node),
            quoted(&label(s))
        );
        let mut from: Vec<String> = s
            .inputs
            .iter()
            .flat_map(|i| &i.links.sources)
            .map(|(name, _)| origin(steps, prefix, name))
            .collect();
        from.sort();
        from.dedup();
        for f in from {
            let _ = writeln!(out, "  {} -> {};", quoted(&f), quoted(&node));
        }
        if let Some(run) = s
            .run
            .as_ref()
            .filter(|r| matches!(r.kind, Kind::Workflow(_)))
        {
            let inner = format!("{node}/");
            for i in &run.inputs {
                let input = quoted(&format!("{inner}in {}", i.id));
                let _ = writeln!(out, "  {input} [shape=ellipse, label={}];", quoted(&i.id));
                let _ = writeln!(out, "  {} -> {input};", quoted(&node));
            }
            draw(run, &inner, out);
        }
    }
    for o in &p.outputs {
        let node = quoted(&format!("{prefix}out {}", o.id));
        let _ = writeln!(out, "  {node} [shape=ellipse, label={}];", quoted(&o.id));
        for (name, _) in &o.links.sources {
            let _ = writeln!(out, "  {} -> {node};", quoted(&origin(steps, prefix, name)));
        }
    }
}

/// Steps and links in the DOT language: inputs and outputs round, steps in boxes,
/// what runs within a step below it.
pub fn dot(p: &Process) -> String {
    let mut out = String::from("digraph workflow {\n");
    draw(p, "", &mut out);
    out.push_str("}\n");
    out
}

/// The same drawn.
///
/// # Errors
/// The layout fails.
pub fn svg(p: &Process) -> Result<String, DrawError> {
    let mut parser = DotParser::new(&dot(p));
    let graph = parser.process().map_err(DrawError)?;
    let mut builder = GraphBuilder::new();
    builder.visit_graph(&graph);
    let mut graph = builder.get();
    let mut writer = SVGWriter::new();
    graph.do_it(false, false, false, &mut writer);
    Ok(writer.finalize())
}
