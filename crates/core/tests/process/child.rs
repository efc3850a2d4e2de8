//! A process of the program, ended with its owner.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::wait;

pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program; its log goes to `log`.
    pub fn start(args: &[&str], log: &Path) -> Process {
        let log = File::create(log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_eelgrassmill"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Process { child }
    }

    pub fn first_line(&mut self) -> String {
        let out = self.child.stdout.take().expect("its output");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        line
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("kill runs").success(), "SIG{name} to {pid}");
    }

    /// A file of the process in `/proc`.
    pub fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_some()
    }

    /// Waits for its end; `None` when a signal ended it.
    pub fn exit_code(&mut self, bound: Duration) -> Option<i32> {
        let look = || self.child.try_wait().expect("its state");
        wait("the process ends", bound, look).code()
    }
}

/// The state of each thread of a process: stopped, sleeping in which call, or ended.
fn thread_states(pid: u32) -> String {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let state = |task: std::fs::DirEntry| {
        let read = |name: &str| std::fs::read_to_string(task.path().join(name));
        let status = read("status").unwrap_or_default();
        let state = status.lines().find(|line| line.starts_with("State:"));
        let call = read("wchan").unwrap_or_default();
        let id = task.file_name();
        format!(
            "{} {} {call}",
            id.to_string_lossy(),
            state.unwrap_or_default()
        )
    };
    let states = tasks.into_iter().flatten().flatten().map(state);
    states.collect::<Vec<_>>().join("; ")
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let pid = self.child.id();
            eprintln!("process {pid}: {}", thread_states(pid));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
