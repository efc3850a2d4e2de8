//! Open-loop load over HTTP from a scenario file, with a result as a table or JSON.
