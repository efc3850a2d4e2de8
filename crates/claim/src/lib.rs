//! Requests that run at most once: claims, their settlement and the answers kept for repeats.
