//! One file for each failure ever found in the links and the platform.

mod outbox_took_thirty_megabytes;
