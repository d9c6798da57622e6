//! Selects the backend server for a request: predicted wait from lagged reports, corrected by
//! the requests that this entry has sent and seen end since; prefix affinity under bounded load;
//! health with ejection and gradual readmission; a retry budget. The decisions do no I/O: they take
//! inputs, the time and a random number, and return a choice.

mod backend;
mod backpressure;
mod cold;
mod evacuation;
mod fill_controller;
mod fleet;
mod health;
mod health_record;
mod on_time_controller;
mod prefix;
mod response_timer;
mod retry_budget;
mod retry_detector;
mod retry_tokens;
mod router;
mod server;
mod silence;
mod unit_controller;

pub use backend::{Backend, Report};
pub use cold::{ColdChange, ColdRegistration, ColdTerms};
pub use fill_controller::{FillController, FillUpdate, PauseBounds, fill_limit_for};
pub use fleet::{Fleet, PickArgs, Unavailable};
pub use health::Health;
pub use health_record::HealthRecord;
pub use on_time_controller::OnTimeController;
pub use prefix::PrefixIndex;
pub use response_timer::ResponseTimer;
pub use retry_budget::{RetryAllowance, RetryBudget};
pub use retry_detector::RetryDetector;
pub use retry_tokens::RetryTokens;
pub use router::{Policy, Requirements, Router, least_reported, predicted};
pub use server::{LoadReport, Server, ServerId, StartTime, Unit};
pub use unit_controller::{FillRule, UnitController};

/// Id of a backend server.
pub type BackendId = String;
/// Name of a service.
pub type ServiceId = String;
