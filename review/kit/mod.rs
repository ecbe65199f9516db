//! Stand-ins and helpers of the cases.

#![allow(dead_code)]

pub mod client;
pub mod http;
pub mod json;
pub mod proxy;
pub mod store;
pub mod vm;
