//! The part of the library that watches the endpoint list.

mod start_times;
mod watch;
