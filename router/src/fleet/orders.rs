//! The operators' orders to the fleet, given to any of its routers: words in, JSON out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tallypin_accord::document::{Act, Document, Stage};
use tallypin_accord::leave::halt_holds;
use tallypin_members::Place;
use tokio::time::sleep;

use super::{Failed, Fleet};

/// A halt that is agreed on is looked at so often until it holds.
const LOOK: Duration = Duration::from_millis(50);

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// To tell what is agreed on.
    Status,
    /// Routers are to go out, as many at a time as the bounds let.
    Drain(Vec<String>),
    /// Routers are to come back.
    PutBack(Vec<String>),
    /// Nothing may begin to go out.
    Halt(String),
    /// It may again.
    Resume,
}

/// Reads the words behind `fleet`, with `id ID` in front of an order that may be sent again.
pub fn read(words: &[&str]) -> Result<(Option<String>, Order), String> {
    let (id, words) = match words {
        ["id", id, rest @ ..] => (Some((*id).to_string()), rest),
        rest => (None, rest),
    };
    let names = |words: &[&str]| words.iter().map(ToString::to_string).collect::<Vec<_>>();
    let order = match words {
        ["status"] => Order::Status,
        ["drain" | "put-back"] => return Err("which routers?".into()),
        ["drain", routers @ ..] => Order::Drain(names(routers)),
        ["put-back", routers @ ..] => Order::PutBack(names(routers)),
        ["halt"] => Order::Halt("ordered".into()),
        ["halt", cause @ ..] => Order::Halt(cause.join(" ")),
        ["resume"] => Order::Resume,
        _ => {
            let all = "fleet [id ID] status, drain ROUTER.., put-back ROUTER.., halt [CAUSE], resume";
            return Err(format!("no such order; there are {all}"));
        }
    };
    Ok((id, order))
}

impl Fleet {
    /// Carries an order out. Answered when it is agreed on, or when it is known that it is not.
    pub async fn order(self: &Rc<Self>, id: Option<String>, order: Order) -> Value {
        let id = id.unwrap_or_else(|| {
            format!("{}-{:x}", self.settings.routers[usize::from(self.settings.me)].name, {
                self.rng.borrow_mut().u64(..)
            })
        });
        let act = match &order {
            Order::Status => Act::Look,
            Order::Drain(names) | Order::PutBack(names) => {
                let mut routers: Vec<Place> = Vec::new();
                for name in names {
                    match self.settings.place(name) {
                        Some(place) => routers.push(place),
                        None => {
                            return json!({"done": false, "why": format!("the fleet has no router `{name}`")})
                        }
                    }
                }
                match order {
                    Order::Drain(_) => Act::Drain { order: id.clone(), routers },
                    _ => Act::PutBack { order: id.clone(), routers },
                }
            }
            Order::Halt(cause) => Act::Halt { order: id.clone(), cause: cause.clone() },
            Order::Resume => Act::Resume { order: id.clone() },
        };
        let asked = Instant::now();
        let document = match self.change(&act).await {
            Ok(document) => document,
            Err(Failed::No(no)) => return json!({"done": false, "id": id, "why": no.to_string()}),
            Err(Failed::NoMajority) => {
                // Said as it is: a round that was cut off may be ended by the next one.
                return json!({"done": false, "id": id, "council": self.reached(), "why":
                    "no majority of the council answered in time; sent again under this id it runs at most once"});
            }
        };
        if matches!(order, Order::Halt(_)) && !self.holds(asked, document).await {
            return json!({"done": false, "id": id, "why":
                "halted, but a leave given before may still be used; ask again"});
        }
        match self.document.borrow().as_ref() {
            Some(document) => self.told(&id, document),
            None => json!({"done": false, "id": id, "why": "nothing is known yet"}),
        }
    }

    /// Waits until nobody can begin to go out any more by a leave from before.
    async fn holds(self: &Rc<Self>, asked: Instant, mut document: Document) -> bool {
        let nanos = |d: Duration| d.as_nanos() as u64;
        let give_up = self.settings.within + Duration::from_nanos(self.settings.leave.over());
        while !halt_holds(&self.settings.leave, nanos(asked.elapsed()), &document) {
            if asked.elapsed() > give_up {
                return false;
            }
            sleep(LOOK).await;
            match self.change(&Act::Look).await {
                Ok(newer) => document = newer,
                // The time that a leave lasts is enough, whoever answers.
                Err(_) => continue,
            }
        }
        true
    }

    /// Members of the council that answered last.
    fn reached(&self) -> Vec<&str> {
        let members = self.settings.council.iter().zip(&self.links);
        let well = members.filter(|(_, link)| link.as_ref().is_none_or(|l| l.well()));
        well.map(|(&p, _)| self.settings.routers[usize::from(p)].name.as_str()).collect()
    }

    fn told(&self, id: &str, document: &Document) -> Value {
        let name =
            |place: &Place| self.settings.routers.get(usize::from(*place)).map_or("?", |r| r.name.as_str());
        let stage = |stage: &Stage| match stage {
            Stage::Wanted => "wanted",
            Stage::Leave(_) => "leave",
            Stage::Out(_) => "out",
            Stage::Back(_) => "back",
        };
        let entries: Vec<Value> = document
            .entries
            .iter()
            .map(|(place, e)| json!({"router": name(place), "stage": stage(&e.stage), "order": e.order}))
            .collect();
        let mut told = json!({
            "done": true, "id": id, "version": document.version, "halted": document.halted, "entries": entries,
            "bounds": {"all": self.settings.bounds.all, "zone": self.settings.bounds.zone},
            "council": self.reached(), "spoilt": self.spoilt.get(),
        });
        if self.keeper.borrow().is_some() {
            told["out_here"] = self.out_here().iter().map(name).collect();
        }
        told
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn orders_are_read_and_what_is_none_is_told() {
        assert_eq!(read(&["status"]), Ok((None, Order::Status)));
        let drain = Order::Drain(vec!["r1".into(), "r2".into()]);
        assert_eq!(read(&["id", "x1", "drain", "r1", "r2"]), Ok((Some("x1".into()), drain)));
        assert_eq!(read(&["halt", "late", "answers"]), Ok((None, Order::Halt("late answers".into()))));
        assert!(read(&["drain"]).unwrap_err().contains("which routers"));
        assert!(read(&["dance"]).unwrap_err().contains("no such order"));
        assert!(read(&[]).is_err());
    }
}
