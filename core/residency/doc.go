// Package residency decides which models and adapters the model engines hold in memory. One host at a time runs it, since
// engines may not be ordered by two.
//
// Every order names how many orders the engine has accepted before it, so that an order that is carried out late changes
// nothing once another one was accepted. An order without an answer leaves the engine in doubt; nothing further is ordered
// there until a report has told what it holds.
package residency
