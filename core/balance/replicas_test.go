package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

func finishRequests(b *Balancer, n int, tokens fleet.Tokens, instances []*registry.Instance) {
	for range n {
		_, ticket, _ := b.Pick(start, promptRequest(tokens), instances)
		b.FirstByte(start.Add(10*time.Millisecond), ticket)
		b.End(start.Add(time.Second), ticket, Answered)
	}
}

// Guards against a replica that gets all requests because it is kept for short prompts although no long ones are sent, and against
// one replica for all short prompts where they are most of the load.
func TestReplicasForShortPrompts(t *testing.T) {
	tests := map[string]struct {
		short, long int
		kept        int
	}{
		"nothing seen":       {0, 0, -1},
		"short prompts only": {50, 0, -1},
		"long prompts only":  {0, 50, -1},
		"as many of each":    {50, 50, 4},
		"mostly short":       {90, 10, 7},
		"mostly long":        {10, 90, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var instances []*registry.Instance
			for i := range 8 {
				instances = append(instances, instance(fmt.Sprint("e", i), "d1"))
			}
			b := newBalancer()
			finishRequests(b, tt.short, 100, instances)
			finishRequests(b, tt.long, 9000, instances)
			kept := b.separateReplicas(start.Add(time.Second), promptRequest(100), instances)
			if tt.kept < 0 {
				require.Nil(t, kept)
				return
			}
			n := 0
			for _, in := range instances {
				if kept(in) {
					n++
				}
			}
			require.Equal(t, tt.kept, n)
		})
	}
}

// Guards against an engine that is taken for larger than it is: long prompts fill its memory before its slots.
func TestCapacity(t *testing.T) {
	tests := map[string]struct {
		slots  int
		memory fleet.Tokens
		prompt fleet.Tokens
		want   int
	}{
		"slots bind":              {12, 100000, 700, 12},
		"memory binds":            {64, 90000, 9000, 10},
		"one request fits always": {64, 1000, 9000, 1},
		"memory not known":        {64, 0, 9000, 64},
		"slots not known":         {0, 90000, 9000, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			in := instance("e", "d1")
			in.Slots = tt.slots
			b := newBalancer()
			finishRequests(b, 5, tt.prompt, []*registry.Instance{in})
			require.Equal(t, tt.want, b.work.capacity(in, &Request{KVCapacity: tt.memory}))
		})
	}
}
