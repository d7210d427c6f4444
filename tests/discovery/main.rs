//! Tests of the discovery client: the watch on the endpoint list and the conversion of start times.

mod start_times;
mod watch;
