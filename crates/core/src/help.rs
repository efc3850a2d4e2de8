//! What `--help` prints.

/// The overview.
pub(crate) const OVERVIEW: &str = "\
eelgrassmill: a serving system for models that span several hosts

usage: eelgrassmill COMMAND [FLAGS]

  config check FILE      read and check an operators' text, without a node
  config submit FILE     ask to accept a text
  config show            print the accepted text, or an earlier version
  config diff FILE       what accepting a text would change
  config log             the accepted versions with their authors
  config status          where the accepted version is in force
  groups hosts nodes tenants suspects
                         what a node knows of them
  timeline               events of all nodes in causal order
  addresses              which addresses callers are to use
  serve                  one node, until it is told to stop
  demo                   nodes and stand-ins in one process, a load, and a host that dies
  load SCENARIO          open-loop load from a scenario file
  standin                stand-ins for engines, plain services and the platform

  --help                 this, or a command's flags after its name
  --version              the version

exit codes: 0 done, 1 refused or failed, 2 wrong usage or a wrong file
";

const ADMIN: &str = "\
  --admin IP:PORT[,...]  admin addresses, tried in order (or EELGRASSMILL_ADMIN)
  --token-file FILE      file with the admin token (or EELGRASSMILL_TOKEN, the token itself)
  --json                 print JSON
";

const CONFIG: &str = "\
usage: eelgrassmill config check FILE
       eelgrassmill config submit FILE [--base V] [--author NAME] [--id ID]
       eelgrassmill config show [V]
       eelgrassmill config diff FILE
       eelgrassmill config log
       eelgrassmill config status [--wait DURATION]

  --base V               the version that FILE was made from, 0 for the first;
                         left out when FILE has the first line of `config show`
  --author NAME          who submits (or USER)
  --id ID                repeat an earlier submission whose answer was lost
  --wait DURATION        wait until the version is in force at every node; 1 if it isn't in time
";

const LIST: &str = "\
usage: eelgrassmill groups|hosts|nodes|tenants|suspects
";

const TIMELINE: &str = "\
usage: eelgrassmill timeline [FLAGS]

  --since TIME           milliseconds since 1970, or a duration ago like 10m
  --group SERVICE/INDEX  events that name the group
  --host HOST            events that name the host
  --request ID           events that name the request
  --node NODE            events seen by the node or about it
  --limit N              at most so many of each node, the last ones
";

const ADDRESSES: &str = "\
usage: eelgrassmill addresses --entry IP:PORT --service NAME

  --entry IP:PORT        the callers' address of any node
  --service NAME         the service to call
  --token-file FILE      file with a tenant's token (or EELGRASSMILL_TENANT_TOKEN, the token
                         itself)
  --json                 print JSON
";

const STANDIN: &str = "\
usage: eelgrassmill standin [FLAGS]

  --engines N            engine hosts engine-0 up, default 4
  --per-fabric N         engine hosts that share a fabric domain, default 2
  --plain N              plain hosts plain-0 up, default 2
  --weights M@V=BYTES    a model version in the weight store, may be repeated;
                         default lm@v1=1000000 and lm@v2=1000000
  --platform IP:PORT     where the platform listens, default a free port
  --control IP:PORT      where the fault switches listen, default a free port
  --log text|json        form of the log lines, default text

Prints one line of JSON with all addresses and switches and runs until
SIGTERM or SIGINT.
";

const SERVE: &str = "\
usage: eelgrassmill serve --settings FILE

  --settings FILE        the node's settings, see docs/REFERENCE.md

Runs until SIGTERM or SIGINT; then callers are sent elsewhere, requests in
progress are finished, and it exits 0, or 1 when one could not be finished.
";

const DEMO: &str = "\
usage: eelgrassmill demo [--nodes N] [--hold SECS]

  --nodes N              nodes in this process, default 3
  --hold SECS            keep everything up this long after the run

Prints one line of JSON with all addresses, switches and tokens first.
";

const LOAD: &str = "\
usage: eelgrassmill load SCENARIO --entries IP:PORT[,...] [FLAGS]

  --entries IP:PORT,...  callers' addresses of nodes on this machine
  --control IP:PORT      the stand-ins' switches, for faults and checks
  --json                 print the result as JSON
";

/// A command's help; the overview for unknown ones.
pub(crate) fn of(command: &str) -> String {
    match command {
        "config" => format!("{CONFIG}{ADMIN}"),
        "groups" | "hosts" | "nodes" | "tenants" | "suspects" => format!("{LIST}\n{ADMIN}"),
        "timeline" => format!("{TIMELINE}{ADMIN}"),
        "addresses" => ADDRESSES.to_owned(),
        "standin" => STANDIN.to_owned(),
        "serve" => SERVE.to_owned(),
        "demo" => DEMO.to_owned(),
        "load" => LOAD.to_owned(),
        _ => OVERVIEW.to_owned(),
    }
}
