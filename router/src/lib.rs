//! The router around the decision module: sockets, the [`core`], and two fronts. `docs/ARCHITECTURE.md` follows a request
//! through these modules. The modules form layers with imports in one direction only; `router/tests/layers.rs` lists the
//! layers and checks the imports.

pub mod balancer_interface;
pub mod bind;

pub mod checks;
pub mod clients;
pub mod clock;
pub mod components;
pub mod config;
pub mod connections;
pub mod core;
pub mod dialect;
pub mod dispatcher;
pub mod endpoint_list;
pub mod endpoint_list_state;
pub mod fleet;
pub mod front;
pub mod http;
pub mod installation;
pub mod keep_alive;
pub mod lifecycle;
pub mod limits;
pub mod log;
pub mod memory_budget;
pub mod operator_override;
pub mod peers;
pub mod probe;
pub mod reload;
pub mod replica;
pub mod request_ids;
pub mod router_control;
pub mod shortage;
pub mod shutdown;
pub mod status;
