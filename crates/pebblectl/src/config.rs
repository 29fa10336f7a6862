//! Settings of this program: a flag, then the file of `--config`, then the
//! environment, then the file in the user's config directory, then defaults.

use crate::args::{Args, Form};
use crate::output::Failure;
use clap::ValueEnum;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Environment variables.
const CLUSTER: &str = "PEBBLECTL_CLUSTER";
const OUTPUT: &str = "PEBBLECTL_OUTPUT";
/// The cluster that `up` starts unless told otherwise.
const LOCAL: &str = "local";
/// Ports of that cluster: users' front door, then two for each controller, then
/// the state service.
const LOCAL_API: &str = "127.0.0.1:7600";
const LOCAL_INTERNAL: [&str; 3] = ["127.0.0.1:7602", "127.0.0.1:7604", "127.0.0.1:7606"];
const LOCAL_STATE: &str = "127.0.0.1:7607";

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    cluster: Option<String>,
    output: Option<Form>,
    #[serde(default)]
    clusters: BTreeMap<String, Cluster>,
}

/// A named cluster.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Users' interfaces.
    #[serde(default)]
    pub api: Vec<SocketAddrV4>,
    /// Internal interfaces.
    #[serde(default)]
    pub internal: Vec<SocketAddrV4>,
    /// The state service, where workflows keep their records.
    pub state: Option<SocketAddrV4>,
}

/// A value and where it comes from.
#[derive(Clone, Debug)]
pub struct From<T> {
    /// The value.
    pub value: T,
    /// Where it comes from.
    pub source: String,
}

/// Everything gathered.
#[derive(Debug)]
pub struct Config {
    /// The cluster's name or address.
    pub cluster: From<String>,
    /// How answers are printed.
    pub output: From<Form>,
    clusters: BTreeMap<String, From<Cluster>>,
}

fn read(path: &Path) -> Result<File, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::Input(format!("{}: {e}", path.display())))?;
    toml::from_str(&text).map_err(|e| Failure::Input(format!("{}: {e}", path.display())))
}

fn users_file() -> Option<PathBuf> {
    let dirs = directories::ProjectDirs::from("", "", "pebblefold")?;
    let path = dirs.config_dir().join("pebblectl.toml");
    path.exists().then_some(path)
}

/// Puts a source's name to a value.
fn named_by<T>(source: &str) -> impl FnOnce(T) -> From<T> {
    let source = source.to_string();
    move |value| From { value, source }
}

fn first<T>(from: [Option<From<T>>; 4], default: T) -> From<T> {
    from.into_iter().flatten().next().unwrap_or(From {
        value: default,
        source: "default".into(),
    })
}

impl Config {
    /// Gathers the settings.
    ///
    /// # Errors
    /// A file or variable cannot be used; the text names it, its line and field.
    pub fn gather(args: &Args) -> Result<Config, Failure> {
        let named = args.config.as_deref();
        let given = named.map(read).transpose()?;
        let users = users_file();
        let user = users.as_deref().map(read).transpose()?;
        let name = |p: Option<&Path>| p.map_or(String::new(), |p| p.display().to_string());
        let (given_name, user_name) = (name(named), name(users.as_deref()));
        let env = |var: &str| std::env::var(var).ok();
        let output_env = match env(OUTPUT) {
            Some(text) => Some(
                Form::from_str(&text, true)
                    .map_err(|_| Failure::Input(format!("{OUTPUT}: {text}: table or json")))?,
            ),
            None => None,
        };
        let mut clusters: BTreeMap<String, From<Cluster>> = BTreeMap::new();
        let addr = |a: &str| a.parse().ok();
        let local = Cluster {
            api: addr(LOCAL_API).into_iter().collect(),
            internal: LOCAL_INTERNAL.iter().filter_map(|a| addr(a)).collect(),
            state: addr(LOCAL_STATE),
        };
        clusters.insert(LOCAL.into(), named_by("default")(local));
        for (file, source) in [(&user, &user_name), (&given, &given_name)] {
            for (name, c) in file.iter().flat_map(|f| &f.clusters) {
                let one = From {
                    value: c.clone(),
                    source: source.clone(),
                };
                clusters.insert(name.clone(), one);
            }
        }
        let file = |f: &Option<File>, source: &str| {
            let c = f.as_ref().and_then(|f| f.cluster.clone());
            c.map(named_by(source))
        };
        let form = |f: &Option<File>, source: &str| {
            let o = f.as_ref().and_then(|f| f.output);
            let source = source.to_string();
            o.map(|value| From { value, source })
        };
        Ok(Config {
            cluster: first(
                [
                    args.cluster.clone().map(named_by("--cluster")),
                    file(&given, &given_name),
                    env(CLUSTER).map(named_by(CLUSTER)),
                    file(&user, &user_name),
                ],
                LOCAL.into(),
            ),
            output: first(
                [
                    args.output.map(|value| From {
                        value,
                        source: "--output".into(),
                    }),
                    form(&given, &given_name),
                    output_env.map(|value| From {
                        value,
                        source: OUTPUT.into(),
                    }),
                    form(&user, &user_name),
                ],
                Form::Table,
            ),
            clusters,
        })
    }

    fn chosen(&self) -> Result<Cluster, Failure> {
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
            "cluster {name} (from {}): neither an address nor one of {}; add it under [clusters.{name}]",
            self.cluster.source,
            known.join(", ")
        )))
    }

    /// Users' interfaces of the chosen cluster.
    pub fn api(&self) -> Result<Vec<SocketAddrV4>, Failure> {
        Ok(self.chosen()?.api)
    }

    /// Internal interfaces of the chosen cluster.
    pub fn internal(&self) -> Result<Vec<SocketAddrV4>, Failure> {
        Ok(self.chosen()?.internal)
    }

    /// Where users reach the chosen cluster.
    pub fn front(&self) -> Result<SocketAddrV4, Failure> {
        let first = self.chosen()?.api.into_iter().next();
        first.ok_or_else(|| self.missing("api"))
    }

    /// The state service of the chosen cluster.
    pub fn state(&self) -> Result<SocketAddrV4, Failure> {
        self.chosen()?.state.ok_or_else(|| self.missing("state"))
    }

    fn missing(&self, field: &str) -> Failure {
        let name = &self.cluster.value;
        Failure::Input(format!("clusters.{name}.{field}: missing; see config show"))
    }

    /// Every value and where it comes from.
    pub fn shown(&self) -> Vec<Value> {
        let one = |name: &str, value: Value, source: &str| json!({"name": name, "value": value, "from": source});
        let mut out = vec![
            one("cluster", json!(self.cluster.value), &self.cluster.source),
            one("output", json!(self.output.value), &self.output.source),
        ];
        for (name, c) in &self.clusters {
            out.push(one(
                &format!("clusters.{name}.api"),
                json!(c.value.api),
                &c.source,
            ));
            out.push(one(
                &format!("clusters.{name}.state"),
                json!(c.value.state),
                &c.source,
            ));
            out.push(one(
                &format!("clusters.{name}.internal"),
                json!(c.value.internal),
                &c.source,
            ));
        }
        out
    }
}
