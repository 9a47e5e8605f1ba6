// Package scenario is a small test language over a deployment on an in-memory network: testscript files whose commands
// start hosts and stand-ins, send requests, bring about failures, let synthetic time pass and state expectations. Each
// scenario ends with a check of invariants I1 to I9 on its history.
package scenario
