//! Breadth-first search over every state of a small model.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A model that is small enough to visit every state of.
pub trait Model {
    /// One state.
    type State: Clone + Eq + Hash;
    /// What leads from one state to the next.
    type Step: Debug;
    /// A promise that a state can break.
    type Promise: Debug;

    /// Where everything begins.
    fn start(&self) -> Self::State;

    /// All that can happen next. Two steps that lead to equal states may both be given.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// The promise that the state breaks, if any.
    fn broken(&self, state: &Self::State) -> Option<Self::Promise>;
}

/// What a search found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Distinct states whose successors were visited.
    pub states: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// The promise that was broken, and the shortest way to break it.
    pub counterexample: Option<Counterexample>,
}

/// The shortest way to break a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The promise.
    pub promise: String,
    /// What happens, in order.
    pub steps: Vec<String>,
}

/// Visits the states of `model`, `limit` of them at most, until one breaks a promise.
pub fn explore<M: Model>(model: &M, limit: usize) -> Outcome {
    let states = Cell::new(0);
    let complete = Cell::new(true);
    let successors = |state: &M::State| {
        if states.get() >= limit {
            complete.set(false);
            return Vec::new();
        }
        states.set(states.get() + 1);
        let steps = model.steps(state);
        steps.into_iter().map(|(_, next)| next).collect()
    };
    let path = bfs(&model.start(), successors, |s| model.broken(s).is_some());
    Outcome {
        states: states.get(),
        complete: complete.get() && path.is_none(),
        counterexample: path.and_then(|path| explain(model, &path)),
    }
}

fn explain<M: Model>(model: &M, path: &[M::State]) -> Option<Counterexample> {
    let promise = model.broken(path.last()?)?;
    let steps = path.windows(2).map(|pair| {
        let steps = model.steps(&pair[0]);
        let step = steps.into_iter().find(|(_, next)| *next == pair[1]);
        step.map_or_else(String::new, |(step, _)| format!("{step:?}"))
    });
    Some(Counterexample {
        promise: format!("{promise:?}"),
        steps: steps.collect(),
    })
}
