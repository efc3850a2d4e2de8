//! The program as its users run it, and an admin port with a backend in memory.

#![allow(dead_code, reason = "each test file uses its part")]

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use eelgrassmill_config::{CurrentRow, Decision, LogRow, Submit, decide_submit};
use eelgrassmill_node::{
    AdminBackend, AdminLimits, AdminServer, BackendError, ConfigStatus, ConfigVersionInfo,
    GroupInfo, HostInfo, Metrics, NodeConfig, NodeInfo, SubmitReply, SuspectInfo, TenantInfo,
    TokenHash,
};
use eelgrassmill_timeline::{EventKind, EventLog, Query, Timeline, merge};

pub(crate) const TOKEN: &str = "correct-horse-battery";

pub(crate) struct Ran {
    pub(crate) code: Option<i32>,
    pub(crate) out: String,
    pub(crate) err: String,
}

pub(crate) fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrassmill"));
    command
        .env_remove("EELGRASSMILL_ADMIN")
        .env_remove("EELGRASSMILL_TOKEN")
        .env("USER", "ada");
    command
}

pub(crate) fn ran(command: &mut Command) -> Ran {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the program starts");
    Ran {
        code: status.code(),
        out: String::from_utf8_lossy(&stdout).into_owned(),
        err: String::from_utf8_lossy(&stderr).into_owned(),
    }
}

pub(crate) fn run(args: &[&str]) -> Ran {
    ran(program().args(args))
}

/// A file that is gone when the test ends.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str, text: &str) -> TempFile {
        // Tests of one process run side by side and may use the same name.
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("eelgrassmill-{}-{count}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a temporary file");
        TempFile(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("a plain path")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// What an operator of one node would find; only acceptance has a state.
#[derive(Default)]
pub(crate) struct Memory {
    rows: Mutex<Vec<CurrentRow>>,
    /// Answers of submissions that get lost after they had their effect.
    pub(crate) lose_answers: Mutex<u32>,
    /// Whether submissions are refused without any effect.
    pub(crate) down: AtomicBool,
}

impl AdminBackend for Memory {
    fn submit(&self, submit: Submit) -> Result<SubmitReply, BackendError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(BackendError::Unavailable("the table is down".to_owned()));
        }
        let mut rows = self.rows.lock().expect("rows");
        let current = rows.last().map(|row| (row.version, row));
        let base = rows.iter().find(|r| r.version == submit.base).map(log_row);
        let reply = match decide_submit(current, base.as_ref(), &submit) {
            Decision::Accept(a) => {
                rows.push(a.current);
                SubmitReply::Accepted { version: a.version }
            }
            Decision::AlreadyAccepted(version) => SubmitReply::AlreadyAccepted { version },
            Decision::Conflict(conflict) => SubmitReply::Conflict { conflict },
            Decision::Invalid(errors) => SubmitReply::Invalid {
                errors: errors.as_slice().iter().map(ToString::to_string).collect(),
            },
        };
        let mut lose = self.lose_answers.lock().expect("a number");
        if *lose > 0 {
            *lose -= 1;
            return Err(BackendError::Unknown("no answer from the table".to_owned()));
        }
        Ok(reply)
    }

    fn show(&self, version: Option<u64>) -> Result<ConfigVersionInfo, BackendError> {
        let rows = self.rows.lock().expect("rows");
        let row = match version {
            None => rows.last(),
            Some(v) => rows.iter().find(|r| r.version == v),
        };
        let row = row.ok_or_else(|| BackendError::NotFound("no such version".to_owned()))?;
        Ok(info(row, true))
    }

    fn log(&self) -> Result<Vec<ConfigVersionInfo>, BackendError> {
        Ok(self
            .rows
            .lock()
            .expect("rows")
            .iter()
            .rev()
            .map(|r| info(r, false))
            .collect())
    }

    fn config_status(&self) -> Result<ConfigStatus, BackendError> {
        let accepted = self.rows.lock().expect("rows").len() as u64;
        let node = |node: &str, version, behind: Option<&str>| NodeConfig {
            node: node.into(),
            version,
            checksum: "00".into(),
            behind: behind.map(Into::into),
        };
        let nodes = vec![
            node("node-a", Some(accepted), None),
            node("node-b", None, Some("not heard from for 9 s")),
        ];
        Ok(ConfigStatus { accepted, nodes })
    }

    fn groups(&self) -> Vec<GroupInfo> {
        vec![GroupInfo {
            group: "chat/0".into(),
            service: "chat".into(),
            epoch: 3,
            version: "v1".into(),
            members: vec!["engine-0".into(), "engine-1".into()],
            whole: false,
            serving: false,
            reason: Some("engine-1 is missing".into()),
        }]
    }

    fn hosts(&self) -> Vec<HostInfo> {
        Vec::new()
    }

    fn nodes(&self) -> Vec<NodeInfo> {
        Vec::new()
    }

    fn tenants(&self) -> Vec<TenantInfo> {
        vec![TenantInfo {
            tenant: "baths".into(),
            weight: 3,
            share_permille: 375,
            running: 2,
            queued: 0,
            admitted: 40,
            refused: 1,
        }]
    }

    fn suspects(&self) -> Vec<SuspectInfo> {
        Vec::new()
    }

    fn timeline(&self, query: &Query) -> Timeline {
        let log = EventLog::new("node-a", 1, eelgrassmill_timeline::LogCapacity::default());
        log.record(
            EventKind::GroupWhole {
                group: "chat/0".into(),
                epoch: 3,
            },
            1_000,
        );
        log.record(
            EventKind::TargetBack {
                host: "engine-1".into(),
            },
            2_000,
        );
        let asked = ["node-a".into(), "node-b".into()];
        merge(asked, [log.query(query)], query.limit())
    }

    fn metrics(&self) -> String {
        String::new()
    }
}

fn log_row(row: &CurrentRow) -> LogRow {
    LogRow {
        version: row.version,
        text: row.text.clone(),
        checksum: row.checksum.clone(),
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
    }
}

fn info(row: &CurrentRow, with_text: bool) -> ConfigVersionInfo {
    ConfigVersionInfo {
        version: row.version,
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
        checksum: row.checksum.clone(),
        text: with_text.then(|| row.text.clone()),
    }
}

pub(crate) struct Node {
    pub(crate) memory: Arc<Memory>,
    server: AdminServer,
}

impl Node {
    pub(crate) fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let memory = Arc::new(Memory::default());
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let token = TokenHash::of(TOKEN);
        let backend = Arc::clone(&memory);
        let server = AdminServer::start(listener, backend, token, metrics, AdminLimits::default())
            .expect("an admin port");
        Node { memory, server }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Runs a command that asks this node.
    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        let address = self.address().to_string();
        ran(program()
            .args(args)
            .env("EELGRASSMILL_ADMIN", address)
            .env("EELGRASSMILL_TOKEN", TOKEN))
    }
}
