//! Rehearsals on loopback: controllers are real processes, and everything
//! around them is this one. Every message passes our sockets, so links can hold
//! it back, lose it or reset its connection; between controllers it passes a
//! proxy for each pair.

use crate::checker::{HistoryEvent, RequestKind};
use crate::cloud::Addresses;
use crate::commands::{Commands, Place};
use crate::layout::{Layout, settings, settings_json};
use crate::links::{Fate, Host};
use crate::report::Verdict;
use crate::script::Script;
use crate::stand::{NodeAction, Out, Returned, Stand, Store};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pebblefold_controller::settings::SettingsError;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::command::CommandSpec;
use pebblefold_controller::wire::users::{JobStatus, Submission, is_valid_job_id};
use pebblefold_controller::wire::{decode, encode};
use pebblefold_kvstore::StorageError;
use pebblefold_net::{Client, SentFlag, answer_connections};
use pebblefold_wire::http::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Time between steps of the stand-ins.
const STEP: Duration = Duration::from_millis(20);
/// How long a lost request is kept hanging, at most.
const HANGS: Duration = Duration::from_secs(60);
/// How long the front door waits for a controller.
const FRONT: Duration = Duration::from_secs(6);
/// Idle connections to a controller: one for each machine that reports to it.
const CONNECTIONS: usize = 4096;
/// The port of every machine.
const MACHINE_PORT: u16 = 9000;
/// How long a controller's answer to a peer may take.
const PEER: Duration = Duration::from_secs(8);

/// Why a cluster on loopback cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum LoopbackError {
    /// The cluster's settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The state service's store cannot be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// There are no such ports.
    #[error("port {first}: {wanted} ports in a row are wanted, and the last is 65535")]
    Ports {
        /// The first.
        first: u16,
        /// How many.
        wanted: u16,
    },
    /// A file, socket or process.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
}

fn io(what: impl std::fmt::Display) -> impl FnOnce(std::io::Error) -> LoopbackError {
    let what = what.to_string();
    |e| LoopbackError::Io(what, e)
}

/// How a cluster is set up on loopback.
#[derive(Clone, Debug)]
pub struct Options {
    /// The controllers' program and the arguments before the settings file.
    pub program: (PathBuf, Vec<String>),
    /// The daemons of other builds that the script names.
    pub builds: BTreeMap<String, PathBuf>,
    /// Where settings, logs and the state service's store are kept.
    pub dir: PathBuf,
    /// First of the ports that are used: front door, then two a controller;
    /// `None`: any that are free.
    pub port: Option<u16>,
    /// `LOG_LEVEL` of the controllers.
    pub log_level: String,
}

struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    /// The build that it is started from next; none: this one.
    build: Option<usize>,
    /// Whether it was asked to end.
    ending: bool,
}

struct Inner {
    stand: RefCell<Stand>,
    client: Client,
    started: Instant,
    layout: Layout,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Returned>>>,
    next_call: Cell<u64>,
    nodes: RefCell<Vec<Process>>,
    machines: RefCell<BTreeMap<String, JoinHandle<()>>>,
    /// Changes of the machines that the listeners follow.
    listened: Cell<u64>,
    /// The number of the next machine, as it is kept.
    kept_machine: Cell<u32>,
    options: Options,
    /// Jobs that came in by the front door.
    uploaded: RefCell<BTreeSet<String>>,
    /// Commands that tasks run for real.
    commands: RefCell<Commands>,
}

/// A cluster on loopback.
pub struct Loopback {
    inner: Rc<Inner>,
    /// Where users reach it.
    pub front: SocketAddrV4,
    /// Where others than controllers reach the state service.
    pub records: SocketAddrV4,
    /// The controllers' ports, kept for as long as they may be started again.
    _reserved: Vec<TcpSocket>,
    /// Says that the machines' addresses are taken.
    _sign: TcpListener,
}

async fn listen(port: Option<u16>) -> Result<(TcpListener, SocketAddrV4), LoopbackError> {
    let wanted = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port.unwrap_or(0));
    let listener = TcpListener::bind(wanted).await.map_err(io(wanted))?;
    match listener.local_addr().map_err(io(wanted))? {
        SocketAddr::V4(addr) => Ok((listener, addr)),
        SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

/// Keeps a port for a controller: bound, and never listened on, so that the
/// controller alone can open it, as often as it is started, and nobody else is
/// given it meanwhile.
fn reserve(port: Option<u16>) -> Result<(TcpSocket, SocketAddrV4), LoopbackError> {
    let wanted = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port.unwrap_or(0));
    let socket = TcpSocket::new_v4().map_err(io(wanted))?;
    socket.set_reuseaddr(true).map_err(io(wanted))?;
    socket.bind(wanted.into()).map_err(io(wanted))?;
    match socket.local_addr().map_err(io(wanted))? {
        SocketAddr::V4(addr) => Ok((socket, addr)),
        SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

/// The second byte of the machines' addresses, and the listener that says that
/// they are taken: rehearsals side by side must not share machines' addresses.
async fn machines_place(port: u16) -> Result<(u8, TcpListener), LoopbackError> {
    let mut last = None;
    for i in 0..250u16 {
        let place = 1 + ((port % 250 + i) % 250) as u8;
        let sign = SocketAddrV4::new(Ipv4Addr::new(127, place, 255, 254), MACHINE_PORT);
        match TcpListener::bind(sign).await {
            Ok(listener) => return Ok((place, listener)),
            Err(e) => last = Some(LoopbackError::Io(sign.to_string(), e)),
        }
    }
    Err(last.unwrap_or(LoopbackError::Io(
        "no place for machines".into(),
        std::io::ErrorKind::AddrInUse.into(),
    )))
}

impl Inner {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64 + 1)
    }

    /// Lets a message travel; false if it never arrives.
    async fn travel(&self, from: &Host, to: &Host) -> Result<(), Fate> {
        let fate = self.stand.borrow_mut().fate(self.now(), from, to);
        match fate {
            Fate::After(TimeSpan(0)) => Ok(()),
            Fate::After(d) => {
                sleep(Duration::from_micros(d.0)).await;
                Ok(())
            }
            other => Err(other),
        }
    }

    /// What the other side of a message that never arrives sees.
    async fn nothing(fate: Fate) -> Option<Response> {
        if fate == Fate::Lost {
            sleep(HANGS).await;
        }
        None
    }

    /// A controller's call to a stand-in.
    async fn called(self: Rc<Self>, node: usize, target: Host, r: Request) -> Option<Response> {
        let from = Host::Node(node);
        if let Err(fate) = self.travel(&from, &target).await {
            return Inner::nothing(fate).await;
        }
        let call = self.next_call.get() + 1;
        self.next_call.set(call);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(call, tx);
        self.stand
            .borrow_mut()
            .call(self.now(), node, &target, call, r);
        Inner::drain(&self);
        let returned = rx.await.ok()?;
        if let Err(fate) = self.travel(&target, &from).await {
            return Inner::nothing(fate).await;
        }
        match returned {
            Returned::Answer(status, body) => Some(Response {
                status,
                retry_after: None,
                body,
                close: false,
            }),
            Returned::Silence | Returned::Refused => None,
        }
    }

    /// What one controller sends to another.
    async fn proxied(self: Rc<Self>, from: usize, to: usize, r: Request) -> Option<Response> {
        let (a, b) = (Host::Node(from), Host::Node(to));
        if let Err(fate) = self.travel(&a, &b).await {
            return Inner::nothing(fate).await;
        }
        let addr = self.layout.internal[to].parse().ok()?;
        let path = full_path(&r);
        let sent = SentFlag::default();
        let asked = self.client.exchange(addr, &r.method, &path, &r.body, &sent);
        let response = timeout(PEER, asked).await.ok()?.ok()?;
        if let Err(fate) = self.travel(&b, &a).await {
            return Inner::nothing(fate).await;
        }
        Some(response)
    }

    /// A request of the stand-ins to a controller.
    async fn send(self: Rc<Self>, out: Out) {
        let Out::Send {
            ticket,
            from,
            node,
            method,
            path,
            body,
            patience,
        } = out
        else {
            return;
        };
        let to = Host::Node(node);
        match self.travel(&from, &to).await {
            Ok(()) => {}
            Err(Fate::Reset) => return self.stand.borrow_mut().refused(self.now(), ticket),
            Err(_) => return,
        }
        let Ok(addr) = self.layout.api[node].parse() else {
            return;
        };
        let sent = SentFlag::default();
        let asked = self.client.exchange(addr, method, &path, &body, &sent);
        match timeout(Duration::from_micros(patience.0), asked).await {
            Ok(Ok(r)) => match self.travel(&to, &from).await {
                Ok(()) => {
                    let now = self.now();
                    let mut stand = self.stand.borrow_mut();
                    stand.answered(now, ticket, r.status, r.retry_after, &r.body);
                }
                Err(Fate::Reset) => self.stand.borrow_mut().refused(self.now(), ticket),
                Err(_) => {}
            },
            Ok(Err(_)) => self.stand.borrow_mut().refused(self.now(), ticket),
            Err(_) => {}
        }
        Inner::drain(&self);
    }

    /// Does what the stand-ins want done.
    fn drain(self: &Rc<Self>) {
        let outs = self.stand.borrow_mut().take_out();
        for out in outs {
            match out {
                Out::Send { .. } => {
                    spawn_local(Rc::clone(self).send(out));
                }
                Out::Return { call, returned, .. } => {
                    if let Some(tx) = self.waiting.borrow_mut().remove(&call) {
                        // The controller may have given the call up.
                        let _ = tx.send(returned);
                    }
                }
                Out::Node(action) => {
                    if let Err(e) = self.act(action) {
                        tracing::error!(error = %e, ?action, "cannot act on a controller");
                    }
                }
            }
        }
    }

    fn act(&self, action: NodeAction) -> Result<(), LoopbackError> {
        let mut nodes = self.nodes.borrow_mut();
        match action {
            NodeAction::Kill(n) => {
                if let Some(mut child) = nodes[n].child.take() {
                    child.start_kill().map_err(io("kill"))?;
                    // It is reaped in the background.
                    spawn_local(async move {
                        let _ = child.wait().await;
                    });
                }
            }
            NodeAction::Install(n, build) => nodes[n].build = build,
            NodeAction::End(n) => {
                let id = nodes[n].child.as_ref().and_then(Child::id);
                if let Some(id) = id {
                    nodes[n].ending = true;
                    kill(Pid::from_raw(id as i32), Signal::SIGTERM)
                        .map_err(|e| LoopbackError::Io("signal".into(), e.into()))?;
                }
            }
            NodeAction::Start(n) if nodes[n].ending && nodes[n].child.is_some() => {
                drop(nodes);
                self.act(NodeAction::Kill(n))?;
                self.nodes.borrow_mut()[n].ending = false;
                return self.act(NodeAction::Start(n));
            }
            NodeAction::Start(n) if nodes[n].child.is_none() => {
                let log = File::options()
                    .create(true)
                    .append(true)
                    .open(&nodes[n].log)
                    .map_err(io(nodes[n].log.display()))?;
                let (program, arguments) = self.program(nodes[n].build);
                nodes[n].ending = false;
                let child = Command::new(&program)
                    .args(arguments)
                    .arg(&nodes[n].settings)
                    .env("LOG_LEVEL", &self.options.log_level)
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .kill_on_drop(true)
                    .spawn()
                    .map_err(io(program.display()))?;
                if let Some(id) = child.id() {
                    let name = format!("node-{n}.pid");
                    keep(&self.options.dir, &name, id.to_string().as_bytes()).map_err(io(name))?;
                }
                nodes[n].child = Some(child);
            }
            NodeAction::Start(_) => {}
            // Real processes have a processor that cannot be taken from them.
            NodeAction::Busy(..) => tracing::warn!("busy is only played in simulated time"),
            NodeAction::Pause(n) | NodeAction::Continue(n) => {
                let signal = match action {
                    NodeAction::Pause(_) => Signal::SIGSTOP,
                    _ => Signal::SIGCONT,
                };
                let id = nodes[n].child.as_ref().and_then(Child::id);
                if let Some(id) = id {
                    kill(Pid::from_raw(id as i32), signal)
                        .map_err(|e| LoopbackError::Io("signal".into(), e.into()))?;
                }
            }
        }
        Ok(())
    }

    /// The program of a build, and its arguments before the settings file.
    fn program(&self, build: Option<usize>) -> (PathBuf, Vec<String>) {
        let stand = self.stand.borrow();
        let name = build.map(|n| &stand.script().builds[n].name);
        match name.and_then(|n| self.options.builds.get(n)) {
            Some(daemon) => (daemon.clone(), vec!["--config".into()]),
            None => self.options.program.clone(),
        }
    }

    /// Notes controllers that ended without being killed by us.
    fn look_after_nodes(&self) {
        let mut ended = Vec::new();
        for (n, process) in self.nodes.borrow_mut().iter_mut().enumerate() {
            let status = process.child.as_mut().map(Child::try_wait);
            if let Some(Ok(Some(status))) = status {
                process.child = None;
                if process.ending {
                    continue;
                }
                let log = process.log.display();
                ended.push(format!(
                    "controller {n} ended by itself ({status}); its log is {log}"
                ));
            }
        }
        for what in ended {
            tracing::error!("{what}");
            self.stand.borrow_mut().ended(self.now(), what);
        }
    }

    /// Opens a listener for each machine that is up, and closes those of
    /// machines that are gone.
    fn listen_for_machines(self: &Rc<Self>) {
        let changes = self.stand.borrow().fleet().changes();
        if self.listened.replace(changes) == changes {
            return;
        }
        let up: BTreeMap<String, String> = {
            let stand = self.stand.borrow();
            let workers = stand.fleet().workers().iter();
            workers
                .map(|(m, w)| (m.clone(), w.machine.addr.clone()))
                .collect()
        };
        let mut machines = self.machines.borrow_mut();
        machines.retain(|m, task| {
            let there = up.contains_key(m);
            if !there {
                task.abort();
            }
            there
        });
        for (m, addr) in up {
            if machines.contains_key(&m) {
                continue;
            }
            let inner = Rc::clone(self);
            let name = m.clone();
            let task = spawn_local(async move {
                let Ok(listener) = TcpListener::bind(&addr).await else {
                    tracing::error!(machine = %name, %addr, "cannot listen");
                    return;
                };
                let serve = move |r| {
                    let inner = Rc::clone(&inner);
                    let target = Host::Machine(name.clone());
                    async move {
                        // Only the leader gives commands.
                        let node = inner.stand.borrow().leader().unwrap_or(0);
                        inner.called(node, target, r).await
                    }
                };
                answer_connections(listener, serve).await;
            });
            machines.insert(m, task);
        }
    }

    /// Users outside the stand-ins: passed on to a controller that answers, and
    /// what they submit is uploaded for the workers.
    async fn front_door(self: Rc<Self>, r: Request) -> Option<Response> {
        if let Some(job) = r.path.strip_prefix("/descriptions/") {
            return Some(self.described(job, &r));
        }
        let submits = r.method == "POST" && r.path == "/submissions";
        let spec = submits.then(|| decode::<Submission>(&r.body)).flatten();
        if let Some(spec) = &spec
            && spec.first_invalid_field().is_none()
        {
            self.upload(spec);
        }
        let now = self.now();
        let what = match (r.method.as_str(), r.path.ends_with("/cancel")) {
            ("GET", _) => RequestKind::Poll,
            (_, true) => RequestKind::Cancel,
            _ => RequestKind::Submit,
        };
        let named = r.path.split('/').nth(2).map(String::from);
        let job = spec.map(|s| s.id.to_string()).or(named);
        let job = job.filter(|j| self.uploaded.borrow().contains(j));
        if let Some(job) = &job {
            let job = job.clone();
            self.stand
                .borrow_mut()
                .overheard(now, HistoryEvent::RequestSent { job, what });
        }
        let path = full_path(&r);
        let mut last = None;
        for (i, addr) in self.layout.api.iter().enumerate() {
            let node = Host::Node(i);
            let Ok(addr) = addr.parse() else { continue };
            if self.travel(&Host::Users, &node).await.is_err() {
                continue;
            }
            let sent = SentFlag::default();
            let asked = self.client.exchange(addr, &r.method, &path, &r.body, &sent);
            match timeout(FRONT, asked).await {
                Ok(Ok(a)) if a.status < 500 => {
                    last = Some(a);
                    break;
                }
                Ok(Ok(a)) => last = Some(a),
                // It may have been executed: asking another node is the user's
                // own decision, except where nothing is changed.
                _ if sent.may_have_arrived() && r.method != "GET" => break,
                _ => {}
            }
        }
        let response = last.unwrap_or(Response {
            status: 503,
            retry_after: Some(1),
            body: Vec::new(),
            close: false,
        });
        if let Some(job) = job {
            let stage = decode::<JobStatus>(&response.body).map(|a| a.stage);
            let told = HistoryEvent::RequestOutcome {
                job,
                what,
                asked: now,
                status: Some(response.status),
                stage: stage.filter(|_| response.status < 300),
            };
            self.stand.borrow_mut().overheard(self.now(), told);
        }
        Some(response)
    }

    /// A command is uploaded, before its job is submitted.
    fn described(&self, job: &str, r: &Request) -> Response {
        let answer = |status| Response {
            status,
            retry_after: None,
            body: Vec::new(),
            close: false,
        };
        let Some(d) = decode::<CommandSpec>(&r.body).filter(|_| r.method == "POST") else {
            return answer(400);
        };
        if !is_valid_job_id(job) || d.argv.is_empty() || !Path::new(&d.dir).is_absolute() {
            return answer(422);
        }
        match keep(&self.options.dir.join("commands"), job, &r.body) {
            Ok(()) => {
                self.commands.borrow_mut().describe(job.into(), d);
                answer(201)
            }
            Err(e) => {
                tracing::error!(job, error = %e, "its command is not kept");
                answer(503)
            }
        }
    }

    /// Starts and ends commands as their tasks do.
    fn run_commands(&self) {
        let mut commands = self.commands.borrow_mut();
        let should: Vec<Place> = {
            let stand = self.stand.borrow();
            let running = stand.fleet().running();
            running
                .filter(|(_, job, _)| commands.knows(job))
                .map(|(machine, job, attempt)| Place {
                    machine: machine.into(),
                    job: job.into(),
                    attempt,
                })
                .collect()
        };
        for job in commands.step(&should) {
            self.stand.borrow_mut().complete(&job);
        }
    }

    fn upload(&self, spec: &Submission) {
        let id = spec.id.to_string();
        if !self.uploaded.borrow_mut().insert(id.clone()) {
            return;
        }
        if self.commands.borrow().knows(&id) {
            self.stand.borrow_mut().upload_command(spec.clone(), false);
        } else {
            self.stand.borrow_mut().upload(spec.clone(), false);
        }
        if let Err(e) = keep(&self.options.dir.join("jobs"), &id, &encode(spec)) {
            tracing::error!(job = %id, error = %e, "its description is not kept");
        }
    }
}

/// Keeps bytes under a name, whole: a file that was cut off would be read as
/// nothing the next time.
fn keep(dir: &Path, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let beside = dir.join(format!(".{name}.part"));
    std::fs::write(&beside, bytes)?;
    std::fs::rename(beside, dir.join(name))
}

/// What was kept in a directory, by name.
fn kept(dir: &Path) -> Result<Vec<(String, Vec<u8>)>, LoopbackError> {
    let mut out = Vec::new();
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        if !name.starts_with('.') {
            let bytes = std::fs::read(entry.path()).map_err(io(entry.path().display()))?;
            out.push((name, bytes));
        }
    }
    Ok(out)
}

fn full_path(r: &Request) -> String {
    if r.query.is_empty() {
        r.path.clone()
    } else {
        format!("{}?{}", r.path, r.query)
    }
}

/// The number of the first machine: after all that an earlier run rented.
fn first_machine(dir: &Path) -> u32 {
    let text = std::fs::read_to_string(dir.join("machines")).unwrap_or_default();
    text.trim().parse().unwrap_or(1)
}

impl Loopback {
    /// Starts a cluster: stand-ins in this process, controllers beside it. Has
    /// to run within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// Files, sockets or processes cannot be had, or the cluster is refused.
    pub async fn start(
        script: Script,
        seed: u64,
        options: Options,
    ) -> Result<Loopback, LoopbackError> {
        let dir = &options.dir;
        std::fs::create_dir_all(dir).map_err(io(dir.display()))?;
        let count = script.cluster.controllers.len();
        let wanted = 2 * count as u16 + 2;
        if let Some(p) = options.port.filter(|p| p.checked_add(wanted - 1).is_none()) {
            return Err(LoopbackError::Ports { first: p, wanted });
        }
        let mut ports = options.port.map(|p| p..);
        let mut next_port = || ports.as_mut().and_then(Iterator::next);
        let (front, front_addr) = listen(next_port()).await?;
        let mut layout = Layout {
            api: Vec::new(),
            internal: Vec::new(),
            peers: BTreeMap::new(),
            state: Vec::new(),
            cloud: Vec::new(),
        };
        let mut reserved = Vec::new();
        for _ in 0..count {
            for list in [&mut layout.api, &mut layout.internal] {
                let (socket, addr) = reserve(next_port())?;
                list.push(addr.to_string());
                reserved.push(socket);
            }
        }
        let (records, records_addr) = listen(next_port()).await?;
        let mut listeners = Vec::new();
        for n in 0..count {
            for (target, list) in [
                (Host::State, &mut layout.state),
                (Host::Cloud, &mut layout.cloud),
            ] {
                let (listener, addr) = listen(None).await?;
                list.push(addr.to_string());
                listeners.push((n, target, listener));
            }
            for to in (0..count).filter(|&to| to != n) {
                let (listener, addr) = listen(None).await?;
                layout.peers.insert((n, to), addr.to_string());
                listeners.push((n, Host::Node(to), listener));
            }
        }
        let first = first_machine(dir);
        let (place, sign) = machines_place(front_addr.port()).await?;
        let addresses = Addresses {
            prefix: [127, place],
            port: MACHINE_PORT,
            first,
        };
        let store = Store::File(dir.join("state.redb"));
        let mut nodes = Vec::new();
        for n in 0..count {
            settings(&script, &layout, n)?;
            let path = dir.join(format!("node-{n}.json"));
            let text = settings_json(&script, &layout, n).to_string();
            std::fs::write(&path, text).map_err(io(path.display()))?;
            nodes.push(Process {
                child: None,
                settings: path,
                log: dir.join(format!("node-{n}.log")),
                build: script.build(script.cluster.build.as_deref()),
                ending: false,
            });
        }
        let inner = Rc::new(Inner {
            stand: RefCell::new(Stand::new(script, seed, store, addresses, false)?),
            client: Client::with_idle_limit(CONNECTIONS),
            started: Instant::now(),
            layout,
            waiting: RefCell::default(),
            next_call: Cell::new(0),
            nodes: RefCell::new(nodes),
            machines: RefCell::default(),
            listened: Cell::new(0),
            kept_machine: Cell::new(0),
            options,
            uploaded: RefCell::default(),
            commands: RefCell::default(),
        });
        for (job, bytes) in kept(&inner.options.dir.join("commands"))? {
            if let Some(d) = decode::<CommandSpec>(&bytes) {
                inner.commands.borrow_mut().describe(job, d);
            }
        }
        for (_, bytes) in kept(&inner.options.dir.join("jobs"))? {
            let Some(spec) = decode::<Submission>(&bytes) else {
                continue;
            };
            let id = spec.id.to_string();
            inner.uploaded.borrow_mut().insert(id.clone());
            if inner.commands.borrow().knows(&id) {
                inner.stand.borrow_mut().upload_command(spec, true);
            } else {
                inner.stand.borrow_mut().upload(spec, true);
            }
        }
        let outside = Rc::clone(&inner);
        spawn_local(answer_connections(records, move |r| {
            // As an asker of its own, after all controllers.
            Rc::clone(&outside).called(count, Host::State, r)
        }));
        for (n, target, listener) in listeners {
            let inner = Rc::clone(&inner);
            spawn_local(answer_connections(listener, move |r| {
                let inner = Rc::clone(&inner);
                let target = target.clone();
                async move {
                    match target {
                        Host::Node(to) => inner.proxied(n, to, r).await,
                        other => inner.called(n, other, r).await,
                    }
                }
            }));
        }
        let door = Rc::clone(&inner);
        spawn_local(answer_connections(front, move |r| {
            Rc::clone(&door).front_door(r)
        }));
        for n in 0..count {
            inner.act(NodeAction::Start(n))?;
        }
        Ok(Loopback {
            inner,
            front: front_addr,
            records: records_addr,
            _reserved: reserved,
            _sign: sign,
        })
    }

    /// Addresses of the controllers and stand-ins.
    pub fn layout(&self) -> &Layout {
        &self.inner.layout
    }

    /// Looks at the stand-ins.
    pub fn with<T>(&self, look: impl FnOnce(&mut Stand) -> T) -> T {
        look(&mut self.inner.stand.borrow_mut())
    }

    /// Seconds since the start.
    pub fn elapsed(&self) -> f64 {
        self.inner.started.elapsed().as_secs_f64()
    }

    /// One step of the stand-ins; to be called again and again.
    pub async fn step(&self) {
        let now = self.inner.now();
        self.inner.stand.borrow_mut().advance(now);
        self.inner.drain();
        self.inner.listen_for_machines();
        self.inner.run_commands();
        self.inner.look_after_nodes();
        let next = self.with(|s| s.next_machine());
        if self.inner.kept_machine.replace(next) != next
            && let Err(e) = keep(
                &self.inner.options.dir,
                "machines",
                next.to_string().as_bytes(),
            )
        {
            tracing::error!(error = %e, "cannot keep the number of the next machine");
        }
        sleep(STEP).await;
    }

    /// Ends the controllers and all commands.
    pub async fn stop(&self) {
        self.inner.commands.borrow_mut().stop();
        let nodes: Vec<Child> = {
            let mut nodes = self.inner.nodes.borrow_mut();
            nodes.iter_mut().filter_map(|n| n.child.take()).collect()
        };
        for mut child in nodes {
            // A child that is already gone needs no ending.
            let _ = child.kill().await;
        }
    }

    /// Plays the whole script and gives the verdict.
    pub async fn rehearse(&self, mut tell: impl FnMut(&Stand, f64)) -> Verdict {
        let (length, cancel) = self.with(|s| {
            let s = s.script();
            (s.length_s, s.cluster.workers.cancel_s)
        });
        let mut over_at: Option<f64> = None;
        loop {
            self.step().await;
            let t = self.elapsed();
            tell(&self.inner.stand.borrow(), t);
            let over = self.with(|s| s.all_over() && s.left().is_empty());
            if over {
                over_at.get_or_insert(t);
            }
            // A little longer, for what must not come after the end.
            if t >= length || over_at.is_some_and(|o| t >= o + cancel + 2.0) {
                break;
            }
        }
        let now = self.inner.now();
        let took = self.inner.started.elapsed();
        self.stop().await;
        self.with(|s| {
            s.finish(now);
            let mut verdict = Verdict::from_stand(s, now, took);
            verdict.world = "loopback";
            verdict
        })
    }
}

#[cfg(test)]
mod tests;
