//! Settings of this program. The first source that sets a value wins: flag, file of
//! `--config`, environment variable, file in the user's config directory, default.

use crate::args::{Args, OutputFormat};
use crate::output::Failure;
use clap::ValueEnum;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Environment variable that names the cluster.
const CLUSTER_VAR: &str = "PEBBLECTL_CLUSTER";
/// Environment variable that sets the output format.
const OUTPUT_VAR: &str = "PEBBLECTL_OUTPUT";
/// Name of the cluster that `up` starts by default; it needs no settings file.
const LOCAL_CLUSTER_NAME: &str = "local";
/// Ports of that cluster, from 7600 on: the users' address, then two for each
/// controller (users' and internal interface), then the key-value store.
const LOCAL_API: &str = "127.0.0.1:7600";
const LOCAL_INTERNAL: [&str; 3] = ["127.0.0.1:7602", "127.0.0.1:7604", "127.0.0.1:7606"];
const LOCAL_STATE: &str = "127.0.0.1:7607";

/// Contents of a settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    cluster: Option<String>,
    output: Option<OutputFormat>,
    #[serde(default)]
    clusters: BTreeMap<String, Cluster>,
}

/// Addresses of a named cluster.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Users' interfaces, or a proxy in front of them; the first is the one that
    /// workflows use.
    #[serde(default)]
    pub api: Vec<SocketAddrV4>,
    /// Controllers' internal interfaces, which answer `inspect` and `top`.
    #[serde(default)]
    pub internal: Vec<SocketAddrV4>,
    /// The key-value store, where workflows keep their records; only workflows need
    /// it.
    pub state: Option<SocketAddrV4>,
}

/// A setting's value and its source.
#[derive(Clone, Debug)]
pub struct Sourced<T> {
    /// The value.
    pub value: T,
    /// Flag, environment variable or file that set the value, or `default`.
    pub source: String,
}

/// The settings in force, gathered from all sources.
#[derive(Debug)]
pub struct Config {
    /// Name or address of the selected cluster.
    pub cluster: Sourced<String>,
    /// How results are printed.
    pub output: Sourced<OutputFormat>,
    clusters: BTreeMap<String, Sourced<Cluster>>,
}

fn read_settings(path: &Path) -> Result<File, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::Input(format!("{}: {e}", path.display())))?;
    toml::from_str(&text).map_err(|e| Failure::Input(format!("{}: {e}", path.display())))
}

fn user_settings_file() -> Option<PathBuf> {
    let dirs = directories::ProjectDirs::from("", "", "pebblefold")?;
    let path = dirs.config_dir().join("pebblectl.toml");
    path.exists().then_some(path)
}

/// Attaches the name of its source to a value.
fn with_source<T>(source: &str) -> impl FnOnce(T) -> Sourced<T> {
    let source = source.to_string();
    move |value| Sourced { value, source }
}

fn first_given<T>(from: [Option<Sourced<T>>; 4], default: T) -> Sourced<T> {
    from.into_iter().flatten().next().unwrap_or(Sourced {
        value: default,
        source: "default".into(),
    })
}

impl Config {
    /// Gathers the settings from all sources; a cluster of the `--config` file
    /// replaces the user's cluster of the same name.
    ///
    /// # Errors
    /// A file or variable is invalid; the text names it, and a file's line and field.
    pub fn gather(args: &Args) -> Result<Config, Failure> {
        let given_path = args.config.as_deref();
        let given = given_path.map(read_settings).transpose()?;
        let user_path = user_settings_file();
        let user = user_path.as_deref().map(read_settings).transpose()?;
        let path_text = |p: Option<&Path>| p.map_or(String::new(), |p| p.display().to_string());
        let (given_name, user_name) = (path_text(given_path), path_text(user_path.as_deref()));
        let env = |var: &str| std::env::var(var).ok();
        let output_env = match env(OUTPUT_VAR) {
            Some(text) => Some(OutputFormat::from_str(&text, true).map_err(|_| {
                Failure::Input(format!("{OUTPUT_VAR}: {text}: expected table or json"))
            })?),
            None => None,
        };
        let mut clusters: BTreeMap<String, Sourced<Cluster>> = BTreeMap::new();
        let addr = |a: &str| a.parse().ok();
        let local = Cluster {
            api: addr(LOCAL_API).into_iter().collect(),
            internal: LOCAL_INTERNAL.iter().filter_map(|a| addr(a)).collect(),
            state: addr(LOCAL_STATE),
        };
        clusters.insert(LOCAL_CLUSTER_NAME.into(), with_source("default")(local));
        for (file, source) in [(&user, &user_name), (&given, &given_name)] {
            for (name, c) in file.iter().flat_map(|f| &f.clusters) {
                let sourced = Sourced {
                    value: c.clone(),
                    source: source.clone(),
                };
                clusters.insert(name.clone(), sourced);
            }
        }
        let cluster_of = |f: &Option<File>, source: &str| {
            let c = f.as_ref().and_then(|f| f.cluster.clone());
            c.map(with_source(source))
        };
        let output_of = |f: &Option<File>, source: &str| {
            let o = f.as_ref().and_then(|f| f.output);
            let source = source.to_string();
            o.map(|value| Sourced { value, source })
        };
        Ok(Config {
            cluster: first_given(
                [
                    args.cluster.clone().map(with_source("--cluster")),
                    cluster_of(&given, &given_name),
                    env(CLUSTER_VAR).map(with_source(CLUSTER_VAR)),
                    cluster_of(&user, &user_name),
                ],
                LOCAL_CLUSTER_NAME.into(),
            ),
            output: first_given(
                [
                    args.output.map(|value| Sourced {
                        value,
                        source: "--output".into(),
                    }),
                    output_of(&given, &given_name),
                    output_env.map(|value| Sourced {
                        value,
                        source: OUTPUT_VAR.into(),
                    }),
                    output_of(&user, &user_name),
                ],
                OutputFormat::Table,
            ),
            clusters,
        })
    }

    fn selected_cluster(&self) -> Result<Cluster, Failure> {
        let name = &self.cluster.value;
        if let Some(c) = self.clusters.get(name) {
            return Ok(c.value.clone());
        }
        if let Ok(addr) = name.parse() {
            return Ok(Cluster {
                api: vec![addr],
                internal: vec![addr],
                state: None,
            });
        }
        let known: Vec<&str> = self.clusters.keys().map(String::as_str).collect();
        Err(Failure::Input(format!(
            "cluster {name} (from {}): neither an address nor one of {}; add it to the settings file under [clusters.{name}]",
            self.cluster.source,
            known.join(", ")
        )))
    }

    /// Users' interfaces of the selected cluster.
    pub fn api(&self) -> Result<Vec<SocketAddrV4>, Failure> {
        Ok(self.selected_cluster()?.api)
    }

    /// Internal interfaces of the selected cluster.
    pub fn internal(&self) -> Result<Vec<SocketAddrV4>, Failure> {
        Ok(self.selected_cluster()?.internal)
    }

    /// First of the users' interfaces of the selected cluster.
    pub fn front(&self) -> Result<SocketAddrV4, Failure> {
        let first_api = self.selected_cluster()?.api.into_iter().next();
        first_api.ok_or_else(|| self.missing_field("api"))
    }

    /// The key-value store of the selected cluster.
    pub fn state(&self) -> Result<SocketAddrV4, Failure> {
        self.selected_cluster()?
            .state
            .ok_or_else(|| self.missing_field("state"))
    }

    fn missing_field(&self, field: &str) -> Failure {
        let name = &self.cluster.value;
        Failure::Input(format!(
            "clusters.{name}.{field}: missing; pebblectl config show prints the settings"
        ))
    }

    /// Every setting with its value and source, as `config show` prints them.
    pub fn listing(&self) -> Vec<Value> {
        let entry = |name: &str, value: Value, source: &str| json!({"name": name, "value": value, "from": source});
        let mut entries = vec![
            entry("cluster", json!(self.cluster.value), &self.cluster.source),
            entry("output", json!(self.output.value), &self.output.source),
        ];
        for (name, c) in &self.clusters {
            entries.push(entry(
                &format!("clusters.{name}.api"),
                json!(c.value.api),
                &c.source,
            ));
            entries.push(entry(
                &format!("clusters.{name}.state"),
                json!(c.value.state),
                &c.source,
            ));
            entries.push(entry(
                &format!("clusters.{name}.internal"),
                json!(c.value.internal),
                &c.source,
            ));
        }
        entries
    }
}
