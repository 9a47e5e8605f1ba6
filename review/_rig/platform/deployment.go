package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the users' sheet of agam-muestreo gives them.
const (
	contact     = 4 * time.Second
	drainTime   = 2500 * time.Millisecond
	grace       = 8 * time.Second
	configApply = 2500 * time.Millisecond
)

// record writes what was sent, answered and run to a file, each line at once, so that a run that is cut off leaves what it has seen.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// process is a gateway or a controller, started with the command of the deploy file.
type process struct {
	d         *deployment
	role      string
	name, ip  string
	file      string
	bootstrap bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec         *record
	folder      string
	block       int
	ports       map[string]int
	controllers []*process
	gateways    []*process
	// starting is held while a process is started, and for good once the case is stopped.
	starting sync.Mutex
}

// newDeployment chooses a free block of loopback addresses and free ports.
func newDeployment(rec *record, controllers, gateways int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "toucanway-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, ports: map[string]int{}}
	for try := 0; ; try++ {
		d.block = 16 + rand.IntN(200)
		if err = d.choosePorts(); err == nil {
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	for i := 1; i <= controllers; i++ {
		d.controllers = append(d.controllers, &process{d: d, role: "controller", name: fmt.Sprintf("core-%d", i), ip: d.ip(1, i), bootstrap: true})
	}
	for i := 1; i <= gateways; i++ {
		d.gateways = append(d.gateways, &process{d: d, role: "gateway", name: fmt.Sprintf("front-%d", i), ip: d.ip(2, i), bootstrap: true})
	}
	go d.endWhenStopped()
	return d, nil
}

// endWhenStopped ends all processes and this one if the case is stopped before its end.
func (d *deployment) endWhenStopped() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	s := <-stopped
	d.starting.Lock()
	d.rec.logf("the case could not run to its end: %v", s)
	for _, p := range d.all() {
		p.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(d.folder)
	os.Exit(cannot)
}

func (d *deployment) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.block, kind, n) }

func (d *deployment) choosePorts() error {
	// The port for metrics is that of the deploy file; another run with this block would use it.
	l, err := net.Listen("tcp", d.ip(1, 1)+":9102")
	if err != nil {
		return err
	}
	_ = l.Close()
	for _, name := range []string{"control", "directory", "callers", "ready", "hosts"} {
		port := 20000 + rand.IntN(10000)
		for kind := 1; kind <= 3; kind++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(kind, 1), port))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
		d.ports[name] = port
	}
	return nil
}

func (d *deployment) address(p *process, port string) string {
	return fmt.Sprintf("%s:%d", p.ip, d.ports[port])
}

// control returns the addresses of all controllers.
func (d *deployment) control() []string {
	var out []string
	for _, p := range d.controllers {
		out = append(out, d.address(p, "control"))
	}
	return out
}

// writeSettings writes what the platform makes of the template deploy/host.yaml.
func (p *process) writeSettings() error {
	d := p.d
	var b strings.Builder
	fmt.Fprintf(&b, "host: %q\nip: %q\nregion: \"r1\"\ndata-centre: \"z1\"\ndata-centres:\n  \"z1\": \"r1\"\nlisten:\n", p.name, p.ip)
	if p.role == "gateway" {
		fmt.Fprintf(&b, "  callers: %q\n  ready: %q\n", d.address(p, "callers"), d.address(p, "ready"))
	} else {
		fmt.Fprintf(&b, "  control: %q\n  directory: %q\n", d.address(p, "control"), d.address(p, "directory"))
	}
	fmt.Fprintf(&b, "  metrics: \"%s:9102\"\nhosts-port: %d\n", p.ip, d.ports["hosts"])
	var seeds []string
	for _, c := range d.controllers[:min(3, len(d.controllers))] {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(c, "control")))
	}
	fmt.Fprintf(&b, "seeds: [%s]\nbootstrap: %v\n", strings.Join(seeds, ","), p.bootstrap)
	if p.role == "controller" {
		data := filepath.Join(d.folder, p.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		fmt.Fprintf(&b, "data-folder: %q\n", data)
	}
	memory := 284
	if p.role == "controller" {
		memory = 280
	}
	fmt.Fprintf(&b, "memory: \"%dMiB\"\ntolerated-losses: 1\nbounds:\n  grace: \"8s\"\n  configuration-in-force: \"2500ms\"\n  order-handover: \"3000ms\"\n"+
		"  address-lifetime: \"5s\"\n  repeat-ratio: 0.2\n  repeat-slack: 58\n  repeat-window: \"10s\"\n", memory)
	p.file = filepath.Join(d.folder, p.name+".yaml")
	return os.WriteFile(p.file, []byte(b.String()), 0o600)
}

// start starts the program with the settings of now.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	if p.log == nil {
		f, err := os.Create(filepath.Join(p.d.folder, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = f
	}
	cmd := exec.Command("target/toucanway", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "GOGC=100", "TOUCANWAY_NODE_FILE=" + p.file}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	p.d.starting.Lock()
	defer p.d.starting.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.bootstrap = false
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	p.d.rec.logf("process %s started", p.name)
	go func() {
		err := cmd.Wait()
		p.d.rec.logf("process %s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that start started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	p.d.rec.logf("signal to %s: %v", p.name, s)
	_ = cmd.Process.Signal(s)
}

// wait waits for the end of the process, and kills it after a time.
func (p *process) wait(d time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(d):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

func (d *deployment) all() []*process {
	return append(append([]*process{}, d.controllers...), d.gateways...)
}

func (d *deployment) start() error {
	for _, p := range d.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes their files.
func (d *deployment) stop() {
	for _, p := range d.all() {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
		}
	}
	for _, p := range d.all() {
		if p.cmd != nil {
			p.wait(grace)
		}
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// post sends one call to a controller, each on a connection of its own.
func post(address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// submit sends a configuration to one controller after the other until it is acknowledged.
func (d *deployment) submit(c any) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		to := d.control()[n%len(d.controllers)]
		status, answer, err := post(to, "/api/Config.Replace", body, time.Second)
		if err == nil && status == http.StatusOK {
			d.rec.logf("configuration acknowledged by %s: %s", to, body)
			return nil
		}
		if err == nil && status < 500 {
			return fmt.Errorf("the configuration was refused with %d: %s", status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged in time")
}

// awaitServed returns once a request through each gateway is answered.
func (d *deployment) awaitServed(path, model string) error {
	end := time.Now().Add(20 * time.Second)
	for _, g := range d.gateways {
		for n := 0; ; n++ {
			c := &client{d: d, gateway: g, name: "warm-" + g.name, warmUp: true, model: model}
			out := c.send(path, 5*time.Second)
			c.close()
			if out.complete && out.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves no request: %v", g.name, out)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

type obj = map[string]any

// configuration returns a configuration with one route.
func configuration(version int, kind, service, path string, timeoutMs int, more obj) obj {
	route := obj{
		"name": "r1", "host": "rig.example", "path_prefix": path, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 1000, "priority": 1,
		"service": service, "max_attempts": 1, "sticky": false, "resumable": false, "gap_target_ms": 400,
	}
	for k, v := range more {
		route[k] = v
	}
	return obj{
		"version": version, "routes": []obj{route},
		"services": []obj{{"name": service, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   obj{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
