package deployment

import (
	"fmt"
	"strings"

	"toucanway/core/config"
)

// CallerToken is the bearer token of the caller of a class in a SmallDocument.
func CallerToken(class string) string { return "lab-caller-" + class }

// SmallDocument returns a configuration document with n models of two adapters each and one service, orders, whose POST calls
// are non-idempotent. Each of modelLines holds one key and is added to the entry of every model.
func SmallDocument(n int, modelLines ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "owners:\n  operators:\n    lab:\n      credentials: [%q]\n  sections:\n", config.HashToken("", OperatorToken))
	for _, s := range config.Sections() {
		fmt.Fprintf(&b, "    %s: [lab]\n", s)
	}
	b.WriteString("models:\n")
	for i := range n {
		fmt.Fprintf(&b, "  m%d:\n    versions: [v1]\n    memory: 16GiB\n    kv-bytes-per-token: 128KiB\n", i+1)
		b.WriteString("    load-times: {memory: 500ms, disk: 3s, remote: 8s}\n")
		for _, line := range modelLines {
			fmt.Fprintf(&b, "    %s\n", line)
		}
		b.WriteString("    adapters:\n      a1: 64MiB\n      a2: 64MiB\n")
	}
	b.WriteString("callers:\n  tenants:\n    t1: {}\n  callers:\n")
	for _, class := range []string{"critical", "interactive", "standard", "batch"} {
		fmt.Fprintf(&b, "    %s:\n      tenant: t1\n      class: %s\n      credentials: [%q]\n", class, class, config.HashToken("", CallerToken(class)))
	}
	b.WriteString("services:\n  orders:\n    calls:\n      - {method: POST, path-prefix: /, idempotent: false}\n      - {method: GET, path-prefix: /, idempotent: true}\n")
	return b.String()
}
