//! One eelgrassmill node: its ports, its loops and the wiring between policy and I/O.

mod admin_token;
mod settings;
mod settings_keys;
mod settings_read;

pub use crate::admin_token::TokenHash;
pub use crate::settings::{
    Limits, LogSettings, PlatformAddresses, Settings, SettingsError, Timing,
};
pub use crate::settings_keys::SETTINGS_SECTIONS;
