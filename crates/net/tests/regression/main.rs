//! One file for each failure ever found in the links and the platform.

mod cut_answer_lost_its_head;
mod outbox_took_thirty_megabytes;
mod silent_connection_was_followed_by_another;
mod stream_kept_its_connection_past_the_stop;
