package main

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of the machines, the same on all of them.
const (
	portHosts     = 7380
	portControl   = 8144
	portDirectory = 8145
	portCallers   = 8149
	portReady     = 8141
	portMetrics   = 9102
	portServer    = 8501
)

// network is a range of loopback addresses 127.B.C.N of which no port of the case is in use.
type network struct{ prefix string }

// newNetwork looks for a free range with a number of addresses.
func newNetwork(hosts int) (network, error) {
	for range 200 {
		n := network{fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
		if n.isFree(hosts) {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free range of loopback addresses")
}

func (n network) isFree(hosts int) bool {
	for h := 1; h <= hosts; h++ {
		for _, port := range []int{portHosts, portControl, portDirectory, portCallers, portReady, portMetrics, portServer} {
			l, err := net.Listen("tcp", n.address(h, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// ip returns the address of a machine.
func (n network) ip(host int) string { return fmt.Sprintf("%s.%d", n.prefix, host) }

// address returns the address of a port of a machine.
func (n network) address(host, port int) string { return fmt.Sprintf("%s:%d", n.ip(host), port) }
