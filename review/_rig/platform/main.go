// Command rig plays the cases of the review that are scripts: it starts gateways and controllers as processes of their own on loopback
// addresses, with stand-ins for servers, callers and the operator.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases maps the names of cases to what plays them; each returns the sentences that say how the rule was broken.
var cases = map[string]func(rec *record, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD-FILE")
		os.Exit(cannot)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %v", os.Args[1], trouble)
	breaks, err := cases[os.Args[1]](rec, trouble)
	code := held
	for _, b := range breaks {
		code = broken
		rec.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		code = cannot
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	if code == held {
		rec.logf("held")
		fmt.Println("held")
	}
	rec.close()
	os.Exit(code)
}
