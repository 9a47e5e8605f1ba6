package controlscenario

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/routes"
	"toucanway/io/gateway"
)

// streamDialect is a requestDialect whose route is one of streams that may be resumed.
type streamDialect struct{ requestDialect }

func (streamDialect) Configuration(data []byte) (*routes.Configuration, error) {
	c, err := requestDialect{}.Configuration(data)
	if err == nil {
		r := &c.Routes[0]
		r.Kind, r.Resumable, r.MaxAttempts, r.Timeout = routes.Streaming, true, 2, 15*time.Second
	}
	return c, err
}

func (streamDialect) Request(h *fasthttp.RequestHeader) gateway.RequestInfo {
	return gateway.RequestInfo{
		ID: fleet.RequestID(h.Peek("Id")), LastEvent: string(h.Peek("Last-Event")), Resumes: fleet.RequestID(h.Peek("Resumes")),
	}
}

func (streamDialect) SetForwardHeaders(h *fasthttp.RequestHeader, f gateway.ForwardInfo) {
	h.Set("Instance", string(f.Instance))
	if f.LastEvent != "" {
		h.Set("Last-Event", f.LastEvent)
	}
}

// lastEvent is the id of the last event of each stream.
const lastEvent = 12

// startStreamServer starts a server of a software version, whose events hold the version, and returns a function that ends it.
func startStreamServer(t *testing.T, w *simulation, n int, v fleet.SoftwareVersion) func() {
	ip := fmt.Sprintf("10.%d.9.%d", n%3+1, n+1)
	end := listen(t, w, ip, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Peek("Id"))
			// The first event of a new stream is number 1.
			at, _ := strconv.Atoi(string(req.Header.Peek("Last-Event")))
			for at++; at <= lastEvent && err == nil; at++ {
				time.Sleep(100 * time.Millisecond)
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", at, v)
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			}
			if err == nil {
				_, err = io.WriteString(c, "0\r\n\r\n")
			}
			if err != nil {
				return
			}
		}
	})
	announceSoftware(t, w, n, v, 1, registry.Ready)
	return end
}

func announceSoftware(t *testing.T, w *simulation, n int, v fleet.SoftwareVersion, seq uint64, s registry.State) {
	sendHeartbeat(t, w, registry.Heartbeat{Instance: registry.Instance{
		ID: fleet.BackendID(fmt.Sprint("s", n)), Incarnation: 1, Service: plainService, Address: fmt.Sprintf("10.%d.9.%d:80", n%3+1, n+1),
		Slots: 64, Software: v, State: s,
	}, Seq: seq})
}

// streamPart is what a caller has received of a stream.
type streamPart struct {
	id     string
	status int
	// versions holds the software versions of the events.
	versions []string
	last     int
	took     time.Duration
}

// readStream sends a request for a stream, or takes one up again, and reads events until most of them have come or the stream ends.
func readStream(w *simulation, address, id string, resumed *streamPart, most int) streamPart {
	began := time.Now()
	p := streamPart{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := w.net.Host("10.1.7.1").Dial(ctx, address)
	if err != nil {
		return p
	}
	defer conn.Close()
	head := "GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"
	if resumed != nil {
		head += fmt.Sprintf("Last-Event: %d\r\nResumes: %s\r\n", resumed.last, resumed.id)
	}
	if _, err = io.WriteString(conn, head+"\r\n"); err != nil {
		return p
	}
	var res fasthttp.Response
	res.StreamBody = true
	if res.ReadLimitBody(bufio.NewReader(conn), 0) != nil {
		return p
	}
	p.status, p.took = res.StatusCode(), time.Since(began)
	lines := bufio.NewScanner(res.BodyStream())
	for p.status == fasthttp.StatusOK && len(p.versions) < most && lines.Scan() {
		if id, ok := bytes.CutPrefix(lines.Bytes(), []byte("id: ")); ok {
			p.last, _ = strconv.Atoi(string(id))
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			p.versions = append(p.versions, v)
		}
	}
	return p
}

// Guards against a stream whose caller takes it up again at a server of another software version (rule ORDER), whatever gateways and
// controllers are lost in between, and against streams that no longer go on although servers of their version serve (rule LOST).
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	const streams = 24
	type deployment struct {
		*simulation
		gateways []string
		// restart stops all gateways at once and starts new ones.
		restart func()
		// announce makes all servers send a heartbeat.
		announce func()
		// ends are called at the end.
		ends []func()
	}
	tests := map[string]struct {
		// software lists the versions of the servers.
		software []fleet.SoftwareVersion
		// between is called between the first tries and the second ones.
		between func(t *testing.T, d *deployment)
		// least is the least number of streams that go on, most the largest.
		least, most int
	}{
		"another gateway": {software: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}, least: streams, most: streams},
		"all gateways killed": {
			software: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}, least: streams, most: streams,
			between: func(_ *testing.T, d *deployment) { d.restart() },
		},
		"leader killed": {
			software: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}, least: streams, most: streams,
			between: func(t *testing.T, d *deployment) { require.NoError(t, d.kill(d.leader())) },
		},
		"all gateways and the leader killed": {
			software: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}, least: streams, most: streams,
			between: func(t *testing.T, d *deployment) {
				require.NoError(t, d.kill(d.leader()))
				time.Sleep(2 * time.Second)
				d.restart()
			},
		},
		"all processes killed, one version": {
			software: []fleet.SoftwareVersion{"v1", "v1"}, least: streams, most: streams,
			between: func(t *testing.T, d *deployment) {
				restartControllers(t, d.simulation)
				d.announce()
				d.restart()
			},
		},
		"all processes killed, two versions": {
			software: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}, least: 0, most: streams,
			between: func(t *testing.T, d *deployment) {
				restartControllers(t, d.simulation)
				d.announce()
				d.restart()
			},
		},
		"servers of the old version have left": {
			software: []fleet.SoftwareVersion{"v1", "v1"}, least: 0, most: 0,
			between: func(t *testing.T, d *deployment) {
				d.ends = append(d.ends, startStreamServer(t, d.simulation, 2, "v2"))
				announceSoftware(t, d.simulation, 0, "v1", 2, registry.Draining)
				announceSoftware(t, d.simulation, 1, "v1", 2, registry.Draining)
				time.Sleep(time.Second)
				d.restart()
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			startServerDate()
			synctest.Test(t, func(t *testing.T) {
				w := startControllersOf(t, 5)
				defer closeAndCheck(t, w)
				d := &deployment{simulation: w}
				var stop func()
				d.gateways, stop = startStreamGateways(t, w)
				defer func() { stop() }()
				d.restart = func() {
					stop()
					d.gateways, stop = startStreamGateways(t, w)
					time.Sleep(3 * time.Second)
				}
				defer func() {
					for _, end := range d.ends {
						end()
					}
				}()
				for i, v := range tt.software {
					d.ends = append(d.ends, startStreamServer(t, w, i, v))
				}
				d.announce = func() {
					for i, v := range tt.software {
						announceSoftware(t, w, i, v, 2, registry.Ready)
					}
				}
				time.Sleep(3 * time.Second)
				var first, second [streams]streamPart
				for i := range first {
					first[i] = readStream(w, d.gateways[i%len(d.gateways)], fmt.Sprint("first-", i), nil, 3)
					require.Len(t, first[i].versions, 3)
				}
				if tt.between != nil {
					tt.between(t, d)
				}
				goOn := 0
				for i := range second {
					second[i] = readStream(w, d.gateways[(i+1)%len(d.gateways)], fmt.Sprint("second-", i), &first[i], lastEvent)
					for _, v := range second[i].versions {
						require.Equal(t, first[i].versions[0], v, "stream %d", i)
					}
					if second[i].status == fasthttp.StatusOK {
						goOn++
						require.Equal(t, lastEvent, second[i].last)
					}
					require.Less(t, second[i].took, time.Second, "stream %d", i)
				}
				require.GreaterOrEqual(t, goOn, tt.least)
				require.LessOrEqual(t, goOn, tt.most)
			})
		})
	}
}

// startStreamGateways starts entry hosts that take requests for streams, and returns their addresses and a function that kills them.
func startStreamGateways(t *testing.T, w *simulation) ([]string, func()) {
	_, addresses, stop := startGatewaysWith(t, w, 0, 3, streamDialect{})
	return addresses, stop
}

// restartControllers kills all controllers and starts them again on their disks.
func restartControllers(t *testing.T, w *simulation) {
	for _, h := range w.hosts {
		require.NoError(t, w.kill(h))
	}
	for _, h := range w.hosts {
		require.NoError(t, w.start(h, false))
	}
	time.Sleep(3 * time.Second)
}
