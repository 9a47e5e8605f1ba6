package relayload

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/core/fleet"
	"toucanway/io/follow"
	"toucanway/io/hosts"
	"toucanway/io/relay"
	"toucanway/io/sessions"
)

const (
	dataCentres = 12
	// batchesPerSecond is the rate of a relay that always has polls waiting: one batch every 250 ms.
	batchesPerSecond = 4.0
	// changesPerSecond is 4,800 changes of configuration a day, of changeBytes each.
	changesPerSecond = 4800.0 / 86400
	changeBytes      = 1024
	framingCalls     = 50
)

// Cost is the traffic of Follow calls, sent and received, of the leader, of a relay and of another host, in bytes per second.
type Cost struct{ Leader, Relay, Host float64 }

// Result is the outcome of Compute.
type Result struct {
	Hosts int
	// Direct is the cost when all hosts follow the leader, Relayed that with one relay in each data centre. They are equal for
	// groups of at most relay.MaxDirectHosts hosts, which use no relays.
	Direct, Relayed Cost
}

// Compute returns the cost of Follow from the sizes of encoded messages and the rates of polls and batches, with the
// bytes of frames and headers measured on a kept-alive connection without TLS. Heartbeats of idle connections and TCP and IP
// headers are not counted.
func Compute(n int) (Result, error) {
	framing, err := framingBytes()
	if err != nil {
		return Result{}, err
	}
	polls := float64(time.Second) / float64(follow.Hold)
	host := func(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("host-%04d", i)) }
	const applied = 1 << 20
	poll := polls*(framing+
		encodedSize(hosts.FollowRequest{Host: host(0), Incarnation: 100, Applied: applied, Hold: follow.Hold})+
		encodedSize(hosts.FollowResponse{Lease: sessions.Lease, Newest: true})) +
		changesPerSecond*(framing+encodedSize(hosts.LogEntry{Index: applied, Data: make([]byte, changeBytes)}))
	r := Result{Hosts: n, Direct: Cost{Leader: poll * float64(n), Host: poll, Relay: poll}}
	r.Relayed = r.Direct
	if n <= relay.MaxDirectHosts {
		return r, nil
	}
	hostsBehindRelay := (n+dataCentres-1)/dataCentres - 1
	var req hosts.RenewRequest
	var res hosts.RenewResponse
	res.Applied = applied
	// Each batch holds the polls that arrived since the last one.
	for i := range int(float64(hostsBehindRelay)*polls/batchesPerSecond + 0.5) {
		req.Renewals = append(req.Renewals, hosts.Renewal{Host: host(i), Incarnation: 100, Applied: applied})
		res.Grants = append(res.Grants, hosts.Grant{Lease: sessions.Lease})
	}
	batches := batchesPerSecond * (framing + encodedSize(req) + encodedSize(res))
	r.Relayed = Cost{Leader: dataCentres * (poll + batches), Relay: poll + batches + poll*float64(hostsBehindRelay), Host: poll}
	return r, nil
}

func encodedSize(msg any) float64 {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic("relayload: message cannot be encoded: " + err.Error())
	}
	return float64(len(data))
}

// framingBytes returns the bytes of a call on a kept-alive connection, in both directions, beyond its two messages.
func framingBytes() (float64, error) {
	const clientIP, serverIP = "10.0.0.1", "10.0.0.2"
	n := memnet.New(memnet.Settings{})
	l, err := n.Host(serverIP).Listen(serverIP + ":1")
	if err != nil {
		return 0, err
	}
	var srv hosts.Server
	hosts.Handle(&srv, hosts.ProcedureFollow, func(context.Context, fleet.HostID, *hosts.FollowRequest) (*hosts.FollowResponse, error) {
		return &hosts.FollowResponse{}, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Run(ctx, l) })
	client := hosts.NewClient("host-0000", n.Host(clientIP), nil)
	var before int64
	for i := range framingCalls + 1 {
		_, err = hosts.Call[hosts.FollowRequest, hosts.FollowResponse](ctx, client, serverIP+":1", hosts.ProcedureFollow, &hosts.FollowRequest{})
		if err != nil {
			break
		}
		if i == 0 {
			// The first call sets up the connection and sends all headers in full.
			before = totalBytes(n)
		}
	}
	total := totalBytes(n) - before
	client.Close()
	cancel()
	if werr := g.Wait(); err == nil {
		err = werr
	}
	return float64(total)/framingCalls - encodedSize(hosts.FollowRequest{}) - encodedSize(hosts.FollowResponse{}), err
}

func totalBytes(n *memnet.Network) int64 {
	var sum int64
	for _, t := range n.Traffic() {
		sum += t.Bytes
	}
	return sum
}
