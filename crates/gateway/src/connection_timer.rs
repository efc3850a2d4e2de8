//! Timeout of callers' connections between two requests.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use eelgrassmill_fleet::CallerLimits;
use hyper::rt::{Sleep, Timer};

/// The timer of a connection. It replaces the header timeout that hyper was built with by the one of
/// the limits in force, so that open connections follow changes of the configuration.
///
/// hyper's header timeout runs from the end of a response to the end of the next request's header.
pub(crate) struct ConnectionTimer<L>(pub(crate) L);

/// How long hyper may wait for a request's header.
pub(crate) fn header_read_timeout(limits: &CallerLimits) -> Duration {
    limits.idle_timeout + limits.header_timeout
}

impl<L> Timer for ConnectionTimer<L>
where
    L: Fn() -> CallerLimits + Clone + Send + Sync + Unpin + 'static,
{
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let began = Instant::now();
        let deadline = began + header_read_timeout(&(self.0)());
        Box::pin(HeaderSleep {
            limits: self.0.clone(),
            began,
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }
}

struct HeaderSleep<L> {
    limits: L,
    began: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl<L> Sleep for HeaderSleep<L> where L: Fn() -> CallerLimits + Send + Sync + Unpin {}

impl<L: Fn() -> CallerLimits + Unpin> Future for HeaderSleep<L> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            // The limits may have been raised since.
            let deadline = self.began + header_read_timeout(&(self.limits)());
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline.into());
        }
    }
}
