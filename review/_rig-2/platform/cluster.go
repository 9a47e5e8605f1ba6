package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of a cluster.
const (
	controllerCount = 3
	gatewayCount    = 2
	formTimeout     = 20 * time.Second
	stopTimeout     = 12 * time.Second
	callTimeout     = time.Second
	firstPort       = 20000
	portRange       = 10000
)

// cluster is a deployment of the project's own processes.
type cluster struct {
	folder      string
	network     int
	ports       [6]int
	controllers []*process
	gateways    []*process
	record      *record
}

// process is a controller or a gateway.
type process struct {
	role, name, ip string
	settings       string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    bytes.Buffer
}

// Indexes of the ports of a cluster.
const (
	portHosts = iota
	portControl
	portDirectory
	portCallers
	portReady
	portMetrics
)

// newCluster starts the processes and waits until a first configuration is acknowledged.
func newCluster(rec *record, configuration []byte) (*cluster, error) {
	folder, err := os.MkdirTemp("", "toucanway-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, network: 64 + os.Getpid()%128, record: rec}
	if err := c.choosePorts(); err != nil {
		return c, err
	}
	var seeds []string
	for i := range controllerCount {
		p := &process{role: "controller", name: fmt.Sprintf("core-%d", i+1), ip: c.ip(1, i+1)}
		c.controllers = append(c.controllers, p)
		seeds = append(seeds, fmt.Sprintf("%q", c.at(p.ip, portControl)))
	}
	for i := range gatewayCount {
		c.gateways = append(c.gateways, &process{role: "gateway", name: fmt.Sprintf("front-%d", i+1), ip: c.ip(2, i+1)})
	}
	for _, p := range c.all() {
		if err := c.writeSettings(p, seeds); err != nil {
			return c, err
		}
		if err := p.start(); err != nil {
			return c, err
		}
	}
	return c, c.submit(configuration, formTimeout)
}

func (c *cluster) all() []*process {
	return append(append([]*process{}, c.controllers...), c.gateways...)
}

// ip returns a loopback address of this run, which depends on the process id so that runs side by side don't collide.
func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, kind, n) }

func (c *cluster) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, c.ports[port]) }

// choosePorts chooses ports that are free on the first loopback address.
func (c *cluster) choosePorts() error {
	for i := range c.ports {
		l, err := listenSomewhere("127.0.0.1")
		if err != nil {
			return err
		}
		defer l.Close()
		c.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func listenSomewhere(ip string) (l net.Listener, err error) {
	for range 100 {
		l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(portRange)))
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// writeSettings writes the settings that deploy/host.yaml gives to a host of a small deployment.
func (c *cluster) writeSettings(p *process, seeds []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host: %q\nip: %q\nregion: \"r1\"\ndata-centre: \"z1\"\ndata-centres:\n  \"z1\": \"r1\"\nlisten:\n", p.name, p.ip)
	if p.role == "controller" {
		fmt.Fprintf(&b, "  control: %q\n  directory: %q\n", c.at(p.ip, portControl), c.at(p.ip, portDirectory))
	} else {
		fmt.Fprintf(&b, "  callers: %q\n  ready: %q\n", c.at(p.ip, portCallers), c.at(p.ip, portReady))
	}
	fmt.Fprintf(&b, "  metrics: %q\nhosts-port: %d\nseeds: [%s]\nbootstrap: true\n", c.at(p.ip, portMetrics), c.ports[portHosts], strings.Join(seeds, ","))
	if p.role == "controller" {
		fmt.Fprintf(&b, "data-folder: %q\n", filepath.Join(c.folder, p.name))
	}
	b.WriteString("memory: \"284MiB\"\ncores: 0.4\ndescriptors: 4100\nlink-mbps: 1000\ntolerated-losses: 1\nbounds:\n  grace: \"8s\"\n" +
		"  configuration-in-force: \"2500ms\"\n  order-handover: \"3000ms\"\n  address-lifetime: \"5s\"\n  repeat-ratio: 0.2\n" +
		"  repeat-slack: 58\n  repeat-window: \"10s\"\n")
	p.settings = filepath.Join(c.folder, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(b.String()), 0o600)
}

// start starts the process with the command and the environment of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command("target/toucanway", p.role)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "GOGC=100", "TOUCANWAY_NODE_FILE=" + p.settings,
	}
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// The status of the process is read from cmd.ProcessState.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// The process may have ended already.
		_ = p.cmd.Process.Signal(s)
	}
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stop ends all processes and removes the folder.
func (c *cluster) stop() {
	for _, p := range c.all() {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			select {
			case <-p.exited:
			case <-time.After(stopTimeout):
			}
			if folder := os.Getenv("RIG_LOGS"); folder != "" {
				_ = os.WriteFile(filepath.Join(folder, p.name+".log"), p.log.Bytes(), 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.folder)
}

// control returns the addresses for backend servers and operators.
func (c *cluster) control() []string {
	var out []string
	for _, p := range c.controllers {
		out = append(out, c.at(p.ip, portControl))
	}
	return out
}

func (c *cluster) callersAddress(gateway int) string {
	return c.at(c.gateways[gateway].ip, portCallers)
}

// submit sends a configuration until it is acknowledged.
func (c *cluster) submit(configuration []byte, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for n := 0; time.Now().Before(end); n++ {
		list := c.control()
		status, _, err := call(http.MethodPost, list[n%len(list)], "/api/Config.Replace", configuration)
		if err == nil && status == http.StatusOK {
			c.record.add("operator: configuration acknowledged by %s", list[n%len(list)])
			return nil
		}
		if err == nil && status == http.StatusBadRequest {
			return errors.New("the configuration is refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no configuration was acknowledged in time")
}

// awaitServing waits until each gateway answers a probe with 200.
func (c *cluster) awaitServing(probe func(address string) bool, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i := range c.gateways {
		for !probe(c.callersAddress(i)) {
			if time.Now().After(end) {
				return fmt.Errorf("gateway %d does not serve", i+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// call makes one call to an interface of the system with a JSON body.
func call(method, address, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// encode returns a value as JSON.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
