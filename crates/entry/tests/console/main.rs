//! The console over HTTP.

mod forms;
mod sign_in;
mod site;
