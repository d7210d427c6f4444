//! Estimators over streams of samples: event rate, running mean and token bucket.

mod rate;
mod running_mean;
mod token_bucket;

pub(crate) use rate::{Rate, RATE_TIME_CONSTANT};
pub(crate) use running_mean::RunningMean;
pub(crate) use token_bucket::TokenBucket;
