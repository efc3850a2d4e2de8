//! Stand-ins for engines, plain services and the platform, with faults that are switched over HTTP.
