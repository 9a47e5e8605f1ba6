// Package residency decides which models and adapters the model engines keep loaded in memory. Only one host at a time runs it,
// since two hosts must not send orders to the same engine.
//
// Every order carries the number of orders that the engine has accepted before it, so that an engine rejects a delayed order once
// it has accepted another one. An order without an answer leaves the engine in doubt; it gets no further order until a report has
// shown what it has loaded.
//
// A Planner takes records of instances, demand and loads, and returns Actions for its caller to send. It is not safe for
// concurrent use.
package residency
