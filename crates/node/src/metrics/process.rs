//! What this process uses, as the system counts it.

use std::fs;

use prometheus::{Counter, Encoder, Gauge, Registry, TextEncoder};

/// Ticks a second of the times in `/proc`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of the user time among the fields after the program's name.
const USER_TIME: usize = 11;
const BYTES_PER_KIB: f64 = 1024.0;

/// Processor time and memory of the process, under the names that collectors know.
///
/// Nodes that share a process, as in the demonstration, show the same numbers.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    cpu: Counter,
    memory: Gauge,
}

impl ProcessMetrics {
    /// # Errors
    /// When a metric's name isn't one that Prometheus takes.
    pub(crate) fn new() -> Result<ProcessMetrics, prometheus::Error> {
        let registry = Registry::new();
        let cpu = Counter::new("process_cpu_seconds_total", "Processor time used.")?;
        let memory = Gauge::new("process_resident_memory_bytes", "Memory in use.")?;
        registry.register(Box::new(cpu.clone()))?;
        registry.register(Box::new(memory.clone()))?;
        Ok(ProcessMetrics {
            registry,
            cpu,
            memory,
        })
    }

    /// Both in the text format of Prometheus; nothing where the system doesn't tell.
    pub(crate) fn render(&self) -> String {
        let (Some(cpu), Some(memory)) = (cpu_seconds(), resident_bytes()) else {
            return String::new();
        };
        self.cpu.inc_by((cpu - self.cpu.get()).max(0.0));
        self.memory.set(memory);
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(_) => String::new(),
        }
    }
}

fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The program's name stands in brackets and may hold spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let times = fields.split(' ').skip(USER_TIME).take(2);
    let ticks: Vec<f64> = times.filter_map(|t| t.parse().ok()).collect();
    (ticks.len() == 2).then(|| ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn resident_bytes() -> Option<f64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
