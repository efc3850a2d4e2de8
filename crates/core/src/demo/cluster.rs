//! Nodes and stand-ins in this process, used through their real ports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_node::{ConfigStatus, GroupInfo, Node, Settings, SubmitReply};
use eelgrassmill_standin::{Standins, engine_specs, plain_specs};
use eelgrassmill_timeline::Timeline;
use serde_json::json;
use smol_str::{SmolStr, ToSmolStr};

use crate::client::{AdminClient, get_text};
use crate::error::CliError;

/// The admin token of the demonstration's nodes, which listen on loopback only.
pub(crate) const ADMIN_TOKEN: &str = "demo-admin-token-on-loopback";
/// Tokens of its tenants.
pub(crate) const TENANT_TOKENS: [&str; 3] =
    ["front-desk-token", "complaints-token", "portal-token"];

const CONFIG: &str = include_str!("config.ini");
const ENGINES: usize = 6;
const PLAIN: usize = 2;
/// All engines reach each other at full speed.
const PER_FABRIC: usize = ENGINES;
const MODEL_BYTES: u64 = 1 << 20;
const FAILURE_DOMAINS: usize = 3;
/// Longest wait for a state that takes seconds to come about.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(100);

pub(crate) struct Cluster {
    pub(crate) standins: Standins,
    pub(crate) nodes: Vec<Node>,
    client: AdminClient,
}

impl Cluster {
    pub(crate) fn start(nodes: usize) -> Result<Cluster, CliError> {
        let standins = Standins::builder()
            .hosts(engine_specs(ENGINES, PER_FABRIC))
            .hosts(plain_specs(PLAIN))
            .weights("lm", "v1", MODEL_BYTES)
            .start()
            .map_err(|e| CliError::Failed(e.to_string()))?;
        let platform: SocketAddr = standins
            .platform_address()
            .parse()
            .map_err(|_| CliError::Failed("the stand-ins have no address".to_owned()))?;
        let nodes = (0..nodes)
            .map(|i| Node::start(settings(i, platform)))
            .collect::<Result<Vec<Node>, _>>()
            .map_err(|e| CliError::Failed(e.to_string()))?;
        let admin = nodes.iter().map(Node::admin_address).collect();
        let client = AdminClient::new(admin, ADMIN_TOKEN.to_owned());
        Ok(Cluster {
            standins,
            nodes,
            client,
        })
    }

    pub(crate) fn caller_addresses(&self) -> Vec<SmolStr> {
        let addresses = self.nodes.iter().map(Node::caller_address);
        addresses.map(|at| at.to_smolstr()).collect()
    }

    /// Submits the text and waits until every node has it in force.
    pub(crate) fn accept_config(&self) -> Result<(), CliError> {
        let mut text = CONFIG.to_owned();
        for token in TENANT_TOKENS {
            let hash = eelgrassmill_node::TokenHash::of(token).to_string();
            text = text.replace(&format!("@{token}@"), &hash);
        }
        let submit = json!({ "id": "demo", "base": 0, "author": "demo", "text": text });
        let reply: SubmitReply = self.client.post("/admin/v1/config", &submit.to_string())?;
        let SubmitReply::Accepted { version } = reply else {
            return Err(CliError::Failed(format!("not accepted: {reply:?}")));
        };
        self.wait("the configuration in force everywhere", || {
            let status: ConfigStatus = self.client.get("/admin/v1/config/status")?;
            let there = status.nodes.iter().filter(|n| n.version == Some(version));
            Ok((there.count() == self.nodes.len()).then_some(()))
        })
    }

    /// Waits until `count` groups serve; gives them.
    pub(crate) fn wait_whole(&self, count: usize) -> Result<Vec<GroupInfo>, CliError> {
        self.wait("all groups whole", || {
            let groups: Vec<GroupInfo> = self.client.get("/admin/v1/groups")?;
            let serving: Vec<GroupInfo> = groups.into_iter().filter(|g| g.serving).collect();
            Ok((serving.len() >= count).then_some(serving))
        })
    }

    /// Events of the groups, of all nodes.
    pub(crate) fn group_events(&self) -> Result<Vec<SmolStr>, CliError> {
        let timeline: Timeline = self.client.get("/admin/v1/timeline?limit=10000")?;
        let events = timeline.events.iter().filter(|event| {
            let name = event.kind.name();
            name.starts_with("group-") || name.starts_with("planner-")
        });
        Ok(events.map(ToSmolStr::to_smolstr).collect())
    }

    /// Sum of a metric over its labels, at the first node.
    pub(crate) fn metric(&self, name: &str) -> Result<f64, CliError> {
        let Some(node) = self.nodes.first() else {
            return Ok(0.0);
        };
        let text = get_text(node.admin_address(), "/metrics", ADMIN_TOKEN)?;
        let values = text
            .lines()
            .filter(|line| !line.starts_with('#') && line.contains(name))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    fn wait<T>(
        &self,
        what: &str,
        mut look: impl FnMut() -> Result<Option<T>, CliError>,
    ) -> Result<T, CliError> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(found) = look()? {
                return Ok(found);
            }
            if Instant::now() > end {
                return Err(CliError::Failed(format!("not in time: {what}")));
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }
}

fn settings(i: usize, platform: SocketAddr) -> Settings {
    let mut settings = Settings::loopback(format!("node-{i}"), platform, ADMIN_TOKEN);
    settings.region = "region-1".into();
    settings.failure_domain = format!("domain-{}", i % FAILURE_DOMAINS + 1).into();
    settings.timing.address_keep = Duration::from_secs(2);
    settings
}
