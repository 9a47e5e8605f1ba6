// Package overload decides what happens to requests while there is too little room at the servers that could run them: which one is sent
// next, which ones wait at the entry host, and which ones are refused since they are certain to miss their deadline.
//
// A Policy holds the requests that wait at one host, in order, and decides on each of them when it arrives and whenever something may
// have changed. A Scarcity is what the reports of other hosts say about requests that wait there. A Returns table recognises requests that
// come back after a refusal. None of them is safe for concurrent use.
package overload
