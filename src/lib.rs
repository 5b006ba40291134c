//! stallcove: a cluster scheduler for small sites. Several controllers run the
//! same program; together they accept jobs from users, provision machines, place tasks
//! on them and keep all state in a small consensus-backed key-value store.
//!
//! Layers from top to bottom, each of which uses only those below it: [`transport`],
//! [`protocol`], [`coordination`], [`storage`].

pub mod coordination;
pub mod protocol;
pub mod storage;
pub mod transport;
