//! `pebblectl rehearse`: runs a rehearsal script, in simulated time or with real
//! controllers on loopback, and checks the outcome.

use crate::args::Rehearse;
use crate::output::{Failure, Printer, pretty};
use indicatif::{ProgressBar, ProgressStyle};
use pebblefold_simulator::loopback::{Loopback, Options};
use pebblefold_simulator::report::Verdict;
use pebblefold_simulator::script::Script;
use pebblefold_simulator::simulated;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Reads a rehearsal script; the failure lists every error in the script, line by
/// line.
pub fn load(file: &Path) -> Result<Script, Failure> {
    Script::load(file).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Failure::Input(lines.join("\n"))
    })
}

/// A progress bar on a terminal; prints nothing elsewhere.
fn progress_bar(steps: u64, unit: &str) -> ProgressBar {
    let bar = ProgressBar::new(steps);
    let style = ProgressStyle::with_template("{prefix} [{bar:30}] {pos}/{len} {msg}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_prefix(unit.to_string());
    bar
}

/// Runs a script, once or for several seeds, and prints a verdict for each run.
///
/// # Errors
/// A run broke a rule, or the script is invalid.
pub async fn rehearse(r: Rehearse, printer: &Printer) -> Result<(), Failure> {
    let script = load(&r.file)?;
    let seed = r.seed.unwrap_or(script.seed);
    let verdicts = if r.simulated {
        let bar = progress_bar(r.seeds, "seeds");
        let mut simulated_verdicts = Vec::new();
        for seed in seed..seed + r.seeds {
            let mut v = simulated::rehearse(script.clone(), seed).map_err(Failure::input)?;
            v.replay = format!(
                "pebblectl rehearse --simulated --seed {seed} {}",
                r.file.display()
            );
            bar.inc(1);
            simulated_verdicts.push(v);
        }
        bar.finish_and_clear();
        simulated_verdicts
    } else {
        vec![on_loopback(&r, script, seed).await?]
    };
    if printer.json() {
        println!("{}", pretty(&verdicts));
    } else {
        for v in &verdicts {
            print!("{}", v.text());
        }
    }
    if let (Some(path), Some(last)) = (&r.html, verdicts.last()) {
        let page = last.html().map_err(Failure::failed)?;
        std::fs::write(path, page)
            .map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))?;
    }
    let broken = verdicts.iter().filter(|v| !v.passed).count();
    if broken > 0 {
        return Err(Failure::Rule(format!(
            "{broken} of {} rehearsals broke a rule",
            verdicts.len()
        )));
    }
    Ok(())
}

/// Runs a script in real time with controller processes on loopback.
async fn on_loopback(r: &Rehearse, script: Script, seed: u64) -> Result<Verdict, Failure> {
    let temporary_dir =
        std::env::temp_dir().join(format!("pebblectl-rehearse-{}", std::process::id()));
    let dir = r.dir.clone().unwrap_or_else(|| temporary_dir.clone());
    let length = script.length_s as u64;
    let builds: BTreeMap<String, PathBuf> = r.builds.iter().cloned().collect();
    let build_names = script.builds.iter().map(|b| &b.name);
    if let Some(name) = build_names.into_iter().find(|n| !builds.contains_key(*n)) {
        return Err(Failure::Input(format!(
            "{}: build {name}: give its controller program with --build {name}=PROGRAM",
            r.file.display()
        )));
    }
    let options = Options {
        program: controller_program()?,
        builds,
        dir: dir.clone(),
        port: None,
        log_level: std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
    };
    let cluster = Loopback::start(script, seed, options).await?;
    let bar = progress_bar(length, "seconds");
    let mut verdict = cluster
        .rehearse(|stand, t| {
            bar.set_position(t as u64);
            let (accepted, done, cancelled, _) = stand.checker().counts();
            let broken = stand.checker().breaches().len();
            bar.set_message(format!(
                "{accepted} accepted, {done} done, {cancelled} cancelled, {broken} rules broken"
            ));
        })
        .await;
    bar.finish_and_clear();
    verdict.replay = format!(
        "pebblectl rehearse --seed {seed} --dir kept {}",
        r.file.display()
    );
    if r.dir.is_none() {
        std::fs::remove_dir_all(&dir)
            .map_err(|e| Failure::Failed(format!("{}: {e}", dir.display())))?;
    }
    Ok(verdict)
}

/// The program that serves as a controller, and the arguments before its settings
/// file: `pebblefold` from the directory of this program or, where it does not exist,
/// this program.
pub fn controller_program() -> Result<(PathBuf, Vec<String>), Failure> {
    let this_program = std::env::current_exe().map_err(Failure::failed)?;
    let daemon = this_program.with_file_name("pebblefold");
    if daemon.exists() {
        return Ok((daemon, vec!["--config".into()]));
    }
    Ok((this_program, vec!["controller".into()]))
}
