use crate::clock::ClockTime;

/// Pause after the first round of news, which doubles with each further one.
const FIRST_PAUSE: ClockTime = ClockTime(5);
/// Longest pause between two rounds of news.
const MAX_PAUSE: ClockTime = ClockTime(100);
/// Time without news after which the first pause applies again.
const CALM_TIME: ClockTime = ClockTime(1_000);

/// Pauses between the rounds in which a node tells others of crashes.
///
/// The news of a single crash passes through several nodes, so the first rounds follow each other at once.
/// When many endpoints crash, longer pauses collect the news and bound the number of messages.
#[derive(Debug, Default)]
pub struct NewsPace {
    /// Time and pause of the last round.
    last: Option<(ClockTime, ClockTime)>,
}

impl NewsPace {
    /// Returns the pause after a round at `now`.
    pub fn pause(&mut self, now: ClockTime) -> ClockTime {
        let recent = self.last.filter(|(at, _)| now - *at < CALM_TIME);
        let pause = match recent {
            Some((_, pause)) => (pause + pause).min(MAX_PAUSE),
            None => FIRST_PAUSE,
        };
        self.last = Some((now, pause));
        pause
    }
}
