package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"toucanway/platform/standin"
)

// process is a gateway or controller, which is restarted after it was killed or stopped.
type process struct {
	role string
	// name is the host's name and ip its address. A proxy accepts the connections of other hosts to a controller at ip and passes
	// them on to bindIP, where the controller listens.
	name, ip, bindIP string
	folder           string
	program          string
	settings         string

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	paused          bool
	ending          bool
	unexpectedExits []string
	log             bytes.Buffer
}

// ports are the same on all hosts.
type ports struct{ hosts, control, directory, callers, ready int }

// writeSettings writes the settings file and sets p.settings to its path.
func (p *process) writeSettings(ports ports, seeds []string, bootstrap bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host: %s\nip: %s\nregion: r\ndata-centre: z\nhosts-port: %d\nbootstrap: %v\nlisten:\n", p.name, p.ip, ports.hosts, bootstrap)
	if p.role == "controller" {
		fmt.Fprintf(&b, "  control: %s:%d\n  directory: %s:%d\n  hosts: %s:%d\n", p.ip, ports.control, p.ip, ports.directory, p.bindIP, ports.hosts)
	} else {
		fmt.Fprintf(&b, "  callers: %s:%d\n  ready: %s:%d\n", p.ip, ports.callers, p.ip, ports.ready)
	}
	b.WriteString("seeds:\n")
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - %s:%d\n", s, ports.control)
	}
	if p.role == "controller" {
		fmt.Fprintf(&b, "data-folder: %s\n", p.dataFolder())
	}
	b.WriteString("bounds:\n  grace: 5s\n  address-lifetime: 1s\n")
	fmt.Fprintf(&b, "  key-revocation: %v\n  quota-window: %v\n  quota-overshoot: %v\n  quota-slack: %v\n", standin.KeyRevocation,
		standin.QuotaWindow, standin.QuotaOvershoot, standin.QuotaSlack)
	p.settings = filepath.Join(p.folder, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(b.String()), 0o600)
}

func (p *process) dataFolder() string { return filepath.Join(p.folder, p.name) }

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.program, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.ending {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		p.cmd, p.paused = nil, false
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal if the process is running. After SIGTERM and SIGKILL its end is expected.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		p.ending = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// The error of a process that has just ended is ignored.
	_ = p.cmd.Process.Signal(s)
}

// isEnding reports whether the process was sent a signal that ends it, or is not running.
func (p *process) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending || p.cmd == nil
}

// terminate sends a signal that ends the process and returns a channel that is closed once it has ended.
func (p *process) terminate(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		done := make(chan struct{})
		close(done)
		return done
	}
	p.signal(s)
	return exited
}

// awaitExit waits until a process that was sent an ending signal has ended. After a timeout it kills the process and returns
// false.
func (p *process) awaitExit(exited <-chan struct{}, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-exited:
		return true
	case <-t.C:
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}
