//! A node that starts while the table is down.

mod process;

use std::time::Instant;

use process::caller::{Call, End, send};
use process::world::{Shape, World};
use process::{secs, wait};

/// An entry host is replaced while the table is down. Its new node knows the
/// text from its peers but can't read the rows of groups; when it learns them
/// from nobody, every caller that is sent there is refused until the table is
/// back, although the groups are whole.
#[test]
fn a_node_started_while_the_table_is_down_serves_model_calls() {
    let mut world = World::start(Shape::default());
    world.fault("platform", "down", "&ms=20000");
    let down = Instant::now();
    let new = world.add_node();
    let at = world.nodes[new].ports.callers;
    wait("the new node serves model calls", secs(10), || {
        (send(Call::Short, at, "new", "").0 == End::Whole).then_some(())
    });
    assert!(down.elapsed() < secs(19), "the table was back too early");
}
