//! What the fleet has this router do: it drains by the plan that balancers are told of, and serves again.

use std::rc::Rc;

use tallypin_health::plan::{Phase, Wish};
use tallypin_health::state::{Order, State};
use tallypin_members::Says;

use crate::checks::{signals, Board};
use crate::fleet::Duty;
use crate::host::Host;

/// A router with its board.
pub struct Router {
    /// Its clients and requests.
    pub host: Rc<Host>,
    /// What balancers are told.
    pub board: Rc<Board>,
}

impl Router {
    fn want(&self, wish: Wish, order: Order) -> bool {
        let can = self.board.want(wish, order);
        if can {
            signals::follow(&self.host, self.board.phase());
        }
        can
    }
}

impl Duty for Router {
    fn go_out(&self) -> bool {
        self.want(Wish::Drain, Order::Drain)
    }

    fn serve(&self) -> bool {
        self.want(Wish::Serve, Order::Ready)
    }

    fn says(&self) -> Says {
        match (self.board.phase(), self.board.assessment().state) {
            (Phase::Closing, _) => Says::Ending,
            (Phase::Serving, State::Up | State::Degraded) => Says::Serving,
            _ => Says::Draining,
        }
    }
}
